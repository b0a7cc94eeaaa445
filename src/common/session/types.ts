/**
 * Statements of a session as any codec decodes them, and what the entry does with each.
 */
import type * as proxy from '../proxy/types.js';

/** What a prepared statement does when it is executed. */
export type PreparedStatementDefinition = {
	readonly kind: 'read' | 'write';
	/** The statement behind the name, in the words of the codec. */
	readonly shape: string;
};

/** A statement of a caller. */
export type Statement =
	| {readonly type: 'begin'; readonly isReadOnly: boolean}
	| {readonly type: 'commit'}
	| {readonly type: 'rollback'}
	| {readonly type: 'read' | 'write'}
	| {readonly type: 'execute'; readonly name: string}
	| {
			readonly type: 'prepare';
			readonly name: string;
			readonly definition: PreparedStatementDefinition;
	  }
	| {readonly type: 'deallocate'; readonly name: string}
	| {readonly type: 'set'; readonly name: string; readonly value: string}
	| {readonly type: 'unknown'};

/** Why the entry refuses a statement by itself. */
export type StatementProblem =
	/** The statement is not known, or not allowed in the present state. */
	| 'malformed'
	/** No prepared statement has this name. */
	| 'notPrepared'
	/** The transaction was rolled back. */
	| 'transactionLost';

/** What the entry does with a statement. */
export type StatementPlan =
	/** Answer it without a server. */
	| {readonly type: 'answer'}
	/** Answer it, and free the connection of the transaction, which rolls it back. */
	| {readonly type: 'abandon'}
	| {readonly type: 'refuse'; readonly problem: StatementProblem}
	| {
			readonly type: 'forward';
			readonly kind: proxy.RequestKind;
			/** The transaction to open before the statement. */
			readonly opens: 'begin' | 'beginReadOnly' | undefined;
			/** The statement itself may change data. */
			readonly writes: boolean;
			/** The prepared statement that it executes. */
			readonly prepared: PreparedStatementDefinition | undefined;
	  };

/** A transaction as its caller sees it. */
export type TransactionState =
	/** No transaction is open. */
	| 'none'
	/** BEGIN was answered; the first statement opens the transaction at a server. */
	| 'deferred'
	/** A server holds the transaction. */
	| 'open'
	/** The transaction is rolled back; its caller has to end it. */
	| 'failed'
	/** As `failed`, but the caller has not been told yet. */
	| 'lost';
