/**
 * Detects stalled runs, and distinguishes them from runs that are merely long. Some executors accept work but make
 * little or no progress. Such an executor looks free and would attract more work than the healthy ones.
 */
import type {Milliseconds} from '../process/clock.js';

/** Observed progress of a run. */
export type RunProgress = {
	/** Time since the run was started. */
	readonly elapsed: Milliseconds;
	/** Completed part of the work, from 0 to 100. */
	readonly percent: number;
	/** Declared run time; 0 if none was declared. */
	readonly expected: Milliseconds;
};

/** Share of its declared run time after which a run is checked. */
const minElapsedShare = 0.4;
/** No run is checked earlier than this. */
const minElapsed: Milliseconds = 60;
/** Only one healthy run in a thousand takes more than this many times its declared run time. */
export const maxHealthySlowdown = 4;

/**
 * Returns the projected run time divided by the declared one, as a list of one number; empty while it cannot be
 * estimated.
 */
export function estimateSlowdown({elapsed, percent, expected}: RunProgress): readonly number[] {
	if (expected === 0 || elapsed < Math.max(minElapsed, minElapsedShare * expected)) {
		return [];
	}

	return [percent <= 0 ? Infinity : elapsed * 100 / percent / expected];
}

/** Whether a run is stalled: its task would probably be done sooner if it were started again elsewhere. */
export function isStalled(progress: RunProgress): boolean {
	const {elapsed, expected} = progress;
	return estimateSlowdown(progress).some(ratio => ratio > maxHealthySlowdown && (ratio * expected) - elapsed > maxHealthySlowdown * expected);
}
