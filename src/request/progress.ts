/**
 * Tells runs that will end far too late from runs that are merely long. Answers the pattern of executors that accept
 * work and stand still or crawl: they look free, so they would draw more work than the sound ones.
 */
import type {Milliseconds} from '../process/clock.js';

/** What is seen of a run. */
export type RunProgress = {
	/** Time since it was started. */
	readonly elapsed: Milliseconds;
	readonly percent: number;
	/** Declared run time; 0 if none was declared. */
	readonly expected: Milliseconds;
};

/** A run is judged once this share of its declared run time has passed, and not before the minimum. */
const judgedShare = 0.4;
const minElapsed: Milliseconds = 60;
/** Of sound runs one in a thousand takes more than this many times its declared run time. */
export const maxHealthySlowdown = 4;

/** The run time over the declared one that a run is heading for; empty while that cannot be told. */
export function estimateSlowdown({elapsed, percent, expected}: RunProgress): readonly number[] {
	if (expected === 0 || elapsed < Math.max(minElapsed, judgedShare * expected)) {
		return [];
	}

	return [percent <= 0 ? Infinity : elapsed * 100 / percent / expected];
}

/** Whether the task would be done sooner if it were started again elsewhere. */
export function isStalled(progress: RunProgress): boolean {
	const {elapsed, expected} = progress;
	return estimateSlowdown(progress).some(ratio => ratio > maxHealthySlowdown && (ratio * expected) - elapsed > maxHealthySlowdown * expected);
}
