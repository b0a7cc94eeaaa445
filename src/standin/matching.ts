/**
 * Finds the rows of a table that match a condition, through a unique index where possible.
 */
import * as evaluator from './evaluator.js';
import type * as contexts from './statement-context.js';
import * as store from './store.js';
import type * as types from './types.js';
import * as values from './values.js';

/** Returns the ids and rows that match, including the transaction's own writes. */
export function findMatches(
	table: store.Table,
	where: types.Expression | undefined,
	scope: evaluator.Scope,
	context: contexts.StatementContext,
): Array<readonly [number, types.Row]> {
	const ownRows = context.transaction.getWrittenRows(table.definition.name);
	const matches: Array<readonly [number, types.Row]> = [];
	const addMatch = (id: number, row: types.Row) => {
		if (!where || evaluator.evaluate(where, {...scope, row}) === true) {
			matches.push([id, row]);
		}
	};

	const indexedRows = where && findByIndex(table, where, scope);
	for (const [id, row] of indexedRows ?? table.rows) {
		if (!ownRows?.has(id)) {
			addMatch(id, row);
		}
	}

	for (const [id, row] of ownRows ?? []) {
		if (row) {
			addMatch(id, row);
		}
	}

	return matches;
}

/**
 * Looks up the row in a unique index when the condition compares each column of the index by `=`
 * with a literal or a parameter.
 *
 * @returns At most one row, or undefined when no unique index can be used.
 */
function findByIndex(
	table: store.Table,
	where: types.Expression,
	scope: evaluator.Scope,
): Array<readonly [number, types.Row]> | undefined {
	const {columns, uniqueIndexes} = table.definition;
	const equalities = new Map<string, types.Expression>();
	addEqualities(where, equalities);
	for (const [indexNumber, columnIndexes] of uniqueIndexes.entries()) {
		const expressions = columnIndexes.map((column) =>
			equalities.get(columns[column].name),
		);
		if (expressions.includes(undefined)) {
			continue;
		}

		const key = columnIndexes.map((column, position) =>
			values.parseValue(
				evaluator.evaluate(expressions[position]!, scope),
				columns[column].type,
			),
		);
		if (key.includes(null)) {
			return [];
		}

		const id = table.indexes[indexNumber].get(store.buildKey(key));
		const row = id === undefined ? undefined : table.rows.get(id);
		return id === undefined || !row ? [] : [[id, row]];
	}

	return undefined;
}

function addEqualities(
	expression: types.Expression,
	equalities: Map<string, types.Expression>,
): void {
	if (expression.type !== 'binary') {
		return;
	}

	const {operator, left, right} = expression;
	if (operator === 'and') {
		addEqualities(left, equalities);
		addEqualities(right, equalities);
	} else if (
		operator === '=' &&
		left.type === 'column' &&
		(right.type === 'literal' || right.type === 'parameter')
	) {
		equalities.set(left.name, right);
	}
}
