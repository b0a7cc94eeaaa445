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
		return this.toShare(this.#usedMs[rank]);
	}

	/** Converts recent slot time in ms to a share of that of all slots, 0 to 1. */
	toShare(usedMs: number): number {
		return Math.min(1, usedMs / (usageTimeConstantMs * this.#slots));
	}

	#update(now: number): void {
		const elapsed = now - this.#updatedAt;
		if (elapsed <= 0) {
			return;
		}

		this.#updatedAt = now;
		const factor = computeUsageDecay(elapsed);
		this.#usedMs[0] *= factor;
		this.#usedMs[1] *= factor;
		this.#usedMs[2] *= factor;
	}
}

/** Share of earlier usage that still counts after a time in ms. */
export function computeUsageDecay(elapsedMs: number): number {
	return Math.exp(-elapsedMs / usageTimeConstantMs);
}
