/**
 * What the leader knows of one peer that receives the log.
 */
import * as timing from './timing.js';

/** Replication state of one peer, as the leader sees it. */
export class Progress {
	/** Index of the next entry to send. */
	next: number;
	/** Highest index up to which the peer's log is known to be equal and synced. */
	match = 0;
	/** Send time of the latest append that the peer answered, in ms. */
	answeredSentAt = Number.NEGATIVE_INFINITY;
	/** Incarnation of a peer without state that is being added. */
	joining: number | undefined;
	#inFlight: {round: number; sentAt: number} | undefined;
	/** Answers to earlier rounds come from a process whose disk was lost since. */
	readonly #firstRound: number;

	constructor(next: number, firstRound: number) {
		this.next = next;
		this.#firstRound = firstRound;
	}

	/** Tells whether entries were sent and neither answered nor given up. */
	isWaiting(now: number): boolean {
		return (
			this.#inFlight !== undefined &&
			now - this.#inFlight.sentAt < timing.resendMs
		);
	}

	/** Forgets entries whose answer did not come in time, so that they are sent again. */
	expireInFlight(now: number): void {
		if (this.#inFlight && !this.isWaiting(now)) {
			this.#inFlight = undefined;
			this.next = this.match + 1;
		}
	}

	/** Notes that entries or a snapshot up to `lastIndex` were sent. */
	recordSent(lastIndex: number, round: number, now: number): void {
		this.next = lastIndex + 1;
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

		this.answeredSentAt = Math.max(
			this.answeredSentAt,
			sentAt ?? Number.NEGATIVE_INFINITY,
		);
		if (this.#inFlight?.round === reply.round) {
			this.#inFlight = undefined;
		}

		if (reply.success) {
			this.match = Math.max(this.match, reply.matchIndex);
			this.next = Math.max(this.next, this.match + 1);
		} else {
			this.next = Math.max(
				this.match + 1,
				Math.min(this.next, reply.matchIndex + 1),
			);
		}

		return true;
	}
}
