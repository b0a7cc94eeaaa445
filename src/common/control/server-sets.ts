/**
 * Registration of groups and changes of their server sets, as the control leader proposes them.
 *
 * A promotion counts a majority of the set, and so does each acknowledged write. Two sets that
 * differ by one server have majorities that overlap; sets that differ by more need not. So after a
 * change the next one waits until every owner works with the new set and a majority of it holds
 * what was acknowledged before. A new group is free of this as long as nobody could write to it:
 * its first write lease waits for the registration window.
 */
import type * as ids from '../ids.js';
import * as position from '../position.js';
import type * as control from './types.js';
import type * as leases from './leases.js';
import type * as ownership from './ownership.js';
import * as machines from './machine.js';
import * as timing from './timing.js';

/** Progress of a group's set towards its next change. */
type Guard = {
	/** `serversChangedAt` of the set that the guard is about. */
	readonly index: number;
	readonly since: number;
	/** Offset that the primary had reached after every owner worked with the set. */
	primaryOffset: number | undefined;
};

/** Server sets as one leader sees them. */
export class ServerSets {
	private readonly table: ownership.OwnershipTable;
	private readonly machine: machines.ControlMachine;
	private readonly hasProposal: (group: ids.GroupId) => boolean;
	readonly #guards = new Map<ids.GroupId, Guard>();
	/** Groups that this leader registered and the time of the registration. */
	readonly #registered = new Map<ids.GroupId, number>();

	/** `hasProposal` tells whether a proposal about the group is under way. */
	constructor(
		table: ownership.OwnershipTable,
		machine: machines.ControlMachine,
		hasProposal: (group: ids.GroupId) => boolean,
	) {
		this.table = table;
		this.machine = machine;
		this.hasProposal = hasProposal;
	}

	/** Notes that a registration proposed by this leader was applied. */
	recordRegistration(now: number, group: ids.GroupId): void {
		this.#registered.set(group, now);
	}

	/** False while servers may join a new group without further checks. */
	canGrantWrite(now: number, group: ids.GroupId): boolean {
		const registeredAt = this.#registered.get(group);
		if (registeredAt === undefined) {
			return true;
		}

		if (
			now < registeredAt + timing.registrationWindowMs ||
			this.hasProposal(group)
		) {
			return false;
		}

		this.#registered.delete(group);
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
		const removed = group.servers.find(
			(server) =>
				this.#isGone(now, server) && machines.canRemoveServer(group, server),
		);
		// Servers that confirm commits themselves count no majority, so the set may change at once.
		const isFree =
			this.#registered.has(group.group) ||
			records.some(
				({announcement}) => announcement?.synchronousReplicas !== undefined,
			);
		if (added && (isFree || this.#isSettled(now, group))) {
			return {type: 'addServer', group: group.group, server: added.server};
		}

		return removed !== undefined && (isFree || this.#isSettled(now, group))
			? {type: 'removeServer', group: group.group, server: removed}
			: undefined;
	}

	#isGone(now: number, server: ids.UpstreamId): boolean {
		const record = this.table.servers.get(server);
		const silentMs = now - (record?.lastSeenAt ?? this.table.startedAt);
		return (
			silentMs > timing.serverExpiryMs ||
			(record?.announcement?.departing === true &&
				silentMs > timing.announcementExpiryMs)
		);
	}

	/** True when a majority of the set holds everything that was acknowledged under the set before. */
	#isSettled(now: number, group: control.GroupState): boolean {
		let guard = this.#guards.get(group.group);
		if (guard?.index !== group.serversChangedAt) {
			guard = {
				index: group.serversChangedAt,
				since: now,
				primaryOffset: undefined,
			};
			this.#guards.set(group.group, guard);
		}

		const {since} = guard;
		if (now < since + timing.grantorLeaseMs) {
			return false;
		}

		guard.primaryOffset ??= this.#findOffset(group, group.primary, since);
		const {primaryOffset} = guard;
		if (primaryOffset === undefined) {
			return false;
		}

		const holders = group.servers.filter(
			(server) =>
				(this.#findOffset(group, server, since) ?? -1) >= primaryOffset,
		);
		return holders.length >= machines.computeQuorumSize(group.servers.length);
	}

	/** The offset that the owner of a server reported after every owner worked with the set. */
	#findOffset(
		group: control.GroupState,
		server: ids.UpstreamId,
		since: number,
	): number | undefined {
		const health = this.table.servers.get(server)?.health;
		return health?.status?.term === group.term &&
			health.reportedAt >=
				since + timing.grantorLeaseMs + (health.answerAgeMs ?? 0)
			? health.status.position
			: undefined;
	}
}

/** Registers a group with the most advanced of the servers that call themselves its primary. */
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
			(!best || comparePrimaries(claim, best) > 0)
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

/** Servers whose announcements carry no term are believed only after their owner polled them. */
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

function comparePrimaries(left: PrimaryClaim, right: PrimaryClaim): number {
	return position.comparePositions(
		{term: left.term, offset: left.position},
		{term: right.term, offset: right.position},
	);
}
