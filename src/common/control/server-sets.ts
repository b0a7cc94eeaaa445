/**
 * Registration of groups and changes of their server sets, as the control leader proposes them.
 *
 * A promotion needs a majority of the set, and so does each acknowledged write. Two sets that differ
 * by one server have majorities that overlap; sets that differ by more need not. So the next change
 * waits until every owner uses the new set and a majority of it holds what was acknowledged before.
 * Where servers acknowledge commits themselves, with n synchronous replicas, all servers of the set but n
 * must include a holder of each commit. A server that joins keeps this true; one that leaves may be a
 * holder, so it stays in the set until n + 1 others hold what was acknowledged while it counted.
 * A new group need not wait as long as nobody can write to it: its first write lease is granted only
 * after the registration window.
 */
import type * as ids from '../ids.js';
import * as position from '../position.js';
import type * as control from './types.js';
import type * as leases from './leases.js';
import type * as ownership from './ownership.js';
import * as machines from './machine.js';
import * as reports from './reports.js';
import type * as synchronousReplicas from './synchronous-replicas.js';
import * as timing from './timing.js';

/** Progress of a group's server set towards its next change. */
type SetChangeProgress = {
	/** `serversChangedAt` of the set. */
	readonly setIndex: number;
	/** When this leader first saw the set. */
	readonly firstSeenAt: number;
	/** Offset that the primary had reached once every owner used the set. */
	primaryOffset: number | undefined;
};

/** Progress of the remaining servers towards the removal of another one. */
type RemovalProgress = {
	/** When the removal was due first. */
	readonly dueSince: number;
	/** Offset that the primary had reached by then. */
	primaryOffset: number | undefined;
};

/** Plans the changes of server sets for one leader. */
export class ServerSets {
	private readonly table: ownership.OwnershipTable;
	private readonly machine: machines.ControlMachine;
	private readonly hasProposal: (group: ids.GroupId) => boolean;
	readonly #removals = new Map<ids.UpstreamId, RemovalProgress>();
	readonly #progressByGroup = new Map<ids.GroupId, SetChangeProgress>();
	/** Time of the registration, for groups that this leader registered and that have no write lease. */
	readonly #registeredAt = new Map<ids.GroupId, number>();

	/** `hasProposal` returns true while a proposal about the group is pending. */
	constructor(
		table: ownership.OwnershipTable,
		machine: machines.ControlMachine,
		private readonly synchronousReplicas: synchronousReplicas.SynchronousReplicas,
		hasProposal: (group: ids.GroupId) => boolean,
	) {
		this.table = table;
		this.machine = machine;
		this.hasProposal = hasProposal;
	}

	/** Records that a registration proposed by this leader was applied. */
	recordRegistration(now: number, group: ids.GroupId): void {
		this.#registeredAt.set(group, now);
	}

	/**
	 * False while servers may join a new group without waiting for earlier changes. The first call that
	 * returns true ends this phase, because the group can be written to once the lease is granted.
	 */
	canGrantWriteLease(now: number, group: ids.GroupId): boolean {
		const registeredAt = this.#registeredAt.get(group);
		if (registeredAt === undefined) {
			return true;
		}

		if (
			now < registeredAt + timing.registrationWindowMs ||
			this.hasProposal(group)
		) {
			return false;
		}

		this.#registeredAt.delete(group);
		return true;
	}

	/** Proposes at most one command per group. */
	step(now: number): control.GroupCommand[] {
		const records = new Map<ids.GroupId, leases.ServerRecord[]>();
		for (const record of this.table.servers.values()) {
			const group = record.announcement?.group;
			if (group !== undefined) {
				const list = records.get(group) ?? [];
				list.push(record);
				records.set(group, list);
			}
		}

		const commands: control.GroupCommand[] = [];
		for (const [group, list] of records) {
			if (!this.hasProposal(group)) {
				const state = this.machine.getGroup(group);
				const command = state
					? this.#chooseChange(now, state, list)
					: chooseRegistration(now, group, list);
				if (command) {
					commands.push(command);
				}
			}
		}

		return commands;
	}

	#chooseChange(
		now: number,
		group: control.GroupState,
		records: readonly leases.ServerRecord[],
	): control.GroupCommand | undefined {
		if (group.promotion) {
			return undefined;
		}

		const added = records.find(
			({server, announcement, lastSeenAt}) =>
				!group.servers.includes(server) &&
				this.machine.findGroupByServer(server) === undefined &&
				announcement?.departing === false &&
				now - lastSeenAt <= timing.announcementExpiryMs,
		);
		for (const server of this.#removals.keys()) {
			if (
				!this.#isRemovalDue(now, server) ||
				this.machine.findGroupByServer(server) === undefined
			) {
				this.#removals.delete(server);
			}
		}

		const removed = group.servers.find(
			(server) =>
				this.#isRemovalDue(now, server) &&
				machines.canRemoveServer(group, server),
		);
		// Servers that acknowledge commits themselves need no majority, so others may join at once.
		const canChangeAtOnce =
			this.#registeredAt.has(group.group) ||
			records.some(
				({announcement}) => announcement?.synchronousReplicas !== undefined,
			);
		if (added && (canChangeAtOnce || this.#isSetSafeToChange(now, group))) {
			return {type: 'addServer', group: group.group, server: added.server};
		}

		return removed !== undefined &&
			(canChangeAtOnce
				? this.#isRemovalSafe(now, group, removed)
				: this.#isSetSafeToChange(now, group))
			? {type: 'removeServer', group: group.group, server: removed}
			: undefined;
	}

	#isRemovalDue(now: number, server: ids.UpstreamId): boolean {
		const record = this.table.servers.get(server);
		const silentMs = now - (record?.lastSeenAt ?? this.table.startedAt);
		return (
			silentMs > timing.serverExpiryMs ||
			(record?.announcement?.departing === true &&
				silentMs > timing.announcementExpiryMs)
		);
	}

	/**
	 * True when enough of the remaining servers hold what the servers acknowledged themselves while the
	 * removed one was a synchronous replica.
	 */
	#isRemovalSafe(
		now: number,
		group: control.GroupState,
		removed: ids.UpstreamId,
	): boolean {
		const count = this.synchronousReplicas.findCount(group) ?? 0;
		if (count === 0) {
			return true;
		}

		let progress = this.#removals.get(removed);
		if (!progress) {
			progress = {dueSince: now, primaryOffset: undefined};
			this.#removals.set(removed, progress);
		}

		const {dueSince} = progress;
		progress.primaryOffset ??= reports.findOffset(
			this.table,
			group,
			group.primary,
			dueSince,
		);
		const {primaryOffset} = progress;
		const holders = group.servers.filter(
			(server) =>
				server !== removed &&
				primaryOffset !== undefined &&
				(reports.findOffset(this.table, group, server, dueSince) ?? -1) >=
					primaryOffset,
		);
		return holders.length > count;
	}

	/** True when a majority of the set holds everything that was acknowledged under the previous set. */
	#isSetSafeToChange(now: number, group: control.GroupState): boolean {
		let progress = this.#progressByGroup.get(group.group);
		if (progress?.setIndex !== group.serversChangedAt) {
			progress = {
				setIndex: group.serversChangedAt,
				firstSeenAt: now,
				primaryOffset: undefined,
			};
			this.#progressByGroup.set(group.group, progress);
		}

		const {firstSeenAt} = progress;
		if (now < firstSeenAt + timing.grantorLeaseMs) {
			return false;
		}

		progress.primaryOffset ??= reports.findOffset(
			this.table,
			group,
			group.primary,
			firstSeenAt,
		);
		const {primaryOffset} = progress;
		if (primaryOffset === undefined) {
			return false;
		}

		const caughtUp = group.servers.filter(
			(server) =>
				(reports.findOffset(this.table, group, server, firstSeenAt) ?? -1) >=
				primaryOffset,
		);
		return caughtUp.length >= machines.computeQuorumSize(group.servers.length);
	}
}

/** Registers a group with the most advanced of the servers that claim to be its primary. */
function chooseRegistration(
	now: number,
	group: ids.GroupId,
	records: readonly leases.ServerRecord[],
): control.GroupCommand | undefined {
	let best: PrimaryClaim | undefined;
	for (const record of records) {
		const claim = findClaim(record);
		if (
			claim &&
			now - record.lastSeenAt <= timing.announcementExpiryMs &&
			(!best || compareClaims(claim, best) > 0)
		) {
			best = claim;
		}
	}

	return (
		best && {
			type: 'registerGroup',
			group,
			primary: best.server,
			term: best.term,
			termStart: best.position,
		}
	);
}

type PrimaryClaim = {
	readonly server: ids.UpstreamId;
	readonly term: number;
	readonly position: number;
};

/**
 * Returns the claim of a server to be primary. Servers that acknowledge commits themselves announce
 * no term, so their claim counts only after their owner has polled them.
 */
function findClaim({
	announcement,
	health,
}: leases.ServerRecord): PrimaryClaim | undefined {
	if (announcement?.role !== 'primary') {
		return undefined;
	}

	if (announcement.synchronousReplicas === undefined) {
		return announcement;
	}

	return health?.status?.role === 'primary' ? health.status : undefined;
}

function compareClaims(left: PrimaryClaim, right: PrimaryClaim): number {
	return position.comparePositions(
		{term: left.term, offset: left.position},
		{term: right.term, offset: right.position},
	);
}
