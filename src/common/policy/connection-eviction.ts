/**
 * The idle connection that is closed when a pool is full and a request needs a connection of its own
 * customer. Load pattern: more customers than a server allows connections, each with a few requests now
 * and then, while some hold several idle connections from an earlier burst. A new connection takes a slot
 * of the server for its handshake, so a customer keeps its last connection as long as another one has
 * more than one.
 */
import type * as ids from '../ids.js';

export type IdleConnection = {
	/** Undefined for a connection that no customer uses. */
	readonly customer: ids.CustomerId | undefined;
	/** Monotonic time at which it became idle, in ms. */
	readonly idleSince: number;
};

/**
 * Returns the index of the connection that its customer can spare best: one of the customer with the most
 * idle connections, of those the one that has been idle for longest; `undefined` when none is idle.
 */
export function chooseEviction(
	idle: readonly IdleConnection[],
): number | undefined {
	const counts = new Map<ids.CustomerId | undefined, number>();
	for (const {customer} of idle) {
		counts.set(customer, (counts.get(customer) ?? 0) + 1);
	}

	let best: number | undefined;
	for (const [index, candidate] of idle.entries()) {
		const isBetter =
			best === undefined ||
			compareCandidates(counts, candidate, idle[best]) < 0;
		if (isBetter) {
			best = index;
		}
	}

	return best;
}

function compareCandidates(
	counts: ReadonlyMap<ids.CustomerId | undefined, number>,
	left: IdleConnection,
	right: IdleConnection,
): number {
	return (
		counts.get(right.customer)! - counts.get(left.customer)! ||
		left.idleSince - right.idleSince
	);
}
