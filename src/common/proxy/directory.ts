/**
 * What the proxy knows of groups, servers and their owners. Announcements come from servers and
 * from peers; group views and owners come from control; reports come from owners.
 */
import * as announcements from '../announcement.js';
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import type * as types from '../types.js';
import type * as context from './context.js';

/**
 * Announcements are forgotten after this time. Whether a server is usable in between is decided by
 * the status polls of its owner.
 */
const announcementMemoryMs = 7_200_000;
/** A departed server is forgotten after this time. */
const departedMemoryMs = 60_000;
/**
 * Unchanged announcements are spread again at this interval. It is long because at the design scale
 * of 3,900 servers each spread costs every node about 200 bytes several times.
 */
const refreshIntervalMs = 1_800_000;
/** Control hears about a server without owner at this interval. */
const unownedIntervalMs = 3000;
/** Going through all servers in each tick would cost 3% of a core at 2,000 servers. */
const expiryIntervalMs = 1000;

type KnownAnnouncement = {
	announcement: types.VersionedAnnouncement;
	receivedAt: number;
};

type KnownReport = {
	readonly report: messages.ServerReport;
	readonly from: ids.PeerId;
	readonly receivedAt: number;
};

export class Directory {
	readonly groups = new Map<ids.GroupId, types.GroupView>();
	readonly owners = new Map<ids.UpstreamId, ids.PeerId>();
	private readonly announcements = new Map<ids.UpstreamId, KnownAnnouncement>();
	private readonly members = new Map<ids.GroupId, Set<ids.UpstreamId>>();
	private readonly reports = new Map<ids.UpstreamId, KnownReport>();
	private lastExpiryAt = Number.NEGATIVE_INFINITY;
	private readonly unconfirmed = new Map<ids.UpstreamId, number>();

	constructor(private readonly context: context.ProxyContext) {}

	getServer(server: ids.UpstreamId): types.VersionedAnnouncement | undefined {
		return this.announcements.get(server)?.announcement;
	}

	getReport(server: ids.UpstreamId): KnownReport | undefined {
		return this.reports.get(server);
	}

	/** All servers that announced themselves for the group. */
	listServers(group: ids.GroupId): Iterable<ids.UpstreamId> {
		return this.members.get(group) ?? [];
	}

	listAllAnnouncements(): types.VersionedAnnouncement[] {
		return [...this.announcements.values()].map((known) => known.announcement);
	}

	/** Announcements that control has not confirmed yet. */
	listUnconfirmed(): types.VersionedAnnouncement[] {
		const result: types.VersionedAnnouncement[] = [];
		for (const server of this.unconfirmed.keys()) {
			const known = this.announcements.get(server);
			if (known) {
				result.push(known.announcement);
			}
		}

		return result;
	}

	confirmAnnouncement(server: ids.UpstreamId, version: number): void {
		if ((this.unconfirmed.get(server) ?? Infinity) <= version) {
			this.unconfirmed.delete(server);
		}
	}

	/**
	 * Takes an announcement that a server sent to this proxy.
	 *
	 * @returns The versioned announcement when other peers need to hear it.
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
		const age = wallClock - (known?.announcement.version ?? 0);
		const isNews =
			known === undefined ||
			announcements.hasChanged(known.announcement, current) ||
			age >= refreshIntervalMs;
		const isUnowned =
			!this.owners.has(announcement.server) && age >= unownedIntervalMs;
		if (known && !isNews && !isUnowned) {
			known.receivedAt = this.context.now;
			return undefined;
		}

		const version = Math.max(wallClock, (known?.announcement.version ?? 0) + 1);
		const versioned = {...current, version};
		this.storeAnnouncement(versioned);
		this.unconfirmed.set(announcement.server, version);
		return isNews ? versioned : undefined;
	}

	/** Takes an announcement from a peer; returns true when it is news. */
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

	/** Applies what control said about groups and owners. */
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

	/** Forgets servers that neither announce themselves nor are reported by an owner. */
	expireAnnouncements(): void {
		const {now} = this.context;
		if (now - this.lastExpiryAt < expiryIntervalMs) {
			return;
		}

		this.lastExpiryAt = now;
		for (const [server, known] of this.announcements) {
			const limitMs = known.announcement.departing
				? departedMemoryMs
				: announcementMemoryMs;
			if (
				now - known.receivedAt > limitMs &&
				this.owners.get(server) !== this.context.config.peer
			) {
				this.announcements.delete(server);
				this.reports.delete(server);
				this.unconfirmed.delete(server);
				this.members.get(known.announcement.group)?.delete(server);
			}
		}
	}

	private storeAnnouncement(announcement: types.VersionedAnnouncement): void {
		const {server, group} = announcement;
		const old = this.announcements.get(server)?.announcement;
		if (old && old.group !== group) {
			this.members.get(old.group)?.delete(server);
		}

		this.announcements.set(server, {
			announcement,
			receivedAt: this.context.now,
		});
		let servers = this.members.get(group);
		if (!servers) {
			servers = new Set();
			this.members.set(group, servers);
		}

		servers.add(server);
	}
}
