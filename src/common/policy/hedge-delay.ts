/**
 * Estimates when a repeatable read is slow enough for a second copy: a percentile of the recent
 * latencies, from two generations of logarithmic buckets.
 */

/** Reads slower than this percentile get a second copy. */
const hedgePercentile = 0.95;

/** Each generation covers this time. */
const generationMs = 5000;

/** Fewer samples say nothing about a high percentile. */
const minSamples = 20;

/** Buckets per doubling of the latency; the estimate is exact to 9%. */
const bucketsPerDoubling = 8;
const minLatencyMs = 0.1;
const bucketCount = 160;

/** Without enough samples no read is hedged before this delay. */
const defaultDelayMs = 100;

/** A hedge that comes earlier costs more than it saves. */
const minDelayMs = 1;

/** Latency percentile over the last 5 to 10 s. */
export class HedgeDelayEstimator {
	#current = new Uint32Array(bucketCount);
	#previous = new Uint32Array(bucketCount);
	#samples = 0;
	#startedAt: number | undefined;

	observe(latencyMs: number, now: number): void {
		this.#updateGeneration(now);
		const doublings = Math.log2(
			Math.max(latencyMs, minLatencyMs) / minLatencyMs,
		);
		const bucket = Math.min(
			bucketCount - 1,
			Math.floor(doublings * bucketsPerDoubling),
		);
		this.#current[bucket]++;
		this.#samples++;
	}

	/** Delay after which a second copy is worth sending, in ms. */
	computeDelay(now: number): number {
		this.#updateGeneration(now);
		if (this.#samples < minSamples) {
			return defaultDelayMs;
		}

		const wanted = Math.ceil(this.#samples * hedgePercentile);
		let seen = 0;
		for (let bucket = 0; bucket < bucketCount; bucket++) {
			seen += this.#current[bucket] + this.#previous[bucket];
			if (seen >= wanted) {
				const upperMs = minLatencyMs * 2 ** ((bucket + 1) / bucketsPerDoubling);
				return Math.max(minDelayMs, upperMs);
			}
		}

		return defaultDelayMs;
	}

	#updateGeneration(now: number): void {
		this.#startedAt ??= now;
		const elapsedMs = now - this.#startedAt;
		if (elapsedMs < generationMs) {
			return;
		}

		this.#previous =
			elapsedMs < 2 * generationMs
				? this.#current
				: new Uint32Array(bucketCount);
		this.#current = new Uint32Array(bucketCount);
		this.#samples = 0;
		for (const count of this.#previous) {
			this.#samples += count;
		}

		this.#startedAt = now;
	}
}
