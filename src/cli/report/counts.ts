/**
 * Counts of requests by outcome.
 */
import type * as types from './types.js';

export function createCounts(): types.OutcomeCounts {
	return {refused: 0, unknown: 0, unanswered: 0};
}

export function sumCounts(counts: types.OutcomeCounts): number {
	return counts.refused + counts.unknown + counts.unanswered;
}
