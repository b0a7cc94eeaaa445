/**
 * A pooled connection to a server. It executes one request at a time.
 */
import {Buffer} from 'node:buffer';
import * as pgProtocol from 'pg-protocol/dist/serializer';
import type * as ids from '../../common/ids.js';
import type * as proxy from '../../common/proxy/types.js';
import * as messages from '../wire/messages.js';
import * as cancelRequest from './cancel-request.js';
import * as executions from './execution.js';
import * as keyClaimTracker from './key-claim-tracker.js';
import * as preparedStatementNames from './prepared-statement-names.js';
import * as requestPlan from './request-plan.js';
import * as serverSocket from './server-socket.js';
import type * as types from './types.js';

/** Messages up to this total size are concatenated into one write. */
const maxCoalescedWriteBytes = 64 * 1024;

type OpenConnection = Extract<proxy.ProxyEffect, {type: 'openConnection'}>;

export class Connection {
	readonly id: ids.ConnectionId;
	readonly #server: serverSocket.ServerSocket;
	readonly #preparedNames = new preparedStatementNames.PreparedStatementNames();
	#execution: executions.Execution | undefined;
	#status: proxy.TransactionStatus = 'idle';
	readonly #keyClaims = new keyClaimTracker.KeyClaimTracker();
	/** True after a request with Flush failed: the server ignores all messages up to Sync. */
	#skipsUntilSync = false;
	/** Number of ReadyForQuery messages that a reset still waits for. */
	#pendingResetAnswers = 0;
	#hasResetFailed = false;
	#resetTimer: NodeJS.Timeout | undefined;
	/** NotificationResponse messages that arrived while no request was running. */
	#notifications: Buffer[] = [];
	#notificationBytes = 0;
	#isCancelling = false;
	/** Outcome that is reported once the cancel connection is closed. */
	#delayedOutcome: proxy.ExecutionOutcome | undefined;

	constructor(
		private readonly effect: OpenConnection,
		private readonly options: types.UpstreamOptions,
		private readonly limits: types.UpstreamLimits,
		private readonly handleClosed: () => void,
	) {
		this.id = effect.connection;
		this.#server = new serverSocket.ServerSocket(
			{
				address: effect.address,
				epoch: effect.epoch,
				customer: effect.customer,
				user: options.user,
				database: options.database,
				connectTimeoutMs: limits.connectTimeoutMs,
			},
			{
				handleOpen: () => {
					this.options.dispatch({
						type: 'connectionOpened',
						now: options.clock.now(),
						connection: this.id,
					});
				},
				handleMessage: (typeByte, chunk, start, end) => {
					this.#handleMessage(typeByte, chunk, start, end);
				},
				handlePart: (part, remainingBytes) => {
					this.#execution?.handlePart(part, remainingBytes);
				},
				handleClose: (message) => {
					this.#handleClose(message);
				},
			},
		);
	}

	get runningEffect(): types.ExecuteEffect | undefined {
		return this.#execution?.effect;
	}

	execute(effect: types.ExecuteEffect): void {
		if (this.#execution ?? this.#pendingResetAnswers > 0) {
			this.#server.close('execute was called on a busy connection');
			this.#emitLost(effect, false, false);
			return;
		}

		if (!this.#server.isWritable) {
			this.dispose();
			this.#emitLost(effect, false, false);
			return;
		}

		const plan = requestPlan.createPlan(
			effect,
			this.#keyClaims.needsClaim(effect),
			this.#preparedNames.names,
			this.limits.preparedStatements,
		);
		if (this.#skipsUntilSync && plan.flushAnswers !== undefined) {
			// The server would ignore the request, which contains no Sync, and send no answer.
			this.#emitFinished(effect, {
				type: 'answered',
				tail: new Uint8Array(0),
				relayed: false,
				transactionStatus: 'failed',
			});
			return;
		}

		this.#execution = new executions.Execution(effect, plan, this.limits, {
			relay: (data) => {
				this.#relay(effect, data);
			},
			handleFinished: (outcome) => {
				this.#handleFinished(outcome);
			},
			handleFailure: (message) => {
				this.#server.close(message);
			},
		});
		this.#notificationBytes = 0;
		for (const notification of this.#notifications.splice(0)) {
			this.#execution.handleMessage(
				messages.messageTypes.notification,
				notification,
				0,
				notification.length,
			);
		}

		this.#write(plan.bytes);
	}

	/** Runs DISCARD ALL, after Sync and ROLLBACK where the state of the connection needs them. */
	reset(): void {
		const isBusy =
			this.#execution !== undefined || this.#pendingResetAnswers > 0;
		if (isBusy) {
			this.#server.close('reset was called on a busy connection');
			return;
		}

		const bytes: Uint8Array[] = [];
		if (this.#skipsUntilSync) {
			bytes.push(pgProtocol.serialize.sync());
		}

		if (this.#status !== 'idle') {
			bytes.push(pgProtocol.serialize.query('ROLLBACK'));
		}

		bytes.push(pgProtocol.serialize.query('DISCARD ALL'));
		this.#keyClaims.clear();
		this.#pendingResetAnswers = bytes.length;
		this.#hasResetFailed = false;
		this.#notifications = [];
		this.#notificationBytes = 0;
		this.#resetTimer = setTimeout(() => {
			this.#server.close('the reset timed out');
		}, this.limits.resetTimeoutMs);
		this.#write(bytes);
	}

	/** Asks the server to cancel the running request. */
	cancel(attempt: ids.AttemptId): void {
		if (this.#execution?.effect.attempt !== attempt || this.#isCancelling) {
			return;
		}

		this.#isCancelling = true;
		cancelRequest.sendCancelRequest(
			this.effect.address,
			this.#server.buildCancelRequest(),
			this.limits.cancelTimeoutMs,
			(isCompleted) => {
				this.#handleCancelDone(isCompleted);
			},
		);
	}

	/** Resumes reading after the sink asked for a pause. */
	resume(): void {
		if (this.#server.socket.isPaused()) {
			this.#server.socket.resume();
		}
	}

	/** Closes the connection without dispatching an event. */
	dispose(): void {
		clearTimeout(this.#resetTimer);
		this.#server.dispose();
		this.#execution = undefined;
		this.handleClosed();
	}

	#write(parts: readonly Uint8Array[]): void {
		const {socket} = this.#server;
		if (parts.length === 1) {
			socket.write(parts[0]);
			return;
		}

		let size = 0;
		for (const part of parts) {
			size += part.length;
		}

		if (size <= maxCoalescedWriteBytes) {
			socket.write(Buffer.concat(parts, size));
			return;
		}

		socket.cork();
		for (const part of parts) {
			socket.write(part);
		}

		socket.uncork();
	}

	#relay(effect: types.ExecuteEffect, data: Uint8Array): void {
		const {sink} = effect;
		const isSinkWritable =
			sink.type === 'session'
				? this.options.relayToSession(sink.attempt, data)
				: this.options.relayToPeer(sink.peer, sink.attempt, data);
		if (!isSinkWritable) {
			this.#server.socket.pause();
		}
	}

	#handleMessage(
		typeByte: number,
		chunk: Buffer,
		start: number,
		end: number,
	): void {
		if (this.#execution && !this.#delayedOutcome) {
			this.#execution.handleMessage(typeByte, chunk, start, end);
			return;
		}

		if (this.#pendingResetAnswers > 0) {
			this.#handleResetMessage(typeByte, chunk[start + 5]);
			return;
		}

		switch (typeByte) {
			case messages.messageTypes.notification: {
				this.#notificationBytes += end - start;
				if (this.#notificationBytes > this.limits.notificationBytes) {
					this.#server.close('the notifications exceed the buffer limit');
				} else {
					this.#notifications.push(Buffer.from(chunk.subarray(start, end)));
				}

				return;
			}

			case messages.messageTypes.notice:
			case messages.messageTypes.parameterStatus:
			case messages.messageTypes.error: {
				// After a FATAL error the server closes the connection, and the close is reported.
				return;
			}

			default: {
				this.#server.close('the server sent a message without a request');
			}
		}
	}

	#handleResetMessage(typeByte: number, statusByte: number | undefined): void {
		if (typeByte === messages.messageTypes.error) {
			this.#hasResetFailed = true;
		}

		if (typeByte !== messages.messageTypes.readyForQuery) {
			return;
		}

		this.#pendingResetAnswers--;
		if (this.#pendingResetAnswers > 0) {
			return;
		}

		clearTimeout(this.#resetTimer);
		this.#status = messages.parseTransactionStatus(statusByte);
		this.#skipsUntilSync = false;
		this.#preparedNames.clear();
		if (this.#hasResetFailed || this.#status !== 'idle') {
			this.#server.close('the reset failed');
			return;
		}

		this.options.dispatch({
			type: 'connectionReset',
			now: this.options.clock.now(),
			connection: this.id,
		});
	}

	#handleCancelDone(isCompleted: boolean): void {
		if (!isCompleted) {
			// The server may process the CancelRequest later and would cancel another request.
			this.#server.close('the cancel request timed out');
		}

		this.#isCancelling = false;
		const outcome = this.#delayedOutcome;
		if (outcome) {
			this.#delayedOutcome = undefined;
			this.#handleFinished(outcome);
		}
	}

	#handleFinished(outcome: proxy.ExecutionOutcome): void {
		const execution = this.#execution;
		if (!execution) {
			return;
		}

		if (this.#isCancelling) {
			this.#delayedOutcome = outcome;
			return;
		}

		this.#execution = undefined;
		this.resume();
		const {effect, plan} = execution;
		this.#preparedNames.update(execution);
		if (outcome.type === 'answered') {
			this.#status = outcome.transactionStatus;
			this.#keyClaims.update(execution, outcome.transactionStatus);
			this.#skipsUntilSync =
				plan.flushAnswers !== undefined && outcome.sqlState !== undefined;
		}

		this.#emitFinished(effect, outcome);
	}

	#handleClose(message: string): void {
		clearTimeout(this.#resetTimer);
		this.handleClosed();
		const execution = this.#execution;
		const outcome = this.#delayedOutcome;
		this.#execution = undefined;
		this.#delayedOutcome = undefined;
		if (execution && outcome) {
			this.#emitFinished(execution.effect, outcome);
		}

		if (!execution || outcome) {
			this.options.dispatch({
				type: 'connectionClosed',
				now: this.options.clock.now(),
				connection: this.id,
				message,
			});
			return;
		}

		this.#emitLost(execution.effect, true, execution.relayed);
	}

	#emitLost(
		effect: types.ExecuteEffect,
		mayHaveRun: boolean,
		relayed: boolean,
	): void {
		this.#emitFinished(effect, {type: 'lost', mayHaveRun, relayed});
	}

	#emitFinished(
		effect: types.ExecuteEffect,
		outcome: proxy.ExecutionOutcome,
	): void {
		this.options.dispatch({
			type: 'executionFinished',
			now: this.options.clock.now(),
			connection: this.id,
			attempt: effect.attempt,
			outcome,
		});
	}
}
