/**
 * The server as its sessions use it.
 */
import type * as engine from './engine.js';
import type * as gates from './gate.js';
import type * as session from './session.js';
import type * as slots from './slots.js';
import type * as transactions from './transaction.js';
import type * as types from './types.js';

export type SessionHost = {
	readonly engine: engine.Engine;
	readonly slots: slots.SlotPool;
	/** Closed while the process is frozen. */
	readonly executionGate: gates.Gate;
	/** Never closed; used by sessions of the control port. */
	readonly controlGate: gates.Gate;
	readonly faults: Readonly<types.Faults>;
	/** False on a replica and on a fenced server, which refuse writes with 25006. */
	readonly isWritable: boolean;
	/** Applies the writes of a transaction and appends them to the log. */
	commit(transaction: transactions.Transaction): void;
	/** Calls a function of the schema `hemlockarch`, or `standin` on the control port. */
	callFunction(
		name: string,
		args: readonly types.SqlValue[],
		transaction: transactions.Transaction,
		isControl: boolean,
	): types.SqlValue;
	findFunctionFields(
		name: string,
		isControl: boolean,
	): readonly types.ResultField[] | undefined;
	callTableFunction(
		name: string,
		args: readonly types.SqlValue[],
		isControl: boolean,
	): Iterable<types.Row>;
	/** Returns the error for the client when the connection limit is reached. */
	checkConnectionLimit(session: session.Session): types.SqlError | undefined;
	cancelStatement(processId: number, secretKey: number): void;
	addReplica(session: session.Session, connection: gates.GatedSocket): void;
	handleReplicaMessage(session: session.Session, text: string): void;
	removeSession(session: session.Session): void;
};
