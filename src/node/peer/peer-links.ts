/**
 * Links to all peers: one connection for each pair of peers that exchange messages.
 */
import * as net from 'node:net';
import type * as ids from '../../common/ids.js';
import type * as messages from '../../common/messages.js';
import type * as node from '../types.js';
import * as linkTicker from './link-ticker.js';
import * as peerConnection from './peer-connection.js';
import * as peerLink from './peer-link.js';
import * as probeSchedule from './probe-schedule.js';
import * as types from './types.js';

/** Version of the peer protocol. Peers close connections with peers of another version. */
export const protocolVersion = 5;

/** The links of this process, with flow control for producers of large data. */
export type FlowControlledPeerLinks = node.PeerLinks & {
	/** True while the send buffer of the link is so full that producers should pause. */
	isCongested(peer: ids.PeerId): boolean;
};

/** Creates the links; no socket is opened before `listen` and `connectPeer`. */
export function createPeerLinks(
	options: types.PeerLinksOptions,
): FlowControlledPeerLinks {
	return new TcpPeerLinks(options);
}

/** Short ticks in one ping interval. A silent peer on which work depends is noticed one tick late. */
const ticksPerPing = 4;

class TcpPeerLinks implements FlowControlledPeerLinks {
	readonly #links = new Map<ids.PeerId, peerLink.PeerLink>();
	readonly #acceptedConnections = new Set<peerConnection.PeerConnection>();
	readonly #environment: peerConnection.ConnectionEnvironment;
	readonly #probeSchedule: probeSchedule.ProbeSchedule;
	readonly #server: net.Server;

	constructor(private readonly options: types.PeerLinksOptions) {
		const limits = {...types.defaultLimits, ...options.limits};
		this.#probeSchedule = new probeSchedule.ProbeSchedule(limits);
		this.#environment = {
			limits,
			clock: options.clock,
			ticker: new linkTicker.LinkTicker(
				limits.pingIntervalMs / ticksPerPing,
				options.clock,
			),
			readIdleProbeInterval: () =>
				this.#probeSchedule.readInterval(this.#links.size, options.clock.now()),
			location: options.hello,
			traffic: options.traffic,
			handleSilentPeer: () => {
				this.#probeSchedule.recordSilence(options.clock.now());
			},
		};
		this.#server = net.createServer((socket) => {
			this.#accept(socket);
		});
	}

	async listen(address: string, port: number): Promise<number> {
		return new Promise((resolve, reject) => {
			this.#server.once('error', reject);
			this.#server.listen(port, address, () => {
				this.#server.off('error', reject);
				this.#server.on('error', (error) => {
					this.options.logger.write({
						level: 'error',
						part: 'peer',
						message: `The peer listener failed: ${error.message}.`,
					});
				});
				resolve((this.#server.address() as net.AddressInfo).port);
			});
		});
	}

	connectPeer(peer: ids.PeerId, address: string): void {
		this.#ensureLink(peer).setAddress(address);
	}

	disconnectPeer(peer: ids.PeerId): void {
		const link = this.#links.get(peer);
		link?.removeAddress();
		this.#removeUnneededLink(link);
	}

	resetPeer(peer: ids.PeerId): void {
		this.#links.get(peer)?.reset();
	}

	watchPeer(peer: ids.PeerId, isWatched: boolean): void {
		this.#links.get(peer)?.setWatched(isWatched);
	}

	send(to: ids.PeerId, message: messages.PeerMessage): boolean {
		return this.#links.get(to)?.send(message) ?? false;
	}

	isCongested(peer: ids.PeerId): boolean {
		return this.#links.get(peer)?.isCongested ?? false;
	}

	async dispose(): Promise<void> {
		for (const link of this.#links.values()) {
			link.dispose();
		}

		this.#links.clear();
		for (const connection of this.#acceptedConnections) {
			connection.close('the process stops');
		}

		if (this.#server.listening) {
			await new Promise((resolve) => {
				this.#server.close(resolve);
			});
		}
	}

	#ensureLink(peer: ids.PeerId): peerLink.PeerLink {
		let link = this.#links.get(peer);
		if (!link) {
			link = new peerLink.PeerLink(peer, this.options, this.#environment);
			this.#links.set(peer, link);
		}

		return link;
	}

	#removeUnneededLink(link: peerLink.PeerLink | undefined): void {
		if (link && !link.isNeeded && this.#links.get(link.peer) === link) {
			this.#links.delete(link.peer);
		}
	}

	#accept(socket: net.Socket): void {
		if (
			this.#acceptedConnections.size >=
			this.#environment.limits.acceptedConnections
		) {
			socket.destroy();
			return;
		}

		let link: peerLink.PeerLink | undefined;
		const connection = new peerConnection.PeerConnection(
			socket,
			this.#environment,
			{
				handleHello: (hello) => {
					link = this.#handleHello(connection, hello);
				},
				handleMessage: (message) => {
					if (link) {
						this.options.listener.handleMessage(link.peer, message);
					}
				},
				handleClose: (reason) => {
					this.#acceptedConnections.delete(connection);
					link?.handleAcceptedClose(connection, reason);
					this.#removeUnneededLink(link);
				},
				handleDrain: () => {
					if (link) {
						this.options.listener.handleDrain?.(link.peer);
					}
				},
				handleOversizeMessage(type, size) {
					link?.logOversizeMessage(type, size);
				},
			},
		);
		this.#acceptedConnections.add(connection);
	}

	#handleHello(
		connection: peerConnection.PeerConnection,
		hello: types.Hello,
	): peerLink.PeerLink | undefined {
		// The answer tells a peer of another version why the connection is closed.
		connection.send(this.options.hello);
		if (hello.protocol !== this.options.hello.protocol) {
			this.options.logger.write({
				level: 'warn',
				part: 'peer',
				message: `Refused a connection of ${hello.peer}: it uses protocol ${hello.protocol}, this process ${this.options.hello.protocol}.`,
			});
			connection.finish('another protocol version');
			return undefined;
		}

		const link = this.#ensureLink(hello.peer);
		link.acceptConnection(connection, hello.incarnation);
		return link;
	}
}
