/**
 * The rate limits of customers at the leader: a token bucket for each customer, and the tokens that
 * each proxy holds. Proxies report totals, and answers carry totals, so that a lost, late or repeated
 * message neither creates tokens nor loses them.
 *
 * The tokens of a proxy expire together when its reports stop. Until then they count as outstanding,
 * whatever has become of the proxy.
 */
import type * as ids from '../ids.js';
import type * as messages from '../messages.js';
import type * as customerLimits from '../policy/customer-limits.js';
import * as rateBound from '../policy/rate-bound.js';
import * as tokenBucket from '../policy/token-bucket.js';

/** Tokens of one customer at one proxy; totals of the stream. */
type Holding = {
	granted: number;
	spent: number;
	returned: number;
	waiting: number;
	stock: number;
};

/** One instance of a proxy, or one that no longer reports. */
type Holder = {
	readonly incarnation: number;
	readonly stream: messages.AllowanceStream;
	expiresAt: number;
	readonly holdings: Map<ids.CustomerId, Holding>;
	/** Customers of which the proxy has fewer tokens than it asked for. */
	readonly unmet: Set<ids.CustomerId>;
	/** Sequence of the last report. */
	sequence: number;
	/** Number of the last grant that was sent. */
	grantNumber: number;
	/** Grant that last changed what a customer has, until the proxy has received it. */
	readonly undelivered: Map<ids.CustomerId, number>;
};

type CustomerBucket = {
	readonly bucket: tokenBucket.TokenBucket;
	readonly ratePerS: number;
	readonly burst: number;
	/** Set while the customer has no limit. */
	removedAt: number | undefined;
};

export class AllowanceTable {
	readonly #buckets = new Map<ids.CustomerId, CustomerBucket>();
	readonly #holders = new Map<ids.PeerId, Holder>();
	/** Earlier instances of proxies, whose tokens still count. */
	#retired: Holder[] = [];
	/** Proxies at which requests wait, in the order in which they are served. */
	readonly #waitingPeers = new Set<ids.PeerId>();
	#streamCounter = 0;

	constructor(
		private readonly consensusTerm: number,
		private readonly startedAt: number,
		private readonly bound: rateBound.RateBound,
	) {}

	/** What happened to tokens before this time has no effect on the current window. */
	get #memoryMs(): number {
		return this.bound.windowMs + 2 * rateBound.grantorValidityMs;
	}

	/** Puts the limits of a configuration, or of all templates, in force. */
	setCustomers(
		now: number,
		customers: Iterable<customerLimits.CustomerLimit>,
	): void {
		this.expire(now);
		const named = new Set<ids.CustomerId>();
		for (const {customer, ratePerS, burst} of customers) {
			if (Number.isFinite(ratePerS)) {
				named.add(customer);
				this.#setLimit(now, customer, ratePerS, burst);
			}
		}

		for (const [customer, record] of this.#buckets) {
			if (!named.has(customer)) {
				record.removedAt ??= now;
				this.#forgetOld(now, customer, record.removedAt);
			}
		}
	}

	/** Applies a report and grants tokens; undefined when no customer has a limit. */
	handleReport(
		now: number,
		peer: ids.PeerId,
		incarnation: number,
		report: messages.AllowanceReport,
	): messages.AllowanceGrant | undefined {
		this.expire(now);
		if (this.#buckets.size === 0) {
			return undefined;
		}

		const holder = this.#ensureHolder(peer, incarnation);
		holder.expiresAt = now + rateBound.grantorValidityMs;
		holder.sequence = Math.max(holder.sequence, report.sequence);
		const isCurrent = isSameStream(holder.stream, report.stream);
		for (const [customer, number] of holder.undelivered) {
			if (isCurrent && number <= report.received) {
				holder.undelivered.delete(customer);
			}
		}

		for (const [
			customer,
			spent,
			returned,
			waiting,
			stock,
		] of report.customers) {
			const holding = ensureHolding(holder, customer);
			if (isCurrent) {
				this.#settle(now, customer, holding, spent, returned);
			}

			holding.waiting = waiting;
			holding.stock = stock;
			holder.unmet.add(customer);
		}

		return this.#buildGrant(now, peer, holder);
	}

	/**
	 * Grants new tokens to the proxies at which requests wait, in turn, and releases the tokens of
	 * proxies whose reports have stopped.
	 */
	step(now: number): Array<{peer: ids.PeerId; grant: messages.AllowanceGrant}> {
		this.expire(now);
		const grants: Array<{
			peer: ids.PeerId;
			grant: messages.AllowanceGrant;
		}> = [];
		const peers = [...this.#waitingPeers];
		for (const peer of peers) {
			const holder = this.#holders.get(peer);
			if (!holder) {
				this.#waitingPeers.delete(peer);
				continue;
			}

			const grant = this.#buildGrant(now, peer, holder);
			if ([...holder.undelivered.values()].includes(grant.number)) {
				grants.push({peer, grant});
				if (this.#waitingPeers.delete(peer)) {
					// The others come first now.
					this.#waitingPeers.add(peer);
				}
			}
		}

		return grants;
	}

	/** Releases the tokens of proxies whose reports have stopped. */
	expire(now: number): void {
		for (const [peer, holder] of this.#holders) {
			if (now >= holder.expiresAt) {
				this.#retired.push(holder);
				this.#holders.delete(peer);
			}
		}

		if (this.#retired.some(({expiresAt}) => now >= expiresAt)) {
			for (const holder of this.#retired) {
				if (now >= holder.expiresAt) {
					this.#releaseHoldings(now, holder);
				}
			}

			this.#retired = this.#retired.filter(({expiresAt}) => now < expiresAt);
		}
	}

	/** Grants what the proxy lacks. */
	#buildGrant(
		now: number,
		peer: ids.PeerId,
		holder: Holder,
	): messages.AllowanceGrant {
		holder.grantNumber++;
		const waits = this.#grant(now, holder);
		if (waits.size > 0) {
			this.#waitingPeers.add(peer);
		} else {
			this.#waitingPeers.delete(peer);
		}

		const changed = new Set([...waits.keys(), ...holder.undelivered.keys()]);
		return {
			sequence: holder.sequence,
			number: holder.grantNumber,
			stream: holder.stream,
			customers: [...changed].map((customer) => [
				customer,
				holder.holdings.get(customer)?.granted ?? 0,
				waits.get(customer) ?? 0,
			]),
		};
	}

	#setLimit(
		now: number,
		customer: ids.CustomerId,
		ratePerS: number,
		burst: number,
	): void {
		const limit = rateBound.computeBucketLimit(ratePerS, burst, this.bound);
		const known = this.#buckets.get(customer);
		if (known) {
			known.bucket.setLimit(now, limit);
			known.removedAt = undefined;
			return;
		}

		// Nobody has used tokens of a customer that no leader has named for a whole window.
		const isFull = now - this.startedAt > this.#memoryMs;
		this.#buckets.set(customer, {
			bucket: new tokenBucket.TokenBucket(limit, now, isFull),
			ratePerS,
			burst,
			removedAt: undefined,
		});
	}

	/**
	 * Forgets a customer that was removed a whole window ago. The totals of its holders no longer match
	 * a bucket, so they begin other streams.
	 */
	#forgetOld(now: number, customer: ids.CustomerId, removedAt: number): void {
		if (now - removedAt <= this.#memoryMs) {
			return;
		}

		this.#buckets.delete(customer);
		for (const [peer, holder] of this.#holders) {
			if (holder.holdings.has(customer)) {
				this.#retired.push(holder);
				this.#holders.delete(peer);
			}
		}

		for (const {holdings} of this.#retired) {
			holdings.delete(customer);
		}
	}

	#ensureHolder(peer: ids.PeerId, incarnation: number): Holder {
		const known = this.#holders.get(peer);
		if (known?.incarnation === incarnation) {
			return known;
		}

		if (known) {
			this.#retired.push(known);
		}

		const holder: Holder = {
			incarnation,
			stream: [this.consensusTerm, ++this.#streamCounter],
			expiresAt: 0,
			holdings: new Map(),
			unmet: new Set(),
			sequence: 0,
			grantNumber: 0,
			undelivered: new Map(),
		};
		this.#holders.set(peer, holder);
		return holder;
	}

	/** Takes over the totals of a report. Those of a delayed report are lower and change nothing. */
	#settle(
		now: number,
		customer: ids.CustomerId,
		holding: Holding,
		spent: number,
		returned: number,
	): void {
		const newlySpent = Math.max(0, spent - holding.spent);
		const newlyReturned = Math.max(0, returned - holding.returned);
		if (newlySpent + newlyReturned > countHeld(holding)) {
			// No sound report claims more than was granted.
			return;
		}

		holding.spent += newlySpent;
		holding.returned += newlyReturned;
		const bucket = this.#buckets.get(customer)?.bucket;
		bucket?.settle(now, newlySpent);
		bucket?.putBack(now, newlyReturned);
	}

	/** Grants what the holder lacks; returns the waits of the customers with too few tokens. */
	#grant(now: number, holder: Holder): Map<ids.CustomerId, number> {
		const waits = new Map<ids.CustomerId, number>();
		for (const customer of holder.unmet) {
			const record = this.#buckets.get(customer);
			const holding = holder.holdings.get(customer);
			if (!record || !holding || record.removedAt !== undefined) {
				holder.unmet.delete(customer);
				continue;
			}

			const {bucket} = record;
			const lacking = Math.max(0, holding.waiting - countHeld(holding));
			const forWaiting = bucket.takeForWaiting(now, lacking);
			holding.granted += forWaiting;
			const forStock = bucket.takeForStock(
				now,
				Math.max(0, holding.waiting + holding.stock - countHeld(holding)),
			);
			holding.granted += forStock;
			if (forWaiting + forStock > 0) {
				holder.undelivered.set(customer, holder.grantNumber);
			}

			if (forWaiting < lacking) {
				waits.set(
					customer,
					Math.max(1, bucket.computeWait(now, this.#countLacking(customer))),
				);
			}

			if (countHeld(holding) >= holding.waiting + holding.stock) {
				holder.unmet.delete(customer);
			}
		}

		return waits;
	}

	/** Counts the requests that wait for a token at all proxies. */
	#countLacking(customer: ids.CustomerId): number {
		let count = 0;
		for (const {holdings} of this.#holders.values()) {
			const holding = holdings.get(customer);
			count += holding ? Math.max(0, holding.waiting - countHeld(holding)) : 0;
		}

		return count;
	}

	#releaseHoldings(now: number, holder: Holder): void {
		for (const [customer, holding] of holder.holdings) {
			this.#buckets.get(customer)?.bucket.settle(now, countHeld(holding));
		}
	}
}

function ensureHolding(holder: Holder, customer: ids.CustomerId): Holding {
	let holding = holder.holdings.get(customer);
	if (!holding) {
		holding = {granted: 0, spent: 0, returned: 0, waiting: 0, stock: 0};
		holder.holdings.set(customer, holding);
	}

	return holding;
}

function countHeld({granted, spent, returned}: Holding): number {
	return granted - spent - returned;
}

function isSameStream(
	left: messages.AllowanceStream,
	right: messages.AllowanceStream | undefined,
): boolean {
	return left[0] === right?.[0] && left[1] === right[1];
}
