/**
 * Estimate of the time that a statement holds its slot: an exponentially weighted mean and mean
 * deviation of the measured service times. All values are in ms.
 */

/** Weight of a new sample; the estimate follows a change within about ten samples. */
const sampleWeight = 0.1;

/** Assumed before the first sample. */
const initialServiceMs = 2;

/** A cost of zero would let a member run any number of statements in one round. */
const minServiceMs = 0.05;

/** Mean and mean deviation of service times. */
export class ServiceTimeEstimator {
	#mean: number;
	#deviation: number;
	#sampled = false;
	#observedSinceDecay = false;

	/** @param initialMs - Assumed mean until the first sample. */
	constructor(initialMs: number = initialServiceMs) {
		this.#mean = Math.max(initialMs, minServiceMs);
		this.#deviation = 0;
	}

	get meanMs(): number {
		return this.#mean;
	}

	/** A duration that most statements stay below. */
	get upperEstimateMs(): number {
		return this.#mean + 2 * this.#deviation;
	}

	/** A duration that most statements exceed. */
	get lowerEstimateMs(): number {
		return Math.max(minServiceMs, this.#mean - 2 * this.#deviation);
	}

	observe(serviceMs: number): void {
		const sample = Math.max(serviceMs, minServiceMs);
		this.#observedSinceDecay = true;
		if (!this.#sampled) {
			this.#sampled = true;
			this.#mean = sample;
			return;
		}

		const difference = sample - this.#mean;
		this.#mean += sampleWeight * difference;
		this.#deviation += sampleWeight * (Math.abs(difference) - this.#deviation);
	}

	/**
	 * Halves an estimate that got no sample since the last call. Without it an estimate above every
	 * deadline would refuse all work, and so never see the sample that corrects it.
	 */
	decayIfUnused(): void {
		if (!this.#observedSinceDecay) {
			this.#mean = Math.max(minServiceMs, this.#mean / 2);
			this.#deviation /= 2;
		}

		this.#observedSinceDecay = false;
	}
}
