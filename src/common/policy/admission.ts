/**
 * Schedules the requests of one database server: more urgent ranks run first, every rank keeps a
 * floor of slot time, the customers of a rank get fair shares, and a request that cannot finish by
 * its deadline is refused immediately. `offer` and `take` cost O(log n) in the number of queued
 * requests.
 */
import type * as ids from '../ids.js';
import * as types from '../types.js';
import type {
	AdmissionOptions,
	AdmissionResult,
	AdmissionScheduler,
	QueuedRequest,
} from './types.js';
import {IndexedHeap} from './indexed-heap.js';
import {
	RankCredits,
	getRankIndex,
	rankIndexes,
	type RankIndex,
} from './rank-credits.js';
import {RankQueue, type QueueFlow, type QueueNode} from './rank-queue.js';
import {RankUsage} from './rank-usage.js';

/** A member counts towards the floors of a server for this long after its last request. */
const memberIdleTimeoutMs = 10_000;

/** Interval at which floors and weights are updated and idle members are removed. */
const refreshIntervalMs = 1000;

/** See `AdmissionOptions.usableDeadlineShare`. */
const defaultUsableDeadlineShare = 0.6;

/** Policy of members without a template; the proxy refuses their requests before admission. */
const defaultPolicy = {floorPercent: 0, queueLimit: 100, weight: 1} as const;

type RunningRequest<Item> = {
	readonly node: QueueNode<Item>;
	readonly chargedMs: number;
	readonly borrowed: boolean;
};

/** Admission scheduler of one database server. */
export class ServerAdmissionScheduler<
	Item,
> implements AdmissionScheduler<Item> {
	readonly #options: AdmissionOptions;
	readonly #queues: readonly [
		RankQueue<Item>,
		RankQueue<Item>,
		RankQueue<Item>,
	];

	readonly #credits: RankCredits;
	readonly #usage: RankUsage;
	readonly #deadlines = new IndexedHeap<QueueNode<Item>>(
		(left, right) => left.deadlineAt < right.deadlineAt,
	);

	readonly #nodesByItem = new Map<Item, QueueNode<Item>>();
	readonly #running = new Map<QueuedRequest<Item>, RunningRequest<Item>>();
	readonly #lastRequestAt = new Map<ids.MemberId, number>();
	readonly #floors: [number, number, number] = [0, 0, 0];
	#expired: Array<QueuedRequest<Item>> = [];
	#refreshedAt = -Infinity;

	constructor(options: AdmissionOptions) {
		this.#options = options;
		const {slots} = options;
		this.#queues = [
			new RankQueue(slots),
			new RankQueue(slots),
			new RankQueue(slots),
		];
		this.#credits = new RankCredits(options.slots);
		this.#usage = new RankUsage(options.slots);
	}

	get size(): number {
		return this.#deadlines.size;
	}

	offer(request: QueuedRequest<Item>, now: number): AdmissionResult {
		this.#updateMember(request.member, now);
		const rank = getRankIndex(request.rank);
		const policy =
			this.#options.getParameters(request.member)?.ranks[request.rank] ??
			defaultPolicy;
		const queue = this.#queues[rank];
		const flow = queue.getOrCreateFlow(
			request,
			policy.weight * this.#getCustomerWeight(request.customer),
			now,
		);
		if (flow.length >= policy.queueLimit) {
			this.#expireQueued(now);
			if (flow.length >= policy.queueLimit) {
				return {type: 'refused', reason: 'queueFull'};
			}
		}

		if (!this.#canFinish(rank, flow, request, now)) {
			return {type: 'refused', reason: 'deadline'};
		}

		const node = queue.add(flow, request);
		this.#deadlines.add(node);
		this.#nodesByItem.set(request.item, node);
		return {type: 'queued'};
	}

	take(now: number): QueuedRequest<Item> | undefined {
		this.#updateFloors(now);
		this.#credits.update(now);
		this.#expireQueued(now);
		const rank = this.#chooseRank();
		if (rank === undefined) {
			return undefined;
		}

		const queue = this.#queues[rank];
		const node = queue.findNext()!;
		const {request} = node;
		const chargedMs = node.service.meanMs;
		const borrowed = !this.#credits.isBelowFloor(rank);
		queue.take(node, chargedMs, now);
		this.#removeFromIndexes(node);
		this.#credits.charge(rank, chargedMs, borrowed);
		this.#usage.add(rank, chargedMs, now);
		this.#running.set(request, {node, chargedMs, borrowed});
		return request;
	}

	complete(request: QueuedRequest<Item>, serviceMs: number, now: number): void {
		const running = this.#running.get(request);
		if (!running) {
			return;
		}

		this.#running.delete(request);
		const rank = getRankIndex(request.rank);
		const queue = this.#queues[rank];
		const correctionMs = serviceMs - running.chargedMs;
		const {flow, service} = running.node;
		queue.charge(flow, correctionMs, now);
		this.#credits.charge(rank, correctionMs, running.borrowed);
		this.#usage.add(rank, correctionMs, now);
		flow.service.observe(serviceMs);
		service.observe(serviceMs);
		queue.service.observe(serviceMs);
	}

	expire(now: number): Array<QueuedRequest<Item>> {
		this.#expireQueued(now);
		const expired = this.#expired;
		this.#expired = [];
		return expired;
	}

	remove(item: Item): boolean {
		const node = this.#nodesByItem.get(item);
		if (!node) {
			return false;
		}

		this.#removeNode(node, getRankIndex(node.request.rank));
		return true;
	}

	estimateWait(rank: types.Rank, now: number): number {
		const index = getRankIndex(rank);
		const queue = this.#queues[index];
		return this.#estimateWaitForWork(
			index,
			queue.size * queue.service.meanMs,
			now,
		);
	}

	/**
	 * Chooses the most urgent rank with queued requests among those below their floor, or among all
	 * when none of them is below its floor.
	 */
	#chooseRank(): RankIndex | undefined {
		let first: RankIndex | undefined;
		for (const rank of rankIndexes) {
			if (this.#queues[rank].size === 0) {
				continue;
			}

			if (this.#credits.isBelowFloor(rank)) {
				return rank;
			}

			first ??= rank;
		}

		return first;
	}

	#getCustomerWeight(customer: ids.CustomerId | undefined): number {
		return customer === undefined
			? 1
			: (this.#options.getCustomerWeight?.(customer) ?? 1);
	}

	#canFinish(
		rank: RankIndex,
		flow: QueueFlow<Item>,
		{member, deadlineAt}: QueuedRequest<Item>,
		now: number,
	): boolean {
		if (deadlineAt <= now) {
			return false;
		}

		// With a free slot and an empty queue, the estimate does not matter: only running the statement
		// shows how long it takes.
		if (this.#running.size < this.#options.slots && this.size === 0) {
			return true;
		}

		const queue = this.#queues[rank];
		const workMs = this.#estimateWorkAhead(rank, flow, now);
		const waitMs = this.#estimateWaitForWork(rank, workMs, now);
		return (
			waitMs + queue.getOrCreateService(member).upperEstimateMs <=
			(deadlineAt - now) *
				(this.#options.usableDeadlineShare ?? defaultUsableDeadlineShare)
		);
	}

	/**
	 * Estimates the slot time in ms that the rank works through before a new request of the flow starts.
	 * Requests of flows that keep to their share overtake it also when they arrive later, so a flow that is
	 * ahead of its share only advances at the rate that the others leave.
	 */
	#estimateWorkAhead(
		rank: RankIndex,
		flow: QueueFlow<Item>,
		now: number,
	): number {
		const queue = this.#queues[rank];
		if (flow.standing !== 'ahead') {
			return queue.countRequestsBefore(flow) * queue.service.meanMs;
		}

		const fairShare = flow.weight / Math.max(queue.activeWeight, flow.weight);
		const availableShare = this.#computeAvailableShare(rank, now);
		const usedShare = this.#usage.toShare(queue.readUsage(flow, now));
		const othersShare = this.#usage.getUsedShare(rank, now) - usedShare;
		const flowShare = Math.max(
			usedShare,
			fairShare * availableShare,
			availableShare - othersShare,
		);
		const flowWorkMs = flow.length * flow.service.meanMs;
		return Math.max(
			Math.min(queue.size * queue.service.meanMs, flowWorkMs / fairShare),
			(flowWorkMs * availableShare) / flowShare,
		);
	}

	/** Share of the slot time that the ranks before it and the floors of the others leave to a rank. */
	#computeAvailableShare(rank: RankIndex, now: number): number {
		let availableShare = 1;
		for (const other of rankIndexes) {
			if (other === rank) {
				continue;
			}

			const usedShare = this.#usage.getUsedShare(other, now);
			if (other < rank) {
				availableShare -= usedShare;
			} else {
				const floorShare = this.#credits.getFloorShare(other);
				availableShare -=
					this.#queues[other].size > 0
						? floorShare
						: Math.min(floorShare, usedShare);
			}
		}

		return Math.max(availableShare, Number.MIN_VALUE);
	}

	/** Estimates the wait behind `workMs` of slot time of the same rank. */
	#estimateWaitForWork(rank: RankIndex, workMs: number, now: number): number {
		if (this.#running.size < this.#options.slots && this.size === 0) {
			return 0;
		}

		const {slots} = this.#options;
		let workAheadMs = workMs;
		for (const other of rankIndexes) {
			if (other < rank) {
				const queue = this.#queues[other];
				workAheadMs += queue.size * queue.service.meanMs;
			}
		}

		const queue = this.#queues[rank];
		const residualMs = queue.service.meanMs / slots;
		const floorRate = this.#credits.getFloorShare(rank) * slots;
		const rankOrderWaitMs =
			workAheadMs / (this.#computeAvailableShare(rank, now) * slots);
		const floorWaitMs = workMs / Math.max(floorRate, Number.MIN_VALUE);
		return residualMs + Math.min(rankOrderWaitMs, floorWaitMs);
	}

	#expireQueued(now: number): void {
		for (;;) {
			const node = this.#deadlines.first;
			if (!node || node.deadlineAt > now + node.service.meanMs) {
				return;
			}

			this.#removeNode(node, getRankIndex(node.request.rank));
			this.#expired.push(node.request);
		}
	}

	#removeNode(node: QueueNode<Item>, rank: RankIndex): void {
		this.#queues[rank].remove(node);
		this.#removeFromIndexes(node);
	}

	#removeFromIndexes(node: QueueNode<Item>): void {
		this.#deadlines.remove(node);
		this.#nodesByItem.delete(node.request.item);
	}

	#updateMember(member: ids.MemberId, now: number): void {
		const isNew = !this.#lastRequestAt.has(member);
		this.#lastRequestAt.set(member, now);
		if (isNew) {
			this.#mergeFloors(member);
			this.#credits.setFloors(this.#floors);
		}

		this.#updateFloors(now);
	}

	#mergeFloors(member: ids.MemberId): void {
		const parameters = this.#options.getParameters(member);
		for (const rank of rankIndexes) {
			this.#floors[rank] = Math.max(
				this.#floors[rank],
				parameters?.ranks[types.ranks[rank]].floorPercent ?? 0,
			);
		}
	}

	#updateFloors(now: number): void {
		if (now - this.#refreshedAt < refreshIntervalMs) {
			return;
		}

		this.#refreshedAt = now;
		this.#floors.fill(0);
		for (const [member, lastRequestAt] of this.#lastRequestAt) {
			if (lastRequestAt < now - memberIdleTimeoutMs) {
				this.#lastRequestAt.delete(member);
				for (const queue of this.#queues) {
					queue.removeService(member);
				}

				continue;
			}

			this.#mergeFloors(member);
		}

		this.#credits.setFloors(this.#floors);
		for (const queue of this.#queues) {
			queue.expireFlows(now - memberIdleTimeoutMs);
		}
	}
}
