/**
 * One timer for all connections of a process. A timer for each would wake the process several hundred
 * times a second with a few dozen peers.
 */
import * as alignedTimer from '../aligned-timer.js';
import type * as node from '../types.js';

/** Runs between two runs at the long interval. */
const longIntervalFactor = 2;

/** A task returns true while it needs the short interval. */
export type LinkTask = () => boolean;

export type LinkTaskHandle = {
	/** Runs the task at the short interval from now on, until it returns false. */
	ensureShortInterval(): void;
	stop(): void;
};

type ScheduledTask = {
	readonly run: LinkTask;
	needsShort: boolean;
};

/** Calls its tasks while there are any: each at the short interval while it needs it, else at the long one. */
export class LinkTicker {
	readonly #tasks = new Set<ScheduledTask>();
	readonly #timer: alignedTimer.AlignedTimer;
	#isShortNeeded = false;
	#lastRunAt = 0;
	/** When all tasks last ran. */
	#lastFullRunAt = Number.NEGATIVE_INFINITY;

	/** @param shortIntervalMs - Interval in ms; the long one is twice as long. */
	constructor(
		private readonly shortIntervalMs: number,
		private readonly clock: Pick<node.Clock, 'now'>,
		queue?: alignedTimer.TimerQueue,
	) {
		this.#timer = new alignedTimer.AlignedTimer(
			() =>
				this.#isShortNeeded
					? this.shortIntervalMs
					: this.shortIntervalMs * longIntervalFactor,
			() => {
				this.#runTasks();
			},
			queue,
		);
	}

	/** Time since the timer last ran, in ms. A long time means that the process was suspended. */
	get pauseMs(): number {
		return this.clock.now() - this.#lastRunAt;
	}

	add(run: LinkTask): LinkTaskHandle {
		if (this.#tasks.size === 0) {
			this.#lastRunAt = this.clock.now();
			this.#timer.start();
		}

		const task: ScheduledTask = {run, needsShort: false};
		this.#tasks.add(task);
		return {
			ensureShortInterval: () => {
				task.needsShort = true;
				if (!this.#isShortNeeded) {
					this.#isShortNeeded = true;
					this.#timer.update();
				}
			},
			stop: () => {
				this.#tasks.delete(task);
				if (this.#tasks.size === 0) {
					this.#timer.stop();
				}
			},
		};
	}

	/** Runs the tasks that need the short interval, and all when the long one has passed. */
	#runTasks(): void {
		const now = this.clock.now();
		const longIntervalMs = this.shortIntervalMs * longIntervalFactor;
		// Runs may come slightly early.
		const isFullRun =
			now - this.#lastFullRunAt >= longIntervalMs - this.shortIntervalMs / 2;
		if (isFullRun) {
			this.#lastFullRunAt = now;
		}

		this.#isShortNeeded = false;
		for (const task of this.#tasks) {
			if (isFullRun || task.needsShort) {
				task.needsShort = task.run();
			}

			this.#isShortNeeded ||= task.needsShort;
		}

		this.#lastRunAt = this.clock.now();
	}
}
