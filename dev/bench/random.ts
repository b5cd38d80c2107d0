/**
 * Seeded random numbers for the bench.
 */
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** A source of random numbers; the same seed gives the same numbers. */
export type Random = {
	/** Returns a uniform number from 0 (inclusive) to 1 (exclusive). */
	float(): number;
	/** Returns a uniform integer from 0 to `count - 1`. */
	integerBelow(count: number): number;
	/** Returns an exponentially distributed number with the given mean. */
	exponential(mean: number): number;
	/** Returns a log-uniform number between `min` and `max`. */
	logUniform(min: number, max: number): number;
};

/** Creates a source of random numbers. */
export function createRandom(seed: number): Random {
	const generator = xoroshiro128plus(seed);
	const float = () => uniformFloat64(generator);

	return {
		float,
		integerBelow: count => uniformInt(generator, 0, count - 1),
		exponential: mean => -Math.log(1 - float()) * mean,
		logUniform: (min, max) => min * ((max / min) ** float()),
	};
}
