/**
 * Binary heap whose entries store their index, so that a queued request that was taken or cancelled is
 * removed immediately instead of using memory until its deadline, and a flow moves when its tag changes.
 */

/** Fields that the heap requires of its entries. */
export type HeapEntry = {
	/** Index in the heap; -1 when not in the heap. Written by the heap only. */
	heapIndex: number;
};

/** Heap with the first entry of an order at its top; add, remove and update cost O(log n). */
export class IndexedHeap<Entry extends HeapEntry> {
	readonly #entries: Entry[] = [];
	readonly #isBefore: (left: Entry, right: Entry) => boolean;

	constructor(isBefore: (left: Entry, right: Entry) => boolean) {
		this.#isBefore = isBefore;
	}

	get size(): number {
		return this.#entries.length;
	}

	/** The entry before all others. */
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
		this.update(last);
	}

	/** Moves an entry whose place has changed; an entry outside the heap is ignored. */
	update(entry: Entry): void {
		if (entry.heapIndex < 0) {
			return;
		}

		this.#siftUp(entry);
		this.#siftDown(entry);
	}

	#siftUp(entry: Entry): void {
		while (entry.heapIndex > 0) {
			const parent = this.#entries[(entry.heapIndex - 1) >> 1];
			if (!this.#isBefore(entry, parent)) {
				return;
			}

			this.#swap(parent, entry);
		}
	}

	#siftDown(entry: Entry): void {
		for (;;) {
			const left = this.#entries[2 * entry.heapIndex + 1];
			const right = this.#entries[2 * entry.heapIndex + 2];
			const child = right && left && this.#isBefore(right, left) ? right : left;
			if (!child || !this.#isBefore(child, entry)) {
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
