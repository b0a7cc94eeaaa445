/**
 * Full exchanges between two peers: at the start, after a lost link, and from time to time to repair
 * differences that lost deltas caused. The first side sends digests of what it knows; the other one
 * answers with the deltas that are not among them and asks for those that it lacks itself, so that
 * peers with equal views send a few bytes for each delta.
 */
import type * as ids from '../ids.js';
import * as random from '../random.js';
import * as digest from './digest.js';
import type * as membership from './types.js';

type Sync = Extract<membership.MembershipMessage, {type: 'sync'}>;

const syncIntervalMs = 30_000;
/**
 * Interval of the first exchanges, doubled after each one. Peers that start at the same time learn of
 * each other through control peers, which hear of all of them.
 */
const firstSyncIntervalMs = 500;
/** A peer's answer arrives within this time, so that the next one is asked for the rest only. */
const syncSpacingMs = 100;
/**
 * Exchanges for regained links: an interruption affects many links at once, and a few exchanges
 * repair what it caused. The others follow with the probes.
 */
const regainedSyncBurst = 4;
const regainedSyncRefillMs = 1000;

/** What the exchanges need of the membership. */
export type ExchangeHost = {
	readonly random: random.RandomSource;
	readonly send: (to: ids.PeerId, message: Sync) => boolean;
	/** The state of this peer. */
	getSelf(): membership.PeerState;
	listAllDeltas(): membership.Delta[];
	listLivePeers(): membership.PeerState[];
};

export class Exchanges {
	private nextSyncAt: number | undefined;
	private currentSyncIntervalMs = firstSyncIntervalMs;
	private lastSyncAt = Number.NEGATIVE_INFINITY;
	/** Peers with which an exchange is due. */
	private readonly pending = new Set<ids.PeerId>();
	private readonly lostLinks = new Set<ids.PeerId>();
	private regainedSyncs = regainedSyncBurst;
	private regainedSyncsAt = 0;

	constructor(private readonly host: ExchangeHost) {}

	/** True while this process learns of the others, who know of each other already. */
	get isStarting(): boolean {
		return this.currentSyncIntervalMs < syncIntervalMs;
	}

	handleLinkUp(peer: ids.PeerId, now: number, isConfigured: boolean): void {
		const isRegained = this.lostLinks.delete(peer);
		if (isConfigured || (isRegained && this.takeRegainedSync(now))) {
			this.pending.add(peer);
			this.startPending(now);
			if (this.pending.has(peer)) {
				// The peer learns of this one at once.
				this.host.send(peer, {
					type: 'sync',
					reply: false,
					deltas: [{type: 'peer', state: this.host.getSelf()}],
				});
			}
		}
	}

	handleLinkDown(peer: ids.PeerId): void {
		this.pending.delete(peer);
		this.lostLinks.add(peer);
	}

	/** Forgets a peer that no longer exists. */
	removePeer(peer: ids.PeerId): void {
		this.lostLinks.delete(peer);
	}

	handleTick(now: number): void {
		this.startPending(now);
		this.nextSyncAt ??= now + firstSyncIntervalMs;
		if (now >= this.nextSyncAt) {
			this.currentSyncIntervalMs = Math.min(
				syncIntervalMs,
				this.currentSyncIntervalMs * 2,
			);
			this.nextSyncAt = now + this.currentSyncIntervalMs;
			const peer = this.chooseSyncPeer();
			if (peer !== undefined) {
				this.startSync(peer, now);
			}
		}
	}

	/** Answers the message of an exchange after its deltas were applied. */
	answerSync(from: ids.PeerId, message: Sync): void {
		const {salt, known, wanted} = message;
		if (!message.reply && !wanted?.length) {
			return;
		}

		const index = new digest.DigestIndex(this.host.listAllDeltas(), salt ?? 0);
		if (message.reply) {
			const unknown = index.encodeUnknown(known ?? new Uint8Array());
			const deltas = index.listMissing(known ?? new Uint8Array());
			if (deltas.length > 0 || unknown.length > 0) {
				this.host.send(from, {
					type: 'sync',
					reply: false,
					deltas,
					salt: salt ?? 0,
					wanted: unknown,
				});
			}
		} else if (wanted) {
			this.host.send(from, {
				type: 'sync',
				reply: false,
				deltas: index.listWanted(wanted),
			});
		}
	}

	private startPending(now: number): void {
		const [peer] = this.pending;
		if (peer !== undefined && now - this.lastSyncAt >= syncSpacingMs) {
			this.startSync(peer, now);
		}
	}

	private startSync(peer: ids.PeerId, now: number): void {
		this.pending.delete(peer);
		this.lastSyncAt = now;
		const salt = Math.floor(this.host.random.readFloat() * 2 ** 32);
		const index = new digest.DigestIndex(this.host.listAllDeltas(), salt);
		this.host.send(peer, {
			type: 'sync',
			reply: true,
			deltas: [{type: 'peer', state: this.host.getSelf()}],
			salt,
			known: index.encodeDigests(),
		});
	}

	private takeRegainedSync(now: number): boolean {
		this.regainedSyncs = Math.min(
			regainedSyncBurst,
			this.regainedSyncs + (now - this.regainedSyncsAt) / regainedSyncRefillMs,
		);
		this.regainedSyncsAt = now;
		if (this.regainedSyncs < 1) {
			return false;
		}

		this.regainedSyncs--;
		return true;
	}

	/** Chooses a control peer while this process has just started, because those hear of all others. */
	private chooseSyncPeer(): ids.PeerId | undefined {
		const live = this.host.listLivePeers();
		const control = live.filter(({role}) => role === 'control');
		const [chosen] = random.drawSample(
			this.host.random,
			this.isStarting && control.length > 0 ? control : live,
			1,
		);
		return chosen?.peer;
	}
}
