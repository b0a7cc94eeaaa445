/**
 * The context in which a data statement is executed.
 */
import type * as transactions from './transaction.js';
import type * as types from './types.js';

/** Functions of the server that SQL can call. */
export type SqlFunctions = {
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

export type StatementContext = {
	readonly transaction: transactions.Transaction;
	readonly parameters: readonly types.SqlValue[];
	readonly functions: SqlFunctions;
};
