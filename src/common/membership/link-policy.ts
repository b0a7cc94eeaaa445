/**
 * Whether a link to a peer is kept. A peer behind a partition takes the others for dead and tells so
 * those that it reaches; a link that works is better evidence than such news, and its loss would end
 * the transactions that run over it.
 */
import {assertNever} from '../assert-never.js';
import type * as membership from './types.js';

export function isLinkWanted(
	condition: membership.PeerCondition,
	link: {
		readonly isUp: boolean;
		/** True when the settings name the peer. */
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
