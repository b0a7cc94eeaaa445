/**
 * News that waits to be piggybacked on probes. Each piece is sent a number of times that grows with
 * the logarithm of the number of peers; newer news on the same subject replaces older.
 */
import {assertNever} from '../assert-never.js';
import type * as membership from './types.js';

/** Transmissions per piece of news are this factor times log2(peers + 1). */
const transmissionFactor = 3;
/** Deltas on one probe; keeps a probe within a few kilobytes. */
const maxDeltasPerMessage = 16;

type QueuedDelta = {
	readonly delta: membership.Delta;
	sent: number;
};

export class DisseminationQueue {
	private readonly deltas = new Map<string, QueuedDelta>();

	get size(): number {
		return this.deltas.size;
	}

	/** Adds news on a subject. */
	add(delta: membership.Delta): void {
		this.deltas.set(getSubject(delta), {delta, sent: 0});
	}

	/** Takes the news for one message, the least often sent first. */
	take(peerCount: number): membership.Delta[] {
		if (this.deltas.size === 0) {
			return [];
		}

		const limit = Math.ceil(transmissionFactor * Math.log2(peerCount + 1)) + 1;
		const chosen = [...this.deltas.entries()]
			.sort(([, left], [, right]) => left.sent - right.sent)
			.slice(0, maxDeltasPerMessage);
		for (const [key, queued] of chosen) {
			queued.sent++;
			if (queued.sent >= limit) {
				this.deltas.delete(key);
			}
		}

		return chosen.map(([, queued]) => queued.delta);
	}
}

function getSubject(delta: membership.Delta): string {
	switch (delta.type) {
		case 'peer': {
			return `peer/${delta.state.peer}`;
		}

		case 'announcement': {
			return `announcement/${delta.announcement.server}`;
		}

		case 'templateVersion': {
			return `template/${delta.member}`;
		}

		default: {
			return assertNever(delta);
		}
	}
}
