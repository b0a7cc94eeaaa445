/**
 * Decides whether a link to a peer is kept. A partitioned peer considers the others dead and
 * disseminates this to the peers that it reaches. A working link is better evidence than such a
 * delta, and closing it would end the transactions that run over it.
 */
import {assertNever} from '../assert-never.js';
import type * as membership from './types.js';

export function isLinkWanted(
	condition: membership.PeerCondition,
	link: {
		readonly isUp: boolean;
		/** True when the peer is listed in the settings. */
		readonly isConfigured: boolean;
	},
): boolean {
	switch (condition) {
		case 'alive':
		case 'suspect': {
			return true;
		}

		case 'dead': {
			return link.isUp || link.isConfigured;
		}

		case 'left': {
			return link.isConfigured;
		}

		default: {
			return assertNever(condition);
		}
	}
}
