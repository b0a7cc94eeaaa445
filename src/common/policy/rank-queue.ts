/**
 * Queue of one rank at one server. Load patterns: customers share a few members, and one of them sends many
 * times its usual, so a share by member lets its neighbours wait behind the flood; or all of them send
 * more at once, and then most are served when none is set back. Requests run in order of arrival, except
 * that a flow that is far behind its share goes first, and one that is far ahead of it last. A flow holds
 * the requests of one customer, or of one member where requests have no customer.
 *
 * Shares are kept by virtual time, as in weighted fair queueing. That of a flow advances by its slot time
 * over its weight, that of the queue by the slot time of all flows over the sum of their weights.
 *
 * The cost of a request is the service time of its member, which stands for a kind of work. It is
 * estimated when the request is taken and corrected when it completes.
 */
import type * as ids from '../ids.js';
import type {QueuedRequest} from './types.js';
import {IndexedHeap} from './indexed-heap.js';
import {computeUsageDecay} from './rank-usage.js';
import {ServiceTimeEstimator} from './service-estimate.js';

/** Distance from its share that leaves a flow in order of arrival, in average statements. */
const toleratedStatements = 2;

/** The same as the time in which the share of the flow serves as much. */
const toleratedMs = 50;

/** Multiple of the tolerated distance from which a flow that is behind its share goes first. */
const behindFactor = 3;

/** Limit of the distance as a multiple of the tolerated one, so that no flow pays or saves for long. */
const maxDistanceFactor = 4;

/** Place of a flow relative to its share, in the order in which flows are served. */
type Standing = 'behind' | 'even' | 'ahead';

/** A queued request, linked into the queue of its flow. */
export type QueueNode<Item> = {
	readonly request: QueuedRequest<Item>;
	readonly deadlineAt: number;
	readonly flow: QueueFlow<Item>;
	/** Order of arrival. */
	readonly sequence: number;
	/** Service time of requests of the same member and rank. */
	readonly service: ServiceTimeEstimator;
	heapIndex: number;
	previous: QueueNode<Item> | undefined;
	next: QueueNode<Item> | undefined;
};

/** The requests of one customer, or of one member, within one rank in arrival order. */
export type QueueFlow<Item> = {
	readonly key: string;
	/** Service time over all members of the flow. */
	readonly service: ServiceTimeEstimator;
	head: QueueNode<Item> | undefined;
	tail: QueueNode<Item> | undefined;
	length: number;
	weight: number;
	/** Slot time in ms over the weight. */
	virtualMs: number;
	/** Virtual time of the queue from which the flow is no longer ahead. */
	evenAtMs: number;
	/** As of the last start of a request of the flow, or of its arrival in an empty flow. */
	standing: Standing;
	/** Slot time that the flow used recently, as of `usedAt`. */
	usedMs: number;
	usedAt: number;
	heapIndex: number;
	lastRequestAt: number;
};

export class RankQueue<Item> {
	readonly service = new ServiceTimeEstimator();
	readonly #flows = new Map<string, QueueFlow<Item>>();
	readonly #services = new Map<ids.MemberId, ServiceTimeEstimator>();
	/** Flows with queued requests, by their standing. */
	readonly #backlogged: Readonly<
		Record<Standing, IndexedHeap<QueueFlow<Item>>>
	> = {
		behind: new IndexedHeap(hasOlderRequest),
		even: new IndexedHeap(hasOlderRequest),
		ahead: new IndexedHeap((left, right) => left.evenAtMs < right.evenAtMs),
	};

	readonly #slots: number;
	#virtualMs = 0;
	#size = 0;
	/** Queued requests by the standing of their flow. */
	readonly #sizes: Record<Standing, number> = {behind: 0, even: 0, ahead: 0};
	#activeWeight = 0;
	#knownWeight = 0;
	#nextSequence = 0;

	constructor(slots: number) {
		this.#slots = slots;
	}

	get size(): number {
		return this.#size;
	}

	/** Sum of the weights of flows that have queued requests. */
	get activeWeight(): number {
		return this.#activeWeight;
	}

	/** Returns the flow of a request and updates its weight and the time of its last request. */
	getOrCreateFlow(
		request: QueuedRequest<Item>,
		weight: number,
		now: number,
	): QueueFlow<Item> {
		const key = buildFlowKey(request);
		let flow = this.#flows.get(key);
		if (!flow) {
			flow = {
				key,
				service: new ServiceTimeEstimator(this.service.meanMs),
				head: undefined,
				tail: undefined,
				length: 0,
				weight,
				virtualMs: this.#virtualMs,
				evenAtMs: this.#virtualMs,
				standing: 'even',
				usedMs: 0,
				usedAt: now,
				heapIndex: -1,
				lastRequestAt: now,
			};
			this.#flows.set(key, flow);
			this.#knownWeight += weight;
		}

		if (flow.weight !== weight) {
			this.#activeWeight += flow.length > 0 ? weight - flow.weight : 0;
			this.#knownWeight += weight - flow.weight;
			flow.weight = weight;
		}

		flow.lastRequestAt = now;
		if (flow.length === 0) {
			this.#setVirtualTime(flow, flow.virtualMs);
		}

		return flow;
	}

	/** Returns the service time of a member's requests. */
	getOrCreateService(member: ids.MemberId): ServiceTimeEstimator {
		let service = this.#services.get(member);
		if (!service) {
			service = new ServiceTimeEstimator(this.service.meanMs);
			this.#services.set(member, service);
		}

		return service;
	}

	add(flow: QueueFlow<Item>, request: QueuedRequest<Item>): QueueNode<Item> {
		const node: QueueNode<Item> = {
			request,
			deadlineAt: request.deadlineAt,
			flow,
			sequence: this.#nextSequence++,
			service: this.getOrCreateService(request.member),
			heapIndex: -1,
			previous: flow.tail,
			next: undefined,
		};
		if (flow.tail) {
			this.#removeFromHeap(flow);
			flow.tail.next = node;
		} else {
			flow.head = node;
			this.#activeWeight += flow.weight;
		}

		flow.tail = node;
		flow.length++;
		this.#size++;
		this.#addToHeap(flow);
		return node;
	}

	remove(node: QueueNode<Item>): void {
		const {flow} = node;
		this.#removeFromHeap(flow);
		if (node.previous) {
			node.previous.next = node.next;
		} else {
			flow.head = node.next;
		}

		if (node.next) {
			node.next.previous = node.previous;
		} else {
			flow.tail = node.previous;
		}

		flow.length--;
		this.#size--;
		if (flow.length === 0) {
			this.#activeWeight -= flow.weight;
		} else {
			this.#addToHeap(flow);
		}
	}

	/** Counts the queued requests that run before a new one of a flow that is not ahead of its share. */
	countRequestsBefore(flow: QueueFlow<Item>): number {
		return flow.standing === 'behind'
			? this.#sizes.behind
			: this.#sizes.behind + this.#sizes.even;
	}

	/** Finds the request that runs next, without removing it. */
	findNext(): QueueNode<Item> | undefined {
		const {behind, even, ahead} = this.#backlogged;
		if (behind.size + even.size === 0 && ahead.first) {
			this.#virtualMs = ahead.first.evenAtMs;
		}

		for (;;) {
			const flow = ahead.first;
			if (!flow || flow.evenAtMs > this.#virtualMs) {
				return (behind.first ?? even.first)?.head;
			}

			this.#removeFromHeap(flow);
			this.#addToHeap(flow);
		}
	}

	/** Removes a request that starts now and charges its expected slot time to its flow. */
	take(node: QueueNode<Item>, slotMs: number, now: number): void {
		this.remove(node);
		this.charge(node.flow, slotMs, now);
	}

	/** Charges slot time to a flow; a negative value refunds an earlier overcharge. */
	charge(flow: QueueFlow<Item>, slotMs: number, now: number): void {
		flow.usedMs = Math.max(0, this.readUsage(flow, now) + slotMs);
		this.#virtualMs += Math.max(0, slotMs / this.#sumWeights(flow));
		if (flow.length === 0) {
			this.#setVirtualTime(flow, flow.virtualMs + slotMs / flow.weight);
			return;
		}

		this.#removeFromHeap(flow);
		this.#setVirtualTime(flow, flow.virtualMs + slotMs / flow.weight);
		this.#addToHeap(flow);
	}

	/** Slot time in ms that a flow used recently, comparable with that of its rank. */
	readUsage(flow: QueueFlow<Item>, now: number): number {
		flow.usedMs *= computeUsageDecay(now - flow.usedAt);
		flow.usedAt = now;
		return flow.usedMs;
	}

	/** Removes flows without a request since `before` and decays estimates that got no samples. */
	expireFlows(before: number): void {
		this.service.decayIfUnused();
		for (const service of this.#services.values()) {
			service.decayIfUnused();
		}

		this.#knownWeight = 0;
		for (const flow of this.#flows.values()) {
			if (flow.length === 0 && flow.lastRequestAt < before) {
				this.#flows.delete(flow.key);
				continue;
			}

			flow.service.decayIfUnused();
			this.#knownWeight += flow.weight;
		}
	}

	/** Removes the service time of a member that is idle. */
	removeService(member: ids.MemberId): void {
		this.#services.delete(member);
	}

	/** Weights of all flows; at least that of a flow that expired while its request ran. */
	#sumWeights(flow: QueueFlow<Item>): number {
		return Math.max(this.#knownWeight, flow.weight);
	}

	/** Distance from its share, in virtual time, that leaves a flow in order of arrival. */
	#computeTolerance(flow: QueueFlow<Item>): number {
		return Math.max(
			(toleratedStatements * this.service.meanMs) / flow.weight,
			(toleratedMs * this.#slots) / this.#sumWeights(flow),
		);
	}

	#setVirtualTime(flow: QueueFlow<Item>, virtualMs: number): void {
		const tolerance = this.#computeTolerance(flow);
		const maxDistance = maxDistanceFactor * tolerance;
		flow.virtualMs = Math.min(
			Math.max(virtualMs, this.#virtualMs - maxDistance),
			this.#virtualMs + maxDistance,
		);
		flow.evenAtMs = flow.virtualMs - tolerance;
		flow.standing =
			flow.virtualMs + behindFactor * tolerance < this.#virtualMs
				? 'behind'
				: 'even';
	}

	#addToHeap(flow: QueueFlow<Item>): void {
		if (flow.evenAtMs > this.#virtualMs) {
			flow.standing = 'ahead';
		} else {
			flow.standing = flow.standing === 'behind' ? 'behind' : 'even';
		}

		this.#sizes[flow.standing] += flow.length;
		this.#backlogged[flow.standing].add(flow);
	}

	#removeFromHeap(flow: QueueFlow<Item>): void {
		this.#backlogged[flow.standing].remove(flow);
		this.#sizes[flow.standing] -= flow.length;
	}
}

/** Orders flows with queued requests by the arrival of the first one. */
function hasOlderRequest<Item>(
	{head: left}: QueueFlow<Item>,
	{head: right}: QueueFlow<Item>,
): boolean {
	return left!.sequence < right!.sequence;
}

/** Names the flow of a request; customers and members may have equal names. */
function buildFlowKey<Item>({customer, member}: QueuedRequest<Item>): string {
	return customer === undefined ? `member/${member}` : `customer/${customer}`;
}
