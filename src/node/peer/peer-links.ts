/**
 * Links to all peers. A peer sends only on the connections that it opened; on an accepted
 * connection it only answers `hello` and `linkPing`.
 */
import * as net from 'node:net';
import type * as ids from '../../common/ids.js';
import type * as messages from '../../common/messages.js';
import type * as node from '../types.js';
import * as linkSocket from './link-socket.js';
import * as linkTicker from './link-ticker.js';
import * as outgoingLink from './outgoing-link.js';
import * as types from './types.js';

/** Version of the peer protocol. Peers close connections with peers of another version. */
export const protocolVersion = 1;

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

/** Ticks in one ping interval. An idle timeout is noticed at most one tick late. */
const ticksPerPing = 3;

class TcpPeerLinks implements FlowControlledPeerLinks {
	readonly #outgoingLinks = new Map<ids.PeerId, outgoingLink.OutgoingLink>();
	readonly #acceptedLinks = new Set<linkSocket.LinkSocket>();
	readonly #acceptedByPeer = new Map<ids.PeerId, linkSocket.LinkSocket>();
	readonly #limits: types.LinkLimits;
	readonly #ticker: linkTicker.LinkTicker;
	readonly #server: net.Server;

	constructor(private readonly options: types.PeerLinksOptions) {
		this.#limits = {...types.defaultLimits, ...options.limits};
		this.#ticker = new linkTicker.LinkTicker(
			this.#limits.pingIntervalMs / ticksPerPing,
		);
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
		const link = this.#outgoingLinks.get(peer);
		if (link?.address === address) {
			return;
		}

		link?.dispose();
		this.#outgoingLinks.set(
			peer,
			new outgoingLink.OutgoingLink(
				peer,
				address,
				this.options,
				this.#limits,
				this.#ticker,
			),
		);
	}

	disconnectPeer(peer: ids.PeerId): void {
		const link = this.#outgoingLinks.get(peer);
		this.#outgoingLinks.delete(peer);
		link?.dispose();
	}

	send(to: ids.PeerId, message: messages.PeerMessage): boolean {
		return this.#outgoingLinks.get(to)?.send(message) ?? false;
	}

	isCongested(peer: ids.PeerId): boolean {
		return this.#outgoingLinks.get(peer)?.isCongested ?? false;
	}

	async dispose(): Promise<void> {
		for (const link of this.#outgoingLinks.values()) {
			link.dispose();
		}

		this.#outgoingLinks.clear();
		for (const link of this.#acceptedLinks) {
			link.close('the process stops');
		}

		if (this.#server.listening) {
			await new Promise((resolve) => {
				this.#server.close(resolve);
			});
		}
	}

	#accept(socket: net.Socket): void {
		let peer: ids.PeerId | undefined;
		const link = new linkSocket.LinkSocket(
			socket,
			this.#limits,
			this.options.clock,
			{
				handleMessage: (message) => {
					if (message.type === 'hello') {
						peer = this.#handleHello(link, peer, message);
					} else if (peer === undefined) {
						link.close('the first message is not hello');
					} else if (message.type === 'linkPing') {
						link.send({type: 'linkPong', sequence: message.sequence});
					} else {
						this.options.listener.handleMessage(peer, message);
					}
				},
				handleClose: () => {
					this.#acceptedLinks.delete(link);
					if (peer !== undefined && this.#acceptedByPeer.get(peer) === link) {
						this.#acceptedByPeer.delete(peer);
					}
				},
				// Accepted connections send only small answers, so no producer has to pause for them.
				handleDrain: () => undefined,
				handleOversizeMessage: () => undefined,
			},
			this.#ticker,
		);
		this.#acceptedLinks.add(link);
	}

	#handleHello(
		link: linkSocket.LinkSocket,
		knownPeer: ids.PeerId | undefined,
		hello: types.Hello,
	): ids.PeerId | undefined {
		if (
			knownPeer !== undefined ||
			hello.protocol !== this.options.hello.protocol
		) {
			link.close('duplicate hello, or hello with another protocol version');
			return knownPeer;
		}

		// A new connection of a peer replaces its old one, whose late frames would be out of order.
		this.#acceptedByPeer
			.get(hello.peer)
			?.close('the peer opened a new connection');
		this.#acceptedByPeer.set(hello.peer, link);
		link.send(this.options.hello);
		this.options.listener.handleHello(hello);
		return hello.peer;
	}
}
