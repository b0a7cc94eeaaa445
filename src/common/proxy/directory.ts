/**
 * What the proxy knows about groups, servers and their owners. Announcements come from servers and
 * from peers; group views and owners come from control; reports come from owners.
 */
import * as announcements from '../announcement.js';
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import type * as types from '../types.js';
import type * as context from './context.js';

/**
 * Announcements are removed this long after they were last received. Until then, the status polls
 * of the owner decide whether the server is usable.
 */
const announcementRetentionMs = 7_200_000;
/** The same for the announcement of a departing server. */
const departedRetentionMs = 60_000;
/**
 * Unchanged announcements are disseminated again at this interval. It is long because at the design
 * scale of 3,900 servers each dissemination costs every peer about 200 bytes several times.
 */
const refreshIntervalMs = 1_800_000;
/** A server without an owner is reported to control at this interval. */
const unownedReportIntervalMs = 3000;
/** Checking all servers for expiry in each tick would cost 3% of a core at 2,000 servers. */
const expiryIntervalMs = 1000;

type KnownAnnouncement = {
	announcement: types.VersionedAnnouncement;
	receivedAt: number;
};

type KnownReport = {
	report: messages.ServerReport;
	readonly from: ids.PeerId;
	readonly receivedAt: number;
};

export class Directory {
	readonly groups = new Map<ids.GroupId, types.GroupView>();
	readonly owners = new Map<ids.UpstreamId, ids.PeerId>();
	private readonly announcements = new Map<ids.UpstreamId, KnownAnnouncement>();
	private readonly serversByGroup = new Map<ids.GroupId, Set<ids.UpstreamId>>();
	private readonly reports = new Map<ids.UpstreamId, KnownReport>();
	private lastExpiryAt = Number.NEGATIVE_INFINITY;
	private readonly unconfirmedVersions = new Map<ids.UpstreamId, number>();

	constructor(private readonly context: context.ProxyContext) {}

	getServer(server: ids.UpstreamId): types.VersionedAnnouncement | undefined {
		return this.announcements.get(server)?.announcement;
	}

	getReport(server: ids.UpstreamId): KnownReport | undefined {
		return this.reports.get(server);
	}

	/** All servers that announced themselves for the group. */
	listServers(group: ids.GroupId): Iterable<ids.UpstreamId> {
		return this.serversByGroup.get(group) ?? [];
	}

	listAllAnnouncements(): types.VersionedAnnouncement[] {
		return [...this.announcements.values()].map((known) => known.announcement);
	}

	/** Announcements that control has not confirmed yet. */
	listUnconfirmed(): types.VersionedAnnouncement[] {
		const result: types.VersionedAnnouncement[] = [];
		for (const server of this.unconfirmedVersions.keys()) {
			const known = this.announcements.get(server);
			if (known) {
				result.push(known.announcement);
			}
		}

		return result;
	}

	confirmAnnouncement(server: ids.UpstreamId, version: number): void {
		if ((this.unconfirmedVersions.get(server) ?? Infinity) <= version) {
			this.unconfirmedVersions.delete(server);
		}
	}

	/**
	 * Handles an announcement that a server sent to this proxy.
	 *
	 * @returns The versioned announcement when it must be disseminated to other peers.
	 */
	addLocalAnnouncement(
		announcement: types.Announcement,
		wallClock: number,
	): types.VersionedAnnouncement | undefined {
		const known = this.announcements.get(announcement.server);
		if (known && announcement.startedAt < known.announcement.startedAt) {
			return undefined;
		}

		const current = announcements.preserveDepartingFlag(
			announcement,
			known?.announcement,
		);
		const ageMs = wallClock - (known?.announcement.version ?? 0);
		const shouldDisseminate =
			known === undefined ||
			announcements.hasChanged(known.announcement, current) ||
			ageMs >= refreshIntervalMs;
		const shouldReportUnowned =
			!this.owners.has(announcement.server) && ageMs >= unownedReportIntervalMs;
		if (known && !shouldDisseminate && !shouldReportUnowned) {
			known.receivedAt = this.context.now;
			return undefined;
		}

		const version = Math.max(wallClock, (known?.announcement.version ?? 0) + 1);
		const versioned = {...current, version};
		this.storeAnnouncement(versioned);
		this.unconfirmedVersions.set(announcement.server, version);
		return shouldDisseminate ? versioned : undefined;
	}

	/** Stores an announcement from a peer when it is newer than the known one; returns true then. */
	mergeAnnouncement(announcement: types.VersionedAnnouncement): boolean {
		const known = this.announcements.get(announcement.server);
		if (known && known.announcement.version >= announcement.version) {
			return false;
		}

		this.storeAnnouncement(announcement);
		return true;
	}

	addReports(
		from: ids.PeerId,
		reports: readonly messages.ServerReport[],
	): void {
		for (const report of reports) {
			this.reports.set(report.server, {
				report,
				from,
				receivedAt: this.context.now,
			});
		}
	}

	/** Updates the last report of an owner with the wait that it stated in an answer. */
	updateExpectedWait(
		from: ids.PeerId,
		server: ids.UpstreamId,
		rank: types.Rank,
		expectedWaitMs: number,
	): void {
		const known = this.reports.get(server);
		if (known?.from === from) {
			known.report = {
				...known.report,
				expectedWaitMs: {
					...known.report.expectedWaitMs,
					[rank]: expectedWaitMs,
				},
			};
		}
	}

	/** Applies the groups and owners of a grant from control; returns the group views it stored. */
	applyGrant(
		grant: Extract<messages.ControlMessage, {type: 'leaseGranted'}>,
	): types.GroupView[] {
		const changed: types.GroupView[] = [];
		for (const view of grant.groups) {
			const known = this.groups.get(view.group);
			if (known === undefined || known.term <= view.term) {
				this.groups.set(view.group, view);
				changed.push(view);
			}
		}

		for (const {server, owner} of grant.owners) {
			if (owner === undefined) {
				this.owners.delete(server);
			} else {
				this.owners.set(server, owner);
			}
		}

		return changed;
	}

	/** Removes servers that no longer announce themselves, except those that this proxy owns. */
	expireAnnouncements(): void {
		const {now} = this.context;
		if (now - this.lastExpiryAt < expiryIntervalMs) {
			return;
		}

		this.lastExpiryAt = now;
		for (const [server, known] of this.announcements) {
			const retentionMs = known.announcement.departing
				? departedRetentionMs
				: announcementRetentionMs;
			if (
				now - known.receivedAt > retentionMs &&
				this.owners.get(server) !== this.context.config.peer
			) {
				this.announcements.delete(server);
				this.reports.delete(server);
				this.unconfirmedVersions.delete(server);
				this.serversByGroup.get(known.announcement.group)?.delete(server);
			}
		}
	}

	private storeAnnouncement(announcement: types.VersionedAnnouncement): void {
		const {server, group} = announcement;
		const old = this.announcements.get(server)?.announcement;
		if (old && old.group !== group) {
			this.serversByGroup.get(old.group)?.delete(server);
		}

		this.announcements.set(server, {
			announcement,
			receivedAt: this.context.now,
		});
		let servers = this.serversByGroup.get(group);
		if (!servers) {
			servers = new Set();
			this.serversByGroup.set(group, servers);
		}

		servers.add(server);
	}
}
