/**
 * The link to one peer: opens a TCP connection, introduces itself, probes it with `linkPing` and
 * opens a new one with jittered backoff when it ends.
 */
import * as net from 'node:net';
import type * as ids from '../../common/ids.js';
import type * as messages from '../../common/messages.js';
import * as addresses from './addresses.js';
import * as linkSocket from './link-socket.js';
import type * as linkTicker from './link-ticker.js';
import type * as types from './types.js';

/** Keeps the connection to one peer open. */
export class OutgoingLink {
	#link: linkSocket.LinkSocket | undefined;
	#up = false;
	#disposed = false;
	/** True from the loss of the link until it is up again. */
	#isLost = false;
	#failures = 0;
	#sequence = 0;
	#reconnect: NodeJS.Timeout | undefined;
	#stopPings: (() => void) | undefined;
	#connecting: net.Socket | undefined;

	constructor(
		readonly peer: ids.PeerId,
		readonly address: string,
		private readonly options: types.PeerLinksOptions,
		private readonly limits: types.LinkLimits,
		private readonly ticker: linkTicker.LinkTicker,
	) {
		this.#connect();
	}

	get isCongested(): boolean {
		return this.#link?.isCongested ?? false;
	}

	/** Sends when the peer has introduced itself; otherwise drops the message. */
	send(message: messages.PeerMessage): boolean {
		return this.#up && this.#link !== undefined && this.#link.send(message);
	}

	/** Closes the connection and does not open another one. */
	dispose(): void {
		this.#disposed = true;
		clearTimeout(this.#reconnect);
		this.#connecting?.destroy();
		this.#link?.close('the link was removed');
	}

	#connect(): void {
		const {host, port} = addresses.parseAddress(this.address);
		const socket = net.connect({host, port});
		this.#connecting = socket;
		const timeout = setTimeout(() => {
			socket.destroy(new Error('no connection within the time limit'));
		}, this.limits.connectTimeoutMs);
		const handleFailure = (): void => {
			clearTimeout(timeout);
			this.#scheduleReconnect();
		};

		// Keeps the process alive when the error comes with the close.
		socket.on('error', () => undefined);
		socket.once('close', handleFailure);
		socket.once('connect', () => {
			clearTimeout(timeout);
			socket.off('close', handleFailure);
			this.#start(socket);
		});
	}

	#start(socket: net.Socket): void {
		this.#connecting = undefined;
		const link = new linkSocket.LinkSocket(
			socket,
			this.limits,
			this.options.clock,
			{
				handleMessage: (message) => {
					this.#handleMessage(message);
				},
				handleEnd: (reason) => {
					this.#handleEnd(reason);
				},
				handleDrain: () => {
					this.options.listener.handleDrain?.(this.peer);
				},
				handleOversize: (type, size) => {
					this.options.logger.write({
						level: 'error',
						part: 'peer',
						message: `Dropped a ${type} message of ${size} bytes to ${this.peer}: it exceeds the frame limit.`,
					});
				},
			},
			this.ticker,
		);
		this.#link = link;
		link.send(this.options.hello);
		let pingedAt = this.options.clock.now();
		this.#stopPings = this.ticker.add(() => {
			const now = this.options.clock.now();
			if (now - pingedAt >= this.limits.pingIntervalMs) {
				pingedAt = now;
				this.#sequence++;
				link.send({type: 'linkPing', sequence: this.#sequence});
			}
		});
	}

	#handleMessage(message: messages.PeerMessage): void {
		if (message.type === 'linkPong') {
			return;
		}

		if (message.type !== 'hello' || this.#up) {
			this.#link?.close(`unexpected message ${message.type}`);
			return;
		}

		if (
			message.peer !== this.peer ||
			message.protocol !== this.options.hello.protocol
		) {
			this.#link?.close(
				`${this.address} is ${message.peer} with protocol ${message.protocol}`,
			);
			return;
		}

		this.#up = true;
		this.#failures = 0;
		if (this.#isLost) {
			this.#isLost = false;
			this.options.logger.write({
				level: 'info',
				part: 'peer',
				message: `Regained the link to ${this.peer}`,
			});
		}

		this.options.listener.handleLinkChange(this.peer, true);
	}

	#handleEnd(reason: string): void {
		this.#stopPings?.();
		this.#link = undefined;
		const wasUp = this.#up;
		this.#up = false;
		if (wasUp) {
			this.#isLost = true;
			this.options.logger.write({
				level: this.#disposed ? 'debug' : 'warn',
				part: 'peer',
				message: `Lost the link to ${this.peer}: ${reason}.`,
			});
			this.options.listener.handleLinkChange(this.peer, false);
			// Producers that paused for this link must not wait for it.
			this.options.listener.handleDrain?.(this.peer);
		}

		this.#scheduleReconnect();
	}

	#scheduleReconnect(): void {
		this.#connecting = undefined;
		if (this.#disposed) {
			return;
		}

		const ceiling = Math.min(
			this.limits.maxBackoffMs,
			this.limits.minBackoffMs * 2 ** Math.min(this.#failures, 16),
		);
		this.#failures++;
		const delay = Math.max(
			this.limits.minBackoffMs,
			ceiling * (0.5 + this.options.random() / 2),
		);
		this.#reconnect = setTimeout(() => {
			this.#connect();
		}, delay);
	}
}
