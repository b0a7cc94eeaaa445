/**
 * What the leader knows of one peer that receives the log.
 */
import * as timing from './timing.js';

/** Replication state of one peer, as the leader sees it. */
export class Progress {
	/** Index of the next entry to send. */
	nextIndex: number;
	/** Highest index up to which the peer's log is known to be equal and synced. */
	matchIndex = 0;
	/** Send time of the latest append that the peer answered, in ms. */
	lastAckedSentAt = Number.NEGATIVE_INFINITY;
	/** Incarnation of a peer without state that is being added. */
	joiningIncarnation: number | undefined;
	#inFlight: {round: number; sentAt: number} | undefined;
	/** Answers to earlier rounds come from a process whose disk was lost since. */
	readonly #firstRound: number;

	constructor(next: number, firstRound: number) {
		this.nextIndex = next;
		this.#firstRound = firstRound;
	}

	/** Tells whether entries were sent and neither answered nor given up. */
	isAwaitingReply(now: number): boolean {
		return (
			this.#inFlight !== undefined &&
			now - this.#inFlight.sentAt < timing.resendTimeoutMs
		);
	}

	/** Forgets entries whose answer did not come in time, so that they are sent again. */
	expireInFlight(now: number): void {
		if (this.#inFlight && !this.isAwaitingReply(now)) {
			this.#inFlight = undefined;
			this.nextIndex = this.matchIndex + 1;
		}
	}

	/** Notes that entries or a snapshot up to `lastIndex` were sent. */
	recordSent(lastIndex: number, round: number, now: number): void {
		this.nextIndex = lastIndex + 1;
		this.#inFlight = {round, sentAt: now};
	}

	/**
	 * Takes an answer into account.
	 *
	 * @returns False when the answer is older than this record of the peer.
	 */
	applyReply(
		reply: {success: boolean; matchIndex: number; round: number},
		sentAt: number | undefined,
	): boolean {
		if (reply.round < this.#firstRound) {
			return false;
		}

		this.lastAckedSentAt = Math.max(
			this.lastAckedSentAt,
			sentAt ?? Number.NEGATIVE_INFINITY,
		);
		if (this.#inFlight?.round === reply.round) {
			this.#inFlight = undefined;
		}

		if (reply.success) {
			this.matchIndex = Math.max(this.matchIndex, reply.matchIndex);
			this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1);
		} else {
			this.nextIndex = Math.max(
				this.matchIndex + 1,
				Math.min(this.nextIndex, reply.matchIndex + 1),
			);
		}

		return true;
	}
}
