/**
 * One promotion, from the commit of `beginPromotion` to the proposal of `completePromotion`.
 *
 * A leader runs only promotions that it began itself: in a term that an earlier leader began, a
 * server may already have been promoted without the new leader knowing.
 */
import type * as ids from '../ids.js';
import type * as types from '../types.js';
import * as position from '../position.js';
import type * as calls from './calls.js';
import type * as control from './types.js';
import type * as ownership from './ownership.js';
import * as machines from './machine.js';
import type * as restartedServers from './restarted-servers.js';
import type * as synchronousReplicas from './synchronous-replicas.js';
import * as timing from './timing.js';

/** SQLSTATE of a `promote` call that failed because the chosen server is not running. */
export const promotionRefusedSqlState = 'HK102';

/** What a promotion run needs from failover. */
export type PromotionEnvironment = {
	readonly table: ownership.OwnershipTable;
	readonly synchronousReplicas: synchronousReplicas.SynchronousReplicas;
	readonly restartedServers: restartedServers.RestartedServers;
	readonly calls: calls.ServerCalls;
	readonly faults: control.FaultInjection;
	/** Writes a log record of level info. */
	log(message: string): void;
};

/** The steps of one promotion of a group to one term. */
export class PromotionRun {
	readonly term: number;
	readonly #environment: PromotionEnvironment;
	readonly #group: control.GroupState;
	readonly #isPlanned: boolean;
	readonly #startedAt: number;
	/** Statuses of the servers that confirmed the fence. */
	readonly #fenceStatuses = new Map<ids.UpstreamId, types.UpstreamStatus>();
	/** Statuses before the fence, to see whether a replica has caught up in a planned change. */
	readonly #catchUpStatuses = new Map<ids.UpstreamId, types.UpstreamStatus>();
	#quorumReachedAt: number | undefined;
	#target: {server: ids.UpstreamId; offset: number; at: number} | undefined;
	/** The status with which the chosen server confirmed its promotion. */
	#promotedStatus: types.UpstreamStatus | undefined;
	#isPromoted = false;
	/** The chosen server refused the promotion because it is not running. */
	#isRefused = false;
	/** True while a planned change waits for a replica that holds what the old primary holds. */
	#isWaitingForReplica = false;
	/** The term of this run once a server with a higher term refused its fence; 0 before. */
	#rejectedTerm = 0;

	/** `group` is the group's state after `beginPromotion`. */
	constructor(
		environment: PromotionEnvironment,
		group: control.GroupState,
		promotion: control.Promotion,
		now: number,
	) {
		this.#environment = environment;
		this.#group = group;
		this.term = promotion.term;
		this.#isPlanned = promotion.planned;
		this.#startedAt = now;
	}

	/**
	 * Makes the calls that are due.
	 *
	 * @returns The next command to propose, if any: the completion, or the begin of a new term when
	 * this one cannot be completed.
	 */
	step(
		now: number,
	):
		| Extract<
				control.ControlCommand,
				{type: 'beginPromotion' | 'completePromotion'}
		  >
		| undefined {
		const {group} = this.#group;
		const {table} = this.#environment;
		if (this.#isPromoted) {
			const {server, offset} = this.#target!;
			return {
				type: 'completePromotion',
				group,
				term: this.term,
				primary: server,
				...this.#buildTermStart(offset),
			};
		}

		if (this.#hasFailed(now)) {
			return {
				type: 'beginPromotion',
				group,
				term: Math.max(this.term, this.#rejectedTerm) + 1,
				planned: this.#isPlanned,
			};
		}

		table.revokeWriteLease(now, group, this.#isPlanned);
		const hasLeaseEnded =
			this.#environment.faults.isLeaseWaitDisabled === true ||
			table.hasWriteLeaseEnded(now, group);
		if (!hasLeaseEnded && !this.#canFenceDuringLease) {
			return undefined;
		}

		if (this.#isPlanned && !this.#canFence(now)) {
			return undefined;
		}

		this.#fence(now);
		if (
			hasLeaseEnded &&
			this.#target === undefined &&
			this.#canChooseTarget(now)
		) {
			this.#chooseTarget(now);
		}

		if (this.#target) {
			this.#call(now, this.#target.server, {type: 'promote', term: this.term});
		}

		return undefined;
	}

	/** Handles the answer to a call of this group. */
	handleAnswer(call: calls.PendingCall, answer: control.ServerAnswer): void {
		const {request, server} = call;
		if (request.type === 'fence' && request.term === this.term) {
			if (answer.type === 'answered' && answer.status) {
				this.#fenceStatuses.set(server, answer.status);
			} else if (answer.type === 'failed' && answer.sqlState === 'HK101') {
				// HK101: the server has a higher term, or is fenced for one.
				this.#rejectedTerm = Math.max(this.#rejectedTerm, this.term);
			}
		}

		if (
			request.type === 'status' &&
			answer.type === 'answered' &&
			answer.status
		) {
			this.#catchUpStatuses.set(server, answer.status);
		}

		if (
			request.type === 'promote' &&
			request.term === this.term &&
			server === this.#target?.server
		) {
			this.#isPromoted = answer.type === 'answered';
			this.#isRefused ||=
				answer.type === 'failed' &&
				answer.sqlState === promotionRefusedSqlState;
			this.#promotedStatus =
				answer.type === 'answered' ? answer.status : undefined;
		}
	}

	/**
	 * True when a new term is needed: a server has a higher term, or the chosen server refused its
	 * promotion or did not confirm it in time.
	 */
	#hasFailed(now: number): boolean {
		return (
			this.#rejectedTerm >= this.term ||
			(this.#target !== undefined &&
				(this.#isRefused || now - this.#target.at >= this.#promoteTimeoutMs))
		);
	}

	#call(
		now: number,
		server: ids.UpstreamId,
		request: control.ServerRequest,
	): void {
		const {calls, table} = this.#environment;
		const address = table.servers.get(server)?.announcement?.address;
		if (address !== undefined) {
			calls.call(now, {group: this.#group.group, server, address}, request);
		}
	}

	/** Fences the servers that have not confirmed it, and asks again those that may have caught up. */
	#fence(now: number): void {
		for (const server of this.#group.servers) {
			const mayHaveCaughtUp =
				this.#isWaitingForReplica && !this.#isFallbackCandidate(server);
			if (mayHaveCaughtUp || !this.#fenceStatuses.has(server)) {
				this.#call(now, server, {type: 'fence', term: this.term});
			}
		}
	}

	/** The old primary and departing servers are chosen only when the other fenced servers are too few. */
	#isFallbackCandidate(server: ids.UpstreamId): boolean {
		const record = this.#environment.table.servers.get(server);
		return (
			server === this.#group.primary || record?.announcement?.departing === true
		);
	}

	/**
	 * Returns how many servers must be fenced before one is chosen: a majority when owners acknowledge
	 * commits. When the servers acknowledge commits themselves, with n synchronous replicas, n + 1
	 * servers hold each commit, so any set of all servers but n includes one of them. With n = 0 one
	 * server is enough, because the end of the write lease has already stopped every other writer.
	 */
	#computeFenceQuorumSize(): number {
		const {servers} = this.#group;
		if (this.#environment.faults.isFenceQuorumDisabled === true) {
			return 1;
		}

		const {synchronousReplicas} = this;
		return synchronousReplicas === undefined
			? machines.computeQuorumSize(servers.length)
			: synchronousReplicas === 0
				? 1
				: Math.max(1, servers.length - synchronousReplicas);
	}

	/** True when these servers must include a holder of each acknowledged commit. */
	#hasHolderAmong(servers: readonly ids.UpstreamId[]): boolean {
		const counted = this.#hasSynchronousReplicas
			? servers.filter((server) =>
					this.#environment.restartedServers.hasLog(this.#group, server),
				)
			: servers;
		return counted.length >= this.#computeFenceQuorumSize();
	}

	/** Number of synchronous replicas; undefined unless the servers acknowledge commits themselves. */
	get synchronousReplicas(): number | undefined {
		return this.#environment.synchronousReplicas.findCount(this.#group);
	}

	/** True when a replica may lead only if it holds every commit that the servers acknowledged. */
	get #hasSynchronousReplicas(): boolean {
		return (this.synchronousReplicas ?? 0) > 0;
	}

	/** A promotion through the platform of the servers takes longer than a call to the server. */
	get #promoteTimeoutMs(): number {
		return this.synchronousReplicas === undefined
			? timing.promoteTimeoutMs
			: timing.indirectPromoteTimeoutMs;
	}

	/** Servers that number terms themselves report where the new term began. */
	#buildTermStart(offset: number): {termStart: number; serverTerm?: number} {
		return this.synchronousReplicas === undefined || !this.#promotedStatus
			? {termStart: offset}
			: {
					termStart: this.#promotedStatus.position,
					serverTerm: this.#promotedStatus.term,
				};
	}

	/**
	 * True when the positions that the servers report remain valid although the write lease has not
	 * ended. A fence keeps them valid. Servers that acknowledge commits themselves have none, so until the
	 * end of the lease they acknowledge commits that no earlier status shows.
	 */
	get #canFenceDuringLease(): boolean {
		return !this.#isPlanned && !this.#hasSynchronousReplicas;
	}

	/**
	 * True when a planned change may fence the servers. The old primary usually still answers and holds
	 * every write. When its successor must be chosen from a quorum that includes the old primary, or
	 * the servers acknowledge commits themselves, the fence waits until a replica holds as much, at
	 * most `timing.catchUpTimeoutMs`. While it returns false, this method requests the servers' statuses.
	 * With synchronous replicas the choice of the target waits instead.
	 */
	#canFence(now: number): boolean {
		if (this.#hasSynchronousReplicas) {
			return true;
		}

		const {servers, primary} = this.#group;
		const {table} = this.#environment;
		const candidates = servers.filter(
			(server) => !this.#isFallbackCandidate(server),
		);
		const reachable = candidates.filter((server) => {
			const age = table.servers.get(server)?.health?.answerAgeMs;
			return age !== undefined && age < timing.primaryTimeoutMs;
		});
		if (
			(this.synchronousReplicas === undefined &&
				reachable.length >= this.#computeFenceQuorumSize()) ||
			this.#fenceStatuses.size > 0 ||
			now - this.#startedAt >= timing.catchUpTimeoutMs
		) {
			return true;
		}

		const primaryStatus = this.#catchUpStatuses.get(primary);
		if (
			primaryStatus &&
			candidates.some((server) => {
				const status = this.#catchUpStatuses.get(server);
				return status && compareStatuses(status, primaryStatus) >= 0;
			})
		) {
			return true;
		}

		for (const server of servers) {
			this.#call(now, server, {type: 'status'});
		}

		return false;
	}

	#canChooseTarget(now: number): boolean {
		const hasEveryAnswer =
			this.#fenceStatuses.size === this.#group.servers.length;
		if (
			!hasEveryAnswer &&
			!this.#hasHolderAmong([...this.#fenceStatuses.keys()])
		) {
			return false;
		}

		this.#quorumReachedAt ??= now;
		return (
			hasEveryAnswer ||
			now - this.#quorumReachedAt >=
				(this.synchronousReplicas === undefined
					? timing.fenceGraceMs
					: timing.statusGraceMs)
		);
	}

	/**
	 * Chooses the most advanced fenced server, without fallback candidates if the others are enough to
	 * hold every acknowledged commit among them.
	 */
	#chooseTarget(now: number): void {
		const fenced = [...this.#fenceStatuses.keys()];

		const preferred = fenced.filter(
			(server) => !this.#isFallbackCandidate(server),
		);
		const candidates = this.#hasHolderAmong(preferred) ? preferred : fenced;
		const [best] = candidates.sort((left, right) =>
			this.#compareCandidates(left, right),
		);
		this.#isWaitingForReplica =
			best !== undefined &&
			this.#isPlanned &&
			this.#hasSynchronousReplicas &&
			this.#isFallbackCandidate(best) &&
			now - (this.#quorumReachedAt ?? now) < timing.catchUpTimeoutMs;
		if (this.#isWaitingForReplica) {
			return;
		}

		const status =
			best === undefined ? undefined : this.#fenceStatuses.get(best);
		if (best !== undefined && status) {
			this.#target = {server: best, offset: status.position, at: now};
			this.#environment.log(
				`${best} is chosen as primary of ${this.#group.group} in term ${this.term}: ${this.#describeStatuses()}`,
			);
		}
	}

	/** Describes what the choice of the target knew of each server. */
	#describeStatuses(): string {
		return this.#group.servers
			.map((server) => {
				const status = this.#fenceStatuses.get(server);
				const state = status
					? `at ${status.receivedTerm ?? status.term}:${status.position}`
					: 'did not answer';
				return `${server} ${state}`;
			})
			.join(', ');
	}

	/** Negative when `left` is the better choice. */
	#compareCandidates(left: ids.UpstreamId, right: ids.UpstreamId): number {
		const byPosition = compareStatuses(
			this.#fenceStatuses.get(right)!,
			this.#fenceStatuses.get(left)!,
		);
		return (
			byPosition ||
			Number(this.#isFallbackCandidate(left)) -
				Number(this.#isFallbackCandidate(right)) ||
			this.#countProxies(right) - this.#countProxies(left) ||
			(left < right ? -1 : 1)
		);
	}

	/** Counts the proxies in the data centre of a server. */
	#countProxies(server: ids.UpstreamId): number {
		const {table} = this.#environment;
		const dataCentre = table.servers.get(server)?.announcement?.dataCentre;
		return [...table.proxies.values()].filter(
			(proxy) => proxy.dataCentre === dataCentre,
		).length;
	}
}

/**
 * Compares the logs of two servers by the term and offset of their last records. The newest term that a
 * server knows says nothing about its log: a replica that receives nothing may have heard of it.
 */
export function compareStatuses(
	left: types.UpstreamStatus,
	right: types.UpstreamStatus,
): number {
	return position.comparePositions(
		{term: left.receivedTerm ?? left.term, offset: left.position},
		{term: right.receivedTerm ?? right.term, offset: right.position},
	);
}
