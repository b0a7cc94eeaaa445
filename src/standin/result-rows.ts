/**
 * Result columns and result rows: select lists, ORDER BY and LIMIT.
 */
import * as evaluator from './evaluator.js';
import * as expressionTypes from './expression-types.js';
import type * as contexts from './statement-context.js';
import * as types from './types.js';
import * as values from './values.js';

export const noFields: readonly types.ResultField[] = [];

/**
 * Finds the columns of a set-returning function; a single column is named after the alias, as in
 * PostgreSQL. Throws 42883 for an unknown function.
 */
export function findFunctionColumns(
	name: string,
	alias: string,
	functions: contexts.SqlFunctions,
): readonly types.ResultField[] {
	const fields = functions.findFunctionFields(name);
	if (!fields) {
		throw new types.SqlError('42883', `function ${name}() does not exist`);
	}

	return fields.length === 1 ? [{name: alias, type: fields[0].type}] : fields;
}

export function makeScope(
	context: contexts.StatementContext,
	columns: readonly types.ResultField[],
): evaluator.Scope {
	const {functions, parameters, transaction} = context;
	return {
		parameters,
		columns,
		row: undefined,
		group: undefined,
		callFunction: (name, args) =>
			functions.callFunction(name, args, transaction),
	};
}

export function listFields(
	items: readonly types.SelectItem[],
	columns: readonly types.ResultField[],
): readonly types.ResultField[] {
	return items.flatMap((item) =>
		item.type === 'star'
			? columns.map(({name, type}) => ({name, type}))
			: [
					{
						name: item.name,
						type: expressionTypes.inferType(item.expression, columns),
					},
				],
	);
}

export function buildRows(
	items: readonly types.SelectItem[],
	rows: readonly types.Row[],
	scope: evaluator.Scope,
): types.Row[] {
	const buildRow = (rowScope: evaluator.Scope): types.Row =>
		items.flatMap((item) =>
			item.type === 'star'
				? (rowScope.row ?? [])
				: [evaluator.evaluate(item.expression, rowScope)],
		);
	const isAggregate = items.some(
		(item) =>
			item.type === 'expression' &&
			expressionTypes.hasAggregate(item.expression),
	);
	return isAggregate
		? [buildRow({...scope, group: rows})]
		: rows.map((row) => buildRow({...scope, row}));
}

export function sortRows(
	rows: types.Row[],
	orderBy: Extract<types.Statement, {type: 'select'}>['orderBy'],
	scope: evaluator.Scope,
): void {
	if (orderBy.length === 0) {
		return;
	}

	rows.sort((left, right) => {
		for (const {expression, descending} of orderBy) {
			const order = values.compareForSort(
				evaluator.evaluate(expression, {...scope, row: left}),
				evaluator.evaluate(expression, {...scope, row: right}),
			);
			if (order !== 0) {
				return descending ? -order : order;
			}
		}

		return 0;
	});
}

export function applyLimit(
	rows: types.Row[],
	statement: Extract<types.Statement, {type: 'select'}>,
	scope: evaluator.Scope,
): types.Row[] {
	const {limit, offset} = statement;
	if (!limit && !offset) {
		return rows;
	}

	const start = offset ? Number(evaluator.evaluate(offset, scope)) : 0;
	const count = limit ? Number(evaluator.evaluate(limit, scope)) : rows.length;
	return rows.slice(start, start + count);
}
