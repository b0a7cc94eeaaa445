/**
 * A connection to a peer after or before the exchange of `hello`, with its probes. Either side may have
 * opened it; both send on it.
 */
import type * as net from 'node:net';
import {assertNever} from '../../common/assert-never.js';
import type * as messages from '../../common/messages.js';
import * as traffic from '../../common/metrics/traffic.js';
import type * as node from '../types.js';
import * as linkProbe from './link-probe.js';
import * as linkSocket from './link-socket.js';
import type * as linkTicker from './link-ticker.js';
import * as messageRoles from './message-roles.js';
import type * as types from './types.js';

/** What the connections of a process share. */
export type ConnectionEnvironment = {
	readonly limits: types.LinkLimits;
	readonly clock: node.Clock;
	readonly ticker: linkTicker.LinkTicker;
	readonly location: traffic.Location;
	readonly traffic: traffic.TrafficCounters | undefined;
	/** Interval of the probes of a connection on which no answer is outstanding, in ms. */
	readIdleProbeInterval(): number;
	/** Is told that a peer did not answer a probe. */
	handleSilentPeer(): void;
};

export type PeerConnectionHandler = {
	handleHello(hello: types.Hello): void;
	/** Receives all messages except those of the links themselves. */
	handleMessage(message: messages.PeerMessage): void;
	handleClose(reason: string): void;
	handleDrain(): void;
	/** A message was dropped because its frame exceeds `frameBytes`. */
	handleOversizeMessage(type: string, size: number): void;
};

export class PeerConnection {
	readonly #socket: linkSocket.LinkSocket;
	readonly #probe: linkProbe.LinkProbe;
	readonly #ticks: linkTicker.LinkTaskHandle;
	readonly #openedAt: number;
	#isGreeted = false;
	#isUsedByPeer = false;
	#distance: traffic.Distance = 'unknown';

	constructor(
		socket: net.Socket,
		private readonly environment: ConnectionEnvironment,
		private readonly handler: PeerConnectionHandler,
	) {
		const {limits, clock, ticker} = environment;
		this.#openedAt = clock.now();
		this.#probe = new linkProbe.LinkProbe(limits, this.#openedAt);
		this.#socket = new linkSocket.LinkSocket(socket, limits, ticker, {
			handleMessage: (message) => {
				this.#handleMessage(message);
			},
			handleClose: (reason) => {
				this.#ticks.stop();
				handler.handleClose(reason);
			},
			handleDrain() {
				handler.handleDrain();
			},
			handleOversizeMessage(type, size) {
				handler.handleOversizeMessage(type, size);
			},
			recordFrame: (direction, type, bytes) => {
				environment.traffic?.record(direction, this.#distance, type, bytes);
			},
		});
		this.#ticks = ticker.add(() => {
			this.#handleTick();
			return this.#probe.needsPromptSteps;
		});
	}

	/** True once the peer has sent `hello`. */
	get isGreeted(): boolean {
		return this.#isGreeted;
	}

	/** True once the peer has sent a message other than `hello` and those of the probes. */
	get isUsedByPeer(): boolean {
		return this.#isUsedByPeer;
	}

	get isCongested(): boolean {
		return this.#socket.isCongested;
	}

	setWatched(isWatched: boolean): void {
		this.#probe.isWatched = isWatched;
		if (isWatched) {
			this.#ticks.ensureShortInterval();
		}
	}

	/** Probes the peer at the short interval until it has answered once. */
	requestProof(): void {
		this.#recordRequest();
	}

	/** Sends a message; false when it was dropped. */
	send(message: messages.PeerMessage): boolean {
		const isSent = this.#socket.send(message);
		if (isSent && messageRoles.getRole(message) === 'request') {
			this.#recordRequest();
		}

		return isSent;
	}

	close(reason: string): void {
		this.#socket.close(reason);
	}

	/** Closes the connection once the messages sent so far are written. */
	finish(reason: string): void {
		this.#socket.finish(reason);
	}

	#recordRequest(): void {
		this.#probe.recordRequest(this.environment.clock.now());
		this.#ticks.ensureShortInterval();
	}

	#handleMessage(message: messages.PeerMessage): void {
		if (message.type === 'hello') {
			if (this.#isGreeted) {
				this.close('duplicate hello');
			} else {
				this.#isGreeted = true;
				this.#distance = traffic.classifyDistance(
					this.environment.location,
					message,
				);
				this.#socket.acceptLargeFrames();
				this.handler.handleHello(message);
			}

			return;
		}

		if (!this.#isGreeted) {
			this.close('the first message is not hello');
			return;
		}

		const now = this.environment.clock.now();
		this.#probe.recordReceived(now, messageRoles.getRole(message) === 'answer');
		if (message.type === 'linkPing') {
			this.#probe.recordPeerPing(now);
			this.send({type: 'linkPong', sequence: message.sequence});
		} else if (message.type === 'linkPong') {
			this.#probe.recordPong(message.sequence);
		} else {
			this.#isUsedByPeer = true;
			this.handler.handleMessage(message);
		}
	}

	#handleTick(): void {
		const {clock, limits} = this.environment;
		this.#socket.closeIfSuspended();
		const now = clock.now();
		if (!this.#isGreeted) {
			if (now - this.#openedAt > limits.idleTimeoutMs) {
				this.close('no hello within the time limit');
			}

			return;
		}

		const decision = this.#probe.step(
			now,
			this.environment.readIdleProbeInterval(),
		);
		switch (decision.type) {
			case 'none': {
				return;
			}

			case 'ping': {
				this.send({type: 'linkPing', sequence: decision.sequence});
				return;
			}

			case 'silent': {
				this.environment.handleSilentPeer();
				this.close(
					`the peer is silent, ${this.#socket.unsentBytes} bytes are unsent`,
				);
				return;
			}

			default: {
				assertNever(decision);
			}
		}
	}
}
