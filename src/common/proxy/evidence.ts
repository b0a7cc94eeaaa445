/**
 * Evidence of how old the data of a replica can be. A mark says that every commit before `sentAt`
 * lies at or below `position`. A replica that has applied that position holds all of them.
 */
import type * as types from '../types.js';
import * as positions from '../position.js';
import type * as positionClient from './position-client.js';

const maxMarks = 256;

export class StalenessTracker {
	private marks: positionClient.PositionReading[] = [];
	/** Every commit before this monotonic time is in the replica's data. */
	private currentAsOf = Number.NEGATIVE_INFINITY;

	addReading(mark: positionClient.PositionReading): void {
		this.marks.push(mark);
		if (this.marks.length > maxMarks) {
			// Every second mark is enough for a replica that is far behind.
			this.marks = this.marks.filter((_, index) => index % 2 === 1);
		}
	}

	/** Takes the applied position of the replica, read now. */
	recordApplied(applied: types.Position): void {
		let reached = 0;
		for (const mark of this.marks) {
			if (positions.comparePositions(mark.position, applied) > 0) {
				break;
			}

			this.currentAsOf = Math.max(this.currentAsOf, mark.sentAt);
			reached++;
		}

		this.marks.splice(0, reached);
	}

	/** Upper bound of the staleness in ms; `Infinity` without evidence. */
	computeStaleness(now: number): number {
		return now - this.currentAsOf;
	}

	/** Forgets everything, for example when the server starts to follow another term. */
	clear(): void {
		this.marks = [];
		this.currentAsOf = Number.NEGATIVE_INFINITY;
	}
}
