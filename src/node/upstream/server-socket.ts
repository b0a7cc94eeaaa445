/**
 * A connection to a server: TCP connect and startup within the connect timeout, then a stream of
 * messages.
 */
import type {Buffer} from 'node:buffer';
import * as net from 'node:net';
import * as pgProtocol from 'pg-protocol/dist/serializer';
import type * as ids from '../../common/ids.js';
import type * as commonTypes from '../../common/types.js';
import * as addresses from '../peer/addresses.js';
import * as messages from '../wire/messages.js';
import * as messageStream from './message-stream.js';

const invalidMessage = 'the server sent an invalid PostgreSQL message';

export type ServerSocketHandler = {
	handleOpen(): void;
	handleMessage(
		typeByte: number,
		chunk: Buffer,
		start: number,
		end: number,
	): void;
	handlePart(part: Buffer, remainingBytes: number): void;
	/** Called once after the connection was closed or could not be opened, unless it was disposed. */
	handleClose(message: string): void;
};

export type ServerSocketOptions = {
	readonly address: string;
	readonly epoch: commonTypes.Epoch;
	/** The customer whose requests run on the connection. */
	readonly customer?: ids.CustomerId | undefined;
	readonly user: string;
	readonly database: string;
	readonly connectTimeoutMs: number;
};

/** Formats an epoch as servers read it in `application_name` and `end_other_sessions`. */
export function formatEpoch(epoch: commonTypes.Epoch): string {
	return `${epoch.consensusTerm}.${epoch.counter}`;
}

/** As a startup option, the setting is the default of the session and survives DISCARD ALL. */
function formatCustomerOption(customer: ids.CustomerId): string {
	return `-c hemlockarch.customer=${customer.replaceAll(/[\\\s]/gv, String.raw`\$&`)}`;
}

export class ServerSocket {
	readonly socket: net.Socket;
	#processId = 0;
	#secretKey = 0;
	#isOpen = false;
	#isClosed = false;
	/** Message of the last FATAL or startup error, which explains the close that follows it. */
	#lastError: string | undefined;
	readonly #connectTimer: NodeJS.Timeout;

	constructor(
		private readonly options: ServerSocketOptions,
		private readonly handler: ServerSocketHandler,
	) {
		this.socket = net.connect(addresses.parseAddress(options.address));
		this.socket.setNoDelay(true);
		this.#connectTimer = setTimeout(() => {
			this.close('no connection within the time limit');
		}, options.connectTimeoutMs);
		const stream = new messageStream.MessageStream({
			handleMessage: (typeByte, chunk, start, end) => {
				this.#handleMessage(typeByte, chunk, start, end);
			},
			handlePart: (part, remainingBytes) => {
				if (!this.#isClosed) {
					handler.handlePart(part, remainingBytes);
				}
			},
			handleInvalidStream: () => {
				this.close(invalidMessage);
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

	get isClosed(): boolean {
		return this.#isClosed;
	}

	/** True while written bytes can reach the server. */
	get isWritable(): boolean {
		return this.#isOpen && !this.#isClosed && this.socket.writable;
	}

	/** Builds the CancelRequest packet of this connection. */
	buildCancelRequest(): Uint8Array {
		return pgProtocol.serialize.cancel(this.#processId, this.#secretKey);
	}

	/** Closes the connection; only the first call reports its reason. */
	close(message: string): void {
		if (this.#isClosed) {
			return;
		}

		this.#isClosed = true;
		clearTimeout(this.#connectTimer);
		this.socket.destroy();
		this.handler.handleClose(this.#lastError ?? message);
	}

	/** Closes the connection without calling `handleClose`. */
	dispose(): void {
		this.#isClosed = true;
		clearTimeout(this.#connectTimer);
		this.socket.destroy();
	}

	#sendStartup(): void {
		const {customer} = this.options;
		this.socket.write(
			pgProtocol.serialize.startup({
				user: this.options.user,
				database: this.options.database,
				application_name: `hemlockarch/${formatEpoch(this.options.epoch)}`,
				...(customer === undefined
					? {}
					: {options: formatCustomerOption(customer)}),
			}),
		);
	}

	#handleMessage(
		typeByte: number,
		chunk: Buffer,
		start: number,
		end: number,
	): void {
		if (this.#isClosed) {
			return;
		}

		if (typeByte === messages.messageTypes.error) {
			const message = chunk.subarray(start, end);
			if (!this.#isOpen || messages.findErrorField(message, 'S') !== 'ERROR') {
				this.#lastError = messages.findErrorField(message, 'M');
			}
		}

		if (this.#isOpen) {
			this.handler.handleMessage(typeByte, chunk, start, end);
		} else {
			this.#handleStartupMessage(typeByte, chunk.subarray(start, end));
		}
	}

	#handleStartupMessage(typeByte: number, message: Buffer): void {
		switch (typeByte) {
			case messages.messageTypes.authentication: {
				if (message.length < 9) {
					this.close(invalidMessage);
				} else if (message.readUInt32BE(5) !== 0) {
					this.close('the server requires authentication');
				}

				return;
			}

			case messages.messageTypes.backendKeyData: {
				if (message.length < 13) {
					this.close(invalidMessage);
					return;
				}

				this.#processId = message.readInt32BE(5);
				this.#secretKey = message.readInt32BE(9);
				return;
			}

			case messages.messageTypes.error: {
				this.close('the server refused the connection');
				return;
			}

			case messages.messageTypes.readyForQuery: {
				this.#isOpen = true;
				clearTimeout(this.#connectTimer);
				this.handler.handleOpen();
				break;
			}

			default: {
				// ParameterStatus and notices are ignored: callers get the proxy's own parameters.
				break;
			}
		}
	}
}
