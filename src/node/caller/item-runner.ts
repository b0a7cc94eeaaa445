/**
 * Processes the work items of one session, one at a time: dispatches requests, answers statements
 * on settings and refused requests itself, and writes the responses.
 */
import {Buffer} from 'node:buffer';
import type * as net from 'node:net';
import type * as ids from '../../common/ids.js';
import * as position from '../../common/position.js';
import type * as proxy from '../../common/proxy/types.js';
import type * as commonTypes from '../../common/types.js';
import * as messageBoundary from '../wire/message-boundary.js';
import * as messages from '../wire/messages.js';
import * as items from './items.js';
import * as localAnswers from './local-answers.js';
import type * as settings from './settings.js';
import type * as types from './types.js';

/** Callbacks to the session. */
export type RunnerHandler = {
	handleRequest(
		kind: proxy.RequestKind,
		attributes: proxy.RequestAttributes,
		payload: proxy.RequestPayload,
	): void;
	handleToken(token: commonTypes.Position): void;
	/** The next item may be started. */
	handleIdle(): void;
	/** The session must be closed with this error. */
	handleFatal(sqlState: string, message: string): void;
	/** The session must be closed without an error, because none can be written. */
	handleAbort(message: string): void;
};

type Request = Extract<types.WorkItem, {type: 'request'}>;

/** The request that the reducer is processing. */
type RunningRequest = {
	request: ids.RequestId | undefined;
	readonly item: Request;
	/** The attempt whose response bytes have been relayed to the caller. */
	relayedAttempt: ids.AttemptId | undefined;
	/** An attempt has been sent to an owner. */
	isStarted: boolean;
	/** Tells whether these bytes end with a whole message. */
	readonly boundary: messageBoundary.MessageBoundaryTracker;
};

export class ItemRunner {
	#running: RunningRequest | undefined;
	#status: proxy.TransactionStatus = 'idle';
	/** A refusal by the adapter failed the transaction, which is still open on the server. */
	#isFailedLocally = false;
	/** After the refusal of a request that ended with Flush: everything up to Sync is ignored. */
	#ignoresUntilSync = false;
	/** A request may have left state on a server connection, which stays bound to the session. */
	#hasSessionState = false;
	/** A Flush left an implicit transaction open on the server. */
	#isImplicitTransactionOpen = false;

	constructor(
		private readonly socket: net.Socket,
		private readonly sessionSettings: settings.SessionSettings,
		private readonly handler: RunnerHandler,
	) {
		// Fields are set by the parameters.
	}

	get isIdle(): boolean {
		return this.#running === undefined;
	}

	/** True while a request of the caller, not of the startup, is processed. */
	get hasRequest(): boolean {
		return this.#running !== undefined && !this.#running.item.isStartupSet;
	}

	/** True while a request of the caller may run at a server. */
	get mayHaveRun(): boolean {
		return this.hasRequest && this.#running!.isStarted;
	}

	/** False while the caller has received a part of a message, in which it would not see an error. */
	get isAtBoundary(): boolean {
		return this.#running?.boundary.isAtBoundary ?? true;
	}

	/** True while a transaction of the caller is open. */
	get isInTransaction(): boolean {
		return this.#status !== 'idle';
	}

	/** The attempt whose response is being relayed, for flow control. */
	get relayedAttempt(): ids.AttemptId | undefined {
		return this.#running?.relayedAttempt;
	}

	/** Drops the running request of a closed session. */
	clear(): void {
		this.#running = undefined;
	}

	/** Records the id of the request that is being dispatched. */
	setRequestId(request: ids.RequestId): void {
		if (this.#running) {
			this.#running.request = request;
		}
	}

	recordAttempt(): void {
		if (this.#running) {
			this.#running.isStarted = true;
		}
	}

	isRunning(request: ids.RequestId): boolean {
		return this.#running?.request === request;
	}

	/** Writes response bytes; returns false when the producer should wait for `handleDrain`. */
	relay(attempt: ids.AttemptId, data: Uint8Array): boolean {
		const running = this.#running;
		if (!running || running.item.isStartupSet) {
			return true;
		}

		running.relayedAttempt ??= attempt;
		if (running.relayedAttempt !== attempt) {
			return true;
		}

		running.boundary.add(data);
		return this.socket.write(data);
	}

	finishRequest(
		attempt: ids.AttemptId,
		tail: Uint8Array,
		token: commonTypes.Position | undefined,
	): void {
		const running = this.#running;
		if (!running) {
			return;
		}

		if (
			running.relayedAttempt !== undefined &&
			running.relayedAttempt !== attempt
		) {
			this.handler.handleFatal('08007', 'the answer was lost in transit');
			return;
		}

		if (running.item.isStartupSet) {
			this.#finishStartupSet(tail);
			return;
		}

		if (token) {
			const text = position.formatPosition(token);
			this.sessionSettings.recordToken(text);
			this.socket.cork();
			this.socket.write(
				messages.buildParameterStatus('hemlockarch.token', text),
			);
			this.socket.write(tail);
			this.socket.uncork();
		} else {
			this.socket.write(tail);
		}

		this.#isImplicitTransactionOpen = running.item.isFlush;
		if (!running.item.isFlush) {
			this.#setStatus(messages.parseTransactionStatus(tail.at(-1)));
		}

		this.#running = undefined;
		this.handler.handleIdle();
	}

	refuseRequest(
		sqlState: string,
		message: string,
		status: proxy.TransactionStatus,
	): void {
		const running = this.#running;
		if (!running) {
			return;
		}

		if (running.item.isStartupSet) {
			this.handler.handleFatal(sqlState, message);
			return;
		}

		if (!this.isAtBoundary) {
			this.handler.handleAbort(message);
			return;
		}

		this.#running = undefined;
		this.#setStatus(status);
		this.#writeRefusal(sqlState, message, running.item.isFlush);
		this.handler.handleIdle();
	}

	/** Dispatches or answers one item; must not be called while a request is running. */
	run(item: types.WorkItem): void {
		if (this.#ignoresUntilSync) {
			if (items.isFlushItem(item)) {
				return;
			}

			this.#ignoresUntilSync = false;
			if (this.#isImplicitTransactionOpen) {
				this.#rollBackImplicitTransaction('the request was refused', false);
			} else {
				this.socket.write(messages.getReadyForQuery(this.#reportedStatus));
			}

			return;
		}

		switch (item.type) {
			case 'request': {
				this.#startRequest(item);
				return;
			}

			case 'local': {
				this.#runLocal(item);
				return;
			}

			case 'refusal': {
				this.#refuseLocally(item.sqlState, item.message, item.isFlush);
			}
		}
	}

	/** Reports the parameters that the startup SET changed; an error closes the session. */
	#finishStartupSet(tail: Uint8Array): void {
		const {error, parameters} = localAnswers.parseStartupSetResponse(tail);
		if (error) {
			this.handler.handleFatal(error.sqlState, error.message);
			return;
		}

		this.socket.write(parameters);
		this.#running = undefined;
		this.handler.handleIdle();
	}

	#setStatus(status: proxy.TransactionStatus): void {
		this.#status = status;
		if (status === 'idle') {
			this.#isFailedLocally = false;
			this.sessionSettings.clearLocal();
		}
	}

	get #reportedStatus(): proxy.TransactionStatus {
		return this.#isFailedLocally ? 'failed' : this.#status;
	}

	#startRequest(item: Request): void {
		const attributes = this.sessionSettings.buildAttributes(item.attributes);
		if (attributes.isErr()) {
			const {sqlState, message} = attributes.error;
			this.#refuseLocally(sqlState, message, item.isFlush);
			return;
		}

		const hasKey = attributes.value.key !== undefined;
		if (
			hasKey &&
			(item.preventsKeyClaim || (item.isFlush && item.kind === 'write'))
		) {
			this.#refuseLocally(
				'0A000',
				'a request with a key must end with Query or Sync, and cannot mix writes with transaction control or session state',
				item.isFlush,
			);
			return;
		}

		const isSimple = item.payload.frames[0] === messages.messageTypes.query;
		if (this.#isFailedLocally && item.kind !== 'rollback') {
			if (item.kind !== 'commit' || !isSimple) {
				this.#refuseLocally('25P02', localAnswers.abortedMessage, item.isFlush);
				return;
			}

			// As in PostgreSQL, COMMIT of a failed transaction rolls back and returns the tag ROLLBACK.
			item = {
				...item,
				kind: 'rollback',
				payload: {frames: messages.buildMessage(0x51, ['ROLLBACK\0'])},
			};
		}

		if (item.resetsSettings) {
			this.sessionSettings.resetAll();
		}

		if (!this.#handleClearing(item)) {
			this.#hasSessionState ||= item.kind === 'sessionState';
			this.#dispatchRequest(item, attributes.value);
		}
	}

	#dispatchRequest(item: Request, attributes: proxy.RequestAttributes): void {
		this.#running = {
			request: undefined,
			item,
			relayedAttempt: undefined,
			isStarted: false,
			boundary: new messageBoundary.MessageBoundaryTracker(),
		};
		this.handler.handleRequest(item.kind, attributes, item.payload);
	}

	/**
	 * Handles statements that only remove session state. Drivers with connection pools send DISCARD
	 * ALL, RESET ALL and the like routinely. A session that has left no state has nothing to remove,
	 * and no connection needs to be bound to it. Returns true when the request has been handled.
	 */
	#handleClearing(item: Request): boolean {
		if (this.#hasSessionState || this.#status !== 'idle') {
			return false;
		}

		if (item.clearing === 'statements') {
			this.socket.write(
				Buffer.concat([
					messages.buildCommandComplete(
						item.resetsSettings ? 'DISCARD ALL' : 'DEALLOCATE ALL',
					),
					messages.getReadyForQuery('idle'),
				]),
			);
			return true;
		}

		if (item.clearing === 'session') {
			const kind = 'read';
			this.#dispatchRequest({...item, kind}, {});
			return true;
		}

		return false;
	}

	#runLocal(item: Extract<types.WorkItem, {type: 'local'}>): void {
		if (this.#isImplicitTransactionOpen) {
			const message = 'SET and SHOW of hemlockarch settings after Flush';
			this.#rollBackImplicitTransaction(message, items.isFlushItem(item));
			return;
		}

		const result = localAnswers.runSteps(
			item.steps,
			this.sessionSettings,
			this.#reportedStatus,
			this.handler.handleToken,
		);
		this.socket.write(result.data);
		if (result.problem) {
			const {sqlState, message} = result.problem;
			this.#refuseLocally(sqlState, message, items.isFlushItem(item));
		}
	}

	/** Refuses an item without involving the reducer; like any error this fails an open transaction. */
	#refuseLocally(sqlState: string, message: string, isFlush: boolean): void {
		if (this.#isImplicitTransactionOpen) {
			this.#rollBackImplicitTransaction(message, isFlush);
			return;
		}

		this.#isFailedLocally ||= this.#status === 'inTransaction';
		this.#writeRefusal(sqlState, message, isFlush);
	}

	/**
	 * Makes the server roll back the implicit transaction that a Flush left open: sends the message as
	 * a statement that the server cannot parse; the error of the server becomes the response.
	 */
	#rollBackImplicitTransaction(message: string, isFlush: boolean): void {
		this.#dispatchRequest(items.createFailingRequest(message, isFlush), {});
	}

	#writeRefusal(sqlState: string, message: string, isFlush: boolean): void {
		const error = messages.buildErrorResponse('ERROR', sqlState, message);
		if (isFlush) {
			this.#ignoresUntilSync = true;
			this.socket.write(error);
		} else {
			this.socket.write(
				Buffer.concat([error, messages.getReadyForQuery(this.#reportedStatus)]),
			);
		}
	}
}
