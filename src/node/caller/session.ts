/**
 * One caller's session: reads requests, hands them over one at a time and writes the answers in
 * the order of the requests.
 */
import {Buffer} from 'node:buffer';
import type * as net from 'node:net';
import type * as ids from '../../common/ids.js';
import * as position from '../../common/position.js';
import type * as proxy from '../../common/proxy/types.js';
import type * as commonTypes from '../../common/types.js';
import * as frameReader from '../wire/frame-reader.js';
import * as messages from '../wire/messages.js';
import * as localAnswers from './local-answers.js';
import * as requestSplitter from './request-splitter.js';
import type * as settings from './settings.js';
import * as statements from './statements.js';
import type * as types from './types.js';

/** Time for the last bytes before a refused connection is cut, in ms. */
const closeDelayMs = 1000;
const abortedMessage =
	'current transaction is aborted, commands ignored until end of transaction block';

/** What a session reports. */
export type SessionHandler = {
	handleRequest(
		kind: proxy.RequestKind,
		attributes: proxy.RequestAttributes,
		payload: proxy.RequestPayload,
	): void;
	handleToken(token: commonTypes.Position): void;
	handleDrain(): void;
	handleClosed(): void;
};

type Request = Extract<types.Item, {type: 'request'}>;

/** The request that the reducer works on. */
type Running = {
	request: ids.RequestId | undefined;
	readonly item: Request;
	/** The attempt whose bytes the caller already has. */
	relayed: ids.AttemptId | undefined;
};

export class Session {
	readonly #reader: frameReader.FrameReader;
	readonly #splitter: requestSplitter.RequestSplitter;
	readonly #table: statements.StatementTable;
	#queue: types.Item[] = [];
	#queuedBytes = 0;
	#running: Running | undefined;
	#status: proxy.TransactionStatus = 'idle';
	/** An answer of the adapter failed the transaction; the server does not know it. */
	#isFailedHere = false;
	/** After a refusal that ended with Flush: everything up to Sync is ignored. */
	#skipsToSync = false;
	#isPumping = false;
	#isClosed = false;

	constructor(
		readonly socket: net.Socket,
		readonly id: ids.SessionId,
		private readonly values: settings.SessionSettings,
		private readonly limits: types.CallerLimits,
		private readonly handler: SessionHandler,
		statementPrefix: string,
	) {
		this.#reader = new frameReader.FrameReader(limits.frameBytes);
		this.#table = new statements.StatementTable(
			statementPrefix,
			limits.preparedStatements,
		);
		this.#splitter = new requestSplitter.RequestSplitter(
			this.#table,
			limits.frameBytes,
		);
	}

	get isClosed(): boolean {
		return this.#isClosed;
	}

	/** The attempt that owns the response at the moment, for flow control. */
	get relayedAttempt(): ids.AttemptId | undefined {
		return this.#running?.relayed;
	}

	/** Begins to read; `rest` are bytes that were received already. */
	start(rest: Buffer, first: types.Item | undefined): void {
		this.socket.on('data', (chunk: Buffer) => {
			this.#receive(chunk);
		});
		this.socket.on('drain', () => {
			this.handler.handleDrain();
		});
		this.socket.on('end', () => {
			this.#finishClose();
		});
		if (first) {
			this.#queue.push(first);
			this.#pump();
		}

		if (rest.length > 0) {
			this.#receive(rest);
		}
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
		if (this.#isClosed || !running || running.item.isHidden) {
			return true;
		}

		running.relayed ??= attempt;
		if (running.relayed !== attempt) {
			return true;
		}

		const isWritable = this.socket.write(data);
		if (this.socket.writableLength > this.limits.sendBufferBytes) {
			this.close('57014', 'the caller does not read its results');
		}

		return isWritable;
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
			this.close('08007', 'the answer was lost in transit');
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

		if (!running.item.isFlush) {
			this.#setStatus(messages.parseTransactionStatus(tail.at(-1)));
		}

		this.#running = undefined;
		this.#pump();
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
			this.close(sqlState, message);
			return;
		}

		this.#running = undefined;
		this.#setStatus(status);
		this.#writeRefusal(sqlState, message, running.item.isFlush);
		this.#pump();
	}

	/** Writes a FATAL error and closes the connection. */
	close(sqlState: string, message: string): void {
		if (this.#isClosed) {
			return;
		}

		this.socket.end(messages.buildError('FATAL', sqlState, message));
		setTimeout(() => {
			this.socket.destroy();
		}, closeDelayMs).unref();
		this.#finishClose();
	}

	/** Closes the connection at once. */
	destroy(): void {
		this.socket.destroy();
		this.#finishClose();
	}

	#finishClose(): void {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		this.#queue = [];
		// Bytes of a caller that was sent away are not kept.
		this.socket.removeAllListeners('data');
		this.socket.resume();
		this.handler.handleClosed();
		this.#running = undefined;
	}

	/** Passes on the parameters that the startup SET changed; an error ends the session. */
	#finishHidden(tail: Uint8Array): void {
		const reader = new frameReader.FrameReader(tail.length);
		reader.push(Buffer.from(tail));
		for (
			let message = reader.read();
			message instanceof Buffer;
			message = reader.read()
		) {
			if (message[0] === messages.codes.error) {
				this.close(
					messages.findErrorField(message, 'C') ?? '22023',
					messages.findErrorField(message, 'M') ?? 'invalid startup parameter',
				);
				return;
			}

			if (message[0] === messages.codes.parameterStatus) {
				this.socket.write(message);
			}
		}

		this.#running = undefined;
		this.#pump();
	}

	#setStatus(status: proxy.TransactionStatus): void {
		this.#status = status;
		if (status === 'idle') {
			this.#isFailedHere = false;
			this.values.clearLocal();
		}
	}

	#receive(chunk: Buffer): void {
		this.#reader.push(chunk);
		while (!this.#isClosed) {
			const frame = this.#reader.read();
			if (frame === undefined) {
				break;
			}

			if (typeof frame === 'string') {
				this.close(
					frame === 'tooLarge' ? '54000' : '08P01',
					frame === 'tooLarge'
						? `a message exceeds the limit of ${this.limits.frameBytes} bytes`
						: 'invalid message length',
				);
				return;
			}

			if (frame[0] === messages.codes.terminate) {
				this.destroy();
				return;
			}

			this.#handleFrame(frame);
		}

		this.#pump();
		this.#updateFlow();
	}

	#handleFrame(frame: Buffer): void {
		const item = this.#splitter.add(frame);
		if (!item) {
			return;
		}

		if (item.type === 'problem') {
			this.close(item.sqlState, item.message);
			return;
		}

		this.#queue.push(item);
		this.#queuedBytes += measureItem(item);
	}

	/** Pauses reading while enough requests wait. */
	#updateFlow(): void {
		const isFull =
			this.#queue.length > this.limits.queuedRequests ||
			this.#queuedBytes > this.limits.queuedBytes;
		if (isFull !== this.socket.isPaused() && !this.#isClosed) {
			if (isFull) {
				this.socket.pause();
			} else {
				this.socket.resume();
			}
		}
	}

	/** Works on the queue until a request is running. */
	#pump(): void {
		if (this.#isPumping) {
			return;
		}

		this.#isPumping = true;
		while (!this.#running && !this.#isClosed) {
			const item = this.#queue.shift();
			if (!item) {
				break;
			}

			this.#queuedBytes -= measureItem(item);
			this.#handleItem(item);
		}

		this.#isPumping = false;
		if (this.socket.isPaused()) {
			this.#updateFlow();
		}
	}

	#handleItem(item: types.Item): void {
		if (this.#skipsToSync) {
			if (!isFlushItem(item)) {
				this.#skipsToSync = false;
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
				'a request with a key must end with Query or Sync and cannot begin or end a transaction among other statements',
				item.isFlush,
			);
			return;
		}

		const isSimple = item.payload.frames[0] === messages.codes.query;
		if (this.#isFailedHere && item.kind !== 'rollback') {
			if (item.kind !== 'commit' || !isSimple) {
				this.#refuseHere('25P02', abortedMessage, item.isFlush);
				return;
			}

			// COMMIT of a failed transaction rolls back and says so.
			item = {
				...item,
				kind: 'rollback',
				payload: {frames: messages.buildMessage(0x51, ['ROLLBACK\0'])},
			};
		}

		this.#running = {request: undefined, item, relayed: undefined};
		this.handler.handleRequest(item.kind, attributes.value, item.payload);
	}

	#runLocal(item: Extract<types.Item, {type: 'local'}>): void {
		const answers: Uint8Array[] = [];
		for (const step of item.steps) {
			const answer = this.#runStep(step);
			if ('sqlState' in answer) {
				this.socket.write(Buffer.concat(answers));
				this.#refuseHere(
					answer.sqlState,
					answer.message,
					item.steps.at(-1)?.type !== 'ready',
				);
				return;
			}

			answers.push(answer);
		}

		this.socket.write(Buffer.concat(answers));
	}

	#runStep(step: types.LocalStep): Uint8Array | settings.SettingProblem {
		switch (step.type) {
			case 'message': {
				return step.data;
			}

			case 'describe': {
				return localAnswers.buildDescription(step.setting, step.isStatement);
			}

			case 'ready': {
				return messages.getReadyForQuery(this.#shownStatus);
			}

			case 'run': {
				return this.#runSetting(step.setting, step.isSimple);
			}
		}
	}

	#runSetting(
		setting: types.SettingStatement,
		isSimple: boolean,
	): Uint8Array | settings.SettingProblem {
		if (this.#shownStatus === 'failed') {
			return {sqlState: '25P02', message: abortedMessage};
		}

		const result = localAnswers.runSetting(
			setting,
			this.values,
			isSimple,
			this.#status === 'inTransaction',
		);
		if (result.type === 'problem') {
			return result.problem;
		}

		if (setting.type === 'set' && setting.name === 'token') {
			this.handler.handleToken(
				position.parsePosition(setting.value)._unsafeUnwrap(),
			);
		}

		return result.data;
	}

	/** Refuses without the reducer; like any error it fails an open transaction. */
	#refuseHere(sqlState: string, message: string, isFlush: boolean): void {
		this.#isFailedHere ||= this.#status === 'inTransaction';
		this.#writeRefusal(sqlState, message, isFlush);
	}

	#writeRefusal(sqlState: string, message: string, isFlush: boolean): void {
		const error = messages.buildError('ERROR', sqlState, message);
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

function isFlushItem(item: types.Item): boolean {
	return item.type === 'local'
		? item.steps.at(-1)?.type !== 'ready'
		: item.isFlush;
}

function measureItem(item: types.Item): number {
	switch (item.type) {
		case 'request': {
			return item.payload.frames.length;
		}

		case 'local': {
			return item.size;
		}

		case 'refusal': {
			return 0;
		}
	}
}
