/**
 * Share of a server's slot time that each rank used recently, as an exponentially decaying sum.
 * Only wait estimates use it; `RankCredits` enforces the floors.
 */
import type {RankIndex} from './rank-credits.js';

const usageTimeConstantMs = 500;

export class RankUsage {
	readonly #slots: number;
	readonly #usedMs: [number, number, number] = [0, 0, 0];
	#updatedAt = 0;

	constructor(slots: number) {
		this.#slots = slots;
	}

	/** Adds slot time in ms; a negative value corrects an earlier estimate. */
	add(rank: RankIndex, slotMs: number, now: number): void {
		this.#update(now);
		this.#usedMs[rank] = Math.max(0, this.#usedMs[rank] + slotMs);
	}

	/** Share of the recent slot time of all slots, 0 to 1. */
	getUsedShare(rank: RankIndex, now: number): number {
		this.#update(now);
		return Math.min(
			1,
			this.#usedMs[rank] / (usageTimeConstantMs * this.#slots),
		);
	}

	#update(now: number): void {
		const elapsed = now - this.#updatedAt;
		if (elapsed <= 0) {
			return;
		}

		this.#updatedAt = now;
		const factor = Math.exp(-elapsed / usageTimeConstantMs);
		this.#usedMs[0] *= factor;
		this.#usedMs[1] *= factor;
		this.#usedMs[2] *= factor;
	}
}
