/**
 * What the proxy learns about other peers through membership: where they listen, announcements of
 * servers, and that a peer has a newer template.
 */
import {assertNever} from '../assert-never.js';
import type * as ids from '../ids.js';
import * as linkPolicy from '../membership/link-policy.js';
import * as membershipService from '../membership/membership.js';
import type * as membership from '../membership/types.js';
import type * as context from './context.js';
import type * as directory from './directory.js';
import type * as templateStore from './template-store.js';

const part = 'proxy';

export class PeerView {
	readonly membership: membershipService.Membership;

	constructor(
		private readonly context: context.ProxyContext,
		private readonly directory: directory.Directory,
		private readonly templates: templateStore.TemplateStore,
	) {
		this.membership = this.createMembership();
	}

	/** Lists the configured control peers and those that membership found, without duplicates. */
	listControlPeers(): ids.PeerId[] {
		const peers = new Set(this.context.controlPeers.map(({peer}) => peer));
		for (const state of this.membership.listLivePeers()) {
			if (state.role === 'control') {
				peers.add(state.peer);
			}
		}

		return [...peers];
	}

	handleLinkUp(peer: ids.PeerId): void {
		this.membership.handleLinkUp(
			peer,
			this.context.now,
			this.isConfigured(peer),
		);
	}

	/** Disconnects a peer that was declared dead while its link still worked. */
	handleLinkDown(peer: ids.PeerId): void {
		const state = this.membership.getPeer(peer);
		if (state) {
			this.disconnectIfUnwanted(state);
		}
	}

	private disconnectIfUnwanted({peer, condition}: membership.PeerState): void {
		const isWanted = linkPolicy.isLinkWanted(condition, {
			isUp: this.context.isReachable(peer),
			isConfigured: this.isConfigured(peer),
		});
		if (!isWanted) {
			this.context.emit({type: 'disconnectPeer', peer});
		}
	}

	private isConfigured(peer: ids.PeerId): boolean {
		return this.context.controlPeers.some(
			(configured) => configured.peer === peer,
		);
	}

	private createMembership(): membershipService.Membership {
		const {config, random} = this.context;
		return new membershipService.Membership({
			self: {
				peer: config.peer,
				role: 'proxy',
				address: config.address,
				dataCentre: config.dataCentre,
				incarnation: config.incarnation,
			},
			random,
			send: (to, message) => this.context.send(to, message),
			listener: {
				handlePeerChange: (state) => {
					this.handlePeerChange(state);
				},
				handleDeadPeerMessage: ({peer, address}) => {
					this.context.emit({
						type: 'connectPeer',
						peer,
						address,
					});
				},
				handleAnnouncement: (announcement) =>
					this.directory.mergeAnnouncement(announcement),
				handleTemplateVersion: (member, version, from) => {
					if (version > this.templates.getVersion(member)) {
						this.context.send(from, {type: 'templateFetch', member});
					}
				},
				listDeltas: () => this.listDeltas(),
			},
		});
	}

	private handlePeerChange(state: membership.PeerState): void {
		switch (state.condition) {
			case 'alive': {
				this.context.emit({
					type: 'connectPeer',
					peer: state.peer,
					address: state.address,
				});
				return;
			}

			case 'suspect': {
				return;
			}

			case 'dead':
			case 'left': {
				this.context.log(
					'info',
					part,
					`Peer ${state.peer} is dead or has left`,
					{
						isLinkUp: this.context.isReachable(state.peer),
					},
				);
				this.disconnectIfUnwanted(state);
				return;
			}

			default: {
				assertNever(state.condition);
			}
		}
	}

	private listDeltas(): membership.Delta[] {
		return [
			...this.directory
				.listAllAnnouncements()
				.map((announcement) => ({type: 'announcement', announcement}) as const),
			...this.templates
				.listVersions()
				.map(
					([member, version]) =>
						({type: 'templateVersion', member, version}) as const,
				),
		];
	}
}
