/**
 * Failover as the control leader runs it: the decision to promote, the promotions in progress, and
 * the `follow` calls to all servers that do not replicate from the current primary.
 */
import type * as ids from '../ids.js';
import * as callTracking from './calls.js';
import type * as control from './types.js';
import type * as leases from './leases.js';
import type * as ownership from './ownership.js';
import * as holdDowns from './hold-down.js';
import type * as machines from './machine.js';
import * as promotions from './promotion.js';
import type * as synchronousReplicas from './synchronous-replicas.js';
import * as restartedServers from './restarted-servers.js';
import * as successorSearch from './successor-search.js';
import * as timing from './timing.js';

/** What failover needs from the leader. */
export type FailoverEnvironment = {
	readonly machine: machines.ControlMachine;
	readonly table: ownership.OwnershipTable;
	readonly synchronousReplicas: synchronousReplicas.SynchronousReplicas;
	readonly callServer: callTracking.CallServer;
	readonly faults: control.FaultInjection;
	propose(command: control.GroupCommand): void;
	hasProposal(group: ids.GroupId): boolean;
	/** Writes a log record of level info. */
	log(message: string): void;
};

/** Why a group needs a new primary. */
type FailoverReason = 'silent' | 'stalled' | 'departing';

/** Failover of all groups during one term of leadership. */
export class Failover {
	readonly #environment: FailoverEnvironment;
	readonly #calls: callTracking.ServerCalls;
	readonly #holdDown = new holdDowns.HoldDown();
	readonly #restartedServers: restartedServers.RestartedServers;
	#restartsCheckedAt = Number.NEGATIVE_INFINITY;
	readonly #successorSearch: successorSearch.SuccessorSearch;
	readonly #promotionRuns = new Map<ids.GroupId, promotions.PromotionRun>();

	/** The term and primary address of the last `follow` call that each server confirmed. */
	readonly #confirmedFollows = new Map<
		ids.UpstreamId,
		{readonly target: string; readonly at: number}
	>();

	/** Groups whose departing primary waits for a successor. */
	readonly #waitingGroups = new Set<ids.GroupId>();

	/** When the last promotion that this leader ran in each group was completed. */
	readonly #completedAt = new Map<ids.GroupId, number>();

	constructor(environment: FailoverEnvironment) {
		this.#environment = environment;
		this.#calls = new callTracking.ServerCalls(environment.callServer);
		this.#restartedServers = new restartedServers.RestartedServers(
			environment.table,
			environment.synchronousReplicas,
		);
		this.#successorSearch = new successorSearch.SuccessorSearch(
			environment.table,
			environment.synchronousReplicas,
			this.#calls,
		);
	}

	/** Starts and advances promotions and sends `follow` calls, in every group. */
	step(now: number): void {
		this.#calls.expire(now);
		const isRestartCheckDue =
			now - this.#restartsCheckedAt >= timing.restartCheckIntervalMs;
		if (isRestartCheckDue) {
			this.#restartsCheckedAt = now;
		}

		for (const group of this.#environment.machine.listGroups()) {
			if (isRestartCheckDue) {
				this.#restartedServers.update(now, group);
			}

			if (group.promotion) {
				this.#stepPromotion(now, group, group.promotion);
			} else {
				this.#considerPromotion(now, group);
				this.#sendFollows(now, group);
			}
		}
	}

	/** Handles a committed command; `isOwn` when this leader proposed it. */
	handleApplied(
		now: number,
		command: control.ControlCommand,
		isOwn: boolean,
	): void {
		switch (command.type) {
			case 'beginPromotion': {
				this.#startRun(now, command, isOwn);
				break;
			}

			case 'completePromotion': {
				this.#endRun(now, command);
				break;
			}

			case 'removeServer': {
				// The command has no effect on a server that may not leave its group.
				if (!this.#environment.machine.findGroupByServer(command.server)) {
					this.#restartedServers.remove(command.server);
				}

				break;
			}

			case 'changeTemplate':
			case 'setConfiguration':
			case 'addLeaseHolder':
			case 'removeLeaseHolder':
			case 'storeAnnouncement':
			case 'registerGroup':
			case 'addServer': {
				break;
			}
		}

		const group =
			'group' in command
				? this.#environment.machine.getGroup(command.group)
				: undefined;
		if (group) {
			this.#stepGroup(now, group);
		}
	}

	/** Handles a server's answer to the call with this number. */
	handleAnswer(
		now: number,
		number: number,
		answer: control.ServerAnswer,
	): void {
		const call = this.#calls.take(number);
		const group = call && this.#environment.machine.getGroup(call.group);
		if (!group) {
			return;
		}

		this.#promotionRuns.get(call.group)?.handleAnswer(call, answer);
		this.#successorSearch.handleAnswer(now, call, answer);
		if (call.request.type === 'follow' && answer.type === 'answered') {
			this.#confirmedFollows.set(call.server, {
				target: formatFollowTarget(call.request.term, call.request.address),
				at: now,
			});
		}

		this.#stepGroup(now, group);
	}

	/** Advances one group immediately, without waiting for the next tick. */
	#stepGroup(now: number, group: control.GroupState): void {
		if (group.promotion) {
			this.#stepPromotion(now, group, group.promotion);
		} else {
			this.#sendFollows(now, group);
		}
	}

	#startRun(
		now: number,
		command: Extract<control.ControlCommand, {type: 'beginPromotion'}>,
		isOwn: boolean,
	): void {
		const group = this.#environment.machine.getGroup(command.group);
		if (isOwn && group?.promotion?.term === command.term) {
			const run = new promotions.PromotionRun(
				{
					table: this.#environment.table,
					synchronousReplicas: this.#environment.synchronousReplicas,
					restartedServers: this.#restartedServers,
					calls: this.#calls,
					faults: this.#environment.faults,
					log: (message) => {
						this.#environment.log(message);
					},
				},
				group,
				group.promotion,
				now,
			);
			this.#promotionRuns.set(command.group, run);
			this.#environment.log(
				`promotion of ${command.group} to term ${command.term} begins`,
			);
		}
	}

	#endRun(
		now: number,
		{
			group,
			term,
			primary,
		}: Extract<control.ControlCommand, {type: 'completePromotion'}>,
	): void {
		if (this.#promotionRuns.get(group)?.term === term) {
			this.#promotionRuns.delete(group);
			this.#completedAt.set(group, now);
			this.#holdDown.recordPromotion(now, group);
			this.#environment.log(
				`${primary} is primary of ${group} in term ${term}`,
			);
		}
	}

	#stepPromotion(
		now: number,
		group: control.GroupState,
		promotion: control.Promotion,
	): void {
		const run = this.#promotionRuns.get(group.group);
		if (this.#environment.hasProposal(group.group)) {
			return;
		}

		if (run?.term !== promotion.term) {
			// An earlier leader began this promotion, so its progress is unknown: begin a new term.
			this.#environment.propose({
				type: 'beginPromotion',
				group: group.group,
				term: promotion.term + 1,
				planned: promotion.planned,
			});
			return;
		}

		this.#restartedServers.update(now, group);
		const command = run.step(now);
		if (command) {
			this.#environment.propose(command);
		}
	}

	#considerPromotion(now: number, group: control.GroupState): void {
		const {hasProposal, propose, table} = this.#environment;
		const reason = findReason(group, table, this.#completedAt);
		if (
			reason === undefined ||
			hasProposal(group.group) ||
			now < this.#holdDown.computeEnd(now, group.group)
		) {
			return;
		}

		const isWaiting =
			reason === 'departing' && !this.#successorSearch.hasSuccessor(now, group);
		this.#recordWait(group, isWaiting);
		if (isWaiting) {
			return;
		}

		this.#environment.log(
			`primary ${group.primary} of ${group.group} is ${reason}`,
		);
		propose({
			type: 'beginPromotion',
			group: group.group,
			term: group.term + 1,
			planned: reason === 'departing',
		});
	}

	/** Logs once that a departing primary serves on, because no server can take over yet. */
	#recordWait({group, primary}: control.GroupState, isWaiting: boolean): void {
		if (isWaiting && !this.#waitingGroups.has(group)) {
			this.#environment.log(
				`departing primary ${primary} of ${group} serves on: no server is known to hold its commits`,
			);
			this.#waitingGroups.add(group);
		} else if (!isWaiting) {
			this.#waitingGroups.delete(group);
		}
	}

	/** Calls `follow` on every server that is not known to replicate from the primary. */
	#sendFollows(now: number, group: control.GroupState): void {
		const {table} = this.#environment;
		const primary = table.servers.get(group.primary);
		const address = primary?.announcement?.address;
		if (address === undefined) {
			return;
		}

		for (const server of group.servers) {
			const record = table.servers.get(server);
			if (
				server !== group.primary &&
				record?.announcement &&
				this.#needsFollow(now, group, record, primary)
			) {
				this.#calls.call(
					now,
					{
						group: group.group,
						server,
						address: record.announcement.address,
					},
					{type: 'follow', term: group.term, server: group.primary, address},
					timing.followRetryMs,
				);
			}
		}
	}

	#needsFollow(
		now: number,
		group: control.GroupState,
		record: leases.ServerRecord,
		primary: leases.ServerRecord | undefined,
	): boolean {
		const {health, server} = record;
		const {status} = health ?? {};
		const primaryStatus = primary?.health?.status;
		const isFollowing =
			status?.role === 'replica' &&
			status.term === group.term &&
			primaryStatus?.term === group.term &&
			primaryStatus.replicas.some((replica) => replica.server === server);
		if (isFollowing) {
			return false;
		}

		const address = primary?.announcement?.address ?? '';
		const confirmed = this.#confirmedFollows.get(server);
		if (confirmed?.target !== formatFollowTarget(group.term, address)) {
			return true;
		}

		// The server confirmed, but its later status does not match: it restarted, or has not received
		// anything yet.
		return (
			status !== undefined &&
			health!.reportedAt > confirmed.at &&
			now - confirmed.at >= timing.followRetryMs &&
			(status.role === 'primary' || status.term < group.term)
		);
	}
}

function formatFollowTarget(term: number, address: string): string {
	return `${term} ${address}`;
}

/** Returns why the primary of a group must be replaced; undefined when it need not be. */
function findReason(
	group: control.GroupState,
	table: ownership.OwnershipTable,
	completedAt: ReadonlyMap<ids.GroupId, number>,
): FailoverReason | undefined {
	const record = table.servers.get(group.primary);
	if (!record?.ownership || !record.health) {
		return undefined;
	}

	const {health, ownership: owner} = record;
	const silentMs = health.answerAgeMs ?? health.reportedAt - owner.grantedAt;
	if (silentMs >= timing.primaryTimeoutMs) {
		return 'silent';
	}

	// A status from before the last promotion says nothing about the current primary.
	const isStatusCurrent =
		health.reportedAt - (completedAt.get(group.group) ?? table.startedAt) >=
		timing.grantorLeaseMs;
	// A primary that reports the role of a replica accepts no writes, so it is replaced like a silent one.
	if (isStatusCurrent && health.status?.role === 'replica') {
		return 'silent';
	}

	if (
		isStatusCurrent &&
		health.stalledMs >= timing.replicationStallTimeoutMs &&
		countAnsweringReplicas(group, table) > group.servers.length / 2
	) {
		return 'stalled';
	}

	return record.announcement?.departing === true && hasSuccessor(group, table)
		? 'departing'
		: undefined;
}

/** Counts the servers other than the primary that answer their owners. */
function countAnsweringReplicas(
	group: control.GroupState,
	table: ownership.OwnershipTable,
): number {
	return group.servers.filter((server) => {
		const age = table.servers.get(server)?.health?.answerAgeMs;
		return (
			server !== group.primary &&
			age !== undefined &&
			age < timing.primaryTimeoutMs
		);
	}).length;
}

/** True when a server that is neither the primary nor departing answers its owner. */
function hasSuccessor(
	group: control.GroupState,
	table: ownership.OwnershipTable,
): boolean {
	return group.servers.some((server) => {
		const record = table.servers.get(server);
		const age = record?.health?.answerAgeMs;
		return (
			server !== group.primary &&
			record?.announcement?.departing === false &&
			age !== undefined &&
			age < timing.primaryTimeoutMs
		);
	});
}
