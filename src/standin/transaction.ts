/**
 * A transaction of one session: its writes are buffered and become one log record at commit. Rows
 * and unique keys that it writes are locked until it ends; a second writer waits, as in
 * PostgreSQL's isolation level "read committed".
 */
import type * as store from './store.js';
import type * as types from './types.js';

/** Rows and keys that open transactions have written. */
export class LockTable {
	private readonly holders = new Map<string, Transaction>();

	/**
	 * Takes all locks or none.
	 *
	 * @returns The transaction to wait for, or undefined when the locks are held now.
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

/** Thrown when a statement must wait; it has changed nothing and is run again. */
export class LockConflictError extends Error {
	constructor(readonly holder: Transaction) {
		super('lock held by another transaction');
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
	private readonly overlay = new Map<string, Map<number, types.Row | null>>();
	private readonly waiters = new Set<() => void>();
	private readonly created = new Map<string, store.Table | null>();

	constructor(isExplicit: boolean, isReadOnly: boolean) {
		this.isExplicit = isExplicit;
		this.isReadOnly = isReadOnly;
	}

	/** Calls `listener` once when the transaction ends; returns a function that forgets it. */
	addWaiter(listener: () => void): () => void {
		this.waiters.add(listener);
		return () => {
			this.waiters.delete(listener);
		};
	}

	/** Frees the locks and wakes the waiting transactions. */
	finish(locks: LockTable): void {
		locks.release(this);
		const waiters = [...this.waiters];
		this.waiters.clear();
		for (const waiter of waiters) {
			waiter();
		}
	}

	/** Tells whether waiting for `holder` would never end. */
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

	/** The table as this transaction sees it; null when it dropped the table. */
	getTable(name: string): store.Table | null | undefined {
		return this.created.get(name);
	}

	createTable(table: store.Table): void {
		const {definition} = table;
		this.created.set(definition.name, table);
		this.overlay.delete(definition.name);
		this.operations.push({type: 'createTable', definition});
	}

	dropTable(name: string): void {
		this.created.set(name, null);
		this.overlay.delete(name);
		this.operations.push({type: 'dropTable', table: name});
	}

	setRow(table: string, id: number, row: types.Row | null): void {
		const rows = this.overlay.get(table) ?? new Map<number, types.Row | null>();
		this.overlay.set(table, rows);
		rows.set(id, row);
		this.operations.push({type: 'putRow', table, id, row});
	}

	/** Rows that this transaction wrote in a table; null marks a deleted row. */
	getRows(table: string): ReadonlyMap<number, types.Row | null> | undefined {
		return this.overlay.get(table);
	}
}
