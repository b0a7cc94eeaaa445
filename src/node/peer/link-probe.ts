/**
 * Decides when a connection is probed and when its peer counts as silent. A connection on which an
 * answer is outstanding is probed at a short interval; the others share a number of probes per second
 * that is independent of the number of connections. TCP delivers in order, so one unanswered probe at
 * a time suffices.
 *
 * When work depends on the peer in both directions, the probes of one side serve both: they show that
 * the peer is alive, and a side that gets no answer closes the connection, which the other side sees.
 * The other side only probes when they stay away.
 */
import type * as types from './types.js';

export type ProbeDecision =
	| {readonly type: 'none'}
	| {readonly type: 'ping'; readonly sequence: number}
	| {readonly type: 'silent'};

/** Wait for the next probe of the peer, as a multiple of the short interval; covers its jitter. */
const peerPingPatience = 1.5;

export class LinkProbe {
	/** True while work depends on the peer, such as a request that it runs. */
	isWatched = false;
	#sequence = 0;
	#lastPingAt: number;
	#lastReceivedAt: number;
	#lastPeerPingAt = Number.NEGATIVE_INFINITY;
	/** Time of the last ping while it is unanswered. */
	#unansweredPingAt: number | undefined;
	/** Age of the last sign of the peer when the last ping was sent, as far as it was awaited. */
	#waitBeforePingMs = 0;
	/** Time of the first message since the last answer that the peer has to answer. */
	#awaitingSince: number | undefined;

	constructor(
		private readonly limits: Pick<
			types.LinkLimits,
			'pingIntervalMs' | 'idleTimeoutMs'
		>,
		now: number,
	) {
		this.#lastPingAt = now;
		this.#lastReceivedAt = now;
	}

	/** True while the peer is probed at the short interval, or soon will be. */
	get needsPromptSteps(): boolean {
		return this.isWatched || this.#awaitingSince !== undefined;
	}

	/** Records a sent message that the peer has to answer. */
	recordRequest(now: number): void {
		this.#awaitingSince ??= now;
	}

	/** Records any received message; `isAnswer` when it answers a message of this side. */
	recordReceived(now: number, isAnswer: boolean): void {
		this.#lastReceivedAt = now;
		if (isAnswer) {
			this.#awaitingSince = undefined;
		}
	}

	/** Records a probe of the peer. */
	recordPeerPing(now: number): void {
		this.#lastPeerPingAt = now;
	}

	recordPong(sequence: number): void {
		if (sequence !== this.#sequence) {
			return;
		}

		if (
			this.#awaitingSince !== undefined &&
			this.#awaitingSince <= this.#lastPingAt
		) {
			this.#awaitingSince = undefined;
		}

		this.#unansweredPingAt = undefined;
	}

	/**
	 * Decides what to do now.
	 *
	 * @param idleIntervalMs - Interval of the probes while no answer is outstanding.
	 */
	step(now: number, idleIntervalMs: number): ProbeDecision {
		const {pingIntervalMs, idleTimeoutMs} = this.limits;
		const isUrgent = this.#isUrgent(now);
		if (this.#unansweredPingAt !== undefined) {
			// A watched peer that stops right after a sign of it is found within the idle timeout, because
			// the next ping is sent some time later.
			const limitMs = isUrgent
				? idleTimeoutMs - this.#waitBeforePingMs
				: idleTimeoutMs;
			return now - this.#unansweredPingAt > limitMs
				? {type: 'silent'}
				: {type: 'none'};
		}

		const isPeerProbing =
			this.isWatched && this.#lastPeerPingAt > this.#lastPingAt;
		const urgentDueAt = isPeerProbing
			? this.#lastPeerPingAt + pingIntervalMs * peerPingPatience
			: this.#lastPingAt + pingIntervalMs;
		const dueAt = isUrgent
			? urgentDueAt
			: Math.max(this.#lastPingAt, this.#lastReceivedAt) + idleIntervalMs;
		if (now < dueAt) {
			return {type: 'none'};
		}

		// After a pause of this process, the peer still gets time to answer.
		this.#waitBeforePingMs = isPeerProbing
			? Math.min(now - this.#lastPeerPingAt, pingIntervalMs * 2)
			: pingIntervalMs;
		this.#sequence++;
		this.#lastPingAt = now;
		this.#unansweredPingAt = now;
		return {type: 'ping', sequence: this.#sequence};
	}

	#isUrgent(now: number): boolean {
		return (
			this.isWatched ||
			(this.#awaitingSince !== undefined &&
				now - this.#awaitingSince >= this.limits.pingIntervalMs / 2)
		);
	}
}
