/**
 * Names of the jobs that their clients have cancelled recently. A request for such a job may arrive later, at any entry, and again after
 * each reply that says that the job may have run.
 */
import {createRecentNames, type RecentNames} from '../request/recent-names.js';
import type {Clock, Milliseconds} from './clock.js';

/** Longer than clients keep sending a job again. */
export const cancelledNameRetentionMs: Milliseconds = 600_000;
const maxCancelledNames = 10_000;

/** Creates an empty set of names. */
export function createCancelledNames(clock: Clock): RecentNames {
	return createRecentNames({clock, retentionMs: cancelledNameRetentionMs, maxNames: maxCancelledNames});
}
