/**
 * Finds jobs that will not be reached in time because of the work that starts before them, so that their callers learn it at
 * once and not when the objective has passed. The order of the queue stays the same.
 */
import type {Milliseconds} from '../process/clock.js';
import {getSlack, hasStarted, type PendingJob} from './resource-queue.js';

/** The work that precedes the next job of a pass over the queue. */
export type Backlog = {
	/** Adds a job that remains in the queue. Returns whether it cannot be reached in time, in which case it is not added. */
	add(pending: PendingJob, now: Milliseconds): boolean;
	/** Returns the time in which all added jobs start; 0 while the rate is not known. */
	getWait(): Milliseconds;
};

/** The expected wait may exceed the slack of a job by this factor, since declared run times are off by up to 40 %. */
const waitMarginFactor = 1.5;

/** Creates the backlog of one pass. `rate` is the work that is started in a millisecond; undefined if it is not known. */
export function createBacklog(rate: number | undefined): Backlog {
	let work = 0;

	return {
		add(pending, now) {
			const {job} = pending;
			if (job.objective !== undefined && !hasStarted(pending) && getWait() > Math.max(0, getSlack(job, now)) * waitMarginFactor) {
				return true;
			}

			work += pending.tasks.length * getTaskWork(pending);
			return false;
		},
		getWait,
	};

	function getWait(): Milliseconds {
		return rate === undefined || rate === 0 ? 0 : work / rate;
	}
}

/** Returns the work of one task: the processors that it needs, in thousandths, times its expected run time. */
export function getTaskWork({job}: Pick<PendingJob, 'job'>): number {
	return (job.need?.resources.cpu ?? 0) * job.expectedRun;
}
