/**
 * Estimates the delay after which a read that may be repeated is hedged: a percentile of the
 * recent latencies, from two generations of a histogram with logarithmic buckets.
 */

/** Reads slower than this percentile are hedged. */
const hedgePercentile = 0.95;

/** Time that each generation covers. */
const generationMs = 5000;

/** A high percentile of fewer samples is not meaningful. */
const minSamples = 20;

/** Buckets per doubling of the latency; bounds the error of the estimate to 9%. */
const bucketsPerDoubling = 8;
const minLatencyMs = 0.1;
const bucketCount = 160;

/** Delay that is used while there are too few samples. */
const defaultHedgeDelayMs = 100;

/** A hedged request that is sent earlier costs more than it saves. */
const minHedgeDelayMs = 1;

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

	/** Delay after which a read is hedged, in ms. */
	computeDelay(now: number): number {
		this.#updateGeneration(now);
		if (this.#samples < minSamples) {
			return defaultHedgeDelayMs;
		}

		const targetCount = Math.ceil(this.#samples * hedgePercentile);
		let cumulativeCount = 0;
		for (let bucket = 0; bucket < bucketCount; bucket++) {
			cumulativeCount += this.#current[bucket] + this.#previous[bucket];
			if (cumulativeCount >= targetCount) {
				const upperMs = minLatencyMs * 2 ** ((bucket + 1) / bucketsPerDoubling);
				return Math.max(minHedgeDelayMs, upperMs);
			}
		}

		return defaultHedgeDelayMs;
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
