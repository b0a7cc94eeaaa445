/**
 * The token bucket of one customer at the control leader, and what proxies hold of it. It answers a
 * customer that asks for more than its limit, and one whose demand moves between proxies: a part of
 * what may be outstanding stays free for proxies at which requests wait.
 */
import type * as rateBound from './rate-bound.js';

/** Stocks leave this share of the capacity in the bucket, so that waiting requests find tokens. */
const reservedShare = 1 / 8;
/** Outstanding tokens for waiting requests: what is used until proxies have reported it. */
const reservedMs = 150;
const minReserved = 2;

export class TokenBucket {
	#level: number;
	#outstanding = 0;
	#updatedAt: number;
	#limit: rateBound.BucketLimit;

	constructor(limit: rateBound.BucketLimit, now: number, isFull: boolean) {
		this.#limit = limit;
		this.#level = isFull ? limit.capacity : 0;
		this.#updatedAt = now;
	}

	get outstanding(): number {
		return this.#outstanding;
	}

	/** Puts another limit in force. A lower one takes tokens from the bucket at once. */
	setLimit(now: number, limit: rateBound.BucketLimit): void {
		this.#refill(now);
		this.#limit = limit;
		this.#refill(now);
	}

	/** Takes tokens for requests that wait at a proxy, as many as there are. */
	takeForWaiting(now: number, wanted: number): number {
		this.#refill(now);
		return this.#take(wanted, this.#level, this.#limit.maxOutstanding);
	}

	/**
	 * Takes tokens for the stock of a proxy: at most half of what is not reserved, so that other
	 * proxies get some too.
	 */
	takeForStock(now: number, wanted: number): number {
		this.#refill(now);
		const {rate, capacity, maxOutstanding} = this.#limit;
		return this.#take(
			wanted,
			(this.#level - capacity * reservedShare) / 2,
			maxOutstanding - Math.max(minReserved, rate * reservedMs),
		);
	}

	/** Removes tokens that are used or have expired. */
	settle(now: number, count: number): void {
		this.#refill(now);
		this.#outstanding -= count;
	}

	/** Puts tokens back that a proxy has returned unused. */
	putBack(now: number, count: number): void {
		this.settle(now, count);
		this.#level += count;
		this.#refill(now);
	}

	/** Returns the time until there is a token behind those that `ahead` requests get, in ms. */
	computeWait(now: number, ahead: number): number {
		this.#refill(now);
		return this.#limit.rate === 0
			? Infinity
			: Math.ceil(Math.max(0, ahead + 1 - this.#level) / this.#limit.rate);
	}

	#take(wanted: number, available: number, maxOutstanding: number): number {
		const count = Math.max(
			0,
			Math.floor(
				Math.min(wanted, available, maxOutstanding - this.#outstanding),
			),
		);
		this.#level -= count;
		this.#outstanding += count;
		return count;
	}

	#refill(now: number): void {
		const elapsedMs = Math.max(0, now - this.#updatedAt);
		this.#updatedAt += elapsedMs;
		this.#level = Math.max(
			0,
			Math.min(
				this.#level + elapsedMs * this.#limit.rate,
				this.#limit.capacity - this.#outstanding,
			),
		);
	}
}
