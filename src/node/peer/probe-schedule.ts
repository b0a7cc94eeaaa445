/**
 * The interval of the probes of connections on which no answer is outstanding. They share a number of
 * probes per second. Faults of the network silence many connections at once, so after one was found
 * silent, all others are checked soon.
 */
import type * as types from './types.js';

export class ProbeSchedule {
	#silenceAt = Number.NEGATIVE_INFINITY;

	constructor(
		private readonly limits: Pick<
			types.LinkLimits,
			'pingIntervalMs' | 'idleTimeoutMs' | 'idleProbesPerSecond'
		>,
	) {}

	/** Records that a peer did not answer a probe. */
	recordSilence(now: number): void {
		this.#silenceAt = now;
	}

	/** Returns the interval for each connection, in ms. */
	readInterval(linkCount: number, now: number): number {
		const {pingIntervalMs, idleTimeoutMs, idleProbesPerSecond} = this.limits;
		const sharedMs = Math.max(
			pingIntervalMs,
			(linkCount * 1000) / idleProbesPerSecond,
		);
		return now - this.#silenceAt <= idleTimeoutMs
			? Math.min(sharedMs, idleTimeoutMs)
			: sharedMs;
	}
}
