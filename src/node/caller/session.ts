/**
 * One caller's session: reads requests, dispatches them one at a time and writes the responses in
 * the order of the requests.
 */
import {type Buffer} from 'node:buffer';
import type * as net from 'node:net';
import type * as ids from '../../common/ids.js';
import type * as proxy from '../../common/proxy/types.js';
import type * as commonTypes from '../../common/types.js';
import type * as resourceGuard from '../limits/resource-guard.js';
import * as sessionBuffers from '../limits/session-buffers.js';
import type * as node from '../types.js';
import * as frameReader from '../wire/frame-reader.js';
import * as messages from '../wire/messages.js';
import * as itemRunner from './item-runner.js';
import * as items from './items.js';
import type * as requestLog from './request-log.js';
import * as requestSplitter from './request-splitter.js';
import type * as settings from './settings.js';
import * as statements from './statements.js';
import type * as types from './types.js';

const unknownOutcomeSqlState = '08007';
const outOfMemorySqlState = '53200';
const noMemoryMessage = 'the proxy is short of memory';
/**
 * Response bytes buffered for a slow caller above which the server's connection pauses. A smaller
 * response frees its slot while the caller still reads it.
 */
const maxRelayedBytes = 2 * 1024 * 1024;

type InputError = {readonly sqlState: string; readonly message: string};

export type SessionHandler = {
	/** The session is closed, and no error that answers its requests reaches the caller. */
	readonly handleUnanswered: (
		requests: requestLog.UnansweredRequests,
		cause: string,
	) => void;
	handleRequest(
		kind: proxy.RequestKind,
		attributes: proxy.RequestAttributes,
		payload: proxy.RequestPayload,
	): void;
	handleToken(token: commonTypes.Position): void;
	handleDrain(): void;
	handleClosed(): void;
};

export class Session {
	readonly #reader: frameReader.FrameReader;
	readonly #splitter: requestSplitter.RequestSplitter;
	readonly #table: statements.StatementTable;
	#queue: types.WorkItem[] = [];
	#queuedBytes = 0;
	readonly #runner: itemRunner.ItemRunner;
	#isRunningQueue = false;
	/** An error of the input, which closes the session after the answers to earlier requests. */
	#inputError: InputError | undefined;
	#isClosed = false;
	readonly #maxMessageBytes: number;
	readonly #buffers: sessionBuffers.SessionBuffers;

	constructor(
		readonly socket: net.Socket,
		readonly id: ids.SessionId,
		sessionSettings: settings.SessionSettings,
		private readonly limits: types.CallerLimits,
		private readonly handler: SessionHandler,
		statementPrefix: string,
		guard: resourceGuard.ResourceGuard,
		clock: Pick<node.Clock, 'now'>,
	) {
		this.#runner = new itemRunner.ItemRunner(socket, sessionSettings, {
			handleRequest: handler.handleRequest,
			handleToken: handler.handleToken,
			handleIdle: () => {
				this.#runQueue();
			},
			handleFatal: (sqlState, message) => {
				this.close(sqlState, message);
			},
			handleAbort: (message) => {
				this.#abort(message);
			},
		});
		this.#buffers = new sessionBuffers.SessionBuffers(socket, {
			listener: 'callers',
			guard,
			clock,
			shed: (limit) => {
				this.#shed(limit);
			},
		});
		this.#buffers.recordStartup();
		const {shareBytes} = guard.limits;
		this.#maxMessageBytes = Math.min(limits.frameBytes, shareBytes);
		this.#reader = new frameReader.FrameReader(this.#maxMessageBytes);
		this.#table = new statements.StatementTable(
			statementPrefix,
			limits.preparedStatements,
			Math.min(limits.preparedBytes, shareBytes),
		);
		this.#splitter = new requestSplitter.RequestSplitter(
			this.#table,
			this.#maxMessageBytes,
		);
	}

	get isClosed(): boolean {
		return this.#isClosed;
	}

	/** Processes the requests and receives their responses. */
	get runner(): itemRunner.ItemRunner {
		return this.#runner;
	}

	/** Begins to read; `remainder` holds bytes that were received already. */
	start(
		remainder: Buffer,
		startupSetRequest: types.WorkItem | undefined,
	): void {
		this.socket.on('data', (chunk: Buffer) => {
			this.#receive(chunk);
		});
		this.socket.on('drain', this.#handleDrain);
		this.socket.on('end', this.#finishClose);
		if (startupSetRequest) {
			this.#queue.push(startupSetRequest);
			this.#runQueue();
		}

		if (remainder.length > 0) {
			this.#receive(remainder);
		}
	}

	/** Writes response bytes; returns false when the producer should wait for `handleDrain`. */
	relay(attempt: ids.AttemptId, data: Uint8Array): boolean {
		if (this.#isClosed) {
			return true;
		}

		const isWritable = this.#runner.relay(attempt, data);
		if (this.socket.writableLength > this.limits.sendBufferBytes) {
			this.close('57014', 'the caller does not read its results');
		}

		return (
			isWritable ||
			this.socket.writableLength <=
				Math.min(maxRelayedBytes, this.limits.sendBufferBytes / 2)
		);
	}

	/**
	 * Closes the connection after a FATAL error, which answers all requests that are outstanding. The
	 * outcome of a request that may have run is unknown, whatever the reason of the close.
	 */
	close(sqlState: string, message: string): void {
		if (this.#isClosed) {
			return;
		}

		if (!this.#runner.isAtBoundary) {
			this.#abort(message);
			return;
		}

		const error = this.#runner.mayHaveRun
			? messages.buildErrorResponse(
					'FATAL',
					unknownOutcomeSqlState,
					`the outcome is unknown: ${message}`,
				)
			: messages.buildErrorResponse('FATAL', sqlState, message);
		this.#watchError(message);
		this.#end(error);
	}

	/** Closes the connection when a message or an answer takes too long. */
	checkTimes(): void {
		this.#buffers.checkTimes();
	}

	/** Closes the connection at once. */
	dispose(): void {
		this.socket.destroy();
		this.#finishClose();
	}

	/** Closes the connection after what has been written; the caller sees a broken connection. */
	#abort(cause: string): void {
		this.#reportUnanswered(cause);
		this.#end();
	}

	#reportUnanswered(cause: string): void {
		this.handler.handleUnanswered(this.#countOutstanding(), cause);
	}

	#countOutstanding(): requestLog.UnansweredRequests {
		return {
			running: this.#runner.hasRequest ? 1 : 0,
			queued: this.#queue.length,
		};
	}

	/** Reports the outstanding requests if the connection is closed here before their error was sent. */
	#watchError(cause: string): void {
		// The callback must not keep the state of the session in memory.
		const {socket} = this;
		const {handleUnanswered} = this.handler;
		const requests = this.#countOutstanding();
		socket.once('close', (hadError) => {
			if (!hadError && !socket.writableFinished) {
				handleUnanswered(requests, cause);
			}
		});
	}

	/** Closes the connection for a limit; one with unread answers at once, because they hold memory. */
	#shed(limit: proxy.LimitName): void {
		if (this.socket.writableLength > 0) {
			this.#reportUnanswered(`the limit ${limit} acted`);
			this.dispose();
		} else if (limit === 'MemoryBudget') {
			this.close(outOfMemorySqlState, noMemoryMessage);
			// What the caller still sends would take the memory that the shed has freed.
			this.socket.destroySoon();
		} else {
			this.close('08P01', 'the rest of a message did not arrive in time');
		}
	}

	#end(data?: Uint8Array): void {
		if (data) {
			this.socket.write(data);
		}

		this.socket.end();
		this.#buffers.scheduleDestroy();
		this.#finishClose();
	}

	readonly #handleDrain = (): void => {
		this.handler.handleDrain();
		this.#runQueue();
		this.#updateFlowControl();
	};

	readonly #finishClose = (): void => {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		this.#queue = [];
		this.#reader.clear();
		this.#table.clear();
		this.socket.off('drain', this.#handleDrain);
		this.socket.off('end', this.#finishClose);
		// Further input is read and discarded instead of buffered.
		this.socket.removeAllListeners('data');
		this.socket.resume();
		this.#buffers.dispose();
		this.handler.handleClosed();
		this.#runner.clear();
	};

	#receive(chunk: Buffer): void {
		if (this.#inputError) {
			return;
		}

		this.#reader.push(chunk);
		while (!this.#isClosed && !this.#inputError) {
			const frame = this.#reader.read();
			if (frame === undefined) {
				break;
			}

			if (typeof frame === 'string') {
				this.#stopReading(
					frame === 'tooLarge' ? '54000' : '08P01',
					frame === 'tooLarge'
						? `a message exceeds the limit of ${this.#maxMessageBytes} bytes`
						: 'invalid message length',
				);
				break;
			}

			if (frame[0] === messages.messageTypes.terminate) {
				this.dispose();
				return;
			}

			this.#handleFrame(frame);
		}

		this.#runQueue();
		this.#updateFlowControl();
	}

	#handleFrame(frame: Buffer): void {
		if (!this.#buffers.hasRoom(frame.length)) {
			this.#stopReading(outOfMemorySqlState, `not run: ${noMemoryMessage}`);
			return;
		}

		const item = this.#splitter.add(frame);
		if (!item) {
			return;
		}

		if (item.type === 'problem') {
			this.#stopReading(item.sqlState, item.message);
			return;
		}

		this.#queue.push(item);
		this.#queuedBytes += items.measureItem(item);
	}

	/**
	 * Discards the rest of the input and closes the session after the answers to earlier requests, so
	 * that the caller does not take the error for one of them.
	 */
	#stopReading(sqlState: string, message: string): void {
		this.#inputError = {sqlState, message};
		this.#reader.clear();
	}

	/** Charges the buffers, and pauses reading while they are full. */
	#updateFlowControl(): void {
		if (!this.#isClosed) {
			this.#buffers.update({
				input: this.#reader.size + this.#splitter.size,
				queued: this.#queuedBytes,
				state: this.#table.size,
				isInTransaction: this.#runner.isInTransaction,
				isQueueFull:
					this.#queue.length > this.limits.queuedRequests ||
					this.#queuedBytes > this.limits.queuedBytes,
			});
		}
	}

	/** Processes queued items until a request is running or the caller has to take its answers. */
	#runQueue(): void {
		if (this.#isRunningQueue) {
			return;
		}

		this.#isRunningQueue = true;
		while (
			this.#runner.isIdle &&
			!this.#isClosed &&
			!this.#buffers.isOutputFull
		) {
			this.#buffers.finish();
			const item = this.#queue.shift();
			if (!item) {
				break;
			}

			const size = items.measureItem(item);
			this.#queuedBytes -= size;
			this.#runner.run(
				item.type === 'request' && !this.#buffers.tryBegin(size)
					? {
							type: 'refusal',
							sqlState: outOfMemorySqlState,
							message: `not run: ${noMemoryMessage}`,
							isFlush: item.isFlush,
						}
					: item,
			);
		}

		this.#isRunningQueue = false;
		if (
			this.#inputError &&
			this.#runner.isIdle &&
			this.#queue.length === 0 &&
			!this.#isClosed
		) {
			this.close(this.#inputError.sqlState, this.#inputError.message);
		}

		if (this.socket.isPaused()) {
			this.#updateFlowControl();
		}
	}
}
