/**
 * Works on the items of one session, one at a time: hands requests over, answers settings and
 * refusals itself and writes the answers.
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

/** What the runner needs of its session. */
export type RunnerHandler = {
	handleRequest(
		kind: proxy.RequestKind,
		attributes: proxy.RequestAttributes,
		payload: proxy.RequestPayload,
	): void;
	handleToken(token: commonTypes.Position): void;
	/** The next item may be started. */
	handleIdle(): void;
	/** The session cannot go on. */
	handleFatal(sqlState: string, message: string): void;
	/** The session cannot go on, and no error can be written. */
	handleBroken(): void;
};

type Request = Extract<types.Item, {type: 'request'}>;

/** The request that the reducer works on. */
type Running = {
	request: ids.RequestId | undefined;
	readonly item: Request;
	/** The attempt whose bytes the caller already has. */
	relayed: ids.AttemptId | undefined;
	/** Whether these bytes end with a whole message. */
	readonly boundary: messageBoundary.MessageBoundaryTracker;
};

export class ItemRunner {
	#running: Running | undefined;
	#status: proxy.TransactionStatus = 'idle';
	/** An answer of the adapter failed the transaction; the server does not know it. */
	#isFailedHere = false;
	/** After a refusal that ended with Flush: everything up to Sync is ignored. */
	#skipsToSync = false;
	/** A request may have left state on the connection, which is bound to the session since. */
	#hasState = false;
	/** A Flush left an implicit transaction open on the server. */
	#isImplicitOpen = false;

	constructor(
		private readonly socket: net.Socket,
		private readonly values: settings.SessionSettings,
		private readonly handler: RunnerHandler,
	) {
		// Fields are set by the parameters.
	}

	get isIdle(): boolean {
		return this.#running === undefined;
	}

	/** The attempt that owns the response at the moment, for flow control. */
	get relayedAttempt(): ids.AttemptId | undefined {
		return this.#running?.relayed;
	}

	/** Forgets the running request of a session that is closed. */
	clear(): void {
		this.#running = undefined;
	}

	/** Names the request that is about to be handed over. */
	setRequest(request: ids.RequestId): void {
		if (this.#running) {
			this.#running.request = request;
		}
	}

	isRunning(request: ids.RequestId): boolean {
		return this.#running?.request === request;
	}

	/** Writes response bytes; false asks the producer to wait for `handleDrain`. */
	relay(attempt: ids.AttemptId, data: Uint8Array): boolean {
		const running = this.#running;
		if (!running || running.item.isHidden) {
			return true;
		}

		running.relayed ??= attempt;
		if (running.relayed !== attempt) {
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

		if (running.relayed !== undefined && running.relayed !== attempt) {
			this.handler.handleFatal('08007', 'the answer was lost in transit');
			return;
		}

		if (running.item.isHidden) {
			this.#finishHidden(tail);
			return;
		}

		if (token) {
			const text = position.formatPosition(token);
			this.values.recordToken(text);
			this.socket.cork();
			this.socket.write(
				messages.buildParameterStatus('hemlockarch.token', text),
			);
			this.socket.write(tail);
			this.socket.uncork();
		} else {
			this.socket.write(tail);
		}

		this.#isImplicitOpen = running.item.isFlush;
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

		if (running.item.isHidden) {
			this.handler.handleFatal(sqlState, message);
			return;
		}

		if (!running.boundary.isAtBoundary) {
			// An error inside a data row would be read as a part of the row.
			this.handler.handleBroken();
			return;
		}

		this.#running = undefined;
		this.#setStatus(status);
		this.#writeRefusal(sqlState, message, running.item.isFlush);
		this.handler.handleIdle();
	}

	/** Starts or answers one item; not called while a request is running. */
	run(item: types.Item): void {
		if (this.#skipsToSync) {
			if (items.isFlushItem(item)) {
				return;
			}

			this.#skipsToSync = false;
			if (this.#isImplicitOpen) {
				this.#cancelImplicit('the request was refused', false);
			} else {
				this.socket.write(messages.getReadyForQuery(this.#shownStatus));
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
				this.#refuseHere(item.sqlState, item.message, item.isFlush);
			}
		}
	}

	/** Passes on the parameters that the startup SET changed; an error ends the session. */
	#finishHidden(tail: Uint8Array): void {
		const {error, parameters} = localAnswers.splitHiddenAnswer(tail);
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
			this.#isFailedHere = false;
			this.values.clearLocal();
		}
	}

	get #shownStatus(): proxy.TransactionStatus {
		return this.#isFailedHere ? 'failed' : this.#status;
	}

	#startRequest(item: Request): void {
		const attributes = this.values.buildAttributes(item.attributes);
		if (attributes.isErr()) {
			const {sqlState, message} = attributes.error;
			this.#refuseHere(sqlState, message, item.isFlush);
			return;
		}

		const isKeyed = attributes.value.key !== undefined;
		if (
			isKeyed &&
			(item.mixesControl || (item.isFlush && item.kind === 'write'))
		) {
			this.#refuseHere(
				'0A000',
				'a request with a key must end with Query or Sync, and cannot mix writes with transaction control or session state',
				item.isFlush,
			);
			return;
		}

		const isSimple = item.payload.frames[0] === messages.messageTypes.query;
		if (this.#isFailedHere && item.kind !== 'rollback') {
			if (item.kind !== 'commit' || !isSimple) {
				this.#refuseHere('25P02', localAnswers.abortedMessage, item.isFlush);
				return;
			}

			// COMMIT of a failed transaction rolls back and says so.
			item = {
				...item,
				kind: 'rollback',
				payload: {frames: messages.buildMessage(0x51, ['ROLLBACK\0'])},
			};
		}

		if (item.resetsSettings) {
			this.values.resetAll();
		}

		if (!this.#handleClearing(item)) {
			this.#hasState ||= item.kind === 'sessionState';
			this.#startRemote(item, attributes.value);
		}
	}

	#startRemote(item: Request, attributes: proxy.RequestAttributes): void {
		this.#running = {
			request: undefined,
			item,
			relayed: undefined,
			boundary: new messageBoundary.MessageBoundaryTracker(),
		};
		this.handler.handleRequest(item.kind, attributes, item.payload);
	}

	/**
	 * Drivers with pools send DISCARD ALL, RESET ALL and the like as a matter of course. Where the
	 * session has left no state there is nothing to remove, and no reason to bind a connection.
	 * Returns true when the request has been taken care of.
	 */
	#handleClearing(item: Request): boolean {
		if (this.#hasState || this.#status !== 'idle') {
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
			this.#startRemote({...item, kind}, {});
			return true;
		}

		return false;
	}

	#runLocal(item: Extract<types.Item, {type: 'local'}>): void {
		if (this.#isImplicitOpen) {
			const message = 'SET and SHOW of hemlockarch settings after Flush';
			this.#cancelImplicit(message, items.isFlushItem(item));
			return;
		}

		const result = localAnswers.runSteps(
			item.steps,
			this.values,
			this.#shownStatus,
			this.handler.handleToken,
		);
		this.socket.write(result.data);
		if (result.problem) {
			const {sqlState, message} = result.problem;
			this.#refuseHere(sqlState, message, items.isFlushItem(item));
		}
	}

	/** Refuses without the reducer; like any error it fails an open transaction. */
	#refuseHere(sqlState: string, message: string, isFlush: boolean): void {
		if (this.#isImplicitOpen) {
			this.#cancelImplicit(message, isFlush);
			return;
		}

		this.#isFailedHere ||= this.#status === 'inTransaction';
		this.#writeRefusal(sqlState, message, isFlush);
	}

	/**
	 * Makes the server roll back the implicit transaction that a Flush left open: it gets the message
	 * as a statement that it cannot parse, and its error is the answer.
	 */
	#cancelImplicit(message: string, isFlush: boolean): void {
		this.#startRemote(items.createFailingRequest(message, isFlush), {});
	}

	#writeRefusal(sqlState: string, message: string, isFlush: boolean): void {
		const error = messages.buildErrorResponse('ERROR', sqlState, message);
		if (isFlush) {
			this.#skipsToSync = true;
			this.socket.write(error);
		} else {
			this.socket.write(
				Buffer.concat([error, messages.getReadyForQuery(this.#shownStatus)]),
			);
		}
	}
}
