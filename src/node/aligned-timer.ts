/**
 * A repeating timer that runs at multiples of its interval since the start of the process. All such
 * timers of a process share one timeout, so those whose intervals are multiples of each other wake the
 * process together. A wake-up costs more than most of the work that a timer does.
 */
import {performance} from 'node:perf_hooks';

/** A timeout may fire this much early, because Node.js rounds its clock to whole milliseconds. */
const earlyToleranceMs = 2;

/**
 * Returns the next multiple of an interval after `now`, in ms. A multiple less than a quarter of the
 * interval ahead is left out, because an early run has used it.
 */
export function computeNextRun(now: number, intervalMs: number): number {
	const nextAt = (Math.floor(now / intervalMs) + 1) * intervalMs;
	return nextAt - now < intervalMs / 4 ? nextAt + intervalMs : nextAt;
}

/** The clock and the timeout of a queue of timers. */
export type TimerHost = {
	/** Monotonic time in ms. */
	now(): number;
	/** Calls back after a delay in ms; the returned function cancels it. */
	wait(delayMs: number, callback: () => void): () => void;
};

const systemHost: TimerHost = {
	now: () => performance.now(),
	wait(delayMs, callback) {
		const timeout = setTimeout(callback, delayMs);
		return () => {
			clearTimeout(timeout);
		};
	},
};

/** Timers and the timeout that they share. */
export class TimerQueue {
	readonly #runTimes = new Map<AlignedTimer, number>();
	#cancelWait: (() => void) | undefined;
	#wakeAt = Infinity;

	constructor(private readonly host: TimerHost) {}

	now(): number {
		return this.host.now();
	}

	/** Adds a timer, or changes the time of its next run. */
	put(timer: AlignedTimer, runAt: number): void {
		this.#runTimes.set(timer, runAt);
		if (runAt < this.#wakeAt) {
			this.#scheduleWakeUp(runAt);
		}
	}

	remove(timer: AlignedTimer): void {
		this.#runTimes.delete(timer);
		if (this.#runTimes.size === 0) {
			this.#cancelWait?.();
			this.#wakeAt = Infinity;
		}
	}

	#scheduleWakeUp(wakeAt: number): void {
		this.#cancelWait?.();
		this.#wakeAt = wakeAt;
		const delayMs = Math.max(0, Math.ceil(wakeAt - this.host.now()));
		this.#cancelWait = this.host.wait(delayMs, () => {
			this.#runDueTimers();
		});
	}

	#runDueTimers(): void {
		const dueAt = this.host.now() + earlyToleranceMs;
		this.#wakeAt = Infinity;
		try {
			for (const [timer, runAt] of this.#runTimes) {
				// An earlier timer may have stopped this one.
				if (runAt <= dueAt && this.#runTimes.get(timer) === runAt) {
					timer.runOnce();
				}
			}
		} finally {
			// An error in one run must not end the runs.
			const nextAt = Math.min(...this.#runTimes.values());
			if (nextAt < this.#wakeAt) {
				this.#scheduleWakeUp(nextAt);
			}
		}
	}
}

const processQueue = new TimerQueue(systemHost);

export class AlignedTimer {
	/** Interval of the scheduled run, in ms. */
	#intervalMs = 0;
	#isStarted = false;

	/** @param readIntervalMs - Returns the interval in ms; read after each run and by `update`. */
	constructor(
		private readonly readIntervalMs: () => number,
		private readonly run: () => void,
		private readonly queue = processQueue,
	) {}

	start(): void {
		if (!this.#isStarted) {
			this.#isStarted = true;
			this.#schedule();
		}
	}

	stop(): void {
		this.#isStarted = false;
		this.queue.remove(this);
	}

	/** Runs earlier when the interval has become shorter since the run was scheduled. */
	update(): void {
		if (this.#isStarted && this.readIntervalMs() < this.#intervalMs) {
			this.#schedule();
		}
	}

	/** Runs now and schedules the next run; called by the queue. */
	runOnce(): void {
		try {
			this.run();
		} finally {
			if (this.#isStarted) {
				this.#schedule();
			}
		}
	}

	#schedule(): void {
		this.#intervalMs = this.readIntervalMs();
		this.queue.put(this, computeNextRun(this.queue.now(), this.#intervalMs));
	}
}
