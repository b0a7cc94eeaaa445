/**
 * State of one caller's session, independent of the codec: its transaction, session values and
 * prepared statements. The entry answers BEGIN itself and opens the transaction together with the
 * first statement, which saves a round trip to the owner and holds no connection in between.
 */
import {assertNever} from '../assert-never.js';
import type * as proxy from '../proxy/types.js';
import type * as session from './types.js';

/**
 * Limit of the values, and of the prepared statements, of one session; bounds the memory that a
 * caller can use at an entry.
 */
const maxSessionItems = 256;
/** Limit of the characters of all values and prepared statements of one session. */
const maxSessionCharacters = 4 * 1024 * 1024;

export class Session {
	transaction: session.TransactionState = 'none';
	readonly values = new Map<string, string>();
	/** Monotonic time since which the open transaction has been idle. */
	idleSince = 0;
	private readonly prepared = new Map<
		string,
		session.PreparedStatementDefinition
	>();

	private isReadOnly = false;
	private hasWritten = false;
	private characters = 0;

	/** Characters of the values and prepared statements. */
	get stateSize(): number {
		return this.characters;
	}

	/** Transaction status that is sent to the caller with an answer. */
	get status(): proxy.TransactionStatus {
		switch (this.transaction) {
			case 'none': {
				return 'idle';
			}

			case 'deferred':
			case 'open':
			case 'lost': {
				return 'inTransaction';
			}

			case 'failed': {
				return 'failed';
			}

			default: {
				return assertNever(this.transaction);
			}
		}
	}

	/** Decides how a statement is handled, and applies one that needs no server. */
	planStatement(statement: session.Statement): session.StatementPlan {
		if (this.transaction === 'lost') {
			return this.planInLostTransaction(statement);
		}

		if (this.transaction === 'failed') {
			return this.planInFailedTransaction(statement);
		}

		switch (statement.type) {
			case 'begin': {
				return this.planBegin(statement.isReadOnly);
			}

			case 'commit': {
				return this.planCommit();
			}

			case 'rollback': {
				return this.planRollback();
			}

			case 'read':
			case 'write': {
				return this.planReadOrWrite(statement.type, undefined);
			}

			case 'execute': {
				const definition = this.prepared.get(statement.name);
				return definition
					? this.planReadOrWrite(definition.kind, definition)
					: this.refuse('notPrepared');
			}

			case 'prepare': {
				return this.store(this.prepared, statement.name, statement.definition, {
					before: this.prepared.get(statement.name)?.shape,
					after: statement.definition.shape,
				});
			}

			case 'deallocate': {
				return this.removePrepared(statement.name);
			}

			case 'set': {
				return this.store(this.values, statement.name, statement.value, {
					before: this.values.get(statement.name),
					after: statement.value,
				});
			}

			case 'unknown': {
				return this.refuse('malformed');
			}

			default: {
				return assertNever(statement);
			}
		}
	}

	/** Applies the answer to a forwarded statement. */
	handleAnswer(
		plan: Extract<session.StatementPlan, {type: 'forward'}>,
		status: proxy.TransactionStatus,
	): void {
		this.hasWritten =
			status === 'inTransaction' && (this.hasWritten || plan.writes);
		this.transaction =
			status === 'idle' ? 'none' : status === 'failed' ? 'failed' : 'open';
	}

	/** Applies the refusal of a forwarded statement; it ends or fails an open transaction. */
	handleRefusal(plan: Extract<session.StatementPlan, {type: 'forward'}>): void {
		this.transaction =
			this.transaction === 'none' || plan.kind === 'commit' ? 'none' : 'failed';
	}

	/** Records that the server lost the transaction while no statement was running. */
	handleTransactionLoss(): void {
		if (this.transaction === 'open') {
			this.transaction = 'lost';
		}
	}

	/** Records that the session ends; a transaction in which no statement runs is lost with it. */
	endTransaction(): void {
		if (this.transaction === 'open' || this.transaction === 'deferred') {
			this.transaction = 'lost';
		}
	}

	/**
	 * Whether a forwarded statement whose outcome is unknown may have changed data. A transaction
	 * without its COMMIT changes nothing, and neither does a statement or transaction that only reads.
	 */
	mayHaveWritten(
		plan: Extract<session.StatementPlan, {type: 'forward'}>,
	): boolean {
		return (
			(plan.kind === 'commit' && this.hasWritten) ||
			(plan.writes && this.transaction === 'none')
		);
	}

	private planBegin(isReadOnly: boolean): session.StatementPlan {
		if (this.transaction !== 'none') {
			return this.refuse('malformed');
		}

		this.transaction = 'deferred';
		this.isReadOnly = isReadOnly;
		this.hasWritten = false;
		return {type: 'answer'};
	}

	private planCommit(): session.StatementPlan {
		if (this.transaction === 'none') {
			return this.refuse('malformed');
		}

		if (this.transaction === 'deferred') {
			// An empty transaction: the answer to its COMMIT is valid only if a server has run it.
			return {
				type: 'forward',
				kind: this.isReadOnly ? 'beginReadOnly' : 'begin',
				opens: this.isReadOnly ? 'beginReadOnly' : 'begin',
				writes: false,
				prepared: undefined,
			};
		}

		return {
			type: 'forward',
			kind: 'commit',
			opens: undefined,
			writes: false,
			prepared: undefined,
		};
	}

	private planRollback(): session.StatementPlan {
		const {transaction} = this;
		if (transaction === 'none') {
			return this.refuse('malformed');
		}

		this.transaction = 'none';
		return transaction === 'open' ? {type: 'abandon'} : {type: 'answer'};
	}

	private planReadOrWrite(
		kind: 'read' | 'write',
		prepared: session.PreparedStatementDefinition | undefined,
	): session.StatementPlan {
		const writes = kind === 'write';
		if (this.transaction !== 'deferred') {
			return {type: 'forward', kind, opens: undefined, writes, prepared};
		}

		const opens = this.isReadOnly ? 'beginReadOnly' : 'begin';
		return {type: 'forward', kind: opens, opens, writes, prepared};
	}

	/** The response to this statement tells the caller that its transaction was rolled back. */
	private planInLostTransaction(
		statement: session.Statement,
	): session.StatementPlan {
		if (statement.type === 'rollback') {
			this.transaction = 'none';
			return {type: 'answer'};
		}

		this.transaction = statement.type === 'commit' ? 'none' : 'failed';
		return {type: 'refuse', problem: 'transactionLost'};
	}

	/** A failed transaction ends with COMMIT or ROLLBACK, and both roll it back. */
	private planInFailedTransaction(
		statement: session.Statement,
	): session.StatementPlan {
		if (statement.type === 'rollback') {
			this.transaction = 'none';
			return {type: 'abandon'};
		}

		if (statement.type === 'commit') {
			this.transaction = 'none';
			return {type: 'refuse', problem: 'transactionLost'};
		}

		return {type: 'refuse', problem: 'malformed'};
	}

	private removePrepared(name: string): session.StatementPlan {
		const definition = this.prepared.get(name);
		if (!definition) {
			return this.refuse('notPrepared');
		}

		this.prepared.delete(name);
		this.characters -= name.length + definition.shape.length;
		return {type: 'answer'};
	}

	private store<Value>(
		items: Map<string, Value>,
		name: string,
		value: Value,
		texts: {readonly before: string | undefined; readonly after: string},
	): session.StatementPlan {
		const {before, after} = texts;
		const characters =
			this.characters +
			after.length +
			(before === undefined ? name.length : -before.length);
		if (
			(!items.has(name) && items.size >= maxSessionItems) ||
			characters > maxSessionCharacters
		) {
			return this.refuse('malformed');
		}

		this.characters = characters;
		items.set(name, value);
		return {type: 'answer'};
	}

	/** Fails a transaction that is not open on a server yet; an open one does not change. */
	private refuse(problem: session.StatementProblem): session.StatementPlan {
		if (this.transaction === 'deferred') {
			this.transaction = 'failed';
		}

		return {type: 'refuse', problem};
	}
}
