/**
 * Estimates the run times of tasks from completed runs. A declared run time is only a hint: its weight falls to
 * zero as runs complete.
 */
import type {Milliseconds} from '../process/clock.js';

/** Weight of the newest run in a moving mean. */
const newestWeight = 0.01;
/** Number of runs after which the mean replaces the declared run time entirely. */
const fullWeightRuns = 20;

/** Mean run times by key, such as a service or a submission object. */
export type RunTimes = {
	record(key: string, run: Milliseconds): void;
	/** Returns the expected run time of one task whose declared run time is `declared`. */
	getExpected(key: string, declared: Milliseconds): Milliseconds;
};

type Mean = {
	value: Milliseconds;
	runs: number;
};

/** Creates run times without any completed runs. */
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

			const weight = Math.min(1, mean.runs / fullWeightRuns);
			return (mean.value * weight) + (declared * (1 - weight));
		},
	};
}
