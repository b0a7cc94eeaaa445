/**
 * Seeded random numbers of a run. Each part of a run gets a stream of its own, so that a change of
 * policy does not change the arrivals of open sources.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';

/** Spread of service times: a 95th percentile of about 2.2 times the median. */
const serviceSigma = 0.5;

/** A stream of random numbers. */
export class RandomStream {
	readonly #generator: RandomGenerator;

	constructor(seed: number) {
		this.#generator = xoroshiro128plus(seed);
	}

	/** Uniform in [0, 1). */
	getUniform(): number {
		return uniformFloat64(this.#generator);
	}

	/** Uniform whole number in [0, limit). */
	getIndex(limit: number): number {
		return Math.floor(this.getUniform() * limit);
	}

	getExponential(mean: number): number {
		return -Math.log(1 - this.getUniform()) * mean;
	}

	/** Log-normal service time with the given mean. */
	getServiceTime(mean: number): number {
		const radius = Math.sqrt(-2 * Math.log(1 - this.getUniform()));
		const normal = radius * Math.cos(2 * Math.PI * this.getUniform());
		return mean * Math.exp(serviceSigma * normal - serviceSigma ** 2 / 2);
	}
}
