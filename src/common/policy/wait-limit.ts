/**
 * Longest wait at a chosen server that is better than another choice. Load pattern: many entries choose at
 * the same moment from reports of the same age, all take the server that was shortest, and it is overrun
 * while others idle. The owner of a server knows its load exactly, but not that of the others; the entry
 * knows what the next best choice would cost. A request therefore carries the limit, and an owner whose
 * wait exceeds it returns the request at once. The entry chooses again with that news, and no owner
 * returns the request a second time.
 */

/** A smaller gain is not worth the round trip of a returned request. */
const marginMs = 10;

/** Cost of a server to a request; `waitMs` is the part of it that is its expected wait. */
export type RatedServer = {
	readonly costMs: number;
	readonly waitMs: number;
};

/**
 * Computes the wait at the chosen server, in ms, from which another one costs less; undefined when there
 * is no other one.
 */
export function computeWaitLimit(
	chosen: RatedServer,
	others: readonly RatedServer[],
): number | undefined {
	if (others.length === 0) {
		return undefined;
	}

	const otherCostMs = Math.min(...others.map(({costMs}) => costMs));
	const distanceMs = chosen.costMs - chosen.waitMs;
	return Math.max(0, otherCostMs - distanceMs) + marginMs;
}

/** Tells whether an owner returns a request because of its expected wait. */
export function exceedsWaitLimit(
	expectedWaitMs: number,
	maxWaitMs: number | undefined,
): boolean {
	return maxWaitMs !== undefined && expectedWaitMs > maxWaitMs;
}
