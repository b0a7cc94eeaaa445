/**
 * The link to one peer: opens a TCP connection, sends `hello`, probes the connection with
 * `linkPing`, and reconnects with jittered backoff after it has closed.
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
	#isUp = false;
	#isDisposed = false;
	/** True after the loss of a link that was up, until it is up again. */
	#isLost = false;
	/** Reconnects since the link was last up. */
	#reconnectAttempts = 0;
	#pingSequence = 0;
	#reconnectTimer: NodeJS.Timeout | undefined;
	#stopPings: (() => void) | undefined;
	#connectingSocket: net.Socket | undefined;

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

	/** Sends a message once the peer has answered `hello`; drops it before that. */
	send(message: messages.PeerMessage): boolean {
		return this.#isUp && this.#link !== undefined && this.#link.send(message);
	}

	/** Closes the connection and stops reconnecting. */
	dispose(): void {
		this.#isDisposed = true;
		clearTimeout(this.#reconnectTimer);
		this.#connectingSocket?.destroy();
		this.#link?.close('the link was removed');
	}

	#connect(): void {
		const {host, port} = addresses.parseAddress(this.address);
		const socket = net.connect({host, port});
		this.#connectingSocket = socket;
		const timeout = setTimeout(() => {
			socket.destroy(new Error('no connection within the time limit'));
		}, this.limits.connectTimeoutMs);
		const handleFailure = (): void => {
			clearTimeout(timeout);
			this.#scheduleReconnect();
		};

		// An error without a listener would end the process; the close event that follows is handled.
		socket.on('error', () => undefined);
		socket.once('close', handleFailure);
		socket.once('connect', () => {
			clearTimeout(timeout);
			socket.off('close', handleFailure);
			this.#startLink(socket);
		});
	}

	#startLink(socket: net.Socket): void {
		this.#connectingSocket = undefined;
		const link = new linkSocket.LinkSocket(
			socket,
			this.limits,
			this.options.clock,
			{
				handleMessage: (message) => {
					this.#handleMessage(message);
				},
				handleClose: (reason) => {
					this.#handleClose(reason);
				},
				handleDrain: () => {
					this.options.listener.handleDrain?.(this.peer);
				},
				handleOversizeMessage: (type, size) => {
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
		let lastPingAt = this.options.clock.now();
		this.#stopPings = this.ticker.add(() => {
			const now = this.options.clock.now();
			if (now - lastPingAt >= this.limits.pingIntervalMs) {
				lastPingAt = now;
				this.#pingSequence++;
				link.send({type: 'linkPing', sequence: this.#pingSequence});
			}
		});
	}

	#handleMessage(message: messages.PeerMessage): void {
		if (message.type === 'linkPong') {
			return;
		}

		if (message.type !== 'hello' || this.#isUp) {
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

		this.#isUp = true;
		this.#reconnectAttempts = 0;
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

	#handleClose(reason: string): void {
		this.#stopPings?.();
		this.#link = undefined;
		const wasUp = this.#isUp;
		this.#isUp = false;
		if (wasUp) {
			this.#isLost = true;
			this.options.logger.write({
				level: this.#isDisposed ? 'debug' : 'warn',
				part: 'peer',
				message: `Lost the link to ${this.peer}: ${reason}.`,
			});
			this.options.listener.handleLinkChange(this.peer, false);
			// Producers that paused for this link must not wait for it to reconnect.
			this.options.listener.handleDrain?.(this.peer);
		}

		this.#scheduleReconnect();
	}

	#scheduleReconnect(): void {
		this.#connectingSocket = undefined;
		if (this.#isDisposed) {
			return;
		}

		const maxDelayMs = Math.min(
			this.limits.maxBackoffMs,
			this.limits.minBackoffMs * 2 ** Math.min(this.#reconnectAttempts, 16),
		);
		this.#reconnectAttempts++;
		const delayMs = Math.max(
			this.limits.minBackoffMs,
			maxDelayMs * (0.5 + this.options.random() / 2),
		);
		this.#reconnectTimer = setTimeout(() => {
			this.#connect();
		}, delayMs);
	}
}
