/**
 * A control peer for tests of proxies only. It grants the ownership that the test sets, without a
 * replicated log and without failover.
 */
import type * as ids from '../../common/ids.js';
import * as membership from '../../common/membership/membership.js';
import type * as messages from '../../common/messages.js';
import * as packing from '../../common/packing.js';
import * as random from '../../common/random.js';
import type * as types from '../../common/types.js';
import type * as allowances from '../../common/control/allowances.js';
import type * as links from './links.js';
import type * as timeline from './timeline.js';

const leaseDurationMs = 1500;

export class ScriptedControl implements links.LinkedProcess {
	condition: 'up' | 'frozen' | 'dead' = 'up';
	readonly releasedLeases: string[] = [];
	/** The servers that each lease renewal listed as owned. */
	readonly claimedServers: string[][] = [];
	groups: types.GroupView[] = [];
	templates: types.Template[] = [];
	configuration: types.Configuration | undefined;
	/** False while proxies get no answer when they fetch the configuration. */
	sendsParts = true;
	/** The rate limits of customers; without it, reports about them are not answered. */
	allowances: allowances.AllowanceTable | undefined;
	private appliedIndex = 1;
	private readonly owners = new Map<ids.UpstreamId, ids.PeerId>();
	private readonly epochs = new Map<ids.UpstreamId, types.Epoch>();
	private readonly writeTerms = new Map<ids.UpstreamId, number>();

	private readonly announcements = new Map<
		ids.UpstreamId,
		types.VersionedAnnouncement
	>();

	private readonly membership: membership.Membership;

	constructor(
		readonly peer: ids.PeerId,
		private readonly links: links.Links,
		private readonly timeline: timeline.Timeline,
	) {
		this.membership = this.createMembership();
		timeline.scheduleEvery(25, () => {
			if (this.condition === 'up') {
				this.membership.handleTick(timeline.now);
			}
		});
	}

	/** Assigns a server to a proxy, with the write lease when `writeTerm` is set. */
	assign(server: ids.UpstreamId, owner: ids.PeerId, writeTerm?: number): void {
		this.appliedIndex++;
		this.owners.set(server, owner);
		this.epochs.set(server, {consensusTerm: 1, counter: this.appliedIndex});
		if (writeTerm === undefined) {
			this.writeTerms.delete(server);
		} else {
			this.writeTerms.set(server, writeTerm);
		}
	}

	setGroup(view: types.GroupView): void {
		this.appliedIndex++;
		this.groups = [
			...this.groups.filter(({group}) => group !== view.group),
			view,
		];
	}

	revokeWrite(server: ids.UpstreamId): void {
		this.writeTerms.delete(server);
		this.links.send(this.peer, this.owners.get(server)!, {
			type: 'revokeLease',
			server,
			epoch: this.epochs.get(server)!,
			scope: 'write',
		});
	}

	handleMessage(from: ids.PeerId, message: messages.PeerMessage): void {
		if (this.condition !== 'up') {
			return;
		}

		if (message.type === 'renewLease') {
			this.answerRenewal(from, message);
		} else if (message.type === 'allowanceRequest') {
			const {incarnation, report} = message;
			const {now} = this.timeline;
			const grant = this.allowances?.handleReport(
				now,
				from,
				incarnation,
				report,
			);
			if (grant) {
				this.links.send(this.peer, from, {type: 'allowanceGranted', grant});
			}
		} else if (
			message.type === 'configurationFetch' &&
			this.configuration &&
			this.sendsParts
		) {
			const data = packing.plainPacking.pack(this.configuration.text);
			this.links.send(this.peer, from, {
				type: 'configurationPart',
				version: this.configuration.version,
				size: data.length,
				offset: 0,
				data,
			});
		} else if (message.type === 'leaseReleased') {
			this.releasedLeases.push(`${message.server}/${message.scope}`);
		} else if (
			message.type === 'ping' ||
			message.type === 'pingRequest' ||
			message.type === 'ack' ||
			message.type === 'sync'
		) {
			this.membership.handleMessage(from, message, this.timeline.now);
		}
	}

	handleLinkChange(): void {
		// Grants are sent only as answers to renewals, so link changes need no action.
	}

	private createMembership(): membership.Membership {
		return new membership.Membership({
			self: {
				peer: this.peer,
				role: 'control',
				address: this.peer,
				dataCentre: 'dc' as ids.DataCentre,
				incarnation: 1,
			},
			random: random.createRandom(99),
			send: (to, message) => {
				this.links.send(this.peer, to, message);
				return true;
			},
			listener: {
				handlePeerChange: ({peer}) => {
					this.links.connect(this.peer, peer);
				},
				handleDeadPeerMessage: ({peer}) => {
					this.links.connect(this.peer, peer);
				},
				handleAnnouncement: (announcement) => {
					const known = this.announcements.get(announcement.server);
					const isNewer = (known?.version ?? 0) < announcement.version;
					if (isNewer) {
						this.announcements.set(announcement.server, announcement);
					}

					return isNewer;
				},
				handleTemplateVersion() {
					// The test sets the templates.
				},
				listDeltas: () =>
					[...this.announcements.values()].map(
						(announcement) => ({type: 'announcement', announcement}) as const,
					),
			},
		});
	}

	private answerRenewal(
		from: ids.PeerId,
		renewal: Extract<messages.ControlMessage, {type: 'renewLease'}>,
	): void {
		this.claimedServers.push(renewal.owned.map(({server}) => server));
		const owned = [...this.owners]
			.filter(([, owner]) => owner === from)
			.map(([server]) => ({
				server,
				epoch: this.epochs.get(server)!,
				...(this.writeTerms.has(server)
					? {writeTerm: this.writeTerms.get(server)!}
					: {}),
			}));
		const grant =
			renewal.allowances &&
			this.allowances?.handleReport(
				this.timeline.now,
				from,
				renewal.incarnation,
				renewal.allowances,
			);
		this.links.send(this.peer, from, {
			...(grant ? {allowances: grant} : {}),
			type: 'leaseGranted',
			sequence: renewal.sequence,
			durationMs: leaseDurationMs,
			owned,
			groups: this.groups,
			owners: [...this.owners].map(([server, owner]) => ({server, owner})),
			templates: this.templates,
			...(this.configuration &&
			(renewal.configurationVersion ?? 0) < this.configuration.version
				? {
						configuration: {
							version: this.configuration.version,
							source: this.peer,
						},
					}
				: {}),
			confirmed: renewal.announcements.map(
				({server, version}) => [server, version] as const,
			),
			appliedIndex: this.appliedIndex,
		});
	}
}
