/**
 * Seeded random numbers for development programs.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Returns uniform numbers from 0 (inclusive) to 1 (exclusive). */
export type Random = () => number;

/** Creates a random source; the same seed gives the same numbers. */
export function createRandom(seed: number): Random {
	const generator = xoroshiro128plus(seed);
	// The first number is close to 1 for every small seed; after a jump the sequences of different seeds are unrelated.
	generator.jump();
	return () => uniformFloat64(generator);
}

/** Draws a number from the exponential distribution with the given mean. */
export function drawExponential(random: Random, mean: number): number {
	return -Math.log(1 - random()) * mean;
}

/** Draws a uniform integer from `min` to `max`, both inclusive. */
export function drawInteger(random: Random, min: number, max: number): number {
	return min + Math.floor(random() * (max - min + 1));
}
