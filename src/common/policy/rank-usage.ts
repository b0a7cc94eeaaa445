/**
 * Share of a server's slot time that each rank used lately, as an exponentially decaying sum. It
 * only serves estimates of waits; the floors themselves are kept by `RankCredits`.
 */
import type {RankIndex} from './rank-credits.js';

/** Time constant of the decay. */
const usageWindowMs = 500;

/** Recent use of slot time by rank. */
export class RankUsage {
	readonly #slots: number;
	readonly #sums: [number, number, number] = [0, 0, 0];
	#updatedAt = 0;

	constructor(slots: number) {
		this.#slots = slots;
	}

	/** Adds slot time in ms; a negative value corrects an earlier estimate. */
	add(rank: RankIndex, slotMs: number, now: number): void {
		this.#update(now);
		this.#sums[rank] = Math.max(0, this.#sums[rank] + slotMs);
	}

	/** Share of all slot time, 0 to 1. */
	getUsedShare(rank: RankIndex, now: number): number {
		this.#update(now);
		return Math.min(1, this.#sums[rank] / (usageWindowMs * this.#slots));
	}

	#update(now: number): void {
		const elapsed = now - this.#updatedAt;
		if (elapsed <= 0) {
			return;
		}

		this.#updatedAt = now;
		const factor = Math.exp(-elapsed / usageWindowMs);
		this.#sums[0] *= factor;
		this.#sums[1] *= factor;
		this.#sums[2] *= factor;
	}
}
