/**
 * Statements of a session, independent of the codec that decodes them, and how the entry handles
 * each.
 */
import type * as proxy from '../proxy/types.js';

/** What a prepared statement does when it is executed. */
export type PreparedStatementDefinition = {
	readonly kind: 'read' | 'write';
	/** The statement that is executed, as the codec writes it. */
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

/** Why the entry itself refuses a statement. */
export type StatementProblem =
	/** The statement is unknown, or not allowed in the current state. */
	| 'malformed'
	/** No prepared statement has this name. */
	| 'notPrepared'
	/** The transaction was rolled back. */
	| 'transactionLost';

/** How the entry handles a statement. */
export type StatementPlan =
	/** Answer it without a server. */
	| {readonly type: 'answer'}
	/** Answer it, and release the connection of the transaction, which rolls it back. */
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
	/** BEGIN was answered; the first statement opens the transaction on a server. */
	| 'deferred'
	/** The transaction is open on a server. */
	| 'open'
	/** The transaction was rolled back; the caller has to end it. */
	| 'failed'
	/** As `failed`, but the caller has not been told yet. */
	| 'lost';
