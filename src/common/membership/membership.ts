/**
 * Failure detection and dissemination between peers (SWIM: Das, Gupta, Motivala, "SWIM: Scalable
 * Weakly-consistent Infection-style Process Group Membership Protocol", 2002, with suspicion and
 * incarnation numbers). Each peer probes one other peer per period, so its load does not grow with
 * the number of peers. News travels as deltas on the probes.
 */
import {assertNever} from '../assert-never.js';
import type * as ids from '../ids.js';
import type * as random from '../random.js';
import type * as types from '../types.js';
import * as dissemination from './dissemination.js';
import type * as membership from './types.js';

const probePeriodMs = 500;
const directTimeoutMs = 150;
const suspicionMs = 1500;
const indirectProbes = 3;
/** Peers that hear urgent news without waiting for a probe; covers small fleets whole. */
const immediatePeers = 16;
/** Going through all peers in each tick would cost 2% of a core at 2,000 peers. */
const expiryIntervalMs = 250;
/** Dead peers are remembered for this long, so that old news does not bring them back. */
const tombstoneMs = 60_000;
/** A full exchange with a random peer repairs what lost deltas left behind. */
const syncIntervalMs = 30_000;
/** Weight of a new sample in the smoothed round trip. */
const roundTripGain = 0.2;

/** What the owner of a `Membership` is told. */
export type MembershipListener = {
	handlePeerChange(state: membership.PeerState): void;
	/**
	 * A peer that is taken as dead sent a message. A link to it lets it hear that, so that it can
	 * refute; without one, both sides of a healed partition would ignore each other for good.
	 */
	handleDeadPeerMessage(state: membership.PeerState): void;
	/** Returns true when the announcement was news here and must be spread on. */
	handleAnnouncement(announcement: types.VersionedAnnouncement): boolean;
	/** The sender knows this version of a template. */
	handleTemplateVersion(
		member: ids.MemberId,
		version: number,
		from: ids.PeerId,
	): void;
	/** What a full exchange contains besides peer states. */
	listDeltas(): membership.Delta[];
};

export type MembershipOptions = {
	readonly self: Omit<membership.PeerState, 'condition'>;
	readonly random: random.RandomSource;
	readonly send: (
		to: ids.PeerId,
		message: membership.MembershipMessage,
	) => boolean;
	readonly listener: MembershipListener;
};

type KnownPeer = {
	state: membership.PeerState;
	changedAt: number;
	roundTripMs: number | undefined;
};

type Probe = {
	readonly target: ids.PeerId;
	readonly sentAt: number;
	isIndirect: boolean;
};

type Relay = {
	readonly requester: ids.PeerId;
	readonly sequence: number;
	readonly sentAt: number;
};

export class Membership {
	private self: membership.PeerState;
	private readonly peers = new Map<ids.PeerId, KnownPeer>();
	private readonly queue: dissemination.DisseminationQueue;
	private probeOrder: ids.PeerId[] = [];
	private sequence = 0;
	private readonly probes = new Map<number, Probe>();
	private readonly relays = new Map<number, Relay>();
	private lastProbeAt = Number.NEGATIVE_INFINITY;
	private lastSyncAt = 0;
	private lastExpiryAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: MembershipOptions) {
		this.self = {...options.self, condition: 'alive'};
		this.queue = new dissemination.DisseminationQueue();
		this.disseminate({type: 'peer', state: this.self});
	}

	/** Peers other than this one that are not known to be dead or gone. */
	listLivePeers(): membership.PeerState[] {
		return [...this.peers.values()]
			.map(({state}) => state)
			.filter((state) => isLive(state));
	}

	listPeers(): membership.PeerState[] {
		return [this.self, ...[...this.peers.values()].map(({state}) => state)];
	}

	getPeer(peer: ids.PeerId): membership.PeerState | undefined {
		return this.peers.get(peer)?.state;
	}

	/** Smoothed round trip to a peer in ms; undefined before the first probe. */
	getRoundTrip(peer: ids.PeerId): number | undefined {
		return this.peers.get(peer)?.roundTripMs;
	}

	/** Puts news on the next probes. */
	disseminate(delta: membership.Delta): void {
		this.queue.add(delta);
	}

	/**
	 * Tells news to a bounded number of peers at once and puts it on the next probes for the others,
	 * because a departure has to be known everywhere within seconds.
	 */
	disseminateNow(delta: membership.Delta): void {
		for (const peer of this.chooseLivePeers(immediatePeers, undefined)) {
			this.options.send(peer, {type: 'sync', reply: false, deltas: [delta]});
		}

		this.disseminate(delta);
	}

	/** Asks a peer for everything it knows, for example when a link came up. */
	startSync(peer: ids.PeerId): void {
		this.options.send(peer, {
			type: 'sync',
			reply: true,
			deltas: this.listAllDeltas(),
		});
	}

	/** Tells the others that this process stops, so that nobody has to detect it. */
	leave(): void {
		this.self = {...this.self, condition: 'left'};
		for (const peer of this.chooseLivePeers(indirectProbes * 2, undefined)) {
			this.options.send(peer, {
				type: 'sync',
				reply: false,
				deltas: [{type: 'peer', state: this.self}],
			});
		}
	}

	handleTick(now: number): void {
		this.expireProbes(now);
		if (now - this.lastExpiryAt >= expiryIntervalMs) {
			this.lastExpiryAt = now;
			this.expireSuspects(now);
		}

		if (now - this.lastProbeAt >= probePeriodMs) {
			this.lastProbeAt = now;
			this.startProbe(now);
		}

		if (now - this.lastSyncAt >= syncIntervalMs) {
			this.lastSyncAt = now;
			const [peer] = this.chooseLivePeers(1, undefined);
			if (peer !== undefined) {
				this.startSync(peer);
			}
		}
	}

	handleMessage(
		from: ids.PeerId,
		message: membership.MembershipMessage,
		now: number,
	): void {
		for (const delta of message.deltas) {
			this.applyDelta(delta, from, now);
		}

		const sender = this.peers.get(from)?.state;
		if (sender?.condition === 'dead') {
			this.options.listener.handleDeadPeerMessage(sender);
		}

		switch (message.type) {
			case 'ping': {
				this.options.send(from, {
					type: 'ack',
					sequence: message.sequence,
					target: this.self.peer,
					deltas: this.takeDeltas(),
				});
				return;
			}

			case 'pingRequest': {
				this.relayProbe(from, message.sequence, message.target, now);
				return;
			}

			case 'ack': {
				this.handleAck(message, now);
				return;
			}

			case 'sync': {
				if (message.reply) {
					this.options.send(from, {
						type: 'sync',
						reply: false,
						deltas: this.listAllDeltas(),
					});
				}

				return;
			}

			default: {
				assertNever(message);
			}
		}
	}

	/** A broken link is a hint: the peer is suspected at once, and refutes when it is alive. */
	handleLinkDown(peer: ids.PeerId, now: number): void {
		this.suspect(peer, now);
	}

	private startProbe(now: number): void {
		const target = this.chooseProbeTarget();
		if (target === undefined) {
			return;
		}

		this.sequence++;
		this.probes.set(this.sequence, {target, sentAt: now, isIndirect: false});
		this.options.send(target, {
			type: 'ping',
			sequence: this.sequence,
			deltas: this.takeDeltas(),
		});
	}

	/** Goes through all live peers in random order before it probes one again. */
	private chooseProbeTarget(): ids.PeerId | undefined {
		for (;;) {
			if (this.probeOrder.length === 0) {
				this.probeOrder = this.chooseLivePeers(Infinity, undefined);
				if (this.probeOrder.length === 0) {
					return undefined;
				}
			}

			const target = this.probeOrder.pop()!;
			const known = this.peers.get(target);
			if (known && isLive(known.state)) {
				return target;
			}
		}
	}

	private expireProbes(now: number): void {
		for (const [sequence, probe] of this.probes) {
			const age = now - probe.sentAt;
			if (age > probePeriodMs) {
				this.probes.delete(sequence);
				this.suspect(probe.target, now);
			} else if (age > directTimeoutMs && !probe.isIndirect) {
				probe.isIndirect = true;
				for (const helper of this.chooseLivePeers(
					indirectProbes,
					probe.target,
				)) {
					this.options.send(helper, {
						type: 'pingRequest',
						sequence,
						target: probe.target,
						deltas: this.takeDeltas(),
					});
				}
			}
		}

		for (const [sequence, relay] of this.relays) {
			if (now - relay.sentAt > probePeriodMs) {
				this.relays.delete(sequence);
			}
		}
	}

	private expireSuspects(now: number): void {
		for (const [peer, known] of this.peers) {
			const age = now - known.changedAt;
			if (known.state.condition === 'suspect' && age > suspicionMs) {
				this.setState({...known.state, condition: 'dead'}, now);
			} else if (!isLive(known.state) && age > tombstoneMs) {
				this.peers.delete(peer);
			}
		}
	}

	private relayProbe(
		requester: ids.PeerId,
		requestSequence: number,
		target: ids.PeerId,
		now: number,
	): void {
		this.sequence++;
		this.relays.set(this.sequence, {
			requester,
			sequence: requestSequence,
			sentAt: now,
		});
		this.options.send(target, {
			type: 'ping',
			sequence: this.sequence,
			deltas: this.takeDeltas(),
		});
	}

	private handleAck(
		message: Extract<membership.MembershipMessage, {type: 'ack'}>,
		now: number,
	): void {
		const relay = this.relays.get(message.sequence);
		if (relay) {
			this.relays.delete(message.sequence);
			this.options.send(relay.requester, {
				type: 'ack',
				sequence: relay.sequence,
				target: message.target,
				deltas: [],
			});
			return;
		}

		const probe = this.probes.get(message.sequence);
		if (probe?.target !== message.target) {
			return;
		}

		this.probes.delete(message.sequence);
		const known = this.peers.get(probe.target);
		if (known && !probe.isIndirect) {
			const sample = now - probe.sentAt;
			known.roundTripMs =
				known.roundTripMs === undefined
					? sample
					: known.roundTripMs + roundTripGain * (sample - known.roundTripMs);
		}
	}

	private suspect(peer: ids.PeerId, now: number): void {
		const known = this.peers.get(peer);
		if (known?.state.condition === 'alive') {
			this.setState({...known.state, condition: 'suspect'}, now);
		}
	}

	private applyDelta(
		delta: membership.Delta,
		from: ids.PeerId,
		now: number,
	): void {
		switch (delta.type) {
			case 'peer': {
				this.applyPeerState(delta.state, now);
				return;
			}

			case 'announcement': {
				if (this.options.listener.handleAnnouncement(delta.announcement)) {
					this.disseminate(delta);
				}

				return;
			}

			case 'templateVersion': {
				this.options.listener.handleTemplateVersion(
					delta.member,
					delta.version,
					from,
				);
				return;
			}

			default: {
				assertNever(delta);
			}
		}
	}

	private applyPeerState(state: membership.PeerState, now: number): void {
		if (state.peer === this.self.peer) {
			this.refute(state);
			return;
		}

		const known = this.peers.get(state.peer);
		if (!known || overrides(state, known.state)) {
			this.setState(state, now);
		}
	}

	/** Answers a false suspicion with a higher incarnation. */
	private refute(state: membership.PeerState): void {
		if (this.self.condition === 'left') {
			return;
		}

		if (
			state.incarnation > this.self.incarnation ||
			(state.incarnation === this.self.incarnation &&
				state.condition !== 'alive')
		) {
			this.self = {...this.self, incarnation: state.incarnation + 1};
			this.disseminate({type: 'peer', state: this.self});
		}
	}

	private setState(state: membership.PeerState, now: number): void {
		const known = this.peers.get(state.peer);
		if (known) {
			known.state = state;
			known.changedAt = now;
		} else {
			this.peers.set(state.peer, {
				state,
				changedAt: now,
				roundTripMs: undefined,
			});
		}

		this.disseminate({type: 'peer', state});
		this.options.listener.handlePeerChange(state);
	}

	private takeDeltas(): membership.Delta[] {
		return this.queue.take(this.peers.size + 1);
	}

	private listAllDeltas(): membership.Delta[] {
		return [
			...this.listPeers().map((state) => ({type: 'peer', state}) as const),
			...this.options.listener.listDeltas(),
		];
	}

	private chooseLivePeers(
		count: number,
		except: ids.PeerId | undefined,
	): ids.PeerId[] {
		const live = this.listLivePeers()
			.map((state) => state.peer)
			.filter((peer) => peer !== except);
		const {random} = this.options;
		const wanted = Math.min(count, live.length);
		for (let index = 0; index < wanted; index++) {
			const other = random.readInteger(index, live.length - 1);
			[live[index], live[other]] = [live[other], live[index]];
		}

		return live.slice(0, wanted);
	}
}

function isLive(state: membership.PeerState): boolean {
	return state.condition === 'alive' || state.condition === 'suspect';
}

const conditionOrder: Readonly<Record<membership.PeerCondition, number>> = {
	alive: 0,
	suspect: 1,
	dead: 2,
	left: 3,
};

/** SWIM order: a higher incarnation wins, then the worse condition. */
function overrides(
	state: membership.PeerState,
	known: membership.PeerState,
): boolean {
	return (
		state.incarnation > known.incarnation ||
		(state.incarnation === known.incarnation &&
			conditionOrder[state.condition] > conditionOrder[known.condition])
	);
}
