/**
 * The servers that could serve a request, as this proxy sees them: its own servers directly, the
 * others through the reports of their owners.
 */
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import type * as policy from '../policy/types.js';
import type * as types from '../types.js';
import type * as context from './context.js';
import type * as directory from './directory.js';
import type * as owner from './owner.js';
import type * as owned from './owned-server.js';

const subscriptionRenewalIntervalMs = 3000;
/** Assumed round trip to an owner in another data centre until one is measured. */
const defaultRemoteRoundTripMs = 20;

export class CandidateList {
	private readonly lastSubscribedAt = new Map<ids.GroupId, number>();
	private lastReportAt = 0;

	constructor(
		private readonly context: context.ProxyContext,
		private readonly directory: directory.Directory,
		private readonly owner: owner.Owner,
		private readonly readRoundTrip: (peer: ids.PeerId) => number | undefined,
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
		const {now} = this.context;
		const lastAt = this.lastSubscribedAt.get(group);
		if (lastAt !== undefined && now - lastAt < subscriptionRenewalIntervalMs) {
			return;
		}

		this.lastSubscribedAt.set(group, now);
		const owners = new Set<ids.PeerId>();
		for (const server of this.directory.listServers(group)) {
			const ownerPeer = this.getOwner(server);
			if (ownerPeer !== undefined && ownerPeer !== this.context.config.peer) {
				owners.add(ownerPeer);
			}
		}

		for (const ownerPeer of owners) {
			this.context.send(ownerPeer, {type: 'reportSubscribe', group});
		}
	}

	/** Stores a subscription and answers it with a report at once. */
	handleSubscribe(from: ids.PeerId, group: ids.GroupId): void {
		const reports: messages.ServerReport[] = [];
		for (const server of this.owner.servers.values()) {
			if (server.group === group) {
				server.subscribers.set(from, this.context.now + 10_000);
				reports.push(this.createReport(server));
			}
		}

		if (reports.length > 0) {
			this.context.send(from, {type: 'serverReports', reports});
		}
	}

	/** Renews subscriptions and sends reports when they are due. */
	handleTick(groups: Iterable<ids.GroupId>): void {
		const {now} = this.context;
		if (now - this.lastReportAt < this.context.timing.reportIntervalMs) {
			return;
		}

		this.lastReportAt = now;
		for (const group of groups) {
			this.subscribeToReports(group);
		}

		const reportsBySubscriber = new Map<ids.PeerId, messages.ServerReport[]>();
		for (const server of this.owner.servers.values()) {
			let report: messages.ServerReport | undefined;
			for (const [peer, expiresAt] of server.subscribers) {
				if (expiresAt < now) {
					server.subscribers.delete(peer);
				} else if (peer !== this.context.config.peer) {
					report ??= this.createReport(server);
					const reports = reportsBySubscriber.get(peer);
					if (reports) {
						reports.push(report);
					} else {
						reportsBySubscriber.set(peer, [report]);
					}
				}
			}
		}

		for (const [peer, reports] of reportsBySubscriber) {
			this.context.send(peer, {type: 'serverReports', reports});
		}
	}

	/** Sends a report to all subscribers at once, for example when writes become possible. */
	sendReport(server: owned.OwnedServer): void {
		const report = this.createReport(server);
		for (const peer of server.subscribers.keys()) {
			if (peer !== this.context.config.peer) {
				this.context.send(peer, {type: 'serverReports', reports: [report]});
			}
		}
	}

	private createReport(server: owned.OwnedServer): messages.ServerReport {
		const {now} = this.context;
		// Whole numbers take a third of the bytes. Staleness is an upper bound, so it is rounded up.
		const estimateWait = (rank: types.Rank) =>
			Math.round(server.scheduler.estimateWait(rank, now));
		return {
			server: server.server,
			group: server.group,
			role: server.status?.role ?? server.announcement.role,
			term: server.status?.term ?? 0,
			applied: server.status?.applied ?? 0,
			...(server.status?.logTerm === undefined
				? {}
				: {logTerm: server.status.logTerm}),
			answerAgeMs: Math.round(
				now - (server.lastAnswerAt ?? Number.NEGATIVE_INFINITY),
			),
			stalenessMs: Math.ceil(this.owner.rules.computeStaleness(server)),
			expectedWaitMs: {
				urgent: estimateWait('urgent'),
				normal: estimateWait('normal'),
				background: estimateWait('background'),
			},
			writable: this.owner.rules.isWritable(server),
		};
	}

	private createLocalCandidate(
		server: owned.OwnedServer,
		announcement: types.Announcement,
		rank: types.Rank,
	): policy.RoutingCandidate {
		const {now} = this.context;
		return {
			server: server.server,
			role: server.status?.role ?? announcement.role,
			dataCentre: announcement.dataCentre,
			owner: this.context.config.peer,
			applied: server.getAppliedPosition() ?? {term: 0, offset: 0},
			stalenessMs: this.owner.rules.computeStaleness(server),
			expectedWaitMs: server.scheduler.estimateWait(rank, now),
			roundTripMs: 0,
			departing: announcement.departing,
			writable: this.owner.rules.isWritable(server),
			reportAgeMs: now - (server.lastAnswerAt ?? Number.NEGATIVE_INFINITY),
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
			};
		}

		const {report} = known;
		const ageMs = this.context.now - known.receivedAt;
		return {
			...base,
			role: report.role,
			applied: {
				term: report.logTerm ?? report.term,
				offset: report.applied,
			},
			stalenessMs: report.writable
				? report.stalenessMs
				: report.stalenessMs + ageMs,
			expectedWaitMs: report.expectedWaitMs[rank],
			writable: report.writable,
			reportAgeMs: ageMs,
		};
	}

	private estimateRoundTrip(
		peer: ids.PeerId,
		dataCentre: ids.DataCentre,
	): number {
		const assumedRoundTripMs =
			dataCentre === this.context.config.dataCentre
				? 1
				: defaultRemoteRoundTripMs;
		return this.readRoundTrip(peer) ?? assumedRoundTripMs;
	}
}
