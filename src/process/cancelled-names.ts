/**
 * Names of the jobs that their clients have cancelled recently, and of those that have ended. A request for a cancelled job may arrive later, at any
 * entry, and again after each reply that says that the job may have run. A request to cancel a job may arrive after it has ended.
 */
import {createRecentNames, type RecentNames} from '../request/recent-names.js';
import type {Clock, Milliseconds} from './clock.js';

/** Longer than clients keep sending a job again. */
export const cancelledNameRetentionMs: Milliseconds = 600_000;
const maxCancelledNames = 10_000;
/** Longer than it takes a client to learn how its job has ended, and to cancel it all the same. */
const endedNameRetentionMs: Milliseconds = 120_000;
const maxEndedNames = 20_000;

/** Creates an empty set of names. */
export function createCancelledNames(clock: Clock): RecentNames {
	return createRecentNames({clock, retentionMs: cancelledNameRetentionMs, maxNames: maxCancelledNames});
}

/** Creates an empty set of names of jobs that have ended. */
export function createEndedNames(clock: Clock): RecentNames {
	return createRecentNames({clock, retentionMs: endedNameRetentionMs, maxNames: maxEndedNames});
}
