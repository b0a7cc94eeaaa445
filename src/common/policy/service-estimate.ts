/**
 * Estimates the service time of statements, the time that a statement holds its slot, as an
 * exponentially weighted mean and mean deviation of the measured values. All values are in ms.
 */

/** Weight of a new sample; the estimate follows a change within about ten samples. */
const sampleWeight = 0.1;

/** Assumed before the first sample. */
const initialServiceMs = 2;

/** A cost of zero would let a member run any number of statements in one round. */
const minServiceMs = 0.05;

export class ServiceTimeEstimator {
	#meanMs: number;
	#deviationMs: number;
	#hasSample = false;
	#observedSinceDecay = false;

	/** @param initialMs - Assumed mean until the first sample. */
	constructor(initialMs: number = initialServiceMs) {
		this.#meanMs = Math.max(initialMs, minServiceMs);
		this.#deviationMs = 0;
	}

	get meanMs(): number {
		return this.#meanMs;
	}

	/** A duration that most statements stay below. */
	get upperEstimateMs(): number {
		return this.#meanMs + 2 * this.#deviationMs;
	}

	/** A duration that most statements exceed. */
	get lowerEstimateMs(): number {
		return Math.max(minServiceMs, this.#meanMs - 2 * this.#deviationMs);
	}

	observe(serviceMs: number): void {
		const sample = Math.max(serviceMs, minServiceMs);
		this.#observedSinceDecay = true;
		if (!this.#hasSample) {
			this.#hasSample = true;
			this.#meanMs = sample;
			return;
		}

		const difference = sample - this.#meanMs;
		this.#meanMs += sampleWeight * difference;
		this.#deviationMs +=
			sampleWeight * (Math.abs(difference) - this.#deviationMs);
	}

	/**
	 * Halves an estimate that got no sample since the last call. Otherwise an estimate above every
	 * deadline would refuse all requests and never get the sample that corrects it.
	 */
	decayIfUnused(): void {
		if (!this.#observedSinceDecay) {
			this.#meanMs = Math.max(minServiceMs, this.#meanMs / 2);
			this.#deviationMs /= 2;
		}

		this.#observedSinceDecay = false;
	}
}
