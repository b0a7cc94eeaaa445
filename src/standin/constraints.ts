/**
 * Constraints of tables: columns that are not null, and unique keys with the locks that prevent two
 * open transactions from writing the same key.
 */
import type * as store from './store.js';
import type * as transactions from './transaction.js';
import * as types from './types.js';

export function checkNotNull(table: store.Table, row: types.Row): void {
	const {columns, uniqueIndexes, name} = table.definition;
	for (const [index, column] of columns.entries()) {
		const required = column.notNull || uniqueIndexes[0]?.includes(index);
		if (required && row[index] === null) {
			throw new types.SqlError(
				'23502',
				`null value in column "${column.name}" of relation "${name}" violates not-null constraint`,
			);
		}
	}
}

export function listKeyLocks(table: store.Table, row: types.Row): string[] {
	const locks: string[] = [];
	for (const index of table.definition.uniqueIndexes.keys()) {
		const key = table.computeKey(index, row);
		if (key !== null) {
			locks.push(`${table.definition.name} ${index} ${key}`);
		}
	}

	return locks;
}

export function hasDuplicate(
	table: store.Table,
	id: number,
	row: types.Row,
	transaction: transactions.Transaction,
): boolean {
	const ownRows = transaction.getWrittenRows(table.definition.name);
	for (const index of table.definition.uniqueIndexes.keys()) {
		const key = table.computeKey(index, row);
		if (key === null) {
			continue;
		}

		const committed = table.indexes[index].get(key);
		if (
			committed !== undefined &&
			committed !== id &&
			!ownRows?.has(committed)
		) {
			return true;
		}

		for (const [otherId, other] of ownRows ?? []) {
			if (otherId !== id && other && table.computeKey(index, other) === key) {
				return true;
			}
		}
	}

	return false;
}

export function makeDuplicateError(table: store.Table): types.SqlError {
	return new types.SqlError(
		'23505',
		`duplicate key value violates unique constraint "${table.definition.name}_pkey"`,
	);
}
