/**
 * The order among waiting jobs, the same within one entry and between entries: small jobs go before large
 * ones, and every job becomes more urgent while it waits, so that none waits for ever.
 */
import type {Milliseconds} from '../process/clock.js';

/**
 * Urgency of a job that has waited for `waited`. Jobs of one size are served in order of arrival; a job of
 * four times the size is passed over until it has waited twice as long.
 */
export function getUrgency(waited: Milliseconds, size: Milliseconds): number {
	return (waited + 1) / Math.sqrt(Math.max(1, size));
}
