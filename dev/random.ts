/**
 * Seeded random numbers for development programs.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Gives numbers from 0 (included) to 1 (excluded). */
export type Random = () => number;

/** Creates a source that gives the same numbers for the same seed. */
export function createRandom(seed: number): Random {
	const generator = xoroshiro128plus(seed);
	// The first number is close to 1 for every small seed; far along the sequence, seeds have nothing in common.
	generator.jump();
	return () => uniformFloat64(generator);
}

/** Draws from the exponential distribution with this mean. */
export function drawExponential(random: Random, mean: number): number {
	return -Math.log(1 - random()) * mean;
}

/** Draws an integer from `min` to `max`, both included, each as likely. */
export function drawInteger(random: Random, min: number, max: number): number {
	return min + Math.floor(random() * (max - min + 1));
}
