/**
 * The stored tables of a server as reads see them. Changes arrive as log operations; applying one
 * returns the operations that undo it, so that a divergent tail of the log can be truncated.
 */
import type * as types from './types.js';

/** One table with its unique indexes. */
export class Table {
	readonly rows = new Map<number, types.Row>();
	/** Row id by key, for each unique index. */
	readonly indexes: ReadonlyArray<Map<string, number>>;
	/** Next row id; also the next value of serial columns. */
	nextId = 1;

	constructor(readonly definition: types.TableDefinition) {
		this.indexes = definition.uniqueIndexes.map(() => new Map());
	}

	/** Stores or deletes a row; returns the previous one. */
	setRow(id: number, row: types.Row | null): types.Row | null {
		const previous = this.rows.get(id) ?? null;
		for (const [indexNumber, index] of this.indexes.entries()) {
			const previousKey = previous && this.computeKey(indexNumber, previous);
			const key = row && this.computeKey(indexNumber, row);
			if (previousKey !== null && index.get(previousKey) === id) {
				index.delete(previousKey);
			}

			if (key !== null) {
				index.set(key, id);
			}
		}

		if (row === null) {
			this.rows.delete(id);
		} else {
			this.rows.set(id, row);
		}

		this.nextId = Math.max(this.nextId, id + 1);
		return previous;
	}

	/** Key of a row in a unique index; null when a column is null: such a row is never a duplicate. */
	computeKey(index: number, row: types.Row): string | null {
		const values = this.definition.uniqueIndexes[index].map(
			(column) => row[column],
		);
		return values.includes(null) ? null : buildKey(values);
	}
}

/** Joins values into a key; the separator cannot occur in SQL text. */
export function buildKey(values: readonly types.SqlValue[]): string {
	return values.map(String).join('\0');
}

/** The table of `hemlockarch.claim_key`; every server has it from the start. */
export const claimedKeysTable = 'hemlockarch.claimed_keys';

const claimedKeysDefinition: types.TableDefinition = {
	name: claimedKeysTable,
	columns: [{name: 'key', type: 'text', notNull: true, serial: false}],
	uniqueIndexes: [[0]],
};

/** All tables of a server. */
export class Store {
	private tables = new Map([
		[claimedKeysTable, new Table(claimedKeysDefinition)],
	]);

	getTable(name: string): Table | undefined {
		return this.tables.get(name);
	}

	/** Applies the operations of a record; returns the operations that undo them. */
	apply(operations: readonly types.LogOperation[]): types.LogOperation[] {
		const inverse: types.LogOperation[] = [];
		for (const operation of operations) {
			inverse.unshift(...this.applyOne(operation));
		}

		return inverse;
	}

	readSnapshot(): types.TableSnapshot[] {
		return [...this.tables.values()].map((table) => ({
			definition: table.definition,
			rows: [...table.rows],
		}));
	}

	restore(snapshot: readonly types.TableSnapshot[]): void {
		this.tables = new Map();
		for (const {definition, rows} of snapshot) {
			const table = new Table(definition);
			this.tables.set(definition.name, table);
			for (const [id, row] of rows) {
				table.setRow(id, row);
			}
		}
	}

	private applyOne(operation: types.LogOperation): types.LogOperation[] {
		switch (operation.type) {
			case 'createTable': {
				const {name} = operation.definition;
				this.tables.set(name, new Table(operation.definition));
				return [{type: 'dropTable', table: name}];
			}

			case 'dropTable': {
				const table = this.tables.get(operation.table);
				this.tables.delete(operation.table);
				return table ? buildTableOperations(table) : [];
			}

			case 'putRow': {
				const {table, id} = operation;
				const row = this.tables.get(table)?.setRow(id, operation.row) ?? null;
				return [{type: 'putRow', table, id, row}];
			}
		}
	}
}

function buildTableOperations(table: Table): types.LogOperation[] {
	const {definition} = table;
	return [
		{type: 'createTable', definition},
		...[...table.rows].map(
			([id, row]) =>
				({type: 'putRow', table: definition.name, id, row}) as const,
		),
	];
}
