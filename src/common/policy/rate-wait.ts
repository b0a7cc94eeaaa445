/**
 * Decides whether a request without a token waits or is refused. It answers a customer that sends
 * many times its limit for a while: what cannot get a place soon is refused at once, and the rest
 * waits, so that no token stays unused. It also answers the election of a leader, during which
 * requests below the limit wait, and a lasting loss of control, during which they are refused at once.
 */

/** Share of the time until its deadline that a request may wait; the rest is left to run it. */
const waitShare = 0.6;
/** A request waits at most this long for a token of an empty bucket. */
const emptyWaitMs = 1500;
/** The same limit while the leader does not answer; covers the election of another one. */
const silentWaitMs = 3000;
/** A leader that has left requests unanswered for longer is not expected to answer the next ones. */
const maxSilenceMs = 2000;
/** The queue may hold what was recently served in this time. */
const queueDurationMs = 500;
/** Shortest queue, for proxies that serve few requests of the customer. */
const minQueueLength = 4;
const minRetryAfterMs = 50;
const maxRetryAfterMs = 5000;

/** The state of a customer at a proxy. */
export type RateWaitInput = {
	/** True while the leader says that the bucket of the customer is empty. */
	readonly isEmpty: boolean;
	/** Time for which the leader has left requests unanswered, in ms. */
	readonly silentMs: number;
	/** Requests of the customer that wait at this proxy. */
	readonly waiting: number;
	/** Tokens per second that this proxy used recently. */
	readonly usePerS: number;
	/** Time until the leader expects a token for a further request, in ms. */
	readonly nextTokenMs: number;
	/** Time until the deadline of the request, in ms. */
	readonly remainingMs: number;
};

/**
 * Returns the time after which a waiting request is refused, in ms.
 *
 * @param remainingMs - Time until its deadline when it began to wait.
 */
export function computeWaitLimit(
	isEmpty: boolean,
	remainingMs: number,
): number {
	return isEmpty
		? Math.min(emptyWaitMs, remainingMs * waitShare)
		: silentWaitMs;
}

/** Returns whether a request that finds no token may wait for one. */
export function mayWait(input: RateWaitInput): boolean {
	const limit = Math.max(
		minQueueLength,
		(input.usePerS * queueDurationMs) / 1000,
	);
	return input.isEmpty
		? input.waiting < limit &&
				input.nextTokenMs <= computeWaitLimit(true, input.remainingMs)
		: input.silentMs < maxSilenceMs;
}

/** Estimates the time after which a refused request may find a place, in ms. */
export function estimateRetryAfter(input: RateWaitInput): number {
	const queueMs = (1000 * (input.waiting + 1)) / Math.max(1, input.usePerS);
	return Math.round(
		Math.min(
			maxRetryAfterMs,
			Math.max(minRetryAfterMs, input.nextTokenMs, queueMs),
		),
	);
}
