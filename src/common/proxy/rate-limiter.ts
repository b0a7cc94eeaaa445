/**
 * Counts the operations of customers against their rate limits when an entry first sends them to a
 * server. A request without a token waits here for a short time, in the order of ranks. Statements of
 * an open transaction belong to the operation that began it.
 */
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import * as rateWait from '../policy/rate-wait.js';
import * as types from '../types.js';
import type * as allowanceClient from './allowance-client.js';
import type * as context from './context.js';
import type * as entryReplies from './entry-replies.js';
import type * as entryState from './entry-state.js';

const part = 'limits';
const countIntervalMs = 1000;
/** A customer that stays limited is logged at this interval. */
const logIntervalMs = 10_000;

export class RateLimiter {
	private readonly queues = new Map<
		ids.CustomerId,
		Set<entryState.EntryRequest>
	>();

	/** Requests refused since the counters were last emitted. */
	private readonly refused = new Map<ids.CustomerId, number>();
	private readonly loggedAt = new Map<ids.CustomerId, number>();
	private countedAt = Number.NEGATIVE_INFINITY;

	constructor(
		private readonly context: context.ProxyContext,
		private readonly client: allowanceClient.AllowanceClient,
		private readonly replies: entryReplies.EntryReplies,
		private readonly route: (request: entryState.EntryRequest) => void,
	) {}

	/**
	 * Counts the request before its first attempt. Returns false when it has no token: it waits then,
	 * or was refused.
	 */
	admit(request: entryState.EntryRequest): boolean {
		const {customer} = request.session;
		if (
			customer === undefined ||
			request.isCounted ||
			(request.isBound && request.session.binding?.inTransaction === true) ||
			!this.client.isLimited(customer)
		) {
			return true;
		}

		const isNew = request.waitState.type !== 'token';
		if (isNew) {
			this.client.recordDemand(customer);
		}

		if (this.client.tryTake(customer)) {
			request.isCounted = true;
			this.queues.get(customer)?.delete(request);
			return true;
		}

		if (!isNew) {
			return false;
		}

		if (rateWait.mayWait(this.buildWaitInput(request, customer))) {
			request.waitState = {type: 'token', since: this.context.now};
			this.ensureQueue(customer).add(request);
			this.client.requestIfNeeded();
		} else {
			this.refuse(request, customer);
		}

		return false;
	}

	/** Counts a second copy of a request; false when there is no token for it. */
	tryCountCopy({session}: entryState.EntryRequest): boolean {
		const {customer} = session;
		return (
			customer === undefined ||
			!this.client.isLimited(customer) ||
			this.client.tryTake(customer)
		);
	}

	countWaiting(customer: ids.CustomerId): number {
		return this.queues.get(customer)?.size ?? 0;
	}

	handleGrant(grant: messages.AllowanceGrant): void {
		for (const customer of this.client.handleGrant(grant)) {
			this.serveWaiting(customer);
		}
	}

	handleTick(): void {
		const {now} = this.context;
		for (const customer of this.queues.keys()) {
			if (!this.client.isLimited(customer)) {
				this.serveWaiting(customer);
				continue;
			}

			this.removeEnded(customer);
			const isEmpty = this.client.findEmptyWait(customer) !== undefined;
			for (const request of this.queues.get(customer) ?? []) {
				const {waitState, deadlineAt} = request;
				if (
					waitState.type === 'token' &&
					now - waitState.since >=
						rateWait.computeWaitLimit(isEmpty, deadlineAt - waitState.since)
				) {
					this.refuse(request, customer);
				}
			}
		}

		if (this.queues.size > 0) {
			this.client.requestIfNeeded();
		}

		if (now - this.countedAt >= countIntervalMs) {
			this.countedAt = now;
			this.emitCounts();
		}
	}

	private serveWaiting(customer: ids.CustomerId): void {
		this.removeEnded(customer);
		const waiting = [...(this.queues.get(customer) ?? [])].sort(
			(left, right) =>
				types.ranks.indexOf(left.rank) - types.ranks.indexOf(right.rank),
		);
		for (const request of waiting) {
			this.route(request);
			if (request.waitState.type === 'token') {
				break;
			}
		}

		this.removeEnded(customer);
	}

	private refuse(
		request: entryState.EntryRequest,
		customer: ids.CustomerId,
	): void {
		const input = this.buildWaitInput(request, customer);
		const retryAfterMs = rateWait.estimateRetryAfter(input);
		this.queues.get(customer)?.delete(request);
		this.refused.set(customer, (this.refused.get(customer) ?? 0) + 1);
		this.logRefusal(customer, input, retryAfterMs);
		this.replies.refuse(
			request,
			'rateLimit',
			input.isEmpty
				? `the customer has reached its limit; a place is expected in ${retryAfterMs} ms`
				: `no place could be obtained in time; retry in ${retryAfterMs} ms`,
		);
	}

	private buildWaitInput(
		request: entryState.EntryRequest,
		customer: ids.CustomerId,
	): rateWait.RateWaitInput {
		const nextTokenMs = this.client.findEmptyWait(customer);
		return {
			isEmpty: nextTokenMs !== undefined,
			silentMs: this.client.computeSilence(),
			waiting: this.countWaiting(customer),
			usePerS: this.client.readUsePerS(customer),
			nextTokenMs: nextTokenMs ?? 0,
			remainingMs: request.deadlineAt - this.context.now,
		};
	}

	private logRefusal(
		customer: ids.CustomerId,
		input: rateWait.RateWaitInput,
		retryAfterMs: number,
	): void {
		const {now} = this.context;
		if (now - (this.loggedAt.get(customer) ?? -Infinity) < logIntervalMs) {
			return;
		}

		this.loggedAt.set(customer, now);
		this.context.log('info', part, 'A customer is limited', {
			customer,
			isEmpty: input.isEmpty,
			waiting: input.waiting,
			usePerS: Math.round(input.usePerS * 10) / 10,
			retryAfterMs,
		});
	}

	private emitCounts(): void {
		const counts = new Map(
			[...this.refused].map(([customer, refused]) => [
				customer,
				{customer, granted: 0, used: 0, refused},
			]),
		);
		this.refused.clear();
		for (const count of this.client.takeCounts()) {
			const refused = counts.get(count.customer)?.refused ?? 0;
			counts.set(count.customer, {...count, refused});
		}

		for (const count of counts.values()) {
			this.context.emit({type: 'countCustomer', ...count});
		}

		for (const [customer, at] of this.loggedAt) {
			if (this.context.now - at > logIntervalMs) {
				this.loggedAt.delete(customer);
			}
		}
	}

	/** Removes requests that have ended, were routed, or wait for something else. */
	private removeEnded(customer: ids.CustomerId): void {
		const queue = this.queues.get(customer);
		for (const request of queue ?? []) {
			if (
				request.session.request !== request ||
				request.waitState.type !== 'token'
			) {
				queue?.delete(request);
			}
		}

		if (queue?.size === 0) {
			this.queues.delete(customer);
		}
	}

	private ensureQueue(customer: ids.CustomerId): Set<entryState.EntryRequest> {
		let queue = this.queues.get(customer);
		if (!queue) {
			queue = new Set();
			this.queues.set(customer, queue);
		}

		return queue;
	}
}
