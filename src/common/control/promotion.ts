/**
 * One promotion, from the commit of `beginPromotion` to the proposal of `completePromotion`.
 *
 * A leader runs only promotions that it began itself: in a term that an earlier leader began, a
 * server may have been promoted without anybody knowing.
 */
import type * as ids from '../ids.js';
import type * as types from '../types.js';
import * as position from '../position.js';
import type * as calls from './calls.js';
import type * as control from './types.js';
import type * as ownership from './ownership.js';
import * as machines from './machine.js';
import * as timing from './timing.js';

/** SQLSTATE with which a call says that the chosen server is not running. */
export const promotionRefusedSqlState = 'HK102';

/** What a promotion needs. */
export type PromotionEnvironment = {
	readonly table: ownership.OwnershipTable;
	readonly calls: calls.ServerCalls;
	readonly faults: control.FaultInjection;
};

/** The steps of one promotion of a group to one term. */
export class PromotionRun {
	readonly term: number;
	readonly #environment: PromotionEnvironment;
	readonly #group: control.GroupState;
	readonly #planned: boolean;
	readonly #startedAt: number;
	readonly #fenced = new Map<ids.UpstreamId, types.UpstreamStatus>();
	/** Statuses before the fence, for the catch-up of a planned change. */
	readonly #statuses = new Map<ids.UpstreamId, types.UpstreamStatus>();
	#majorityAt: number | undefined;
	#target: {server: ids.UpstreamId; offset: number; at: number} | undefined;
	/** The status in which the chosen server confirmed that it leads. */
	#promoted: types.UpstreamStatus | undefined;
	#isPromoted = false;
	/** The chosen server cannot be promoted. */
	#isRefused = false;
	/** Highest term seen at a server that refused the fence. */
	#higherTerm = 0;

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
		this.#planned = promotion.planned;
		this.#startedAt = now;
	}

	/**
	 * Carries out what is due.
	 *
	 * @returns The next command to propose, if any: the completion, or a new begin when this term
	 * cannot be completed.
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
				term: Math.max(this.term, this.#higherTerm) + 1,
				planned: this.#planned,
			};
		}

		table.revokeWrite(now, group, this.#planned);
		const isReleased =
			this.#environment.faults.isLeaseWaitOff === true ||
			table.hasWriteLeaseEnded(now, group);
		if (this.#planned && !(isReleased && this.#isCaughtUp(now))) {
			return undefined;
		}

		this.#fence(now);
		if (isReleased && this.#target === undefined && this.#canChoose(now)) {
			this.#choose(now);
		}

		if (this.#target) {
			this.#call(now, this.#target.server, {type: 'promote', term: this.term});
		}

		return undefined;
	}

	/** Takes in the answer to a call of this run. */
	handleAnswer(call: calls.PendingCall, answer: control.ServerAnswer): void {
		const {request, server} = call;
		if (request.type === 'fence' && request.term === this.term) {
			if (answer.type === 'answered' && answer.status) {
				this.#fenced.set(server, answer.status);
			} else if (answer.type === 'failed' && answer.sqlState === 'HK101') {
				this.#higherTerm = Math.max(this.#higherTerm, this.term);
			}
		}

		if (
			request.type === 'status' &&
			answer.type === 'answered' &&
			answer.status
		) {
			this.#statuses.set(server, answer.status);
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
			this.#promoted = answer.type === 'answered' ? answer.status : undefined;
		}
	}

	/** A server with a higher term, or one that did not confirm its promotion: needs a new term. */
	#hasFailed(now: number): boolean {
		return (
			this.#higherTerm >= this.term ||
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

	#fence(now: number): void {
		for (const server of this.#group.servers) {
			if (!this.#fenced.has(server)) {
				this.#call(now, server, {type: 'fence', term: this.term});
			}
		}
	}

	/** The old primary and departing servers are chosen only when the rest is no majority. */
	#isAvoided(server: ids.UpstreamId): boolean {
		const record = this.#environment.table.servers.get(server);
		return (
			server === this.#group.primary || record?.announcement?.departing === true
		);
	}

	/**
	 * Servers that must answer before one is chosen. When n replicas confirm each commit, any
	 * replicas but n hold it together; without such replicas one server is enough, because the write
	 * lease has already ended every other writer.
	 */
	#countMajority(): number {
		const {servers} = this.#group;
		if (this.#environment.faults.isFenceMajorityOff === true) {
			return 1;
		}

		const {synchronousReplicas} = this;
		return synchronousReplicas === undefined
			? machines.computeQuorumSize(servers.length)
			: synchronousReplicas === 0
				? 1
				: Math.max(1, servers.length - synchronousReplicas);
	}

	/** Set when the servers of the group confirm commits themselves. */
	get synchronousReplicas(): number | undefined {
		const {table} = this.#environment;
		for (const server of this.#group.servers) {
			const count =
				table.servers.get(server)?.announcement?.synchronousReplicas;
			if (count !== undefined) {
				return count;
			}
		}

		return undefined;
	}

	/** A promotion that goes through the servers' platform takes longer than a call to the server. */
	get #promoteTimeoutMs(): number {
		return this.synchronousReplicas === undefined
			? timing.promoteTimeoutMs
			: timing.indirectPromoteTimeoutMs;
	}

	/** Servers that count terms themselves say where the new term began. */
	#buildTermStart(offset: number): {termStart: number; serverTerm?: number} {
		return this.synchronousReplicas === undefined || !this.#promoted
			? {termStart: offset}
			: {
					termStart: this.#promoted.position,
					serverTerm: this.#promoted.term,
				};
	}

	/**
	 * In a planned change the old primary answers as a rule and holds everything. When its successor
	 * has to be chosen with the old primary in the fenced majority, the fence waits until a replica
	 * holds as much.
	 */
	#isCaughtUp(now: number): boolean {
		const {servers, primary} = this.#group;
		const {table} = this.#environment;
		const others = servers.filter((server) => !this.#isAvoided(server));
		const reachable = others.filter((server) => {
			const age = table.servers.get(server)?.health?.answerAgeMs;
			return age !== undefined && age < timing.primaryTimeoutMs;
		});
		if (
			(this.synchronousReplicas === undefined &&
				reachable.length >= this.#countMajority()) ||
			this.#fenced.size > 0 ||
			now - this.#startedAt >= timing.catchUpTimeoutMs
		) {
			return true;
		}

		const goal = this.#statuses.get(primary);
		if (
			goal &&
			others.some((server) => {
				const status = this.#statuses.get(server);
				return status && compareStatuses(status, goal) >= 0;
			})
		) {
			return true;
		}

		for (const server of servers) {
			this.#call(now, server, {type: 'status'});
		}

		return false;
	}

	#canChoose(now: number): boolean {
		if (this.#fenced.size < this.#countMajority()) {
			return false;
		}

		this.#majorityAt ??= now;
		return (
			this.#fenced.size === this.#group.servers.length ||
			now - this.#majorityAt >=
				(this.synchronousReplicas === undefined
					? timing.fenceGraceMs
					: timing.statusGraceMs)
		);
	}

	/** Chooses the most advanced server of a fenced majority. */
	#choose(now: number): void {
		const all = [...this.#fenced.keys()];

		const preferred = all.filter((server) => !this.#isAvoided(server));
		// A replica without the newest commits is better than a primary that is to be replaced.
		const isEnough =
			this.synchronousReplicas === undefined
				? preferred.length >= this.#countMajority()
				: preferred.length > 0;
		const majority = isEnough ? preferred : all;
		const [best] = majority.sort((left, right) =>
			this.#compareCandidates(left, right),
		);
		const status = best === undefined ? undefined : this.#fenced.get(best);
		if (best !== undefined && status) {
			this.#target = {server: best, offset: status.position, at: now};
		}
	}

	/** Negative when `left` is the better choice. */
	#compareCandidates(left: ids.UpstreamId, right: ids.UpstreamId): number {
		const byPosition = compareStatuses(
			this.#fenced.get(right)!,
			this.#fenced.get(left)!,
		);
		return (
			byPosition ||
			Number(this.#isAvoided(left)) - Number(this.#isAvoided(right)) ||
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

function compareStatuses(
	left: types.UpstreamStatus,
	right: types.UpstreamStatus,
): number {
	return position.comparePositions(
		{term: left.term, offset: left.position},
		{term: right.term, offset: right.position},
	);
}
