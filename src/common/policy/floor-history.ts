/**
 * Remembers when each session floor was first seen at this entry, which bounds the age of the
 * write behind it from below. Routing uses it to estimate when a replica will hold the write.
 */
import type * as ids from '../ids.js';
import type * as types from '../types.js';
import * as position from '../position.js';

/** Floors kept per group; an older floor than all of them counts as old. */
const maxEntries = 256;

type SeenFloor = {readonly floor: types.Position; readonly seenAt: number};

/** First sightings of floors, per group in increasing order. */
export class FloorHistory {
	readonly #groups = new Map<ids.GroupId, SeenFloor[]>();

	/** Records a floor and returns the time since it, or a later one, was first seen, in ms. */
	observe(group: ids.GroupId, floor: types.Position, now: number): number {
		let entries = this.#groups.get(group);
		if (!entries) {
			entries = [];
			this.#groups.set(group, entries);
		}

		const newest = entries.at(-1);
		if (!newest || position.comparePositions(floor, newest.floor) > 0) {
			entries.push({floor, seenAt: now});
			if (entries.length > 2 * maxEntries) {
				entries.splice(0, maxEntries);
			}

			return 0;
		}

		return now - entries[this.#findIndex(entries, floor)].seenAt;
	}

	/** Finds the first entry at or above the floor. */
	#findIndex(entries: readonly SeenFloor[], floor: types.Position): number {
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
