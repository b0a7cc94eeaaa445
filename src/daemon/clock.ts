/**
 * The clocks of the process. Leases must expire even while the process does not run. The monotonic
 * clock of the system advances while a process is stopped, but not while the whole VM is suspended.
 * Therefore a forward jump of the wall clock against the monotonic clock counts as elapsed time. A
 * wall clock that is set forward has the same effect, which only makes leases expire early.
 */
import {performance} from 'node:perf_hooks';
import type * as node from '../node/types.js';

/** Smaller changes of the difference between the clocks come from slewing and rounding. */
const suspensionThresholdMs = 50;

/** A monotonic clock that includes the time during which the VM was suspended. */
export class SuspensionClock implements node.Clock {
	#offsetMs = 0;
	#lastDifferenceMs: number;

	/** Both functions return ms; `readMonotonic` never goes backwards. */
	constructor(
		private readonly readMonotonic: () => number,
		readonly readWallClock: () => number,
	) {
		this.#lastDifferenceMs = readWallClock() - readMonotonic();
	}

	now(): number {
		const monotonic = this.readMonotonic();
		const difference = this.readWallClock() - monotonic;
		const jump = difference - this.#lastDifferenceMs;
		if (Math.abs(jump) > suspensionThresholdMs) {
			this.#offsetMs += Math.max(0, jump);
			this.#lastDifferenceMs = difference;
		}

		return monotonic + this.#offsetMs;
	}
}

/** The monotonic clock of Node.js starts at 0 with the process. */
export const processStartedAt = 0;

const clock = new SuspensionClock(
	() => performance.now(),
	() => Date.now(),
);

export const systemClock: node.Clock = {
	now: () => clock.now(),
	readWallClock: () => Date.now(),
};
