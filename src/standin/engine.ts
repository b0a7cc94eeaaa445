/**
 * Executes data statements over the store and the buffered writes of a transaction. Everything
 * here runs without interruption, so a statement is atomic.
 */
import * as evaluator from './evaluator.js';
import * as parser from './parser.js';
import * as store from './store.js';
import * as transactions from './transaction.js';
import * as types from './types.js';
import * as values from './values.js';

/** Functions of the server that SQL can call. */
export type FunctionHost = {
	/** Calls a scalar function; throws 42883 for an unknown one. */
	callFunction(
		name: string,
		args: readonly types.SqlValue[],
		transaction: transactions.Transaction,
	): types.SqlValue;
	/** Columns of a set-returning function; undefined when there is no such function. */
	findFunctionFields(name: string): readonly types.ResultField[] | undefined;
	callTableFunction(
		name: string,
		args: readonly types.SqlValue[],
	): Iterable<types.Row>;
};

export type DataStatement = Extract<
	types.Statement,
	{
		type:
			'select' | 'insert' | 'update' | 'delete' | 'createTable' | 'dropTable';
	}
>;

export type StatementContext = {
	readonly transaction: transactions.Transaction;
	readonly parameters: readonly types.SqlValue[];
	readonly host: FunctionHost;
};

type TableStatement = Extract<
	types.Statement,
	{type: 'insert' | 'update' | 'delete'}
>;

const noFields: readonly types.ResultField[] = [];

export class Engine {
	readonly locks = new transactions.LockTable();

	private readonly data: store.Store;

	constructor(data: store.Store) {
		this.data = data;
	}

	/**
	 * Runs a statement.
	 *
	 * @throws SqlError for a refused statement, `LockWait` when it must be run again later.
	 */
	run(
		statement: DataStatement,
		context: StatementContext,
	): Omit<types.StatementResult, 'sleepMs'> {
		switch (statement.type) {
			case 'select': {
				return this.runSelect(statement, context);
			}

			case 'insert': {
				return this.runInsert(statement, context);
			}

			case 'update': {
				return this.runUpdate(statement, context);
			}

			case 'delete': {
				return this.runDelete(statement, context);
			}

			case 'createTable': {
				return this.runCreate(statement, context.transaction);
			}

			case 'dropTable': {
				return this.runDrop(statement, context.transaction);
			}
		}
	}

	/** Finds the result columns; undefined for a statement without rows. */
	findFields(
		statement: types.Statement,
		host: FunctionHost,
		transaction: transactions.Transaction | undefined,
	): readonly types.ResultField[] | undefined {
		if (statement.type === 'select') {
			return this.findSelect(statement, host, transaction).fields;
		}

		if (statement.type === 'show') {
			return [{name: statement.name, type: 'text'}];
		}

		if (!('returning' in statement)) {
			return undefined;
		}

		const {columns} = this.findTable(statement.table, transaction).definition;
		return statement.returning && listFields(statement.returning, columns);
	}

	/** Records a key in the transaction; throws 23505 when it exists. */
	claimKey(key: string, transaction: transactions.Transaction): void {
		const name = 'hemlockarch.claimed_keys';
		if (!this.findVisible(name, transaction)) {
			const columns = [
				{name: 'key', type: 'text', notNull: true, serial: false},
			] as const;
			const definition = {name, columns, uniqueIndexes: [[0]]};
			this.runCreate(
				{type: 'createTable', definition, ifNotExists: true},
				transaction,
			);
		}

		this.insertRows(this.findTable(name, transaction), [[key]], {
			transaction,
			ignoreConflicts: false,
		});
	}

	private findVisible(
		name: string,
		transaction: transactions.Transaction | undefined,
	): store.Table | undefined {
		const own = transaction?.getTable(name);
		return own === undefined ? this.data.getTable(name) : (own ?? undefined);
	}

	private findTable(
		name: string,
		transaction: transactions.Transaction | undefined,
	): store.Table {
		const table = this.findVisible(name, transaction);
		if (!table) {
			throw new types.SqlError('42P01', `relation "${name}" does not exist`);
		}

		return table;
	}

	private findSelect(
		statement: Extract<types.Statement, {type: 'select'}>,
		host: FunctionHost,
		transaction: transactions.Transaction | undefined,
	): {
		columns: readonly types.ResultField[];
		fields: readonly types.ResultField[];
		call?: Extract<types.Expression, {type: 'call'}>;
		table?: store.Table;
	} {
		const {items, source} = statement;
		if (source?.type === 'table') {
			const table = this.findTable(source.name, transaction);
			const {columns} = table.definition;
			return {columns, fields: listFields(items, columns), table};
		}

		if (source?.type === 'function') {
			const columns = findCallColumns(source.call.name, source.alias, host);
			return {columns, fields: listFields(items, columns), call: source.call};
		}

		const [item] = items;
		if (
			items.length === 1 &&
			item.type === 'expression' &&
			item.expression.type === 'call' &&
			host.findFunctionFields(item.expression.name)
		) {
			const call = item.expression;
			const columns = findCallColumns(call.name, item.name, host);
			return {columns, fields: columns, call};
		}

		return {columns: noFields, fields: listFields(items, noFields)};
	}

	private runSelect(
		statement: Extract<types.Statement, {type: 'select'}>,
		context: StatementContext,
	): Omit<types.StatementResult, 'sleepMs'> {
		const {host, transaction} = context;
		const {columns, fields, call, table} = this.findSelect(
			statement,
			host,
			transaction,
		);
		const scope = makeScope(context, columns);
		let rows: Iterable<types.Row>;
		if (call) {
			const args = call.args.map((arg) => evaluator.computeValue(arg, scope));
			rows = host.callTableFunction(call.name, args);
			if (!statement.source && !statement.limit) {
				return {fields, rows, tag: 'SELECT'};
			}
		} else {
			rows = table
				? this.listMatches(table, statement.where, scope, context)
				: [[]];
		}

		let selected = [...rows];
		if (!table && statement.where) {
			const {where} = statement;
			selected = selected.filter(
				(row) => evaluator.computeValue(where, {...scope, row}) === true,
			);
		}

		sortRows(selected, statement.orderBy, scope);
		const limited = takeRows(selected, statement, scope);
		return {
			fields,
			rows: statement.source
				? buildRows(statement.items, limited, scope)
				: buildRows(statement.items, call ? limited : [[]], scope),
			tag: 'SELECT',
		};
	}

	/** Rows of a table that match, by a unique index where the condition allows it. */
	private listMatches(
		table: store.Table,
		where: types.Expression | undefined,
		scope: evaluator.Scope,
		context: StatementContext,
	): types.Row[] {
		return this.findMatches(table, where, scope, context).map(([, row]) => row);
	}

	private findMatches(
		table: store.Table,
		where: types.Expression | undefined,
		scope: evaluator.Scope,
		context: StatementContext,
	): Array<readonly [number, types.Row]> {
		const own = context.transaction.getRows(table.definition.name);
		const matches: Array<readonly [number, types.Row]> = [];
		const addMatch = (id: number, row: types.Row) => {
			if (!where || evaluator.computeValue(where, {...scope, row}) === true) {
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

	private runInsert(
		statement: Extract<types.Statement, {type: 'insert'}>,
		context: StatementContext,
	): Omit<types.StatementResult, 'sleepMs'> {
		const table = this.findTable(statement.table, context.transaction);
		const {columns} = table.definition;
		const scope = makeScope(context, noFields);
		const targets = statement.columns?.map((name) =>
			parser.findColumn(columns, name),
		) ?? [...columns.keys()];
		const rows = statement.rows.map((expressions) => {
			if (expressions.length > targets.length) {
				throw new types.SqlError(
					'42601',
					'INSERT has more expressions than target columns',
				);
			}

			return columns.map((column, index) => {
				const expression = expressions[targets.indexOf(index)];
				const source = expression ?? column.defaultValue;
				return source
					? values.parseValue(
							evaluator.computeValue(source, scope),
							column.type,
						)
					: null;
			});
		});
		const inserted = this.insertRows(table, rows, {
			transaction: context.transaction,
			ignoreConflicts: statement.ignoreConflicts,
		});
		return buildWriteResult(
			statement,
			`INSERT 0 ${inserted.length}`,
			inserted,
			makeScope(context, columns),
		);
	}

	private insertRows(
		table: store.Table,
		rows: ReadonlyArray<readonly types.SqlValue[]>,
		options: {
			readonly transaction: transactions.Transaction;
			readonly ignoreConflicts: boolean;
		},
	): types.Row[] {
		const {transaction, ignoreConflicts} = options;
		const prepared = rows.map((row) => {
			const id = table.nextId++;
			const filled = table.definition.columns.map((column, index) =>
				column.serial ? (row[index] ?? id) : row[index],
			);
			checkNotNull(table, filled);
			return [id, filled] as const;
		});
		this.takeLocks(
			transaction,
			prepared.flatMap(([, row]) => listKeyLocks(table, row)),
		);
		const inserted: types.Row[] = [];
		for (const [id, row] of prepared) {
			if (hasDuplicate(table, id, row, transaction)) {
				if (ignoreConflicts) {
					continue;
				}

				throw makeDuplicateError(table);
			}

			transaction.setRow(table.definition.name, id, row);
			inserted.push(row);
		}

		return inserted;
	}

	private runUpdate(
		statement: Extract<types.Statement, {type: 'update'}>,
		context: StatementContext,
	): Omit<types.StatementResult, 'sleepMs'> {
		const {transaction} = context;
		const table = this.findTable(statement.table, transaction);
		const {columns, name} = table.definition;
		const scope = makeScope(context, columns);
		const assignments = statement.assignments.map(
			([column, expression]) =>
				[parser.findColumn(columns, column), expression] as const,
		);
		const changed = this.findMatches(
			table,
			statement.where,
			scope,
			context,
		).map(([id, row]) => {
			const next = [...row];
			for (const [column, expression] of assignments) {
				next[column] = values.parseValue(
					evaluator.computeValue(expression, {...scope, row}),
					columns[column].type,
				);
			}

			checkNotNull(table, next);
			return [id, next] as const;
		});
		this.takeLocks(
			transaction,
			changed.flatMap(([id, row]) => [
				`${name}#${id}`,
				...listKeyLocks(table, row),
			]),
		);
		for (const [id, row] of changed) {
			if (hasDuplicate(table, id, row, transaction)) {
				throw makeDuplicateError(table);
			}

			transaction.setRow(name, id, row);
		}

		return buildWriteResult(
			statement,
			`UPDATE ${changed.length}`,
			changed.map(([, row]) => row),
			scope,
		);
	}

	private runDelete(
		statement: Extract<types.Statement, {type: 'delete'}>,
		context: StatementContext,
	): Omit<types.StatementResult, 'sleepMs'> {
		const {transaction} = context;
		const table = this.findTable(statement.table, transaction);
		const {columns, name} = table.definition;
		const scope = makeScope(context, columns);
		const found = this.findMatches(table, statement.where, scope, context);
		this.takeLocks(
			transaction,
			found.flatMap(([id, row]) => [
				`${name}#${id}`,
				...listKeyLocks(table, row),
			]),
		);
		for (const [id] of found) {
			transaction.setRow(name, id, null);
		}

		return buildWriteResult(
			statement,
			`DELETE ${found.length}`,
			found.map(([, row]) => row),
			scope,
		);
	}

	private runCreate(
		statement: Extract<types.Statement, {type: 'createTable'}>,
		transaction: transactions.Transaction,
	): Omit<types.StatementResult, 'sleepMs'> {
		const {name} = statement.definition;
		this.takeLocks(transaction, [`table ${name}`]);
		const exists = this.findVisible(name, transaction);
		if (exists && !statement.ifNotExists) {
			throw new types.SqlError('42P07', `relation "${name}" already exists`);
		}

		if (!exists) {
			transaction.createTable(new store.Table(statement.definition));
		}

		return {fields: undefined, rows: [], tag: 'CREATE TABLE'};
	}

	private runDrop(
		statement: Extract<types.Statement, {type: 'dropTable'}>,
		transaction: transactions.Transaction,
	): Omit<types.StatementResult, 'sleepMs'> {
		this.takeLocks(transaction, [`table ${statement.table}`]);
		if (this.findVisible(statement.table, transaction)) {
			transaction.removeTable(statement.table);
		} else if (!statement.ifExists) {
			throw new types.SqlError(
				'42P01',
				`table "${statement.table}" does not exist`,
			);
		}

		return {fields: undefined, rows: [], tag: 'DROP TABLE'};
	}

	private takeLocks(
		transaction: transactions.Transaction,
		names: readonly string[],
	): void {
		const holder = this.locks.trySet(transaction, names);
		if (!holder) {
			return;
		}

		if (transaction.hasDeadlock(holder)) {
			throw new types.SqlError('40P01', 'deadlock detected');
		}

		throw new transactions.LockWait(holder);
	}
}

function findCallColumns(
	name: string,
	alias: string,
	host: FunctionHost,
): readonly types.ResultField[] {
	const fields = host.findFunctionFields(name);
	if (!fields) {
		throw new types.SqlError('42883', `function ${name}() does not exist`);
	}

	return fields.length === 1 ? [{name: alias, type: fields[0].type}] : fields;
}

function makeScope(
	context: StatementContext,
	columns: readonly types.ResultField[],
): evaluator.Scope {
	const {host, parameters, transaction} = context;
	return {
		parameters,
		columns,
		row: undefined,
		group: undefined,
		callFunction: (name, args) => host.callFunction(name, args, transaction),
	};
}

function listFields(
	items: readonly types.SelectItem[],
	columns: readonly types.ResultField[],
): readonly types.ResultField[] {
	return items.flatMap((item) =>
		item.type === 'star'
			? columns.map(({name, type}) => ({name, type}))
			: [
					{
						name: item.name,
						type: evaluator.findType(item.expression, columns),
					},
				],
	);
}

function buildRows(
	items: readonly types.SelectItem[],
	rows: readonly types.Row[],
	scope: evaluator.Scope,
): types.Row[] {
	const buildRow = (inner: evaluator.Scope): types.Row =>
		items.flatMap((item) =>
			item.type === 'star'
				? (inner.row ?? [])
				: [evaluator.computeValue(item.expression, inner)],
		);
	const isAggregate = items.some(
		(item) =>
			item.type === 'expression' && evaluator.hasAggregate(item.expression),
	);
	return isAggregate
		? [buildRow({...scope, group: rows})]
		: rows.map((row) => buildRow({...scope, row}));
}

function sortRows(
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
				evaluator.computeValue(expression, {...scope, row: left}),
				evaluator.computeValue(expression, {...scope, row: right}),
			);
			if (order !== 0) {
				return descending ? -order : order;
			}
		}

		return 0;
	});
}

function takeRows(
	rows: types.Row[],
	statement: Extract<types.Statement, {type: 'select'}>,
	scope: evaluator.Scope,
): types.Row[] {
	const {limit, offset} = statement;
	if (!limit && !offset) {
		return rows;
	}

	const start = offset ? Number(evaluator.computeValue(offset, scope)) : 0;
	const count = limit
		? Number(evaluator.computeValue(limit, scope))
		: rows.length;
	return rows.slice(start, start + count);
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
				evaluator.computeValue(expressions[position]!, scope),
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

function checkNotNull(table: store.Table, row: types.Row): void {
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

function listKeyLocks(table: store.Table, row: types.Row): string[] {
	const locks: string[] = [];
	for (const index of table.definition.uniqueIndexes.keys()) {
		const key = table.findKey(index, row);
		if (key !== null) {
			locks.push(`${table.definition.name} ${index} ${key}`);
		}
	}

	return locks;
}

function hasDuplicate(
	table: store.Table,
	id: number,
	row: types.Row,
	transaction: transactions.Transaction,
): boolean {
	const own = transaction.getRows(table.definition.name);
	for (const number of table.definition.uniqueIndexes.keys()) {
		const key = table.findKey(number, row);
		if (key === null) {
			continue;
		}

		const committed = table.indexes[number].get(key);
		if (committed !== undefined && committed !== id && !own?.has(committed)) {
			return true;
		}

		for (const [otherId, other] of own ?? []) {
			if (otherId !== id && other && table.findKey(number, other) === key) {
				return true;
			}
		}
	}

	return false;
}

function makeDuplicateError(table: store.Table): types.SqlError {
	return new types.SqlError(
		'23505',
		`duplicate key value violates unique constraint "${table.definition.name}_pkey"`,
	);
}

function buildWriteResult(
	statement: TableStatement,
	tag: string,
	rows: readonly types.Row[],
	scope: evaluator.Scope,
): Omit<types.StatementResult, 'sleepMs'> {
	const {returning} = statement;
	return {
		fields: returning && listFields(returning, scope.columns),
		rows: returning ? buildRows(returning, rows, scope) : [],
		tag,
	};
}
