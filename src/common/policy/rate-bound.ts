/**
 * Derives the token bucket of a customer from its rate, its burst and the bound on what may run in
 * any window. It answers callers whose operations enter through many proxies at once, some of which
 * may be frozen or cut off while they hold tokens.
 *
 * Tokens in the bucket and tokens outstanding at proxies together never exceed the capacity, and
 * only the rate adds to them. In a window, at most the tokens that were outstanding at its start and
 * those granted during it are used, so that their number is at most capacity + rate * window.
 *
 * A new leader does not know what is outstanding and starts with an empty bucket. Until the tokens
 * of its predecessors expire, it can grant at most rate * validity. Therefore the outstanding tokens
 * of a leader stay below the capacity by that amount.
 */

/** What may run in any window: (rate * window + burst) * (1 + overage) + slack. */
export type RateBound = {
	readonly windowMs: number;
	/** Tolerated share above the limit. */
	readonly overage: number;
	/** Operations that are tolerated in addition. */
	readonly slack: number;
};

export type BucketLimit = {
	/** Tokens per ms. */
	readonly rate: number;
	/** Bound of the tokens in the bucket and at proxies together. */
	readonly capacity: number;
	/** Bound of the tokens at proxies. */
	readonly maxOutstanding: number;
};

/** The bound of a deployment that tolerates nothing above the limit. */
export const strictBound: RateBound = {windowMs: 5000, overage: 0, slack: 0};

const maxClockDrift = 0.01;

/** Tokens expire this long after the proxy sent the report whose answer confirmed them. */
export const validityMs = 1000;

/** The validity on the clock of a proxy, which may be slow. */
export const holderValidityMs = validityMs * (1 - maxClockDrift);

/** The validity on the clock of the leader, which may be fast. */
export const grantorValidityMs = validityMs * (1 + maxClockDrift);

/** Computes the limits of a customer's bucket. */
export function computeBucketLimit(
	ratePerS: number,
	burst: number,
	bound: RateBound,
): BucketLimit {
	const ratePerMs = ratePerS / 1000;
	const total =
		(ratePerMs * bound.windowMs + burst) * (1 + bound.overage) + bound.slack;
	// Two clocks may drift apart by twice the bound of one.
	const windowMs = bound.windowMs * (1 + 2 * maxClockDrift);
	const unknownMs = validityMs * (1 + 2 * maxClockDrift);
	// A small burst lowers the rate, because half a validity of it has to be outstanding.
	const rate = Math.min(ratePerMs, total / (windowMs + 1.5 * unknownMs));
	// A bucket that cannot hold one token would refuse every operation.
	const capacity = Math.max(1, total - rate * windowMs);
	return {
		rate,
		capacity,
		maxOutstanding: Math.max(1, capacity - rate * unknownMs),
	};
}
