/**
 * Queue of one rank at one server. Deficit round robin shares slot time among members by weight.
 * The cost of a request is its service time, which is estimated when the request is taken and
 * corrected when it completes.
 */
import type * as ids from '../ids.js';
import type {QueuedRequest} from './types.js';
import {ServiceTimeEstimator} from './service-estimate.js';

/**
 * Limit of a member's negative deficit, in quanta. It bounds the number of rounds that a member
 * misses for its earlier service when it sends requests again.
 */
const maxDebtRounds = 4;

/** A queued request, linked into the queue of its member. */
export type QueueNode<Item> = {
	readonly request: QueuedRequest<Item>;
	readonly deadlineAt: number;
	readonly flow: MemberFlow<Item>;
	heapIndex: number;
	previous: QueueNode<Item> | undefined;
	next: QueueNode<Item> | undefined;
};

/** The requests of one member within one rank, in arrival order. */
export type MemberFlow<Item> = {
	readonly member: ids.MemberId;
	readonly service: ServiceTimeEstimator;
	head: QueueNode<Item> | undefined;
	tail: QueueNode<Item> | undefined;
	length: number;
	weight: number;
	/** Slot time in ms that the member may still use in this round; negative when it used more. */
	deficit: number;
	/** True while the flow is in the round; an empty flow is removed when its turn comes. */
	inRound: boolean;
	nextInRound: MemberFlow<Item> | undefined;
	lastRequestAt: number;
};

export class RankQueue<Item> {
	readonly service = new ServiceTimeEstimator();
	readonly #flows = new Map<ids.MemberId, MemberFlow<Item>>();
	#firstInRound: MemberFlow<Item> | undefined;
	#lastInRound: MemberFlow<Item> | undefined;
	#size = 0;
	#activeWeight = 0;
	#minWeight = Infinity;

	get size(): number {
		return this.#size;
	}

	/** Sum of the weights of members that have queued requests. */
	get activeWeight(): number {
		return this.#activeWeight;
	}

	/** Returns the flow of a member and updates its weight and the time of its last request. */
	getOrCreateFlow(
		member: ids.MemberId,
		weight: number,
		now: number,
	): MemberFlow<Item> {
		let flow = this.#flows.get(member);
		if (!flow) {
			flow = {
				member,
				service: new ServiceTimeEstimator(this.service.meanMs),
				head: undefined,
				tail: undefined,
				length: 0,
				weight,
				deficit: 0,
				inRound: false,
				nextInRound: undefined,
				lastRequestAt: now,
			};
			this.#flows.set(member, flow);
		}

		if (flow.weight !== weight) {
			this.#activeWeight += flow.length > 0 ? weight - flow.weight : 0;
			flow.weight = weight;
		}

		this.#minWeight = Math.min(this.#minWeight, flow.weight);
		flow.lastRequestAt = now;
		return flow;
	}

	/** Returns the flow of a member without creating one. */
	findFlow(member: ids.MemberId): MemberFlow<Item> | undefined {
		return this.#flows.get(member);
	}

	add(flow: MemberFlow<Item>, request: QueuedRequest<Item>): QueueNode<Item> {
		const node: QueueNode<Item> = {
			request,
			deadlineAt: request.deadlineAt,
			flow,
			heapIndex: -1,
			previous: flow.tail,
			next: undefined,
		};
		if (flow.tail) {
			flow.tail.next = node;
		} else {
			flow.head = node;
			this.#activeWeight += flow.weight;
		}

		flow.tail = node;
		flow.length++;
		this.#size++;
		if (!flow.inRound) {
			flow.inRound = true;
			this.#addToRound(flow);
		}

		return node;
	}

	remove(node: QueueNode<Item>): void {
		const {flow} = node;
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
		}
	}

	/** Finds the request that is next in the round, without removing it. */
	findNext(): QueueNode<Item> | undefined {
		while (this.#firstInRound) {
			const flow = this.#firstInRound;
			if (flow.head && flow.deficit > 0) {
				return flow.head;
			}

			this.#removeFirstFromRound();
			if (flow.head) {
				flow.deficit += this.#computeQuantum(flow);
				this.#addToRound(flow);
			} else {
				flow.inRound = false;
				flow.deficit = Math.min(flow.deficit, 0);
			}
		}

		return undefined;
	}

	/** Charges slot time to a member; a negative value refunds an earlier overcharge. */
	charge(flow: MemberFlow<Item>, slotMs: number): void {
		flow.deficit = Math.max(
			flow.deficit - slotMs,
			-maxDebtRounds * this.#computeQuantum(flow),
		);
	}

	/** Removes members without a request since `before` and decays estimates that got no samples. */
	expireFlows(before: number): void {
		this.service.decayIfUnused();
		this.#minWeight = Infinity;
		for (const flow of this.#flows.values()) {
			if (flow.length === 0 && !flow.inRound && flow.lastRequestAt < before) {
				this.#flows.delete(flow.member);
				continue;
			}

			flow.service.decayIfUnused();
			this.#minWeight = Math.min(this.#minWeight, flow.weight);
		}
	}

	/**
	 * The member with the lowest weight gets the time of one average statement per round, the others
	 * more in proportion to their weight.
	 */
	#computeQuantum(flow: MemberFlow<Item>): number {
		return (this.service.meanMs * flow.weight) / this.#minWeight;
	}

	#addToRound(flow: MemberFlow<Item>): void {
		flow.nextInRound = undefined;
		if (this.#lastInRound) {
			this.#lastInRound.nextInRound = flow;
		} else {
			this.#firstInRound = flow;
		}

		this.#lastInRound = flow;
	}

	#removeFirstFromRound(): void {
		const flow = this.#firstInRound!;
		this.#firstInRound = flow.nextInRound;
		flow.nextInRound = undefined;
		if (!this.#firstInRound) {
			this.#lastInRound = undefined;
		}
	}
}
