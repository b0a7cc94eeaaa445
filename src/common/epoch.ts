/**
 * Order of ownership epochs.
 */
import type * as types from './types.js';

/** Compares by consensus term, then by counter; negative when `left` is older. */
export function compareEpochs(left: types.Epoch, right: types.Epoch): number {
	return (
		left.consensusTerm - right.consensusTerm || left.counter - right.counter
	);
}
