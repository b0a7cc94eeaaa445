import * as fc from 'fast-check';
import tap from 'tap';
import {DeadlineHeap, type HeapEntry} from './deadline-heap.js';

const seed = 20_261_204;

// Guards against a heap that hides expired requests behind later ones.
tap.test('the first entry has the earliest deadline', async (t) => {
	fc.assert(
		fc.property(
			fc.array(
				fc.record({
					deadlineAt: fc.integer({min: 0, max: 50}),
					pick: fc.nat(100),
					isRemoval: fc.boolean(),
				}),
				{maxLength: 80, size: 'max'},
			),
			(steps) => {
				const heap = new DeadlineHeap<HeapEntry>();
				const list: HeapEntry[] = [];
				for (const {deadlineAt, pick, isRemoval} of steps) {
					if (isRemoval && list.length > 0) {
						const [entry] = list.splice(pick % list.length, 1);
						heap.remove(entry);
						heap.remove(entry);
					} else {
						const entry = {deadlineAt, heapIndex: -1};
						list.push(entry);
						heap.add(entry);
					}

					const earliest = Math.min(...list.map((entry) => entry.deadlineAt));
					if (
						(heap.first?.deadlineAt ?? Infinity) !== earliest ||
						heap.size !== list.length
					) {
						throw new Error('the heap differs from the list');
					}
				}
			},
		),
		{seed, numRuns: 300},
	);
	t.pass('no difference');
});
