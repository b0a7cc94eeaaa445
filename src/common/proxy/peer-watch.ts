/**
 * The peers on which work of this proxy depends: owners that run its requests or hold its
 * transactions, and entries whose requests it runs. Their links are probed at a short interval. Idle
 * links are probed rarely, so that the cost of links does not grow with the number of peers.
 */
import type * as ids from '../ids.js';
import type * as context from './context.js';

/** Most requests are answered sooner, and then probes of their links would only add messages. */
const minWorkAgeMs = 100;
/** A peer on which older work depends is probed at the latest this long after the work began. */
export const maxWatchDelayMs = 150;

/**
 * Lists the peers on which work depends that began at `startedBefore` (monotonic, in ms) or earlier,
 * possibly more than once.
 */
export type WatchSource = (startedBefore: number) => Iterable<ids.PeerId>;

export class PeerWatch {
	private watched = new Set<ids.PeerId>();
	private updatedAt = Number.NEGATIVE_INFINITY;

	constructor(
		private readonly context: Pick<context.ProxyContext, 'now' | 'emit'> & {
			readonly config: Pick<context.ProxyConfig, 'peer'>;
		},
		private readonly sources: readonly WatchSource[],
	) {}

	/** Reports the peers that have to be watched from now on, and those that no longer have to be. */
	handleTick(): void {
		const {now, config} = this.context;
		if (now - this.updatedAt < maxWatchDelayMs - minWorkAgeMs) {
			return;
		}

		this.updatedAt = now;
		const wanted = new Set<ids.PeerId>();
		for (const listPeers of this.sources) {
			for (const peer of listPeers(now - minWorkAgeMs)) {
				wanted.add(peer);
			}
		}

		wanted.delete(config.peer);
		this.emitDifference(wanted, this.watched, true);
		this.emitDifference(this.watched, wanted, false);
		this.watched = wanted;
	}

	/** A lost link forgets that it was watched, so it is reported again. */
	handleLinkDown(peer: ids.PeerId): void {
		this.watched.delete(peer);
	}

	private emitDifference(
		peers: ReadonlySet<ids.PeerId>,
		others: ReadonlySet<ids.PeerId>,
		isWatched: boolean,
	): void {
		for (const peer of peers) {
			if (!others.has(peer)) {
				this.context.emit({type: 'watchPeer', peer, isWatched});
			}
		}
	}
}
