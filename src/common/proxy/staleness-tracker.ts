/**
 * Bounds the staleness of a replica. A position reading says that every commit before `sentAt` lies
 * at or below `position`, so a replica that has applied that position holds all of them.
 */
import type * as types from '../types.js';
import * as positions from '../position.js';
import type * as positionClient from './position-client.js';

const maxReadings = 256;

export class StalenessTracker {
	private readings: positionClient.PositionReading[] = [];
	/** The replica has applied every commit before this monotonic time, in ms. */
	private currentAsOf = Number.NEGATIVE_INFINITY;

	addReading(reading: positionClient.PositionReading): void {
		this.readings.push(reading);
		if (this.readings.length > maxReadings) {
			// For a replica that is far behind, every second reading is precise enough.
			this.readings = this.readings.filter((_, index) => index % 2 === 1);
		}
	}

	/** Records the position that the replica has applied by now. */
	recordApplied(applied: types.Position): void {
		let reachedCount = 0;
		for (const reading of this.readings) {
			if (positions.comparePositions(reading.position, applied) > 0) {
				break;
			}

			this.currentAsOf = Math.max(this.currentAsOf, reading.sentAt);
			reachedCount++;
		}

		this.readings.splice(0, reachedCount);
	}

	/** Returns an upper bound of the staleness in ms; `Infinity` when it is not known. */
	computeStaleness(now: number): number {
		return now - this.currentAsOf;
	}

	/** Drops all readings and the bound, for example when the server follows another term. */
	clear(): void {
		this.readings = [];
		this.currentAsOf = Number.NEGATIVE_INFINITY;
	}
}
