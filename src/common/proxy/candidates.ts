/**
 * The servers that could serve a request, as this proxy sees them: its own servers directly, the
 * others through the reports of their owners.
 */
import type * as ids from '../ids.js';
import type * as membershipService from '../membership/membership.js';
import * as placedWork from '../policy/placed-work.js';
import type * as policy from '../policy/types.js';
import type * as types from '../types.js';
import type * as context from './context.js';
import type * as directory from './directory.js';
import type * as entryState from './entry-state.js';
import type * as owner from './owner.js';
import type * as owned from './owned-server.js';

const subscriptionRenewalIntervalMs = 24_000;
/** Assumed round trip to an owner in another data centre until one is measured. */
const defaultRemoteRoundTripMs = 20;

export class CandidateList {
	/** Requests of this entry at servers of other owners. */
	readonly placedWork = new placedWork.PlacedWork();
	/** When this entry last subscribed to the reports of an owner on a group. */
	private readonly subscribedAt = new Map<
		ids.PeerId,
		Map<ids.GroupId, number>
	>();

	private lastCheckedAt = 0;

	constructor(
		private readonly context: context.ProxyContext,
		private readonly directory: directory.Directory,
		private readonly owner: owner.Owner,
		private readonly membership: Pick<
			membershipService.Membership,
			'getPeer' | 'getRoundTrip' | 'getDataCentreRoundTrip'
		>,
	) {}

	getOwner(server: ids.UpstreamId): ids.PeerId | undefined {
		return this.owner.servers.has(server)
			? this.context.config.peer
			: this.directory.owners.get(server);
	}

	/** Lists the reachable servers of a group. */
	list(group: ids.GroupId, rank: types.Rank): policy.RoutingCandidate[] {
		const result: policy.RoutingCandidate[] = [];
		for (const server of this.directory.listServers(group)) {
			const announcement = this.directory.getServer(server);
			const ownerPeer = this.getOwner(server);
			if (
				!announcement ||
				ownerPeer === undefined ||
				!this.context.isReachable(ownerPeer)
			) {
				continue;
			}

			const local = this.owner.servers.get(server);
			const candidate = local
				? this.createLocalCandidate(local, announcement, rank)
				: this.createRemoteCandidate(server, announcement, ownerPeer, rank);
			result.push(candidate);
		}

		return result;
	}

	/** Asks the owners of the group's servers for reports; renewed while sessions use the group. */
	subscribeToReports(group: ids.GroupId): void {
		for (const server of this.directory.listServers(group)) {
			const ownerPeer = this.getOwner(server);
			if (ownerPeer !== undefined && ownerPeer !== this.context.config.peer) {
				this.subscribeToOwner(group, ownerPeer);
			}
		}
	}

	/** Subscribes to new owners and renews subscriptions. */
	handleTick(groups: Iterable<ids.GroupId>): void {
		const {now} = this.context;
		if (now - this.lastCheckedAt < this.context.timing.reportIntervalMs) {
			return;
		}

		this.lastCheckedAt = now;
		this.placedWork.decay(now);
		this.placedWork.removeExcept(
			(server) => this.directory.getServer(server) !== undefined,
		);
		for (const group of groups) {
			this.subscribeToReports(group);
		}
	}

	/** Records how long a read took without its time in the queue, in ms. */
	recordRead({server, owner}: entryState.Attempt, durationMs: number): void {
		const roundTripMs = this.owner.servers.has(server)
			? 0
			: (this.membership.getRoundTrip(owner) ?? 0);
		this.placedWork.recordService(server, durationMs - roundTripMs);
	}

	/** A peer whose link was lost may have restarted without its subscriptions. */
	handleLinkDown(peer: ids.PeerId): void {
		this.subscribedAt.delete(peer);
	}

	private subscribeToOwner(group: ids.GroupId, ownerPeer: ids.PeerId): void {
		const {now} = this.context;
		let groups = this.subscribedAt.get(ownerPeer);
		if (!groups) {
			groups = new Map();
			this.subscribedAt.set(ownerPeer, groups);
		}

		const lastAt = groups.get(group) ?? Number.NEGATIVE_INFINITY;
		if (
			now - lastAt >= subscriptionRenewalIntervalMs &&
			this.context.send(ownerPeer, {type: 'reportSubscribe', group})
		) {
			groups.set(group, now);
		}
	}

	private createLocalCandidate(
		server: owned.OwnedServer,
		announcement: types.Announcement,
		rank: types.Rank,
	): policy.RoutingCandidate {
		const {now} = this.context;
		const answerAgeMs = now - (server.lastAnswerAt ?? Number.NEGATIVE_INFINITY);
		return {
			server: server.server,
			role: server.status?.role ?? announcement.role,
			dataCentre: announcement.dataCentre,
			owner: this.context.config.peer,
			applied: server.getAppliedPosition() ?? {term: 0, offset: 0},
			stalenessMs: this.owner.rules.computeStaleness(server),
			expectedWaitMs: server.scheduler.estimateWait(rank, now),
			serviceMs: this.placedWork.getServiceTime(server.server),
			roundTripMs:
				announcement.dataCentre === this.context.config.dataCentre
					? 0
					: this.estimateDataCentreRoundTrip(announcement.dataCentre),
			departing: announcement.departing,
			writable: this.owner.rules.isWritable(server),
			reportAgeMs: answerAgeMs,
			reportOverdueMs: answerAgeMs,
		};
	}

	private createRemoteCandidate(
		server: ids.UpstreamId,
		announcement: types.Announcement,
		ownerPeer: ids.PeerId,
		rank: types.Rank,
	): policy.RoutingCandidate {
		const known = this.directory.getReport(server);
		const isPrimary =
			this.directory.groups.get(announcement.group)?.primary === server;
		const base = {
			server,
			dataCentre: announcement.dataCentre,
			owner: ownerPeer,
			roundTripMs: this.estimateRoundTrip(ownerPeer, announcement.dataCentre),
			serviceMs: this.placedWork.getServiceTime(server),
			departing: announcement.departing,
		};
		if (known?.from !== ownerPeer) {
			// Without a report, the group view from control tells which server is the primary. Its owner
			// decides whether it can run the request.
			return {
				...base,
				role: isPrimary ? 'primary' : 'replica',
				applied: {term: 0, offset: 0},
				stalenessMs: Infinity,
				expectedWaitMs: 0,
				writable: isPrimary,
				reportAgeMs: 0,
				reportOverdueMs: 0,
			};
		}

		const {report} = known;
		const ageMs = this.context.now - known.receivedAt;
		// The owner keeps the server's data fresh between two reports.
		const overdueMs = Math.max(0, ageMs - report.nextReportMs);
		return {
			...base,
			role: report.role,
			applied: {
				term: report.logTerm ?? report.term,
				offset: report.applied,
			},
			stalenessMs: report.writable
				? report.stalenessMs
				: report.stalenessMs + overdueMs,
			expectedWaitMs:
				report.expectedWaitMs[rank] +
				this.placedWork.estimateAddedWait(server, announcement.slots),
			writable: report.writable,
			reportAgeMs: ageMs,
			reportOverdueMs: overdueMs,
		};
	}

	/**
	 * Round trip to a server through its owner. For an owner in another data centre than the server, the
	 * part between them is at least the difference of the round trips to both.
	 */
	private estimateRoundTrip(
		peer: ids.PeerId,
		dataCentre: ids.DataCentre,
	): number {
		const ownerDataCentre = this.membership.getPeer(peer)?.dataCentre;
		const ownerMs =
			this.membership.getRoundTrip(peer) ??
			this.estimateDataCentreRoundTrip(ownerDataCentre ?? dataCentre);
		return ownerDataCentre === undefined || ownerDataCentre === dataCentre
			? ownerMs
			: ownerMs +
					Math.abs(this.estimateDataCentreRoundTrip(dataCentre) - ownerMs);
	}

	private estimateDataCentreRoundTrip(dataCentre: ids.DataCentre): number {
		const assumedRoundTripMs =
			dataCentre === this.context.config.dataCentre
				? 1
				: defaultRemoteRoundTripMs;
		return (
			this.membership.getDataCentreRoundTrip(dataCentre) ?? assumedRoundTripMs
		);
	}
}
