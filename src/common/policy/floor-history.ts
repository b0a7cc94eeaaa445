/**
 * Records when each session floor was first observed at this entry, which is a lower bound of the
 * age of the write at that position. Routing uses it to estimate when a replica will have applied
 * the write.
 */
import type * as ids from '../ids.js';
import type * as types from '../types.js';
import * as position from '../position.js';

/**
 * Floors kept per group when its list is truncated, which happens above twice this number. A lower
 * floor gets the age of the lowest one kept.
 */
const keptFloorCount = 256;

type ObservedFloor = {
	readonly floor: types.Position;
	readonly firstObservedAt: number;
};

/** Times at which floors were first observed, per group in increasing order of the floors. */
export class FloorHistory {
	readonly #groups = new Map<ids.GroupId, ObservedFloor[]>();

	/** Records a floor and returns the time since it, or a higher one, was first observed, in ms. */
	observe(group: ids.GroupId, floor: types.Position, now: number): number {
		let entries = this.#groups.get(group);
		if (!entries) {
			entries = [];
			this.#groups.set(group, entries);
		}

		const newest = entries.at(-1);
		if (!newest || position.comparePositions(floor, newest.floor) > 0) {
			entries.push({floor, firstObservedAt: now});
			if (entries.length > 2 * keptFloorCount) {
				entries.splice(0, keptFloorCount);
			}

			return 0;
		}

		return now - entries[this.#findIndex(entries, floor)].firstObservedAt;
	}

	/** Finds the first entry at or above the floor. */
	#findIndex(entries: readonly ObservedFloor[], floor: types.Position): number {
		let low = 0;
		let high = entries.length - 1;
		while (low < high) {
			const middle = (low + high) >> 1;
			if (position.comparePositions(entries[middle].floor, floor) >= 0) {
				high = middle;
			} else {
				low = middle + 1;
			}
		}

		return low;
	}
}
