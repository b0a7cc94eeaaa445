/**
 * The leader's view of one peer that receives the log.
 */
import * as timing from './timing.js';

/** Replication state of one peer, as the leader sees it. */
export class Progress {
	/** Index of the next entry to send. */
	nextIndex: number;
	/** Highest index up to which the peer's log is known to match and to be synced. */
	matchIndex = 0;
	/** Send time of the latest append that the peer answered, in ms. */
	lastAckedSentAt = Number.NEGATIVE_INFINITY;
	/** Incarnation of a peer without state that is being added. */
	joiningIncarnation: number | undefined;
	/** The peer's last reply said that its disk is full; it then receives heartbeats only. */
	isStorageFull = false;
	#inFlight: {round: number; retryAt: number} | undefined;
	/** Replies to earlier rounds are ignored: they may come from an instance whose disk was lost since. */
	readonly #firstRound: number;

	constructor(nextIndex: number, firstRound: number) {
		this.nextIndex = nextIndex;
		this.#firstRound = firstRound;
	}

	/** Tells whether sent entries are unanswered and the reply timeout has not passed. */
	isAwaitingReply(now: number): boolean {
		return this.#inFlight !== undefined && now < this.#inFlight.retryAt;
	}

	/** Marks entries as unsent when their reply did not arrive in time, so that they are retried. */
	expireInFlight(now: number): void {
		if (!this.isAwaitingReply(now)) {
			this.retryInFlight();
		}
	}

	/** Marks entries as unsent because they were lost with their link. */
	retryInFlight(): void {
		if (this.#inFlight) {
			this.#inFlight = undefined;
			this.nextIndex = this.matchIndex + 1;
		}
	}

	/** Records that entries or a snapshot up to `lastIndex` were sent. */
	recordSent(
		lastIndex: number,
		round: number,
		now: number,
		bytes: number,
	): void {
		this.nextIndex = lastIndex + 1;
		const retryAt =
			now + timing.appendReplyTimeoutMs + bytes / timing.minTransferRate;
		this.#inFlight = {round, retryAt};
	}

	/**
	 * Updates the state from a reply.
	 *
	 * @returns False when the reply belongs to a round before this state was created.
	 */
	applyReply(
		reply: {
			success: boolean;
			matchIndex: number;
			round: number;
			isStorageFull?: boolean;
		},
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

		this.isStorageFull = reply.isStorageFull ?? false;

		if (reply.success) {
			this.matchIndex = Math.max(this.matchIndex, reply.matchIndex);
			this.nextIndex = Math.max(this.nextIndex, this.matchIndex + 1);
		} else {
			this.nextIndex = Math.max(
				this.matchIndex + 1,
				Math.min(this.nextIndex, reply.matchIndex + 1),
			);
		}

		if (this.isStorageFull) {
			this.#inFlight = undefined;
			this.nextIndex = this.matchIndex + 1;
		}

		return true;
	}
}
