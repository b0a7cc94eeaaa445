/**
 * A connection to a server: TCP connect and startup within the time limit, then a stream of
 * messages.
 */
import type {Buffer} from 'node:buffer';
import * as net from 'node:net';
import * as pgProtocol from 'pg-protocol/dist/serializer';
import type * as commonTypes from '../../common/types.js';
import * as addresses from '../peer/addresses.js';
import * as messages from '../wire/messages.js';
import * as messageStream from './message-stream.js';

export type ServerSocketHandler = {
	handleOpen(): void;
	handleMessage(code: number, chunk: Buffer, start: number, end: number): void;
	handlePart(part: Buffer, missing: number): void;
	/** Called once, also when the connection could not be opened. */
	handleEnd(message: string): void;
};

export type ServerSocketOptions = {
	readonly address: string;
	readonly epoch: commonTypes.Epoch;
	readonly user: string;
	readonly database: string;
	readonly connectTimeoutMs: number;
};

/** Formats the name under which servers know the connections of an epoch. */
export function formatEpoch(epoch: commonTypes.Epoch): string {
	return `${epoch.consensusTerm}.${epoch.counter}`;
}

export class ServerSocket {
	readonly socket: net.Socket;
	#processId = 0;
	#secretKey = 0;
	#isOpen = false;
	#isEnded = false;
	/** Text of a FATAL error, which explains the close that follows it. */
	#lastError: string | undefined;
	readonly #timer: NodeJS.Timeout;

	constructor(
		private readonly options: ServerSocketOptions,
		private readonly handler: ServerSocketHandler,
	) {
		this.socket = net.connect(addresses.parseAddress(options.address));
		this.socket.setNoDelay(true);
		this.#timer = setTimeout(() => {
			this.close('no connection within the time limit');
		}, options.connectTimeoutMs);
		const stream = new messageStream.MessageStream({
			handleMessage: (code, chunk, start, end) => {
				this.#handleMessage(code, chunk, start, end);
			},
			handlePart: (part, missing) => {
				if (!this.#isEnded) {
					handler.handlePart(part, missing);
				}
			},
			handleBadStream: () => {
				this.close('the server does not speak PostgreSQL');
			},
		});
		this.socket.once('connect', () => {
			this.#sendStartup();
		});
		this.socket.on('data', (chunk: Buffer) => {
			stream.receive(chunk);
		});
		this.socket.on('error', (error) => {
			this.close(error.message);
		});
		this.socket.on('close', () => {
			this.close('the server closed the connection');
		});
	}

	get isEnded(): boolean {
		return this.#isEnded;
	}

	/** True when written bytes may still reach the server. */
	get isWritable(): boolean {
		return this.#isOpen && !this.#isEnded && this.socket.writable;
	}

	/** The CancelRequest packet of this connection. */
	buildCancel(): Uint8Array {
		return pgProtocol.serialize.cancel(this.#processId, this.#secretKey);
	}

	/** Closes the connection and reports the reason once. */
	close(message: string): void {
		if (this.#isEnded) {
			return;
		}

		this.#isEnded = true;
		clearTimeout(this.#timer);
		this.socket.destroy();
		this.handler.handleEnd(this.#lastError ?? message);
	}

	/** Closes the connection without a report. */
	dispose(): void {
		this.#isEnded = true;
		clearTimeout(this.#timer);
		this.socket.destroy();
	}

	#sendStartup(): void {
		this.socket.write(
			pgProtocol.serialize.startup({
				user: this.options.user,
				database: this.options.database,
				application_name: `hemlockarch/${formatEpoch(this.options.epoch)}`,
			}),
		);
	}

	#handleMessage(
		code: number,
		chunk: Buffer,
		start: number,
		end: number,
	): void {
		if (this.#isEnded) {
			return;
		}

		if (code === messages.messageTypes.error) {
			const message = chunk.subarray(start, end);
			if (!this.#isOpen || messages.findErrorField(message, 'S') !== 'ERROR') {
				this.#lastError = messages.findErrorField(message, 'M');
			}
		}

		if (this.#isOpen) {
			this.handler.handleMessage(code, chunk, start, end);
		} else {
			this.#handleStartupMessage(code, chunk, start);
		}
	}

	#handleStartupMessage(code: number, chunk: Buffer, start: number): void {
		switch (code) {
			case messages.messageTypes.authentication: {
				if (chunk.readUInt32BE(start + 5) !== 0) {
					this.close('the server asks for a password');
				}

				return;
			}

			case messages.messageTypes.backendKeyData: {
				this.#processId = chunk.readInt32BE(start + 5);
				this.#secretKey = chunk.readInt32BE(start + 9);
				return;
			}

			case messages.messageTypes.error: {
				this.close('the server refused the connection');
				return;
			}

			case messages.messageTypes.readyForQuery: {
				this.#isOpen = true;
				clearTimeout(this.#timer);
				this.handler.handleOpen();
				break;
			}

			default: {
				// ParameterStatus and notices: callers get the parameters that the daemon reports.
				break;
			}
		}
	}
}
