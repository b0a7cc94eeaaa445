/**
 * A control process as one reducer, which combines the control reducer and membership. Through
 * membership, a control peer learns the addresses of the proxies and lets starting processes discover
 * their peers.
 */
import type * as ids from '../ids.js';
import * as announcements from '../announcement.js';
import * as linkPolicy from '../membership/link-policy.js';
import * as membershipService from '../membership/membership.js';
import type * as membership from '../membership/types.js';
import type * as messages from '../messages.js';
import * as random from '../random.js';
import type * as types from '../types.js';
import type * as configurationHolders from './configuration-holders.js';
import type * as control from './types.js';
import * as reducer from './reducer.js';
import type * as storageLimits from './storage-limits.js';
import * as voters from './voters.js';

/** The announcement of a server is removed when no newer one arrived for this long. */
const announcementRetentionMs = 7_200_000;
/** Voters change rarely, so checking every peer in each tick would cost more than it gains. */
const voterCheckIntervalMs = 250;
/**
 * Unchanged announcements are disseminated at this interval, because the leader assigns no owner to a
 * server that was silent for 10 s.
 */
const announcementRefreshIntervalMs = 4000;

export type ControlPeerOptions = {
	readonly peer: ids.PeerId;
	/** `ip:port` of the peer listener. */
	readonly address: string;
	readonly dataCentre: ids.DataCentre;
	/** Higher for each later instance of the process. */
	readonly incarnation: number;
	readonly controlPeers: readonly types.PeerAddress[];
	readonly log: control.ReplicatedLog;
	/** Intended number of voters; the current number when it is not set. */
	readonly wantedVoters?: number;
	readonly recordsLeaseHolders?: boolean;
	readonly rateLimits?: control.RateLimitOptions;
	readonly parseSynchronousReplicas?: control.SynchronousReplicasParser;
	readonly packing?: types.TextPacking;
	readonly storageLimits?: storageLimits.StorageLimits;
	readonly random: random.RandomSource;
};

export type ControlPeerEvent =
	| control.ControlEvent
	| {
			/** The control peers in the settings have changed. */
			readonly type: 'controlPeersChanged';
			readonly now: number;
			readonly controlPeers: readonly types.PeerAddress[];
	  }
	| {
			/** A server sent an announcement to this peer. */
			readonly type: 'announcementReceived';
			readonly now: number;
			readonly announcement: types.Announcement;
			/** Number of the announcement among those of the same instance of the server. */
			readonly sequence: number;
	  }
	| {
			/** A server told this peer that it has left. */
			readonly type: 'departureReceived';
			readonly now: number;
			readonly server: ids.UpstreamId;
	  }
	| {
			readonly type: 'peerLinkChanged';
			readonly now: number;
			readonly peer: ids.PeerId;
			readonly up: boolean;
	  };

export type ControlPeerEffect =
	| control.ControlEffect
	| {
			readonly type: 'connectPeer';
			readonly peer: ids.PeerId;
			readonly address: string;
	  }
	| {readonly type: 'disconnectPeer'; readonly peer: ids.PeerId};

type KnownAnnouncement = {
	readonly announcement: types.VersionedAnnouncement;
	readonly receivedAt: number;
};

export class ControlPeer {
	readonly control: reducer.ControlReducer;
	readonly membership: membershipService.Membership;
	private now = 0;
	private votersCheckedAt = 0;
	private readonly voterPlanner = new voters.VoterPlanner();
	private effects: ControlPeerEffect[] = [];
	/** When the announcement of each server was last disseminated. */
	private readonly disseminatedAt = new Map<ids.UpstreamId, number>();
	private readonly announcements = new Map<ids.UpstreamId, KnownAnnouncement>();

	private controlPeers: readonly types.PeerAddress[];
	private readonly connectedPeers = new Set<ids.PeerId>();

	constructor(private readonly options: ControlPeerOptions) {
		this.controlPeers = options.controlPeers;
		this.control = new reducer.ControlReducer({
			peer: options.peer,
			log: options.log,
			recordsLeaseHolders: options.recordsLeaseHolders ?? false,
			...(options.rateLimits ? {rateLimits: options.rateLimits} : {}),
			...(options.parseSynchronousReplicas
				? {parseSynchronousReplicas: options.parseSynchronousReplicas}
				: {}),
			...(options.packing ? {packing: options.packing} : {}),
			...(options.storageLimits ? {storageLimits: options.storageLimits} : {}),
			listControlPeers: () => this.listControlPeers(),
			messageNumberStart: random.drawSequenceStart(options.random),
		});
		this.membership = this.createMembership();
	}

	/** The newest announcement of a server that this peer or the replicated log has. */
	findAnnouncement(
		server: ids.UpstreamId,
	): types.VersionedAnnouncement | undefined {
		const heard = this.announcements.get(server)?.announcement;
		const logged = this.control.machine.announcements.get(server);
		return heard && logged && heard.version < logged.version
			? logged
			: (heard ?? logged);
	}

	/** Returns the effects that connect this peer to the other control peers. */
	start(now: number): ControlPeerEffect[] {
		this.now = now;
		this.connectControlPeers();
		return this.takeEffects();
	}

	/** Handles one event. */
	step(event: ControlPeerEvent): ControlPeerEffect[] {
		this.now = event.now;
		if (event.type === 'controlPeersChanged') {
			this.controlPeers = event.controlPeers;
			this.connectControlPeers();
			return this.takeEffects();
		}

		if (event.type === 'peerLinkChanged') {
			this.handleLinkChange(event.peer, event.up);
			return this.takeEffects();
		}

		if (event.type === 'announcementReceived') {
			this.handleAnnouncement(event.announcement, event.sequence);
			return this.takeEffects();
		}

		if (event.type === 'departureReceived') {
			this.handleDeparture(event.server);
			return this.takeEffects();
		}

		if (event.type === 'peerMessage' && isMembershipMessage(event.message)) {
			this.membership.handleMessage(event.from, event.message, event.now);
			return this.takeEffects();
		}

		if (event.type === 'tick') {
			this.membership.handleTick(event.now);
			this.expireAnnouncements();
			this.updateVoters();
		}

		this.effects.push(...this.control.step(event));
		return this.takeEffects();
	}

	private connectControlPeers(): void {
		for (const {peer, address} of this.controlPeers) {
			if (peer !== this.options.peer) {
				this.effects.push({type: 'connectPeer', peer, address});
			}
		}
	}

	/** Lists the running control peers, this one included. */
	private listControlPeers(): configurationHolders.Holder[] {
		const {peer, dataCentre} = this.options;
		const others = this.membership
			.listLivePeers()
			.filter((state) => state.role === 'control' && state.peer !== peer);
		return [{peer, dataCentre}, ...others];
	}

	private updateVoters(): void {
		const {log, peer: self, wantedVoters} = this.options;
		if (
			log.role !== 'leader' ||
			log.voters === undefined ||
			this.now - this.votersCheckedAt < voterCheckIntervalMs
		) {
			return;
		}

		this.votersCheckedAt = this.now;
		const chosen = this.voterPlanner.chooseVoters({
			now: this.now,
			voters: log.voters,
			otherPeers: this.membership
				.listPeers()
				.filter(({peer, role}) => role === 'control' && peer !== self),
			self,
			targetCount: wantedVoters ?? log.voters.length,
		});
		if (chosen) {
			this.control.changeVoters(this.now, chosen);
		}
	}

	private handleLinkChange(peer: ids.PeerId, up: boolean): void {
		if (up) {
			this.connectedPeers.add(peer);
			this.membership.handleLinkUp(peer, this.now, this.isConfigured(peer));
			this.effects.push(
				...this.control.step({type: 'peerConnected', now: this.now, peer}),
			);
		} else {
			this.connectedPeers.delete(peer);
			this.membership.handleLinkDown(peer, this.now);
			const state = this.membership.getPeer(peer);
			if (state) {
				this.removeUnwantedLink(state);
			}
		}
	}

	private removeUnwantedLink({peer, condition}: membership.PeerState): void {
		const isWanted = linkPolicy.isLinkWanted(condition, {
			isUp: this.connectedPeers.has(peer),
			isConfigured: this.isConfigured(peer),
		});
		if (!isWanted) {
			this.effects.push({type: 'disconnectPeer', peer});
		}
	}

	private isConfigured(peer: ids.PeerId): boolean {
		return this.controlPeers.some((known) => known.peer === peer);
	}

	private createMembership(): membershipService.Membership {
		const {peer, address, dataCentre, incarnation, random} = this.options;
		return new membershipService.Membership({
			self: {peer, role: 'control', address, dataCentre, incarnation},
			random,
			send: (to, message) => {
				this.effects.push({type: 'sendPeer', to, message});
				return true;
			},
			listener: {
				handlePeerChange: (state) => {
					this.handlePeerChange(state);
				},
				handleDeadPeerMessage: ({peer, address}) => {
					this.effects.push({
						type: 'connectPeer',
						peer,
						address,
					});
				},
				handleAnnouncement: (announcement) =>
					this.mergeAnnouncement(announcement),
				handleTemplateVersion() {
					// Control peers receive templates through the replicated log.
				},
				listDeltas: () => this.listDeltas(),
			},
		});
	}

	private handlePeerChange(state: membership.PeerState): void {
		const {peer, address} = state;
		if (state.condition === 'alive') {
			this.effects.push({type: 'connectPeer', peer, address});
		} else {
			this.removeUnwantedLink(state);
		}
	}

	/**
	 * Stores a newer announcement. A changed one is disseminated immediately, an unchanged one at an
	 * interval, to show that the server is alive.
	 */
	private handleAnnouncement(
		announcement: types.Announcement,
		sequence: number,
	): void {
		const known = this.findAnnouncement(announcement.server);
		const version = announcements.computeVersion(announcement, sequence);
		if (known && known.version >= version) {
			return;
		}

		const current = announcements.preserveDepartingFlag(announcement, known);
		const versioned = {...current, version};
		this.mergeAnnouncement(versioned);
		if (!known || announcements.hasChanged(known, current)) {
			this.disseminatedAt.set(announcement.server, this.now);
			this.membership.disseminateNow({
				type: 'announcement',
				announcement: versioned,
			});
		} else if (
			this.now - (this.disseminatedAt.get(announcement.server) ?? 0) >=
			announcementRefreshIntervalMs
		) {
			this.disseminatedAt.set(announcement.server, this.now);
			this.membership.disseminate({
				type: 'announcement',
				announcement: versioned,
			});
		}
	}

	/** A server that has left counts as departing until its announcement expires. */
	private handleDeparture(server: ids.UpstreamId): void {
		const known = this.findAnnouncement(server);
		if (known) {
			const departure = announcements.buildDeparture(known);
			this.mergeAnnouncement(departure);
			this.disseminatedAt.set(server, this.now);
			this.membership.disseminateNow({
				type: 'announcement',
				announcement: departure,
			});
		}
	}

	private mergeAnnouncement(
		announcement: types.VersionedAnnouncement,
	): boolean {
		const known = this.announcements.get(announcement.server);
		if (known && known.announcement.version >= announcement.version) {
			return false;
		}

		this.announcements.set(announcement.server, {
			announcement,
			receivedAt: this.now,
		});
		this.effects.push(
			...this.control.step({
				type: 'announcementHeard',
				now: this.now,
				announcement,
			}),
		);
		return true;
	}

	private expireAnnouncements(): void {
		for (const [server, {receivedAt}] of this.announcements) {
			if (this.now - receivedAt > announcementRetentionMs) {
				this.announcements.delete(server);
				this.disseminatedAt.delete(server);
				this.control.removeAnnouncement(server);
			}
		}
	}

	private listDeltas(): membership.Delta[] {
		const known = new Map(this.control.machine.announcements);
		for (const {announcement} of this.announcements.values()) {
			known.set(announcement.server, announcement);
		}

		const announcements = [...known.values()].map(
			(announcement) => ({type: 'announcement', announcement}) as const,
		);
		const versions = this.control.machine
			.listTemplates()
			.map(
				({template: {member, version}}) =>
					({type: 'templateVersion', member, version}) as const,
			);
		return [...announcements, ...versions];
	}

	private takeEffects(): ControlPeerEffect[] {
		const {effects} = this;
		this.effects = [];
		return effects;
	}
}

function isMembershipMessage(
	message: messages.PeerMessage,
): message is membership.MembershipMessage {
	return (
		message.type === 'ping' ||
		message.type === 'pingRequest' ||
		message.type === 'ack' ||
		message.type === 'sync'
	);
}
