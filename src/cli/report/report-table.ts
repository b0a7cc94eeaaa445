/**
 * Groups requests by some of their properties.
 */
import * as counts from './counts.js';
import * as durations from './durations.js';
import type * as types from './types.js';

/** Requests with equal properties, while lines are added. */
export class RowBuilder<Key extends object> {
	private readonly requests = counts.createCounts();
	private readonly waits = new durations.Durations();
	private readonly retryAfter = new durations.Durations();

	constructor(private readonly key: Key) {}

	get total(): number {
		return counts.sumCounts(this.requests);
	}

	add(end: types.RequestEnd): void {
		this.requests[end.outcome] += end.count;
		if (end.ageMs !== undefined && end.ageMs > 0) {
			this.waits.record(end.ageMs);
		}

		if (end.retryAfterMs !== undefined) {
			this.retryAfter.record(end.retryAfterMs);
		}
	}

	getRow(): Key & types.ReportRow {
		return {
			...this.key,
			requests: this.requests,
			waits: this.waits.getSummary(),
		};
	}

	getRetryAfter(): types.DurationSummary {
		return this.retryAfter.getSummary();
	}
}

/** Rows by the properties of their requests. */
export class Table<Key extends object> {
	private readonly rows = new Map<string, RowBuilder<Key>>();

	add(key: Key, end: types.RequestEnd): void {
		const name = JSON.stringify(key);
		let row = this.rows.get(name);
		if (!row) {
			row = new RowBuilder(key);
			this.rows.set(name, row);
		}

		row.add(end);
	}

	/** Lists the rows, those of most requests first. */
	list(): ReadonlyArray<RowBuilder<Key>> {
		return [...this.rows.values()].sort(
			(left, right) => right.total - left.total,
		);
	}
}
