/**
 * Executes data statements over the store and the buffered writes of a transaction. A statement
 * runs synchronously from start to end, so it is atomic.
 */
import * as constraints from './constraints.js';
import * as evaluator from './evaluator.js';
import * as matching from './matching.js';
import * as parser from './parser.js';
import * as results from './result-rows.js';
import * as select from './select.js';
import type * as contexts from './statement-context.js';
import * as store from './store.js';
import * as transactions from './transaction.js';
import * as types from './types.js';
import * as values from './values.js';

export type DataStatement = Extract<
	types.Statement,
	{
		type:
			'select' | 'insert' | 'update' | 'delete' | 'createTable' | 'dropTable';
	}
>;

type WriteStatement = Extract<
	types.Statement,
	{type: 'insert' | 'update' | 'delete'}
>;

export class Engine {
	readonly locks = new transactions.LockTable();

	private readonly store: store.Store;

	constructor(store: store.Store) {
		this.store = store;
	}

	/**
	 * Runs a statement.
	 *
	 * @throws SqlError for a refused statement, `LockConflictError` when it must be run again
	 * after another transaction has ended.
	 */
	run(
		statement: DataStatement,
		context: contexts.StatementContext,
	): Omit<types.StatementResult, 'sleepMs'> {
		switch (statement.type) {
			case 'select': {
				return select.runSelect(statement, context, (name) =>
					this.findTable(name, context.transaction),
				);
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
				return this.runCreateTable(statement, context.transaction);
			}

			case 'dropTable': {
				return this.runDropTable(statement, context.transaction);
			}
		}
	}

	/** Finds the result columns; undefined for a statement that returns no rows. */
	findFields(
		statement: types.Statement,
		functions: contexts.SqlFunctions,
		transaction: transactions.Transaction | undefined,
	): readonly types.ResultField[] | undefined {
		if (statement.type === 'select') {
			return select.resolveSelect(statement, functions, (name) =>
				this.findTable(name, transaction),
			).fields;
		}

		if (statement.type === 'show') {
			return [{name: statement.name, type: 'text'}];
		}

		if (!('returning' in statement)) {
			return undefined;
		}

		const {columns} = this.findTable(statement.table, transaction).definition;
		return (
			statement.returning && results.listFields(statement.returning, columns)
		);
	}

	/** Inserts a key into the table of claimed keys; throws 23505 when it exists. */
	claimKey(key: string, transaction: transactions.Transaction): void {
		this.insertRows(
			this.findTable(store.claimedKeysTable, transaction),
			[[key]],
			{
				transaction,
				ignoreConflicts: false,
			},
		);
	}

	private findVisibleTable(
		name: string,
		transaction: transactions.Transaction | undefined,
	): store.Table | undefined {
		const own = transaction?.getTable(name);
		return own === undefined ? this.store.getTable(name) : (own ?? undefined);
	}

	private findTable(
		name: string,
		transaction: transactions.Transaction | undefined,
	): store.Table {
		const table = this.findVisibleTable(name, transaction);
		if (!table) {
			throw new types.SqlError('42P01', `relation "${name}" does not exist`);
		}

		return table;
	}

	private runInsert(
		statement: Extract<types.Statement, {type: 'insert'}>,
		context: contexts.StatementContext,
	): Omit<types.StatementResult, 'sleepMs'> {
		const table = this.findTable(statement.table, context.transaction);
		const {columns} = table.definition;
		const scope = results.makeScope(context, results.noFields);
		const targets = statement.columns?.map((name) =>
			parser.findColumnIndex(columns, name),
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
					? values.parseValue(evaluator.evaluate(source, scope), column.type)
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
			results.makeScope(context, columns),
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
			constraints.checkNotNull(table, filled);
			return [id, filled] as const;
		});
		this.acquireLocks(
			transaction,
			prepared.flatMap(([, row]) => constraints.listKeyLocks(table, row)),
		);
		const inserted: types.Row[] = [];
		for (const [id, row] of prepared) {
			if (constraints.hasDuplicate(table, id, row, transaction)) {
				if (ignoreConflicts) {
					continue;
				}

				throw constraints.makeDuplicateError(table);
			}

			transaction.setRow(table.definition.name, id, row);
			inserted.push(row);
		}

		return inserted;
	}

	private runUpdate(
		statement: Extract<types.Statement, {type: 'update'}>,
		context: contexts.StatementContext,
	): Omit<types.StatementResult, 'sleepMs'> {
		const {transaction} = context;
		const table = this.findTable(statement.table, transaction);
		const {columns, name} = table.definition;
		const scope = results.makeScope(context, columns);
		const assignments = statement.assignments.map(
			([column, expression]) =>
				[parser.findColumnIndex(columns, column), expression] as const,
		);
		const changed = matching
			.findMatches(table, statement.where, scope, context)
			.map(([id, row]) => {
				const next = [...row];
				for (const [column, expression] of assignments) {
					next[column] = values.parseValue(
						evaluator.evaluate(expression, {...scope, row}),
						columns[column].type,
					);
				}

				constraints.checkNotNull(table, next);
				return [id, next] as const;
			});
		this.acquireLocks(
			transaction,
			changed.flatMap(([id, row]) => [
				`${name}#${id}`,
				...constraints.listKeyLocks(table, row),
			]),
		);
		for (const [id, row] of changed) {
			if (constraints.hasDuplicate(table, id, row, transaction)) {
				throw constraints.makeDuplicateError(table);
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
		context: contexts.StatementContext,
	): Omit<types.StatementResult, 'sleepMs'> {
		const {transaction} = context;
		const table = this.findTable(statement.table, transaction);
		const {columns, name} = table.definition;
		const scope = results.makeScope(context, columns);
		const matches = matching.findMatches(
			table,
			statement.where,
			scope,
			context,
		);
		this.acquireLocks(
			transaction,
			matches.flatMap(([id, row]) => [
				`${name}#${id}`,
				...constraints.listKeyLocks(table, row),
			]),
		);
		for (const [id] of matches) {
			transaction.setRow(name, id, null);
		}

		return buildWriteResult(
			statement,
			`DELETE ${matches.length}`,
			matches.map(([, row]) => row),
			scope,
		);
	}

	private runCreateTable(
		statement: Extract<types.Statement, {type: 'createTable'}>,
		transaction: transactions.Transaction,
	): Omit<types.StatementResult, 'sleepMs'> {
		const {name} = statement.definition;
		this.acquireLocks(transaction, [`table ${name}`]);
		const exists = this.findVisibleTable(name, transaction);
		if (exists && !statement.ifNotExists) {
			throw new types.SqlError('42P07', `relation "${name}" already exists`);
		}

		if (!exists) {
			transaction.createTable(new store.Table(statement.definition));
		}

		return {fields: undefined, rows: [], tag: 'CREATE TABLE'};
	}

	private runDropTable(
		statement: Extract<types.Statement, {type: 'dropTable'}>,
		transaction: transactions.Transaction,
	): Omit<types.StatementResult, 'sleepMs'> {
		this.acquireLocks(transaction, [`table ${statement.table}`]);
		if (this.findVisibleTable(statement.table, transaction)) {
			transaction.dropTable(statement.table);
		} else if (!statement.ifExists) {
			throw new types.SqlError(
				'42P01',
				`table "${statement.table}" does not exist`,
			);
		}

		return {fields: undefined, rows: [], tag: 'DROP TABLE'};
	}

	private acquireLocks(
		transaction: transactions.Transaction,
		names: readonly string[],
	): void {
		const holder = this.locks.tryAcquire(transaction, names);
		if (!holder) {
			return;
		}

		if (transaction.hasDeadlock(holder)) {
			throw new types.SqlError('40P01', 'deadlock detected');
		}

		throw new transactions.LockConflictError(holder);
	}
}

function buildWriteResult(
	statement: WriteStatement,
	tag: string,
	rows: readonly types.Row[],
	scope: evaluator.Scope,
): Omit<types.StatementResult, 'sleepMs'> {
	const {returning} = statement;
	return {
		fields: returning && results.listFields(returning, scope.columns),
		rows: returning ? results.buildRows(returning, rows, scope) : [],
		tag,
	};
}
