/**
 * Estimates when the running tasks of one upstream will release their resources, from their declared run times and their
 * reported progress.
 */
import type {ExpectedRelease, Resources} from '../generated/kingcuplane.js';
import type {Clock, Milliseconds} from '../process/clock.js';
import {addResources} from './resources.js';

/** The running tasks of one upstream. `Key` identifies a run by reference. */
export type ExpectedReleases<Key> = {
	/** Records a run that starts now. A run without a declared run time counts once it has reported progress. */
	recordStart(key: Key, resources: Resources, expectedRun: Milliseconds): void;
	/** Records that a run is at this percentage of its work now; ignored if the run is not known. */
	recordProgress(key: Key, elapsed: Milliseconds, percent: number): void;
	recordEnd(key: Key): void;
	/** Returns what will be released soon, in order of time. */
	getReleases(): ExpectedRelease[];
};

/**
 * Ends of the intervals in which releases are reported together. Entries reserve resources for at most as long as the
 * last one, and a report stays small.
 */
const intervalEndsMs: readonly Milliseconds[] = [50, 150, 300, 600];
/**
 * Remaining share of the elapsed time for a run that should have ended already. Declared run times are often too short,
 * and the longer a run has lasted the longer the rest of it takes.
 */
const overdueShare = 0.15;
/** From this percentage on, progress is a better estimate than the declared run time. */
const minPercent = 10;

type Run = {
	readonly resources: Resources;
	readonly startedAt: Milliseconds;
	endsAt: Milliseconds;
};

/** Creates an empty set of runs. */
export function createExpectedReleases<Key>(clock: Clock): ExpectedReleases<Key> {
	const runs = new Map<Key, Run>();

	return {
		recordStart(key, resources, expectedRun) {
			const now = clock.now();
			runs.set(key, {resources, startedAt: now, endsAt: expectedRun > 0 ? now + expectedRun : Infinity});
		},
		recordProgress(key, elapsed, percent) {
			const run = runs.get(key);
			if (run !== undefined && percent >= minPercent) {
				run.endsAt = clock.now() + (elapsed * (100 - percent) / percent);
			}
		},
		recordEnd(key) {
			runs.delete(key);
		},
		getReleases,
	};

	function getReleases(): ExpectedRelease[] {
		const now = clock.now();
		const intervals: Array<ExpectedRelease | undefined> = intervalEndsMs.map(() => undefined);
		for (const run of runs.values()) {
			const remaining = estimateRemaining(run, now);
			const index = intervalEndsMs.findIndex(end => remaining <= end);
			if (index !== -1) {
				const earlier = intervals[index];
				intervals[index] = earlier === undefined
					? {inMs: Math.ceil(remaining), resources: run.resources}
					: {inMs: Math.max(earlier.inMs, Math.ceil(remaining)), resources: addResources(earlier.resources!, run.resources)};
			}
		}

		return intervals.filter(interval => interval !== undefined);
	}
}

function estimateRemaining({startedAt, endsAt}: Run, now: Milliseconds): Milliseconds {
	return endsAt > now ? endsAt - now : (now - startedAt) * overdueShare;
}
