/**
 * Rank floors as shares of slot time. Each rank has a token bucket that fills at the rate of its
 * floor; a rank with credit is below its floor and runs before ranks that have received theirs. A
 * bucket depth of one window makes the floor a share over a sliding window: an idle rank
 * accumulates at most one window of credit, and a rank that borrowed unused time of others is
 * charged at most one window for it.
 */
import * as types from '../types.js';

/**
 * A longer window lets a rank that was idle hold all slots for longer when it returns, which delays
 * urgent requests; a shorter one is below the service time of common statements.
 */
const floorWindowMs = 200;

/** Index of a rank in `types.ranks`. */
export type RankIndex = 0 | 1 | 2;

export const rankIndexes: readonly RankIndex[] = [0, 1, 2];

/** Returns the index of a rank; 0 is the most urgent. */
export function getRankIndex(rank: types.Rank): RankIndex {
	return types.ranks.indexOf(rank) as RankIndex;
}

/** Credits of all ranks of one server, in ms of slot time. */
export class RankCredits {
	readonly #slots: number;
	readonly #shares: [number, number, number] = [0, 0, 0];
	readonly #creditsMs: [number, number, number] = [0, 0, 0];
	#updatedAt: number | undefined;

	constructor(slots: number) {
		this.#slots = slots;
	}

	/** Share of the server's slot time that is guaranteed to the rank, 0 to 1. */
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
			this.#creditsMs[rank] = Math.min(
				this.#creditsMs[rank] + rate * elapsed,
				rate * floorWindowMs,
			);
		}
	}

	/** Whether the rank has received no more than its floor; always false without a floor. */
	isBelowFloor(rank: RankIndex): boolean {
		return this.#shares[rank] > 0 && this.#creditsMs[rank] >= 0;
	}

	/**
	 * Charges slot time; a negative value refunds an earlier overcharge. Borrowed time is charged up
	 * to one window, so that long borrowing does not cost the rank its floor for longer than that.
	 */
	charge(rank: RankIndex, slotMs: number, borrowed: boolean): void {
		const newCredit = this.#creditsMs[rank] - slotMs;
		if (!borrowed || slotMs < 0) {
			this.#creditsMs[rank] = newCredit;
			return;
		}

		const lowestCredit = -this.#shares[rank] * this.#slots * floorWindowMs;
		this.#creditsMs[rank] = Math.max(
			newCredit,
			Math.min(this.#creditsMs[rank], lowestCredit),
		);
	}
}
