/**
 * Queue of deltas to piggyback on probes. Each delta is sent a number of times that grows with the
 * logarithm of the number of peers; a newer delta on the same subject replaces an older one.
 */
import {assertNever} from '../assert-never.js';
import type * as membership from './types.js';

/** A delta is sent this factor times log2(peers + 1) times, rounded up, plus once. */
const transmissionFactor = 3;
/** Keeps a probe within a few kilobytes. */
const maxDeltasPerMessage = 16;

type QueuedDelta = {
	readonly delta: membership.Delta;
	sentCount: number;
};

export class DisseminationQueue {
	private readonly deltas = new Map<string, QueuedDelta>();

	get size(): number {
		return this.deltas.size;
	}

	/** Adds a delta; it replaces an earlier one on the same subject. */
	add(delta: membership.Delta): void {
		this.deltas.set(getSubject(delta), {delta, sentCount: 0});
	}

	/** Returns the deltas for one message, those sent least often first, and counts them as sent. */
	take(peerCount: number): membership.Delta[] {
		if (this.deltas.size === 0) {
			return [];
		}

		const limit = Math.ceil(transmissionFactor * Math.log2(peerCount + 1)) + 1;
		const chosen = [...this.deltas.entries()]
			.sort(([, left], [, right]) => left.sentCount - right.sentCount)
			.slice(0, maxDeltasPerMessage);
		for (const [key, queued] of chosen) {
			queued.sentCount++;
			if (queued.sentCount >= limit) {
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
