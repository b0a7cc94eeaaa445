/**
 * Seeded random numbers of a run. Each part of a run has its own stream, so that a change of policy
 * does not change the arrivals of open-loop workloads.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

/** Sigma of the log-normal service times: the 95th percentile is about 2.3 times the median. */
const serviceTimeSigma = 0.5;

export class RandomStream {
	readonly #generator: RandomGenerator;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/** Returns a uniform number in [0, 1). */
	drawUniform(): number {
		return uniformFloat64(this.#generator);
	}

	/** Returns a uniform whole number in [0, limit). */
	drawIndex(limit: number): number {
		return Math.floor(this.drawUniform() * limit);
	}

	drawExponential(mean: number): number {
		return -Math.log(1 - this.drawUniform()) * mean;
	}

	/** Returns a log-normal service time with the given mean. */
	drawServiceTime(mean: number): number {
		const radius = Math.sqrt(-2 * Math.log(1 - this.drawUniform()));
		const normal = radius * Math.cos(2 * Math.PI * this.drawUniform());
		return (
			mean * Math.exp(serviceTimeSigma * normal - serviceTimeSigma ** 2 / 2)
		);
	}
}
