/**
 * The log of a server: records with increasing offsets, the start of each term, and what takes the
 * newest records back when they turn out to be divergent.
 */
import type * as store from './store.js';
import type * as types from './types.js';

/** Records kept for replicas and for taking back; a replica further behind gets a snapshot. */
const maxKeptRecords = 20_000;
/** Offset that a record takes beyond the length of its operations as JSON. */
const recordOverheadBytes = 24;

type KeptRecord = {
	readonly record: types.LogRecord;
	/** Set once the record has been applied. */
	inverse: readonly types.LogOperation[] | undefined;
};

export class ReplicationLog {
	private records: KeptRecord[] = [];
	private history: types.TermStart[];
	private endOffset = 0;
	private appliedOffset = 0;

	constructor(
		private readonly data: store.Store,
		initialTerm: number,
	) {
		this.history = [{term: initialTerm, start: 0}];
	}

	/** Term of the newest record. */
	get term(): number {
		return this.history.at(-1)!.term;
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
		return this.history;
	}

	/** Builds the next record of this server and stores and applies it. */
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

	/** Stores a record without applying it. */
	append(record: types.LogRecord): void {
		if (record.term > this.term) {
			this.history.push({term: record.term, start: record.start});
		}

		this.records.push({record, inverse: undefined});
		this.endOffset = record.end;
		if (this.records.length > maxKeptRecords * 1.25) {
			this.removeOldest();
		}
	}

	/** Applies the oldest record that has not been applied; false when there is none. */
	applyNext(): boolean {
		if (this.appliedOffset >= this.endOffset) {
			return false;
		}

		const kept = this.records[this.findIndex(this.appliedOffset)];
		kept.inverse = this.data.apply(kept.record.operations);
		this.appliedOffset = kept.record.end;
		return true;
	}

	/** Records from `offset` on; undefined when they are not kept any more. */
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
	 * Drops everything after `offset` and takes back what was applied of it.
	 *
	 * @returns False when the records to take back are not kept any more.
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
				this.data.apply(inverse);
			}
		}

		this.endOffset = offset;
		this.appliedOffset = Math.min(this.appliedOffset, offset);
		const [first, ...later] = this.history;
		this.history = [first, ...later.filter(({start}) => start < offset)];
		return true;
	}

	/** Replaces the whole content by that of another server. */
	restore(
		tables: readonly types.TableSnapshot[],
		position: number,
		terms: readonly types.TermStart[],
	): void {
		this.data.restore(tables);
		this.records = [];
		this.endOffset = position;
		this.appliedOffset = position;
		const [first, ...later] = terms;
		this.history = [first, ...later.filter(({start}) => start < position)];
	}

	/** Finds the last offset up to which a server with these terms holds the same records. */
	findCommonOffset(
		terms: readonly types.TermStart[],
		position: number,
	): number {
		for (const [index, {term, start}] of [...terms.entries()].reverse()) {
			const own = this.history.findIndex(
				(entry) => entry.term === term && entry.start === start,
			);
			if (own !== -1) {
				const end = terms.at(index + 1)?.start ?? position;
				const ownEnd = this.history.at(own + 1)?.start ?? this.endOffset;
				return Math.min(end, ownEnd);
			}
		}

		return 0;
	}

	private removeOldest(): void {
		const excess = this.records.length - maxKeptRecords;
		const applied = this.findIndex(this.appliedOffset);
		this.records.splice(0, Math.min(excess, applied));
	}

	/** Index of the first kept record that starts at or after `offset`. */
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
