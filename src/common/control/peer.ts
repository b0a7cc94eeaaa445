/**
 * A control process as one reducer: the control reducer and membership. Through membership a control
 * peer learns where the proxies listen, and is the meeting point of processes that start.
 */
import type * as ids from '../ids.js';
import * as membershipService from '../membership/membership.js';
import type * as membership from '../membership/types.js';
import type * as messages from '../messages.js';
import type * as random from '../random.js';
import type * as types from '../types.js';
import type * as control from './types.js';
import * as reducer from './reducer.js';

/** Announcements of servers that were not heard of for this long are forgotten. */
const announcementMemoryMs = 7_200_000;

export type ControlPeerOptions = {
	readonly peer: ids.PeerId;
	/** `ip:port` of the peer listener. */
	readonly address: string;
	readonly dataCentre: ids.DataCentre;
	/** Higher for each start of the process. */
	readonly incarnation: number;
	readonly controlPeers: ReadonlyArray<{
		readonly peer: ids.PeerId;
		readonly address: string;
	}>;
	readonly log: control.ReplicatedLog;
	readonly random: random.RandomSource;
};

export type ControlPeerEvent =
	| control.ControlEvent
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
	private effects: ControlPeerEffect[] = [];
	private readonly announcements = new Map<ids.UpstreamId, KnownAnnouncement>();

	constructor(private readonly options: ControlPeerOptions) {
		this.control = new reducer.ControlReducer({
			peer: options.peer,
			log: options.log,
		});
		this.membership = this.createMembership();
	}

	/** Effects that start the process: links to the other control peers. */
	start(now: number): ControlPeerEffect[] {
		this.now = now;
		for (const {peer, address} of this.options.controlPeers) {
			if (peer !== this.options.peer) {
				this.effects.push({type: 'connectPeer', peer, address});
			}
		}

		return this.takeEffects();
	}

	/** Handles one event. */
	step(event: ControlPeerEvent): ControlPeerEffect[] {
		this.now = event.now;
		if (event.type === 'peerLinkChanged') {
			this.handleLinkChange(event.peer, event.up);
			return this.takeEffects();
		}

		if (event.type === 'peerMessage' && isMembershipMessage(event.message)) {
			this.membership.handleMessage(event.from, event.message, event.now);
			return this.takeEffects();
		}

		if (event.type === 'tick') {
			this.membership.handleTick(event.now);
			this.expireAnnouncements();
		}

		this.effects.push(...this.control.step(event));
		return this.takeEffects();
	}

	private handleLinkChange(peer: ids.PeerId, up: boolean): void {
		if (up) {
			this.membership.startSync(peer);
		} else {
			this.membership.handleLinkDown(peer, this.now);
		}
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
				handleContact: ({peer, address}) => {
					this.effects.push({
						type: 'connectPeer',
						peer,
						address,
					});
				},
				handleAnnouncement: (announcement) =>
					this.mergeAnnouncement(announcement),
				handleTemplateVersion() {
					// The replicated log brings templates to control peers.
				},
				listDeltas: () => this.listDeltas(),
			},
		});
	}

	private handlePeerChange(state: membership.PeerState): void {
		const {peer, address} = state;
		if (state.condition === 'alive') {
			this.effects.push({type: 'connectPeer', peer, address});
		} else if (
			(state.condition === 'dead' || state.condition === 'left') &&
			!this.options.controlPeers.some((known) => known.peer === peer)
		) {
			this.effects.push({type: 'disconnectPeer', peer});
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
			if (this.now - receivedAt > announcementMemoryMs) {
				this.announcements.delete(server);
				this.control.removeAnnouncement(server);
			}
		}
	}

	private listDeltas(): membership.Delta[] {
		const announcements = [...this.announcements.values()].map(
			({announcement}) => ({type: 'announcement', announcement}) as const,
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
