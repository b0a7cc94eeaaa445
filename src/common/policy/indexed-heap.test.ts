import * as fc from 'fast-check';
import tap from 'tap';
import {IndexedHeap, type HeapEntry} from './indexed-heap.js';

type Entry = HeapEntry & {key: number};

const seed = 20_261_204;

// Guards against a heap that hides expired requests behind later ones.
tap.test('the first entry has the lowest key', async (t) => {
	fc.assert(
		fc.property(
			fc.array(
				fc.record({
					key: fc.integer({min: 0, max: 50}),
					pick: fc.nat(100),
					type: fc.constantFrom('add', 'remove', 'change'),
				}),
				{maxLength: 80, size: 'max'},
			),
			(steps) => {
				const heap = new IndexedHeap<Entry>(
					(left, right) => left.key < right.key,
				);
				const list: Entry[] = [];
				for (const {key, pick, type} of steps) {
					if (type === 'remove' && list.length > 0) {
						const [entry] = list.splice(pick % list.length, 1);
						heap.remove(entry);
						heap.remove(entry);
					} else if (type === 'change' && list.length > 0) {
						const entry = list[pick % list.length];
						entry.key = key;
						heap.update(entry);
					} else {
						const entry = {key, heapIndex: -1};
						list.push(entry);
						heap.add(entry);
					}

					const lowest = Math.min(...list.map((entry) => entry.key));
					if (
						(heap.first?.key ?? Infinity) !== lowest ||
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
