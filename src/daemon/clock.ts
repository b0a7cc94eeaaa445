/**
 * The clocks of the process. Leases have to run out while the process does not run. The steady
 * clock of the system goes on while a process is stopped, but not while the whole VM is suspended,
 * so a jump of the wall clock ahead of it counts as passed time too. A wall clock that was set
 * forward only makes leases end early.
 */
import {performance} from 'node:perf_hooks';
import type * as node from '../node/types.js';

/** Below this, a difference between the clocks is slewing and rounding, in ms. */
const suspensionThresholdMs = 50;

/** A steady clock that also counts the time of a suspension. */
export class SuspensionClock implements node.Clock {
	#offsetMs = 0;
	#lastDifferenceMs: number;

	/** The readings are in ms; `readSteady` never goes back. */
	constructor(
		private readonly readSteady: () => number,
		readonly readWallClock: () => number,
	) {
		this.#lastDifferenceMs = readWallClock() - readSteady();
	}

	now(): number {
		const steady = this.readSteady();
		const difference = this.readWallClock() - steady;
		const jump = difference - this.#lastDifferenceMs;
		if (Math.abs(jump) > suspensionThresholdMs) {
			this.#offsetMs += Math.max(0, jump);
			this.#lastDifferenceMs = difference;
		}

		return steady + this.#offsetMs;
	}
}

/** The steady clock of Node.js counts from the start of the process. */
export const processStartedAt = 0;

const clock = new SuspensionClock(
	() => performance.now(),
	() => Date.now(),
);

export const systemClock: node.Clock = {
	now: () => clock.now(),
	readWallClock: () => Date.now(),
};
