/**
 * Executes SELECT from a table, from a set-returning function or without FROM.
 */
import * as evaluator from './evaluator.js';
import * as matching from './matching.js';
import * as results from './result-rows.js';
import type * as contexts from './statement-context.js';
import type * as store from './store.js';
import type * as types from './types.js';

type SelectStatement = Extract<types.Statement, {type: 'select'}>;

/** Finds a table; throws 42P01 when there is none. */
type FindTable = (name: string) => store.Table;

/** Finds the columns that a SELECT reads and the columns of its result. */
export function resolveSelect(
	statement: SelectStatement,
	functions: contexts.SqlFunctions,
	findTable: FindTable,
): {
	columns: readonly types.ResultField[];
	fields: readonly types.ResultField[];
	call?: Extract<types.Expression, {type: 'call'}>;
	table?: store.Table;
} {
	const {items, source} = statement;
	if (source?.type === 'table') {
		const table = findTable(source.name);
		const {columns} = table.definition;
		return {columns, fields: results.listFields(items, columns), table};
	}

	if (source?.type === 'function') {
		const columns = results.findFunctionColumns(
			source.call.name,
			source.alias,
			functions,
		);
		return {
			columns,
			fields: results.listFields(items, columns),
			call: source.call,
		};
	}

	const [item] = items;
	if (
		items.length === 1 &&
		item.type === 'expression' &&
		item.expression.type === 'call' &&
		functions.findFunctionFields(item.expression.name)
	) {
		const call = item.expression;
		const columns = results.findFunctionColumns(
			call.name,
			item.name,
			functions,
		);
		return {columns, fields: columns, call};
	}

	return {
		columns: results.noFields,
		fields: results.listFields(items, results.noFields),
	};
}

/** Runs a SELECT; throws `SqlError`. */
export function runSelect(
	statement: SelectStatement,
	context: contexts.StatementContext,
	findTable: FindTable,
): Omit<types.StatementResult, 'sleepMs'> {
	const {functions} = context;
	const {columns, fields, call, table} = resolveSelect(
		statement,
		functions,
		findTable,
	);
	const scope = results.makeScope(context, columns);
	let sourceRows: Iterable<types.Row> = [[]];
	if (table) {
		sourceRows = matching
			.findMatches(table, statement.where, scope, context)
			.map(([, row]) => row);
	} else if (call) {
		const args = call.args.map((arg) => evaluator.evaluate(arg, scope));
		sourceRows = functions.callTableFunction(call.name, args);
		if (!statement.source && !statement.limit) {
			// A series may be long, so its rows are generated while they are sent.
			return {fields, rows: sourceRows, tag: 'SELECT'};
		}
	}

	let selected = [...sourceRows];
	if (!table && statement.where) {
		const {where} = statement;
		selected = selected.filter(
			(row) => evaluator.evaluate(where, {...scope, row}) === true,
		);
	}

	results.sortRows(selected, statement.orderBy, scope);
	const limited = results.applyLimit(selected, statement, scope);
	const isCallOnly = call !== undefined && !statement.source;
	const rows = isCallOnly
		? limited
		: results.buildRows(statement.items, limited, scope);
	return {fields, rows, tag: 'SELECT'};
}
