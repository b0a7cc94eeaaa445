/**
 * Failure detection and dissemination between peers (SWIM: Das, Gupta, Motivala, "SWIM: Scalable
 * Weakly-consistent Infection-style Process Group Membership Protocol", 2002, with suspicion and
 * incarnation numbers). Each peer probes one other peer per interval, so its load does not grow
 * with the number of peers. State changes are piggybacked on the probes as deltas.
 */
import {assertNever} from '../assert-never.js';
import type * as ids from '../ids.js';
import * as random from '../random.js';
import type * as types from '../types.js';
import * as dissemination from './dissemination.js';
import * as exchanges from './exchanges.js';
import * as prober from './prober.js';
import type * as membership from './types.js';

const suspicionTimeoutMs = 1500;
/** Peers that are told directly when this process stops. */
const leaveNoticeCount = 6;
/** Peers that get an urgent delta without waiting for a probe; in a small fleet, all of them. */
const immediatePeerCount = 16;
/** Checking all peers in each tick would cost 2% of a core at 2,000 peers. */
const expiryIntervalMs = 250;
/** Dead peers are kept for this long, so that an outdated delta does not add them again. */
const tombstoneRetentionMs = 60_000;
/** A peer that is considered dead is told so at most once in this time. */
const deathNoticeIntervalMs = 1000;

/** Weight of a new sample in the smoothed round trip time. */
const roundTripGain = 0.2;
/**
 * Weight of a longer sample in the round trip to a data centre. That one follows the fastest peers,
 * because the others add their own delays to the path.
 */
const pathRiseGain = 0.05;

/** Callbacks from a `Membership` to the code that uses it. */
export type MembershipListener = {
	handlePeerChange(state: membership.PeerState): void;
	/**
	 * A peer that is considered dead sent a message. Connecting to it lets it learn of this and refute;
	 * without a link, both sides of a healed partition would ignore each other permanently.
	 */
	handleDeadPeerMessage(state: membership.PeerState): void;
	/** Returns true when the announcement was new here and must be disseminated further. */
	handleAnnouncement(announcement: types.VersionedAnnouncement): boolean;
	/** The sender knows this version of a template. */
	handleTemplateVersion(
		member: ids.MemberId,
		version: number,
		from: ids.PeerId,
	): void;
	/** Deltas that a full exchange contains in addition to the peer states. */
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
	/** When the peer was last told that it is considered dead. */
	deathNoticeAt: number;
};

export class Membership {
	private self: membership.PeerState;
	private readonly peers = new Map<ids.PeerId, KnownPeer>();
	private readonly queue: dissemination.DisseminationQueue;
	private readonly prober: prober.Prober;
	private readonly exchanges: exchanges.Exchanges;
	private readonly roundTrips = new Map<ids.DataCentre, number>();
	private lastExpiryAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: MembershipOptions) {
		this.self = {...options.self, condition: 'alive'};
		this.queue = new dissemination.DisseminationQueue();
		this.prober = new prober.Prober({
			send: options.send,
			takeDeltas: () => this.takeDeltas(),
			chooseLivePeers: (count, except) => this.chooseLivePeers(count, except),
			isLive: (peer) => {
				const known = this.peers.get(peer);
				return known !== undefined && isLive(known.state);
			},
			recordRoundTrip: (peer, sampleMs) => {
				this.recordRoundTrip(peer, sampleMs);
			},
			suspect: (peer, now) => {
				this.suspect(peer, now);
			},
		});
		this.exchanges = new exchanges.Exchanges({
			random: options.random,
			send: options.send,
			getSelf: () => this.self,
			listAllDeltas: () => this.listAllDeltas(),
			listLivePeers: () => this.listLivePeers(),
		});
		this.disseminate({type: 'peer', state: this.self});
	}

	/** Peers other than this one that are not known to be dead or to have left. */
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

	/**
	 * Smoothed round trip to a peer in ms, or that to its data centre until the peer was probed;
	 * undefined before both are known.
	 */
	getRoundTrip(peer: ids.PeerId): number | undefined {
		const known = this.peers.get(peer);
		return (
			known &&
			(known.roundTripMs ?? this.getDataCentreRoundTrip(known.state.dataCentre))
		);
	}

	/** Round trip to the peers of a data centre in ms; undefined before the first ack from there. */
	getDataCentreRoundTrip(dataCentre: ids.DataCentre): number | undefined {
		return this.roundTrips.get(dataCentre);
	}

	/** Queues a delta for the next probes. */
	disseminate(delta: membership.Delta): void {
		this.queue.add(delta);
	}

	/**
	 * Sends a delta to a bounded number of peers immediately and queues it on the next probes for the
	 * others, because a departure has to be known everywhere within seconds.
	 */
	disseminateNow(delta: membership.Delta): void {
		for (const peer of this.chooseLivePeers(immediatePeerCount, undefined)) {
			this.options.send(peer, {type: 'sync', reply: false, deltas: [delta]});
		}

		this.disseminate(delta);
	}

	/**
	 * Starts a full exchange with a peer that the settings name, through which this process joins the
	 * others, or with which the link was lost.
	 */
	handleLinkUp(peer: ids.PeerId, now: number, isConfigured: boolean): void {
		this.exchanges.handleLinkUp(peer, now, isConfigured);
	}

	/**
	 * Tells some of the peers that this process stops, so that no peer has to detect a failure; they
	 * disseminate it to the others.
	 */
	leave(): void {
		this.self = {...this.self, condition: 'left'};
		for (const peer of this.chooseLivePeers(leaveNoticeCount, undefined)) {
			this.options.send(peer, {
				type: 'sync',
				reply: false,
				deltas: [{type: 'peer', state: this.self}],
			});
		}
	}

	handleTick(now: number): void {
		this.prober.handleTick(now);
		if (now - this.lastExpiryAt >= expiryIntervalMs) {
			this.lastExpiryAt = now;
			this.expireSuspects(now);
		}

		this.exchanges.handleTick(now);
	}

	handleMessage(
		from: ids.PeerId,
		message: membership.MembershipMessage,
		now: number,
	): void {
		const {incarnation} = this.self;
		// A process that joins learns what the peer has disseminated already.
		const isNews = !(
			message.type === 'sync' &&
			message.wanted !== undefined &&
			this.exchanges.isStarting
		);
		for (const delta of message.deltas) {
			this.applyDelta(delta, from, now, isNews);
		}

		this.replyWithCorrections(from, this.self.incarnation !== incarnation, now);

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
				this.prober.relayProbe(from, message.sequence, message.target, now);
				return;
			}

			case 'ack': {
				this.prober.handleAck(message, now);
				return;
			}

			case 'sync': {
				this.exchanges.answerSync(from, message);
				return;
			}

			default: {
				assertNever(message);
			}
		}
	}

	/** A lost link indicates a failure: the peer is suspected at once and refutes if it is alive. */
	handleLinkDown(peer: ids.PeerId, now: number): void {
		this.exchanges.handleLinkDown(peer);
		this.suspect(peer, now);
	}

	/**
	 * Tells the sender of a message where its view is wrong: that it is considered dead, which it then
	 * refutes, and that this peer has just refuted what the message said. Two peers that consider each
	 * other dead would otherwise hear of the refutations only from others, if there are any.
	 */
	private replyWithCorrections(
		from: ids.PeerId,
		hasRefuted: boolean,
		now: number,
	): void {
		const deltas: membership.Delta[] = hasRefuted
			? [{type: 'peer', state: this.self}]
			: [];
		const sender = this.peers.get(from);
		if (sender?.state.condition === 'dead') {
			this.options.listener.handleDeadPeerMessage(sender.state);
			if (now - sender.deathNoticeAt >= deathNoticeIntervalMs) {
				sender.deathNoticeAt = now;
				deltas.push({type: 'peer', state: sender.state});
			}
		}

		if (deltas.length > 0) {
			this.options.send(from, {type: 'sync', reply: false, deltas});
		}
	}

	private expireSuspects(now: number): void {
		for (const [peer, known] of this.peers) {
			const age = now - known.changedAt;
			if (known.state.condition === 'suspect' && age > suspicionTimeoutMs) {
				this.setState({...known.state, condition: 'dead'}, now);
			} else if (!isLive(known.state) && age > tombstoneRetentionMs) {
				this.peers.delete(peer);
				this.exchanges.removePeer(peer);
			}
		}
	}

	private recordRoundTrip(peer: ids.PeerId, sampleMs: number): void {
		const known = this.peers.get(peer);
		if (!known) {
			return;
		}

		const {dataCentre} = known.state;
		const nearestMs = this.roundTrips.get(dataCentre) ?? sampleMs;
		this.roundTrips.set(
			dataCentre,
			sampleMs < nearestMs
				? sampleMs
				: nearestMs + pathRiseGain * (sampleMs - nearestMs),
		);
		// The first probe of a peer may include the setup of the connection.
		const previousMs = known.roundTripMs ?? nearestMs;
		known.roundTripMs = previousMs + roundTripGain * (sampleMs - previousMs);
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
		isNews: boolean,
	): void {
		switch (delta.type) {
			case 'peer': {
				this.applyPeerState(delta.state, now, isNews);
				return;
			}

			case 'announcement': {
				const isChanged = this.options.listener.handleAnnouncement(
					delta.announcement,
				);
				if (isChanged && isNews) {
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

	private applyPeerState(
		state: membership.PeerState,
		now: number,
		isNews: boolean,
	): void {
		if (state.peer === this.self.peer) {
			this.refute(state);
			return;
		}

		const known = this.peers.get(state.peer);
		if (!known || overrides(state, known.state)) {
			this.setState(state, now, isNews);
		}
	}

	/** Refutes a false suspicion with a higher incarnation. */
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

	private setState(
		state: membership.PeerState,
		now: number,
		isNews = true,
	): void {
		const known = this.peers.get(state.peer);
		if (known) {
			known.state = state;
			known.changedAt = now;
		} else {
			this.peers.set(state.peer, {
				state,
				changedAt: now,
				roundTripMs: undefined,
				deathNoticeAt: Number.NEGATIVE_INFINITY,
			});
		}

		if (isNews) {
			this.disseminate({type: 'peer', state});
		}

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
		return random.drawSample(this.options.random, live, count);
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

/** Precedence in SWIM: the higher incarnation, then the worse condition. */
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
