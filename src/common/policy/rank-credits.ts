/**
 * Rank floors as shares of slot time. Each rank has a token bucket that fills at its floor; a rank
 * with credit is due and goes before ranks that have had their floor. A bucket depth of one window
 * makes this a share over a sliding window: an idle rank keeps at most one window of claims, and a
 * rank that borrowed unused time of others is charged at most one window for it.
 */
import * as types from '../types.js';

/**
 * A longer window lets a rank that was idle take all slots for longer when it comes back, which
 * delays urgent work; a shorter one is below the length of common statements.
 */
const floorWindowMs = 200;

/** Index of a rank in `types.ranks`. */
export type RankIndex = 0 | 1 | 2;

export const rankIndexes: readonly RankIndex[] = [0, 1, 2];

/** Finds the index of a rank, 0 for the most urgent. */
export function getRankIndex(rank: types.Rank): RankIndex {
	return types.ranks.indexOf(rank) as RankIndex;
}

/** Credits of all ranks of one server, in ms of slot time. */
export class RankCredits {
	readonly #slots: number;
	readonly #shares: [number, number, number] = [0, 0, 0];
	readonly #credits: [number, number, number] = [0, 0, 0];
	#updatedAt: number | undefined;

	constructor(slots: number) {
		this.#slots = slots;
	}

	/** Share of the server's slot time that the rank keeps, 0 to 1. */
	getFloorShare(rank: RankIndex): number {
		return this.#shares[rank];
	}

	/** Sets floors in percent; a sum above 100 is scaled down. */
	setFloors(percents: readonly [number, number, number]): void {
		const sum = percents[0] + percents[1] + percents[2];
		const scale = 1 / Math.max(100, sum);
		for (const rank of rankIndexes) {
			this.#shares[rank] = percents[rank] * scale;
		}
	}

	/** Adds the credit for the time since the last call. */
	update(now: number): void {
		const elapsed = now - (this.#updatedAt ?? now);
		this.#updatedAt = now;
		for (const rank of rankIndexes) {
			const rate = this.#shares[rank] * this.#slots;
			this.#credits[rank] = Math.min(
				this.#credits[rank] + rate * elapsed,
				rate * floorWindowMs,
			);
		}
	}

	/** Tells whether the rank is below its floor. */
	isBelowFloor(rank: RankIndex): boolean {
		return this.#shares[rank] > 0 && this.#credits[rank] >= 0;
	}

	/**
	 * Charges slot time. Time that the rank was lent counts up to one window, so that a long time of
	 * lending does not cost the rank its floor for longer than that.
	 */
	charge(rank: RankIndex, slotMs: number, lent: boolean): void {
		const next = this.#credits[rank] - slotMs;
		if (!lent || slotMs < 0) {
			this.#credits[rank] = next;
			return;
		}

		const lowest = -this.#shares[rank] * this.#slots * floorWindowMs;
		this.#credits[rank] = Math.max(next, Math.min(this.#credits[rank], lowest));
	}
}
