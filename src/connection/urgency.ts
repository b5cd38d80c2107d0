/**
 * The priority order of waiting jobs, which is the same within one entry and between entries: small jobs precede large
 * ones, and the urgency of a job grows while it waits, so that no job starves.
 */
import type {Milliseconds} from '../process/clock.js';

/**
 * Returns the urgency of a job that has waited for `waited`. Jobs of equal size are served in order of arrival; a job of
 * four times the size is served later until it has waited twice as long.
 */
export function getUrgency(waited: Milliseconds, size: Milliseconds): number {
	return (waited + 1) / Math.sqrt(Math.max(1, size));
}
