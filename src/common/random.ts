/**
 * Seeded random numbers. Reducers own their source, so that equal seeds and events produce
 * equal effects.
 */
import * as float64 from 'pure-rand/distribution/uniformFloat64';
import * as integer from 'pure-rand/distribution/uniformInt';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';

/** Leaves room for 2 ** 52 numbers below the largest safe integer. */
const maxSequenceStart = 2 ** 52;

/** A stream of random numbers. */
export type RandomSource = {
	/** Uniform in [0, 1). */
	readFloat(): number;
	/** Uniform integer; both bounds are inclusive. */
	readInteger(min: number, max: number): number;
};

/** Draws up to `count` different items in random order. */
export function drawSample<Item>(
	source: RandomSource,
	items: readonly Item[],
	count: number,
): Item[] {
	const drawn = [...items];
	const drawnCount = Math.min(count, drawn.length);
	for (let index = 0; index < drawnCount; index++) {
		const other = source.readInteger(index, drawn.length - 1);
		[drawn[index], drawn[other]] = [drawn[other], drawn[index]];
	}

	return drawn.slice(0, drawnCount);
}

/** Creates a source of random numbers from an integer seed. */
export function createRandom(seed: number): RandomSource {
	const generator = xoroshiro.xoroshiro128plus(seed);
	return {
		readFloat: () => float64.uniformFloat64(generator),
		readInteger: (min, max) => integer.uniformInt(generator, min, max),
	};
}

/**
 * Draws the first number of a sequence that identifies messages. Each instance of a process starts at
 * another number, so that it takes no answer to an earlier instance for one to itself.
 */
export function drawSequenceStart(source: RandomSource): number {
	return source.readInteger(1, maxSequenceStart);
}
