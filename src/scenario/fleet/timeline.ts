/**
 * Virtual time for scenarios. Tasks run in the order of their times; tasks of the same time run in
 * the order in which they were added.
 */

type Task = {
	readonly at: number;
	readonly sequence: number;
	readonly run: () => void;
};

export class Timeline {
	now = 0;
	private nextSequence = 0;
	private readonly heap: Task[] = [];

	/** Runs `run` after `delayMs` of virtual time. */
	schedule(delayMs: number, run: () => void): void {
		const task = {at: this.now + delayMs, sequence: this.nextSequence++, run};
		this.heap.push(task);
		let index = this.heap.length - 1;
		while (index > 0) {
			const parent = (index - 1) >> 1;
			if (!isBefore(task, this.heap[parent])) {
				break;
			}

			this.heap[index] = this.heap[parent]!;
			index = parent;
		}

		this.heap[index] = task;
	}

	/** Runs `run` every `intervalMs` from now on. */
	scheduleEvery(intervalMs: number, run: () => void): void {
		this.schedule(intervalMs, () => {
			run();
			this.scheduleEvery(intervalMs, run);
		});
	}

	/** Runs all tasks that are due at `until` or earlier, and advances the time to `until`. */
	runUntil(until: number): void {
		while (this.heap.length > 0 && this.heap[0].at <= until) {
			const task = this.popFirst();
			this.now = task.at;
			task.run();
		}

		this.now = Math.max(this.now, until);
	}

	private popFirst(): Task {
		const first = this.heap[0];
		const last = this.heap.pop()!;
		if (this.heap.length === 0) {
			return first;
		}

		let index = 0;
		for (;;) {
			let child = 2 * index + 1;
			if (child >= this.heap.length) {
				break;
			}

			if (
				child + 1 < this.heap.length &&
				isBefore(this.heap[child + 1], this.heap[child])
			) {
				child++;
			}

			if (!isBefore(this.heap[child], last)) {
				break;
			}

			this.heap[index] = this.heap[child]!;
			index = child;
		}

		this.heap[index] = last;
		return first;
	}
}

function isBefore(left: Task, right: Task): boolean {
	return (
		left.at < right.at ||
		(left.at === right.at && left.sequence < right.sequence)
	);
}
