/**
 * Measures how fast a queue that does not become empty is worked off, from the starts of its tasks.
 */
import type {Clock, Milliseconds} from '../process/clock.js';

/** The rate of one queue. */
export type DrainRate = {
	/** Records that a task was started. `work` is the processors that it needs, in thousandths, times its expected run time. */
	recordStart(work: number): void;
	/** Starts the measurement anew, because something else than the upstreams limited the starts: nothing waited, or starts were held. */
	restart(): void;
	/** Returns the work that is started in a millisecond; undefined while the queue has not lasted long enough to tell. */
	tryGet(): number | undefined;
};

/** Time over which the rate is measured. Most tasks end within it, so it covers about one turn of all upstreams. */
const windowMs: Milliseconds = 500;
const bucketMs: Milliseconds = 50;

type Bucket = {readonly startsAt: Milliseconds; work: number};

/** Creates the rate of an empty queue. */
export function createDrainRate(clock: Clock): DrainRate {
	let buckets: Bucket[] = [];
	let waitingSince: Milliseconds | undefined;

	return {
		recordStart(work) {
			const now = clock.now();
			const newest = buckets.at(-1);
			if (newest !== undefined && now - newest.startsAt > windowMs) {
				// No upstream took work for a while, and the first starts after that say little about those to come.
				restart();
			}

			waitingSince ??= now;
			if (newest !== undefined && now - newest.startsAt < bucketMs) {
				newest.work += work;
			} else {
				buckets.push({startsAt: now, work});
				buckets = buckets.filter(({startsAt}) => now - startsAt <= windowMs);
			}
		},
		restart,
		tryGet() {
			const now = clock.now();
			if (waitingSince === undefined || now - waitingSince < windowMs) {
				return undefined;
			}

			const started = buckets.reduce((sum, {startsAt, work}) => sum + (now - startsAt <= windowMs ? work : 0), 0);
			return started / windowMs;
		},
	};

	function restart(): void {
		buckets = [];
		waitingSince = undefined;
	}
}
