/**
 * Finds the rows of a table that a condition selects, by a unique index where that is possible.
 */
import * as evaluator from './evaluator.js';
import type * as contexts from './statement-context.js';
import * as store from './store.js';
import type * as types from './types.js';
import * as values from './values.js';

/** Row ids and rows that match, those of the transaction's own writes included. */
export function findMatches(
	table: store.Table,
	where: types.Expression | undefined,
	scope: evaluator.Scope,
	context: contexts.StatementContext,
): Array<readonly [number, types.Row]> {
	const own = context.transaction.getRows(table.definition.name);
	const matches: Array<readonly [number, types.Row]> = [];
	const addMatch = (id: number, row: types.Row) => {
		if (!where || evaluator.evaluate(where, {...scope, row}) === true) {
			matches.push([id, row]);
		}
	};

	const indexed = where && findByIndex(table, where, scope);
	for (const [id, row] of indexed ?? table.rows) {
		if (!own?.has(id)) {
			addMatch(id, row);
		}
	}

	for (const [id, row] of own ?? []) {
		if (row) {
			addMatch(id, row);
		}
	}

	return matches;
}

/** Rows of a unique index whose columns the condition fixes; undefined when there is none. */
function findByIndex(
	table: store.Table,
	where: types.Expression,
	scope: evaluator.Scope,
): Array<readonly [number, types.Row]> | undefined {
	const {columns, uniqueIndexes} = table.definition;
	const fixed = new Map<string, types.Expression>();
	addEqualities(where, fixed);
	for (const [number, index] of uniqueIndexes.entries()) {
		const expressions = index.map((column) => fixed.get(columns[column].name));
		if (expressions.includes(undefined)) {
			continue;
		}

		const key = index.map((column, position) =>
			values.parseValue(
				evaluator.evaluate(expressions[position]!, scope),
				columns[column].type,
			),
		);
		if (key.includes(null)) {
			return [];
		}

		const id = table.indexes[number].get(store.buildKey(key));
		const row = id === undefined ? undefined : table.rows.get(id);
		return id === undefined || !row ? [] : [[id, row]];
	}

	return undefined;
}

function addEqualities(
	expression: types.Expression,
	fixed: Map<string, types.Expression>,
): void {
	if (expression.type !== 'binary') {
		return;
	}

	const {operator, left, right} = expression;
	if (operator === 'and') {
		addEqualities(left, fixed);
		addEqualities(right, fixed);
	} else if (
		operator === '=' &&
		left.type === 'column' &&
		(right.type === 'literal' || right.type === 'parameter')
	) {
		fixed.set(left.name, right);
	}
}
