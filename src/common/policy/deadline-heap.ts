/**
 * Binary heap of queued requests by deadline. Each entry stores its index, so that a request that
 * was taken or cancelled is removed immediately instead of using memory until its deadline.
 */

/** Fields that the heap requires of its entries. */
export type HeapEntry = {
	readonly deadlineAt: number;
	/** Index in the heap; -1 when not in the heap. Written by the heap only. */
	heapIndex: number;
};

/** Min-heap by `deadlineAt`; add and remove cost O(log n). */
export class DeadlineHeap<Entry extends HeapEntry> {
	readonly #entries: Entry[] = [];

	get size(): number {
		return this.#entries.length;
	}

	/** The entry with the earliest deadline. */
	get first(): Entry | undefined {
		return this.#entries[0];
	}

	add(entry: Entry): void {
		this.#entries.push(entry);
		entry.heapIndex = this.#entries.length - 1;
		this.#siftUp(entry);
	}

	remove(entry: Entry): void {
		const index = entry.heapIndex;
		if (index < 0) {
			return;
		}

		entry.heapIndex = -1;
		const last = this.#entries.pop()!;
		if (last === entry) {
			return;
		}

		last.heapIndex = index;
		this.#entries[index] = last;
		this.#siftUp(last);
		this.#siftDown(last);
	}

	#siftUp(entry: Entry): void {
		while (entry.heapIndex > 0) {
			const parent = this.#entries[(entry.heapIndex - 1) >> 1];
			if (parent.deadlineAt <= entry.deadlineAt) {
				return;
			}

			this.#swap(parent, entry);
		}
	}

	#siftDown(entry: Entry): void {
		for (;;) {
			const left = this.#entries[2 * entry.heapIndex + 1];
			const right = this.#entries[2 * entry.heapIndex + 2];
			const child =
				right && left && right.deadlineAt < left.deadlineAt ? right : left;
			if (!child || child.deadlineAt >= entry.deadlineAt) {
				return;
			}

			this.#swap(entry, child);
		}
	}

	#swap(upper: Entry, lower: Entry): void {
		const index = upper.heapIndex;
		upper.heapIndex = lower.heapIndex;
		lower.heapIndex = index;
		this.#entries[upper.heapIndex] = upper;
		this.#entries[lower.heapIndex] = lower;
	}
}
