/**
 * A transaction of one session: its writes are buffered and become one log record at commit. Rows
 * and unique keys that it writes are locked until it ends; a second writer waits, as in
 * PostgreSQL's isolation level "read committed".
 */
import type * as store from './store.js';
import type * as types from './types.js';

/** Locks of open transactions on the tables, rows and unique keys that they write. */
export class LockTable {
	private readonly holders = new Map<string, Transaction>();

	/**
	 * Acquires all locks or none.
	 *
	 * @returns The transaction to wait for, or undefined when the locks were acquired.
	 */
	tryAcquire(
		owner: Transaction,
		names: readonly string[],
	): Transaction | undefined {
		for (const name of names) {
			const holder = this.holders.get(name);
			if (holder && holder !== owner) {
				return holder;
			}
		}

		for (const name of names) {
			this.holders.set(name, owner);
			owner.locks.add(name);
		}

		return undefined;
	}

	release(owner: Transaction): void {
		for (const name of owner.locks) {
			this.holders.delete(name);
		}

		owner.locks.clear();
	}
}

/**
 * Thrown when a statement must wait until `holder` ends. The statement has changed nothing and is
 * run again.
 */
export class LockConflictError extends Error {
	constructor(readonly holder: Transaction) {
		super('lock held by another transaction');
		// Differs from the class name because clients receive it in the text of an XX000 error.
		this.name = 'LockWait';
	}
}

export class Transaction {
	readonly locks = new Set<string>();
	readonly operations: types.LogOperation[] = [];
	/** The transaction whose end this one waits for. */
	waitsFor: Transaction | undefined;
	isFailed = false;
	/** Begun with BEGIN; an implicit one ends at Sync or with the Query message. */
	isExplicit: boolean;
	/** Refuses writes with 25006. */
	isReadOnly: boolean;
	private readonly writtenRows = new Map<
		string,
		Map<number, types.Row | null>
	>();

	private readonly waiters = new Set<() => void>();
	private readonly tableChanges = new Map<string, store.Table | null>();

	constructor(isExplicit: boolean, isReadOnly: boolean) {
		this.isExplicit = isExplicit;
		this.isReadOnly = isReadOnly;
	}

	/** Calls `listener` once when the transaction ends; returns a function that removes it. */
	addWaiter(listener: () => void): () => void {
		this.waiters.add(listener);
		return () => {
			this.waiters.delete(listener);
		};
	}

	/** Releases the locks and calls the waiters. */
	finish(locks: LockTable): void {
		locks.release(this);
		const waiters = [...this.waiters];
		this.waiters.clear();
		for (const waiter of waiters) {
			waiter();
		}
	}

	/**
	 * Tells whether waiting for `holder` would never end, because `holder` itself waits, directly or
	 * through others, for this transaction.
	 */
	hasDeadlock(holder: Transaction): boolean {
		let next: Transaction | undefined = holder;
		while (next) {
			if (next === this) {
				return true;
			}

			next = next.waitsFor;
		}

		return false;
	}

	/** A table that this transaction created; null when it dropped the table; otherwise undefined. */
	getTable(name: string): store.Table | null | undefined {
		return this.tableChanges.get(name);
	}

	createTable(table: store.Table): void {
		const {definition} = table;
		this.tableChanges.set(definition.name, table);
		this.writtenRows.delete(definition.name);
		this.operations.push({type: 'createTable', definition});
	}

	dropTable(name: string): void {
		this.tableChanges.set(name, null);
		this.writtenRows.delete(name);
		this.operations.push({type: 'dropTable', table: name});
	}

	setRow(table: string, id: number, row: types.Row | null): void {
		const rows =
			this.writtenRows.get(table) ?? new Map<number, types.Row | null>();
		this.writtenRows.set(table, rows);
		rows.set(id, row);
		this.operations.push({type: 'putRow', table, id, row});
	}

	/** Rows that this transaction wrote in a table; null marks a deleted row. */
	getWrittenRows(
		table: string,
	): ReadonlyMap<number, types.Row | null> | undefined {
		return this.writtenRows.get(table);
	}
}
