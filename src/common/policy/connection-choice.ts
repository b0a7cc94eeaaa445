/**
 * The idle connection that runs a request. Load pattern: many sessions with values and prepared
 * statements of their own share a few connections to a server. On a connection that was set up for
 * another session, the request waits for the statements of the setup, and a reset discards what other
 * sessions have prepared there.
 */
import type * as connectionState from '../session/connection-state.js';

/** Bounds the work of a choice when many connections are idle. */
const maxCandidates = 16;

/**
 * Returns the index of the connection with the least setup, of equal ones the one that became idle last;
 * `undefined` when there is none.
 *
 * @param idle - The state of the idle connections, in the order in which they became idle.
 */
export function chooseConnection(
	idle: ReadonlyArray<
		Pick<connectionState.ConnectionState, 'estimateSetupCost'>
	>,
	needs: connectionState.ConnectionRequirements,
): number | undefined {
	let best: {readonly index: number; readonly cost: number} | undefined;
	const lastIndex = Math.max(0, idle.length - maxCandidates);
	for (let index = idle.length - 1; index >= lastIndex; index--) {
		const cost = idle[index].estimateSetupCost(needs);
		if (!best || cost < best.cost) {
			best = {index, cost};
		}

		if (cost === 0) {
			break;
		}
	}

	return best?.index;
}
