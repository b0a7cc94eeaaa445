/**
 * Estimates the network round trip to a server as its shortest recent answer time, because every
 * answer takes at least one round trip and an idle server adds almost nothing to it.
 */

/** Time that each generation covers; a change of the path shows after one to two of them. */
const generationMs = 5000;

/** Shortest answer time of the last 5 to 10 s. */
export class RoundTripEstimator {
	#current = Infinity;
	#previous = Infinity;
	#startedAt: number | undefined;

	/** Round trip in ms; 0 before the first answer. */
	get roundTripMs(): number {
		const shortest = Math.min(this.#current, this.#previous);
		return shortest === Infinity ? 0 : shortest;
	}

	observe(answerMs: number, now: number): void {
		this.#startedAt ??= now;
		if (now - this.#startedAt >= generationMs) {
			this.#previous = this.#current;
			this.#current = Infinity;
			this.#startedAt = now;
		}

		this.#current = Math.min(this.#current, Math.max(0, answerMs));
	}
}
