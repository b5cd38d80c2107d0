/**
 * Learns how long the tasks of each service run. Declared run times are hints: they count only until
 * enough ends were seen.
 */
import type {Milliseconds} from '../process/clock.js';

/** Weight of the newest run in a mean. */
const newestWeight = 0.01;
/** Runs after which a mean replaces the declared run time altogether. */
const trustedRuns = 20;

/** Mean run times by key; a key names a service or a kind of submission. */
export type RunTimes = {
	record(key: string, run: Milliseconds): void;
	/** Expected run time of one task, given what its caller declared. */
	getExpected(key: string, declared: Milliseconds): Milliseconds;
};

type Mean = {
	value: Milliseconds;
	runs: number;
};

/** Creates an empty record of run times. */
export function createRunTimes(): RunTimes {
	const means = new Map<string, Mean>();

	return {
		record(key, run) {
			const mean = means.get(key);
			if (mean === undefined) {
				means.set(key, {value: run, runs: 1});
				return;
			}

			mean.runs++;
			mean.value += (run - mean.value) * Math.max(newestWeight, 1 / mean.runs);
		},
		getExpected(key, declared) {
			const mean = means.get(key);
			if (mean === undefined) {
				return declared;
			}

			const trust = Math.min(1, mean.runs / trustedRuns);
			return (mean.value * trust) + (declared * (1 - trust));
		},
	};
}
