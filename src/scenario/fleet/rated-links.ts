/**
 * Links whose messages take time to transmit. Every process has an own network link with a rate for
 * each direction; its connections share it segment by segment. Like the real links, a connection on
 * which a message waits for longer than the idle timeout is closed as silent, and what it had not
 * transmitted is lost.
 */
import type * as ids from '../../common/ids.js';
import type * as messages from '../../common/messages.js';
import * as links from './links.js';
import type * as timeline from './timeline.js';

const segmentBytes = 4096;

export type RatedLinksOptions = {
	/** A connection on which a message is under way for longer is closed, in ms. */
	readonly silenceLimitMs: number;
	/** One-way delay between two processes, in ms. */
	computeDelay(from: ids.PeerId, to: ids.PeerId): number;
	/** Rate of a process's own link in each direction, in bytes per ms. */
	getRate(peer: ids.PeerId): number;
	/** Size of the frame of a message, in bytes. */
	measure(message: messages.PeerMessage): number;
};

export type SentMessage = {
	readonly at: number;
	readonly from: ids.PeerId;
	readonly to: ids.PeerId;
	readonly type: messages.PeerMessage['type'];
	readonly bytes: number;
};

/** A message on its way, with the bytes that are not transmitted yet. */
type Transfer = {
	readonly connection: string;
	/** Counts the closings of the connection, so that its lost messages are recognized. */
	readonly generation: number;
	remainingBytes: number;
	readonly complete: () => void;
};

/** One direction of a process's network link. */
class NetworkLink {
	private readonly queues = new Map<string, Transfer[]>();
	private isBusy = false;

	constructor(
		private readonly timeline: timeline.Timeline,
		private readonly rate: number,
		private readonly isLost: (transfer: Transfer) => boolean,
	) {}

	add(transfer: Transfer): void {
		const queue = this.queues.get(transfer.connection);
		if (queue) {
			queue.push(transfer);
		} else {
			this.queues.set(transfer.connection, [transfer]);
		}

		if (!this.isBusy) {
			this.transmitNext();
		}
	}

	/** Transmits one segment of the connection that has waited longest. */
	private transmitNext(): void {
		const transfer = this.takeNext();
		this.isBusy = transfer !== undefined;
		if (!transfer) {
			return;
		}

		const bytes = Math.min(segmentBytes, transfer.remainingBytes);
		this.timeline.schedule(bytes / this.rate, () => {
			transfer.remainingBytes -= bytes;
			if (transfer.remainingBytes > 0) {
				this.queues.set(transfer.connection, [
					transfer,
					...(this.queues.get(transfer.connection) ?? []),
				]);
			} else if (!this.isLost(transfer)) {
				transfer.complete();
			}

			this.transmitNext();
		});
	}

	/** Takes the first message of the first connection, which then goes behind the others. */
	private takeNext(): Transfer | undefined {
		for (const [connection, queue] of this.queues) {
			this.queues.delete(connection);
			const waiting = queue.filter((transfer) => !this.isLost(transfer));
			const transfer = waiting.shift();
			if (waiting.length > 0) {
				this.queues.set(connection, waiting);
			}

			if (transfer) {
				return transfer;
			}
		}

		return undefined;
	}
}

export class RatedLinks extends links.Links {
	readonly sent: SentMessage[] = [];
	/** Number of connections that were closed as silent. */
	closed = 0;
	private readonly generations = new Map<string, number>();
	private readonly uplinks = new Map<ids.PeerId, NetworkLink>();
	private readonly downlinks = new Map<ids.PeerId, NetworkLink>();

	constructor(
		private readonly ratedTimeline: timeline.Timeline,
		private readonly options: RatedLinksOptions,
	) {
		super(ratedTimeline, (from, to) => options.computeDelay(from, to));
	}

	override send(
		from: ids.PeerId,
		to: ids.PeerId,
		message: messages.PeerMessage,
	): void {
		if (!this.isUp(from, to)) {
			return;
		}

		const {options, ratedTimeline} = this;
		const bytes = options.measure(message);
		const sentAt = ratedTimeline.now;
		this.sent.push({at: sentAt, from, to, type: message.type, bytes});
		const connection = `${from}>${to}`;
		const generation = this.generations.get(connection) ?? 0;
		this.generations.set(connection, generation);
		let isDelivered = false;
		const transfer = {connection, generation, remainingBytes: bytes};
		this.getLink(this.uplinks, from).add({
			...transfer,
			complete: () => {
				ratedTimeline.schedule(options.computeDelay(from, to), () => {
					this.getLink(this.downlinks, to).add({
						...transfer,
						complete: () => {
							isDelivered = true;
							this.deliver(from, to, message);
						},
					});
				});
			},
		});
		ratedTimeline.schedule(options.silenceLimitMs, () => {
			if (!isDelivered && generation === this.generations.get(connection)) {
				this.closed++;
				this.close(from, to);
			}
		});
	}

	protected override setDown(
		from: ids.PeerId,
		to: ids.PeerId,
		link: links.Link,
	): void {
		const connection = `${from}>${to}`;
		this.generations.set(
			connection,
			(this.generations.get(connection) ?? 0) + 1,
		);
		super.setDown(from, to, link);
	}

	private getLink(
		known: Map<ids.PeerId, NetworkLink>,
		peer: ids.PeerId,
	): NetworkLink {
		let link = known.get(peer);
		if (!link) {
			link = new NetworkLink(
				this.ratedTimeline,
				this.options.getRate(peer),
				({connection, generation}) =>
					generation !== this.generations.get(connection),
			);
			known.set(peer, link);
		}

		return link;
	}
}
