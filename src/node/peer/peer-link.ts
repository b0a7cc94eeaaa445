/**
 * The link to one peer: one connection that either side opened and that both use. It is opened by the
 * first message. Until an attempt to connect fails, the peer counts as reachable; after a failure or a
 * loss, the link reconnects with jittered backoff before it accepts messages again.
 *
 * When both sides open a connection at the same time, each side keeps sending on the one that it used
 * first, because messages on another connection could overtake those in flight. The end of either
 * connection then ends the link, so that both sides report the loss.
 */
import * as net from 'node:net';
import type * as ids from '../../common/ids.js';
import type * as messages from '../../common/messages.js';
import * as addresses from './addresses.js';
import * as peerConnection from './peer-connection.js';
import type * as types from './types.js';

/** Messages kept for a connection that is not open yet. */
const maxQueuedMessages = 1024;

export class PeerLink {
	#address: string | undefined;
	/** The connection that this side opened. */
	#opened: peerConnection.PeerConnection | undefined;
	/** The connection that the peer opened. */
	#accepted: peerConnection.PeerConnection | undefined;
	/** The connection on which this side sends. */
	#current: peerConnection.PeerConnection | undefined;
	#isUp = false;
	#isWatched = false;
	/** When `#current` was set. */
	#currentSince = 0;
	/** Incarnation in the last `hello` of the peer. */
	#incarnation = 0;
	/** True after the loss of a connection in use, until the link is up again. */
	#isLost = false;
	/** Attempts to connect since the link was last up. */
	#reconnectAttempts = 0;
	#reconnectTimer: NodeJS.Timeout | undefined;
	#connectingSocket: net.Socket | undefined;
	readonly #queuedMessages: messages.PeerMessage[] = [];

	constructor(
		readonly peer: ids.PeerId,
		private readonly options: types.PeerLinksOptions,
		private readonly environment: peerConnection.ConnectionEnvironment,
	) {}

	get address(): string | undefined {
		return this.#address;
	}

	get isCongested(): boolean {
		return this.#current?.isCongested ?? false;
	}

	/** True while a connection is open or can be opened. */
	get isNeeded(): boolean {
		return this.#address !== undefined || this.#accepted !== undefined;
	}

	/** Sets where the peer listens. The peer counts as reachable from the next event-loop turn on. */
	setAddress(address: string): void {
		if (this.#address === address) {
			return;
		}

		this.#address = address;
		this.#reconnectAttempts = 0;
		this.#cancelConnecting();
		this.#opened?.close('the peer has another address');
		if (!this.#isUp) {
			// The caller may be in the middle of handling effects.
			setImmediate(() => {
				if (this.#address === address) {
					this.#setUp();
				}
			});
		}
	}

	/** Forgets the address and closes the connection that this side opened. */
	removeAddress(): void {
		this.#address = undefined;
		this.#cancelConnecting();
		this.#opened?.close('the link was removed');
		this.#setDown();
	}

	/** Probes the peer at the short interval while work depends on it. */
	setWatched(isWatched: boolean): void {
		this.#isWatched = isWatched;
		if (this.#current) {
			this.#current.setWatched(isWatched);
		} else if (isWatched && this.#isUp) {
			this.#ensureConnecting();
		}
	}

	/** Sends a message, or keeps it until the connection is open; false when it was dropped. */
	send(message: messages.PeerMessage): boolean {
		if (this.#current) {
			return this.#current.send(message);
		}

		if (
			!this.#isUp ||
			this.#queuedMessages.length >= maxQueuedMessages ||
			// Response data belongs to the connection on which the request came, and that one is lost.
			message.type === 'forwardChunk'
		) {
			return false;
		}

		this.#queuedMessages.push(message);
		this.#ensureConnecting();
		return true;
	}

	/** Uses a connection that the peer opened and on which `hello` was exchanged. */
	acceptConnection(
		connection: peerConnection.PeerConnection,
		incarnation: number,
	): void {
		// A new connection replaces the old one, whose late frames would be out of order.
		this.#accepted?.close('the peer opened a new connection');
		const isRestarted = incarnation !== this.#incarnation;
		this.#incarnation = incarnation;
		const age = this.environment.clock.now() - this.#currentSince;
		if (isRestarted || age > this.environment.limits.connectTimeoutMs) {
			// A peer that knows of the current connection opens another one only after it has closed it.
			this.#current?.close(
				isRestarted
					? 'the peer has restarted'
					: 'the peer opened a new connection',
			);
		} else {
			this.#current?.requestProof();
		}

		this.#accepted = connection;
		this.#startUsing(connection);
	}

	/** Handles the end of a connection that was accepted. */
	handleAcceptedClose(
		connection: peerConnection.PeerConnection,
		reason: string,
	): void {
		if (this.#accepted === connection) {
			this.#accepted = undefined;
		}

		this.#handleClose(connection, reason);
	}

	logOversizeMessage(type: string, size: number): void {
		this.#log(
			'error',
			`Dropped a ${type} message of ${size} bytes to ${this.peer}: it exceeds the frame limit.`,
		);
	}

	/** Closes the connections; both sides treat their messages in flight as lost. */
	reset(): void {
		this.#opened?.close('the link is reset');
		this.#accepted?.close('the link is reset');
	}

	/** Closes all connections without a report. */
	dispose(): void {
		this.#address = undefined;
		this.#isUp = false;
		this.#cancelConnecting();
		this.#opened?.close('the process stops');
		this.#accepted?.close('the process stops');
	}

	#ensureConnecting(): void {
		if (
			this.#address !== undefined &&
			this.#connectingSocket === undefined &&
			this.#opened === undefined &&
			this.#reconnectTimer === undefined
		) {
			this.#connect(this.#address);
		}
	}

	#cancelConnecting(): void {
		clearTimeout(this.#reconnectTimer);
		this.#reconnectTimer = undefined;
		const socket = this.#connectingSocket;
		// Its close event must not count as a failure of a later attempt.
		this.#connectingSocket = undefined;
		socket?.destroy();
	}

	#connect(address: string): void {
		const {host, port} = addresses.parseAddress(address);
		const socket = net.connect({host, port});
		this.#connectingSocket = socket;
		const timeout = setTimeout(() => {
			socket.destroy(new Error('no connection within the time limit'));
		}, this.environment.limits.connectTimeoutMs);
		// An error without a listener would end the process; the close event that follows is handled.
		socket.on('error', () => undefined);
		socket.once('close', () => {
			clearTimeout(timeout);
			if (this.#connectingSocket === socket) {
				this.#connectingSocket = undefined;
				this.#handleConnectFailure();
			}
		});
		socket.once('connect', () => {
			clearTimeout(timeout);
			this.#connectingSocket = undefined;
			this.#open(socket);
		});
	}

	#open(socket: net.Socket): void {
		const connection = new peerConnection.PeerConnection(
			socket,
			this.environment,
			{
				handleHello: (hello) => {
					this.#handleHello(connection, hello);
				},
				handleMessage: (message) => {
					this.options.listener.handleMessage(this.peer, message);
				},
				handleClose: (reason) => {
					this.#opened = undefined;
					if (connection.isGreeted) {
						this.#handleClose(connection, reason);
					} else {
						this.#handleConnectFailure();
					}
				},
				handleDrain: () => {
					this.options.listener.handleDrain?.(this.peer);
				},
				handleOversizeMessage: (type, size) => {
					this.logOversizeMessage(type, size);
				},
			},
		);
		this.#opened = connection;
		connection.send(this.options.hello);
	}

	#handleHello(
		connection: peerConnection.PeerConnection,
		hello: types.Hello,
	): void {
		if (
			hello.peer === this.peer &&
			hello.protocol === this.options.hello.protocol
		) {
			if (hello.incarnation !== this.#incarnation) {
				this.#incarnation = hello.incarnation;
				this.#current?.close('the peer has restarted');
			}

			this.#startUsing(connection);
			return;
		}

		this.#log(
			'warn',
			`Refused the connection to ${this.peer}: ${this.#address} is ${hello.peer} with protocol ${hello.protocol}.`,
		);
		connection.close('another peer or protocol version');
	}

	#startUsing(connection: peerConnection.PeerConnection): void {
		this.#reconnectAttempts = 0;
		if (this.#current) {
			return;
		}

		clearTimeout(this.#reconnectTimer);
		this.#reconnectTimer = undefined;
		this.#current = connection;
		this.#currentSince = this.environment.clock.now();
		connection.setWatched(this.#isWatched);
		if (this.#isLost) {
			this.#isLost = false;
			this.#log('info', `Regained the link to ${this.peer}`);
		}

		const queued = this.#queuedMessages.splice(0);
		for (const message of queued) {
			connection.send(message);
		}

		this.#setUp();
	}

	#handleConnectFailure(): void {
		if (!this.#current) {
			this.#setDown();
			this.#scheduleReconnect();
		}
	}

	#handleClose(
		connection: peerConnection.PeerConnection,
		reason: string,
	): void {
		if (this.#current !== connection) {
			if (connection.isUsedByPeer) {
				this.#current?.close(`the connection of the peer ended, ${reason}`);
			}

			return;
		}

		this.#current = undefined;
		if (this.#isUp) {
			this.#isLost = true;
			this.#log('warn', `Lost the link to ${this.peer}: ${reason}.`);
		}

		this.#setDown();
		const other = [this.#opened, this.#accepted].find(
			(candidate) => candidate?.isGreeted,
		);
		if (other?.isUsedByPeer) {
			other.close('the other connection of the link ended');
			this.#scheduleReconnect();
		} else if (other) {
			this.#startUsing(other);
		} else {
			this.#scheduleReconnect();
		}
	}

	#setUp(): void {
		if (!this.#isUp) {
			this.#isUp = true;
			this.options.listener.handleLinkChange(this.peer, true);
		}
	}

	#setDown(): void {
		const unsent = this.#queuedMessages.splice(0);
		if (!this.#isUp) {
			return;
		}

		this.#isUp = false;
		for (const message of unsent) {
			this.options.listener.handleUnsentMessage?.(this.peer, message);
		}

		this.options.listener.handleLinkChange(this.peer, false);
		// Producers that paused for this link must not wait for it to reconnect.
		this.options.listener.handleDrain?.(this.peer);
	}

	#scheduleReconnect(): void {
		if (this.#address === undefined || this.#reconnectTimer !== undefined) {
			return;
		}

		const {minBackoffMs, maxBackoffMs} = this.environment.limits;
		const maxDelayMs = Math.min(
			maxBackoffMs,
			minBackoffMs * 2 ** Math.min(this.#reconnectAttempts, 16),
		);
		this.#reconnectAttempts++;
		const delayMs = Math.max(
			minBackoffMs,
			maxDelayMs * (0.5 + this.options.random() / 2),
		);
		this.#reconnectTimer = setTimeout(() => {
			this.#reconnectTimer = undefined;
			this.#ensureConnecting();
		}, delayMs);
	}

	#log(level: 'info' | 'warn' | 'error', message: string): void {
		this.options.logger.write({level, part: 'peer', message});
	}
}
