/**
 * The replication log of a server: records with increasing offsets, the start of each term, and
 * the operations that undo the newest records when they turn out to be divergent.
 */
import type * as store from './store.js';
import type * as types from './types.js';

/**
 * Records retained for replicas and for undoing a divergent tail; a replica that is further behind
 * gets a snapshot. Unapplied records are retained beyond this limit.
 */
const maxRetainedRecords = 20_000;
/** Bytes that a record takes in the log beyond the length of its operations as JSON. */
const recordOverheadBytes = 24;

type RetainedRecord = {
	readonly record: types.LogRecord;
	/** Operations that undo the record; set once it has been applied. */
	inverse: readonly types.LogOperation[] | undefined;
};

export class ReplicationLog {
	private records: RetainedRecord[] = [];
	private termStarts: types.TermStart[];
	private endOffset = 0;
	private appliedOffset = 0;

	constructor(
		private readonly store: store.Store,
		initialTerm: number,
	) {
		this.termStarts = [{term: initialTerm, start: 0}];
	}

	/** Term of the newest record. */
	get term(): number {
		return this.termStarts.at(-1)!.term;
	}

	/** Offset after the newest received record. */
	get position(): number {
		return this.endOffset;
	}

	/** Offset after the newest applied record. */
	get applied(): number {
		return this.appliedOffset;
	}

	get terms(): readonly types.TermStart[] {
		return this.termStarts;
	}

	/** Builds the next record from the operations, appends it and applies it. */
	appendAndApply(
		operations: readonly types.LogOperation[],
		term = this.term,
	): types.LogRecord {
		const start = this.endOffset;
		const end = start + JSON.stringify(operations).length + recordOverheadBytes;
		const record = {term, start, end, operations};
		this.append(record);
		this.applyNext();
		return record;
	}

	/** Appends a record without applying it. */
	append(record: types.LogRecord): void {
		if (record.term > this.term) {
			this.termStarts.push({term: record.term, start: record.start});
		}

		this.records.push({record, inverse: undefined});
		this.endOffset = record.end;
		// Old records are removed in batches, not at each append.
		if (this.records.length > maxRetainedRecords * 1.25) {
			this.removeOldest();
		}
	}

	/** Applies the oldest unapplied record; returns false when there is none. */
	applyNext(): boolean {
		if (this.appliedOffset >= this.endOffset) {
			return false;
		}

		const next = this.records[this.findIndex(this.appliedOffset)];
		next.inverse = this.store.apply(next.record.operations);
		this.appliedOffset = next.record.end;
		return true;
	}

	/** Records from `offset` on; undefined when they are no longer retained. */
	listFrom(offset: number): types.LogRecord[] | undefined {
		if (offset === this.endOffset) {
			return [];
		}

		const index = this.findIndex(offset);
		return this.records[index]?.record.start === offset
			? this.records.slice(index).map(({record}) => record)
			: undefined;
	}

	/**
	 * Truncates the log after `offset` and undoes the truncated records that were applied.
	 *
	 * @returns False, with the log unchanged, when the records to undo are no longer retained.
	 */
	truncateAfter(offset: number): boolean {
		if (offset >= this.endOffset) {
			return true;
		}

		const index = this.findIndex(offset);
		if (this.records[index]?.record.start !== offset) {
			return false;
		}

		for (const {inverse} of this.records.splice(index).reverse()) {
			if (inverse) {
				this.store.apply(inverse);
			}
		}

		this.endOffset = offset;
		this.appliedOffset = Math.min(this.appliedOffset, offset);
		const [first, ...later] = this.termStarts;
		this.termStarts = [first, ...later.filter(({start}) => start < offset)];
		return true;
	}

	/** Replaces the log and the stored tables with a snapshot of another server. */
	restore(
		tables: readonly types.TableSnapshot[],
		position: number,
		terms: readonly types.TermStart[],
	): void {
		this.store.restore(tables);
		this.records = [];
		this.endOffset = position;
		this.appliedOffset = position;
		const [first, ...later] = terms;
		this.termStarts = [first, ...later.filter(({start}) => start < position)];
	}

	/**
	 * Finds the highest offset up to which another server holds the same records.
	 *
	 * @param terms - Term starts of the other server.
	 * @param position - End of the log of the other server.
	 */
	findCommonOffset(
		terms: readonly types.TermStart[],
		position: number,
	): number {
		for (const [index, {term, start}] of [...terms.entries()].reverse()) {
			const ownIndex = this.termStarts.findIndex(
				(entry) => entry.term === term && entry.start === start,
			);
			if (ownIndex !== -1) {
				const end = terms.at(index + 1)?.start ?? position;
				const ownEnd =
					this.termStarts.at(ownIndex + 1)?.start ?? this.endOffset;
				return Math.min(end, ownEnd);
			}
		}

		return 0;
	}

	private removeOldest(): void {
		const excess = this.records.length - maxRetainedRecords;
		const appliedCount = this.findIndex(this.appliedOffset);
		this.records.splice(0, Math.min(excess, appliedCount));
	}

	/** Index of the first retained record that starts at or after `offset`. */
	private findIndex(offset: number): number {
		let low = 0;
		let high = this.records.length;
		while (low < high) {
			const middle = (low + high) >>> 1;
			if (this.records[middle].record.start < offset) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	}
}
