/**
 * Discrete-event simulation in virtual time. Events of the same time run in the order in which
 * they were scheduled, so equal seeds give equal runs.
 */

type ScheduledEvent = {
	readonly at: number;
	readonly sequence: number;
	readonly action: () => void;
};

/** Virtual clock and event queue. Times in ms. */
export class Simulation {
	readonly #heap: ScheduledEvent[] = [];
	#now = 0;
	#sequence = 0;

	get now(): number {
		return this.#now;
	}

	/** Runs `action` after `delayMs`. */
	schedule(delayMs: number, action: () => void): void {
		const event = {
			at: this.#now + Math.max(0, delayMs),
			sequence: this.#sequence++,
			action,
		};
		const heap = this.#heap;
		let index = heap.push(event) - 1;
		while (index > 0) {
			const parent = (index - 1) >> 1;
			if (!isEarlier(event, heap[parent])) {
				break;
			}

			heap[index] = heap[parent]!;
			index = parent;
		}

		heap[index] = event;
	}

	/** Runs `action` now and then every `intervalMs` while it returns true. */
	scheduleEvery(intervalMs: number, action: () => boolean): void {
		if (action()) {
			this.schedule(intervalMs, () => {
				this.scheduleEvery(intervalMs, action);
			});
		}
	}

	/** Runs all events up to and including the time `until`. */
	runUntil(until: number): void {
		while (this.#heap.length > 0 && this.#heap[0].at <= until) {
			const event = this.#popEarliest();
			this.#now = event.at;
			event.action();
		}

		this.#now = until;
	}

	#popEarliest(): ScheduledEvent {
		const heap = this.#heap;
		const first = heap[0];
		const last = heap.pop()!;
		if (heap.length === 0) {
			return first;
		}

		let index = 0;
		for (;;) {
			let child = 2 * index + 1;
			if (child >= heap.length) {
				break;
			}

			if (child + 1 < heap.length && isEarlier(heap[child + 1], heap[child])) {
				child++;
			}

			if (!isEarlier(heap[child], last)) {
				break;
			}

			heap[index] = heap[child]!;
			index = child;
		}

		heap[index] = last;
		return first;
	}
}

function isEarlier(left: ScheduledEvent, right: ScheduledEvent): boolean {
	return (
		left.at < right.at ||
		(left.at === right.at && left.sequence < right.sequence)
	);
}
