/**
 * One pooled connection to a server: executes one request at a time.
 */
import {Buffer} from 'node:buffer';
import * as pgProtocol from 'pg-protocol/dist/serializer';
import type * as ids from '../../common/ids.js';
import type * as proxy from '../../common/proxy/types.js';
import * as messages from '../wire/messages.js';
import * as cancelRequest from './cancel-request.js';
import * as executions from './execution.js';
import * as keyClaim from './key-claim.js';
import * as preparedNames from './prepared-names.js';
import * as requestPlan from './request-plan.js';
import * as serverSocket from './server-socket.js';
import type * as types from './types.js';

/** Frames up to this size are joined with the others into one write. */
const joinBytes = 64 * 1024;

type OpenConnection = Extract<proxy.ProxyEffect, {type: 'openConnection'}>;

export class Connection {
	readonly id: ids.ConnectionId;
	readonly #server: serverSocket.ServerSocket;
	/** Statement names that the connection has, least recently used first. */
	readonly #prepared = new preparedNames.PreparedNames();
	#execution: executions.Execution | undefined;
	#status: proxy.TransactionStatus = 'idle';
	readonly #claim = new keyClaim.KeyClaim();
	/** A Flush request failed: the server ignores everything up to Sync. */
	#skipsToSync = false;
	/** ReadyForQuery messages that a reset still waits for. */
	#resetAnswers = 0;
	#resetFailed = false;
	#resetTimer: NodeJS.Timeout | undefined;
	/** NotificationResponse messages that arrived while no request was running. */
	#notifications: Buffer[] = [];
	#isCancelling = false;
	/** Outcome that waits until the cancel connection is closed. */
	#delayed: proxy.ExecutionOutcome | undefined;

	constructor(
		private readonly effect: OpenConnection,
		private readonly options: types.UpstreamOptions,
		private readonly limits: types.UpstreamLimits,
		private readonly handleGone: () => void,
	) {
		this.id = effect.connection;
		this.#server = new serverSocket.ServerSocket(
			{
				address: effect.address,
				epoch: effect.epoch,
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
				handleMessage: (code, chunk, start, end) => {
					this.#handleMessage(code, chunk, start, end);
				},
				handlePart: (part, missing) => {
					this.#execution?.handlePart(part, missing);
				},
				handleEnd: (message) => {
					this.#handleEnd(message);
				},
			},
		);
	}

	get runningEffect(): types.ExecuteEffect | undefined {
		return this.#execution?.effect;
	}

	execute(effect: types.ExecuteEffect): void {
		if (this.#execution ?? this.#resetAnswers > 0) {
			this.#server.close('a request was given to a busy connection');
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
			this.#claim.isNeeded(effect),
			this.#prepared.names,
			this.limits.preparedStatements,
		);
		if (this.#skipsToSync && plan.flushAnswers !== undefined) {
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
			handleBroken: (message) => {
				this.#server.close(message);
			},
		});
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

	/** Runs ROLLBACK when needed and DISCARD ALL. */
	reset(): void {
		const isBusy = this.#execution !== undefined || this.#resetAnswers > 0;
		if (isBusy) {
			this.#server.close('a reset was asked of a busy connection');
			return;
		}

		const bytes: Uint8Array[] = [];
		if (this.#skipsToSync) {
			bytes.push(pgProtocol.serialize.sync());
		}

		if (this.#status !== 'idle') {
			bytes.push(pgProtocol.serialize.query('ROLLBACK'));
		}

		bytes.push(pgProtocol.serialize.query('DISCARD ALL'));
		this.#claim.clear();
		this.#resetAnswers = bytes.length;
		this.#resetFailed = false;
		this.#notifications = [];
		this.#resetTimer = setTimeout(() => {
			this.#server.close('the reset got no answer');
		}, this.limits.resetTimeoutMs);
		this.#write(bytes);
	}

	/** Asks the server to cancel the running request. */
	cancel(attempt: ids.AttemptId): void {
		if (this.#execution?.effect.attempt !== attempt || this.#isCancelling) {
			return;
		}

		this.#isCancelling = true;
		cancelRequest.sendCancel(
			this.effect.address,
			this.#server.buildCancel(),
			this.limits.cancelTimeoutMs,
			(isAnswered) => {
				this.#handleCancelled(isAnswered);
			},
		);
	}

	/** Reads again after the sink asked for a pause. */
	resume(): void {
		if (this.#server.socket.isPaused()) {
			this.#server.socket.resume();
		}
	}

	/** Closes the connection; nothing is reported. */
	dispose(): void {
		clearTimeout(this.#resetTimer);
		this.#server.dispose();
		this.#execution = undefined;
		this.handleGone();
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

		if (size <= joinBytes) {
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
		const isTaken =
			sink.type === 'session'
				? this.options.relayToSession(sink.attempt, data)
				: this.options.relayToPeer(sink.peer, sink.attempt, data);
		if (!isTaken) {
			this.#server.socket.pause();
		}
	}

	#handleMessage(
		code: number,
		chunk: Buffer,
		start: number,
		end: number,
	): void {
		if (this.#execution && !this.#delayed) {
			this.#execution.handleMessage(code, chunk, start, end);
			return;
		}

		if (this.#resetAnswers > 0) {
			this.#handleResetMessage(code, chunk[start + 5]);
			return;
		}

		switch (code) {
			case messages.messageTypes.notification: {
				this.#notifications.push(Buffer.from(chunk.subarray(start, end)));
				return;
			}

			case messages.messageTypes.notice:
			case messages.messageTypes.parameterStatus:
			case messages.messageTypes.error: {
				// A FATAL error is followed by the close of the connection, which is reported.
				return;
			}

			default: {
				this.#server.close('a message without a request');
			}
		}
	}

	#handleResetMessage(code: number, statusByte: number | undefined): void {
		if (code === messages.messageTypes.error) {
			this.#resetFailed = true;
		}

		if (code !== messages.messageTypes.readyForQuery) {
			return;
		}

		this.#resetAnswers--;
		if (this.#resetAnswers > 0) {
			return;
		}

		clearTimeout(this.#resetTimer);
		this.#status = messages.parseTransactionStatus(statusByte);
		this.#skipsToSync = false;
		this.#prepared.clear();
		if (this.#resetFailed || this.#status !== 'idle') {
			this.#server.close('the reset failed');
			return;
		}

		this.options.dispatch({
			type: 'connectionReset',
			now: this.options.clock.now(),
			connection: this.id,
		});
	}

	#handleCancelled(isAnswered: boolean): void {
		if (!isAnswered) {
			// The cancellation may arrive later and would hit another request.
			this.#server.close('the cancel request got no answer');
		}

		this.#isCancelling = false;
		const outcome = this.#delayed;
		if (outcome) {
			this.#delayed = undefined;
			this.#handleFinished(outcome);
		}
	}

	#handleFinished(outcome: proxy.ExecutionOutcome): void {
		const execution = this.#execution;
		if (!execution) {
			return;
		}

		if (this.#isCancelling) {
			this.#delayed = outcome;
			return;
		}

		this.#execution = undefined;
		this.resume();
		const {effect, plan} = execution;
		this.#prepared.update(execution);
		if (outcome.type === 'answered') {
			this.#status = outcome.transactionStatus;
			this.#claim.update(execution, outcome.transactionStatus);
			this.#skipsToSync =
				plan.flushAnswers !== undefined && outcome.sqlState !== undefined;
		}

		this.#emitFinished(effect, outcome);
	}

	#handleEnd(message: string): void {
		clearTimeout(this.#resetTimer);
		this.handleGone();
		const execution = this.#execution;
		const outcome = this.#delayed;
		this.#execution = undefined;
		this.#delayed = undefined;
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
