/**
 * Runs the statements of one session: transaction control, settings, and data statements with
 * their slot, service time and lock waits.
 */
import type * as engine from './engine.js';
import type * as sessionHost from './session-host.js';
import type * as contexts from './statement-context.js';
import * as transactions from './transaction.js';
import * as settings from './settings.js';
import * as slotPool from './slots.js';
import * as types from './types.js';
import * as waits from './cancellable-wait.js';

/** The parts of a session that statements read or change. */
export type SessionState = {
	readonly processId: number;
	readonly settings: Map<string, string>;
	setSetting(name: string, value: string): void;
	reset(): void;
};

export class StatementRunner {
	private transaction: transactions.Transaction | undefined;
	private readonly waits = new waits.CancellableWait();
	private sleepMs = 0;
	private readonly functions: contexts.SqlFunctions;

	constructor(
		private readonly host: sessionHost.SessionHost,
		private readonly session: SessionState,
		private readonly isControl: boolean,
	) {
		this.functions = {
			callFunction: (name, args, transaction) =>
				this.callFunction(name, args, transaction),
			findFunctionFields: (name) => host.findFunctionFields(name, isControl),
			callTableFunction: (name, args) =>
				host.callTableFunction(name, args, isControl),
		};
	}

	get isInTransaction(): boolean {
		return this.transaction !== undefined;
	}

	/** The status in ReadyForQuery: `I` for idle, `T` in a transaction block, `E` in a failed one. */
	get status(): string {
		if (!this.transaction?.isExplicit) {
			return 'I';
		}

		return this.transaction.isFailed ? 'E' : 'T';
	}

	/** Ends the wait of the current statement with an error; does nothing when it does not wait. */
	cancelWait(error: types.SqlError): void {
		this.waits.cancel(error);
	}

	findFields(
		statement: types.Statement,
	): readonly types.ResultField[] | undefined {
		return this.host.engine.findFields(
			statement,
			this.functions,
			this.transaction,
		);
	}

	/** Runs one statement; throws or rejects with `SqlError`. */
	run(
		statement: types.Statement,
		parameters: readonly types.SqlValue[],
	): types.StatementResult | Promise<types.StatementResult> {
		const endsTransaction =
			statement.type === 'commit' || statement.type === 'rollback';
		if (this.transaction?.isFailed && !endsTransaction) {
			throw new types.SqlError(
				'25P02',
				'current transaction is aborted, commands ignored until end of transaction block',
			);
		}

		switch (statement.type) {
			case 'select':
			case 'insert':
			case 'update':
			case 'delete':
			case 'createTable':
			case 'dropTable': {
				return this.runData(statement, parameters);
			}

			case 'begin': {
				return this.runBegin(statement);
			}

			case 'commit': {
				const failed = this.transaction?.isFailed ?? false;
				if (failed) {
					this.endTransaction();
				} else {
					this.commit();
				}

				return makeResult(failed ? 'ROLLBACK' : 'COMMIT');
			}

			case 'rollback': {
				this.endTransaction();
				return makeResult('ROLLBACK');
			}

			case 'set': {
				this.session.setSetting(statement.name, statement.value);
				return makeResult('SET');
			}

			case 'reset': {
				this.session.settings.delete(statement.name);
				return makeResult('RESET');
			}

			case 'show': {
				const value = this.readSetting(statement.name);
				const fields = [{name: statement.name, type: 'text'}] as const;
				return {fields, rows: [[value]], tag: 'SHOW', sleepMs: 0};
			}

			case 'discard': {
				if (this.transaction) {
					throw new types.SqlError(
						'25001',
						'DISCARD ALL cannot run inside a transaction block',
					);
				}

				this.session.reset();
				return makeResult('DISCARD ALL');
			}

			case 'listen': {
				return makeResult(statement.tag);
			}

			case 'empty': {
				return makeResult('');
			}
		}
	}

	/** Commits an implicit transaction; throws 25006 when the server became read-only. */
	commitImplicit(): void {
		if (this.transaction && !this.transaction.isExplicit) {
			this.commit();
		}
	}

	/** Handles an error: an explicit transaction is marked as failed, an implicit one is rolled back. */
	failTransaction(): void {
		if (this.transaction?.isExplicit) {
			this.transaction.isFailed = true;
		} else {
			this.endTransaction();
		}
	}

	/** Ends the transaction and releases its locks; writes that are not committed are discarded. */
	endTransaction(): void {
		const {transaction} = this;
		this.transaction = undefined;
		transaction?.finish(this.host.engine.locks);
	}

	private commit(): void {
		const {transaction} = this;
		if (!transaction) {
			return;
		}

		try {
			this.host.commit(transaction);
		} finally {
			this.endTransaction();
		}
	}

	private runBegin(
		statement: Extract<types.Statement, {type: 'begin'}>,
	): types.StatementResult {
		if (this.transaction) {
			this.transaction.isExplicit = true;
			this.transaction.isReadOnly ||= statement.readOnly;
		} else {
			this.transaction = new transactions.Transaction(true, statement.readOnly);
		}

		return makeResult(statement.tag);
	}

	private runData(
		statement: engine.DataStatement,
		parameters: readonly types.SqlValue[],
	): types.StatementResult | Promise<types.StatementResult> {
		this.transaction ??= new transactions.Transaction(false, false);
		if (!slotPool.needsSlot(statement) || this.isControl) {
			return this.executeStatement(statement, parameters, this.transaction);
		}

		const {slots, faults} = this.host;
		if (faults.serviceTimeMs > 0 || !slots.tryAcquire()) {
			return this.runInSlot(statement, parameters, false);
		}

		// The common case, without any delay, runs synchronously and creates no promise.
		let result: types.StatementResult;
		try {
			result = this.executeStatement(statement, parameters, this.transaction);
		} catch (error) {
			if (error instanceof transactions.LockConflictError) {
				slots.release();
				return this.retryAfterLockRelease(error.holder, statement, parameters);
			}

			slots.release();
			throw error;
		}

		if (result.sleepMs > 0) {
			return this.finishSleep(result, slots);
		}

		slots.release();
		return result;
	}

	/** Waits for a slot, holds it for the service time (except on a retry) and runs the statement. */
	private async runInSlot(
		statement: engine.DataStatement,
		parameters: readonly types.SqlValue[],
		isRetry: boolean,
	): Promise<types.StatementResult> {
		const {slots, faults, executionGate} = this.host;
		if (!slots.tryAcquire()) {
			await this.waits.wait((resolve) => slots.enqueue(resolve));
		}

		let result: types.StatementResult;
		try {
			if (faults.serviceTimeMs > 0 && !isRetry) {
				await this.waits.sleep(faults.serviceTimeMs);
			}

			await executionGate.waitUntilOpen();
			result = this.executeStatement(statement, parameters, this.transaction);
		} catch (error) {
			slots.release();
			if (error instanceof transactions.LockConflictError) {
				return this.retryAfterLockRelease(error.holder, statement, parameters);
			}

			throw error;
		}

		return this.finishSleep(result, slots);
	}

	/**
	 * Keeps holding the slot for the time of `pg_sleep`, then releases it.
	 *
	 * @param slots - The pool of the slot; a crash of the server replaces `host.slots`.
	 */
	private async finishSleep(
		result: types.StatementResult,
		slots: sessionHost.SessionHost['slots'],
	): Promise<types.StatementResult> {
		try {
			if (result.sleepMs > 0) {
				await this.waits.sleep(result.sleepMs);
				await this.host.executionGate.waitUntilOpen();
			}
		} finally {
			slots.release();
		}

		return result;
	}

	/** Waits, without a slot, until the transaction that holds the lock ends; then runs again. */
	private async retryAfterLockRelease(
		holder: transactions.Transaction,
		statement: engine.DataStatement,
		parameters: readonly types.SqlValue[],
	): Promise<types.StatementResult> {
		const {transaction} = this;
		if (transaction) {
			transaction.waitsFor = holder;
		}

		try {
			await this.waits.wait((resolve) => holder.addWaiter(resolve));
		} finally {
			if (transaction) {
				transaction.waitsFor = undefined;
			}
		}

		return this.runInSlot(statement, parameters, true);
	}

	private executeStatement(
		statement: engine.DataStatement,
		parameters: readonly types.SqlValue[],
		transaction: transactions.Transaction | undefined,
	): types.StatementResult {
		if (!transaction) {
			throw new types.SqlError('57P01', 'connection closed');
		}

		if (statement.type !== 'select') {
			this.checkWritable(transaction, statement.type);
		}

		this.sleepMs = 0;
		const result = this.host.engine.run(statement, {
			transaction,
			parameters,
			functions: this.functions,
		});
		return {...result, sleepMs: this.sleepMs};
	}

	private checkWritable(
		transaction: transactions.Transaction,
		command: string,
	): void {
		if (transaction.isReadOnly || !this.host.isWritable) {
			const name = command.replace(/[A-Z]/v, ' $&').toUpperCase();
			throw new types.SqlError(
				'25006',
				`cannot execute ${name} in a read-only transaction`,
			);
		}
	}

	private callFunction(
		name: string,
		args: readonly types.SqlValue[],
		transaction: transactions.Transaction,
	): types.SqlValue {
		switch (name) {
			case 'pg_sleep': {
				this.sleepMs += Number(args[0]) * 1000;
				return '';
			}

			case 'pg_backend_pid': {
				return this.session.processId;
			}

			case 'version': {
				return 'PostgreSQL 16.0 (hemlockarch stand-in)';
			}

			case 'current_setting': {
				return this.readSetting(String(args[0]));
			}

			case 'hemlockarch.claim_key': {
				this.checkWritable(transaction, 'claim_key');
				this.host.engine.claimKey(String(args[0]), transaction);
				return '';
			}

			default: {
				return this.host.callFunction(name, args, transaction, this.isControl);
			}
		}
	}

	private readSetting(name: string): string {
		const isReadOnly =
			!this.host.isWritable || (this.transaction?.isReadOnly ?? false);
		return settings.readSetting(this.session.settings, name, isReadOnly);
	}
}

function makeResult(tag: string): types.StatementResult {
	return {fields: undefined, rows: [], tag, sleepMs: 0};
}
