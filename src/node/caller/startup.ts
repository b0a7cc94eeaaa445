/**
 * The startup phase of a caller's connection. `pg-gateway` parses and checks the startup packet.
 * It receives whole packets only and is detached from the socket, because it processes chunks
 * asynchronously and would otherwise affect the order of all later messages.
 */
import {Buffer} from 'node:buffer';
import type * as net from 'node:net';
import * as pgGateway from 'pg-gateway';
import * as frameReader from '../wire/frame-reader.js';
import * as messages from '../wire/messages.js';
import * as startupParameters from './startup-parameters.js';

/** Largest startup packet, as in PostgreSQL. */
const maxPacketBytes = 10_000;
const cancelRequestCode = 80_877_102;
const sslRequestCode = 80_877_103;
const gssEncRequestCode = 80_877_104;
/** Callers ask once for TLS and once for GSSAPI. */
const maxEncryptionRequests = 2;

export type StartupHandler = {
	handleCancel(processId: number, key: number): void;
	/** `remainder` holds the bytes that followed the startup packet. */
	handleStartup(
		parameters: Readonly<Record<string, string>>,
		remainder: Buffer,
	): void;
};

/** Reads packets of a new connection until the startup packet is complete. */
class Startup {
	readonly #reader = new frameReader.FrameReader(maxPacketBytes);
	readonly #gateway: pgGateway.PostgresConnection;
	readonly #timer: NodeJS.Timeout;
	#parameters: Record<string, string> | undefined;
	#encryptionRequests = 0;
	#isBusy = false;
	#isDone = false;

	constructor(
		private readonly socket: net.Socket,
		private readonly handler: StartupHandler,
		timeoutMs: number,
	) {
		this.#gateway = new pgGateway.PostgresConnection(socket, {
			authMode: 'none',
			onStartup: (state) => {
				this.#parameters = state.clientInfo?.parameters;
				return true;
			},
		});
		this.#gateway.detach();
		this.#timer = setTimeout(() => {
			this.dispose();
			socket.destroy();
		}, timeoutMs);
	}

	/** Begins to read packets. */
	start(): void {
		this.socket.on('data', this.#receive);
		this.socket.once('close', this.dispose);
	}

	/** Stops listening to the socket. */
	readonly dispose = (): void => {
		this.#isDone = true;
		clearTimeout(this.#timer);
		this.socket.off('data', this.#receive);
		this.socket.off('close', this.dispose);
	};

	readonly #receive = (chunk: Buffer): void => {
		this.#reader.push(chunk);
		this.#readPackets();
	};

	#readPackets(): void {
		while (!this.#isDone && !this.#isBusy) {
			const head = this.#reader.peek(8);
			if (!head) {
				return;
			}

			const length = head.readUInt32BE(0);
			if (length < 8 || length > maxPacketBytes) {
				this.#refuse('invalid length of startup packet');
				return;
			}

			const packet = this.#reader.take(length);
			if (!packet) {
				return;
			}

			this.#handlePacket(packet);
		}
	}

	#handlePacket(packet: Buffer): void {
		const code = packet.readUInt32BE(4);
		if (code === cancelRequestCode && packet.length >= 16) {
			this.dispose();
			this.handler.handleCancel(
				packet.readUInt32BE(8),
				packet.readUInt32BE(12),
			);
			this.socket.end();
		} else if (this.#isExcessiveRequest(code)) {
			this.#refuse('encryption was refused already');
		} else if (code === gssEncRequestCode) {
			this.socket.write('N');
		} else if (
			code !== sslRequestCode &&
			!startupParameters.hasValidStrings(packet)
		) {
			this.#refuse('invalid startup packet layout');
		} else {
			this.#isBusy = true;
			void this.#runGateway(packet);
		}
	}

	/** Counts requests for encryption, whose answers a caller may leave unread. */
	#isExcessiveRequest(code: number): boolean {
		if (code !== sslRequestCode && code !== gssEncRequestCode) {
			return false;
		}

		this.#encryptionRequests++;
		return this.#encryptionRequests > maxEncryptionRequests;
	}

	async #runGateway(packet: Buffer): Promise<void> {
		await this.#gateway.handleData(packet);
		this.#isBusy = false;
		if (this.#isDone) {
			return;
		}

		if (this.socket.writableEnded) {
			// The gateway has refused the packet.
			this.dispose();
		} else if (this.#parameters) {
			this.dispose();
			const remainder = this.#reader.take(this.#reader.size) ?? Buffer.alloc(0);
			this.handler.handleStartup(this.#parameters, remainder);
		} else {
			this.#readPackets();
		}
	}

	#refuse(message: string): void {
		this.dispose();
		this.socket.end(messages.buildErrorResponse('FATAL', '08P01', message));
	}
}

/** Reads the startup packet of a new connection; destroys the socket after `timeoutMs`. */
export function readStartup(
	socket: net.Socket,
	handler: StartupHandler,
	timeoutMs: number,
): void {
	const startup = new Startup(socket, handler, timeoutMs);
	startup.start();
}
