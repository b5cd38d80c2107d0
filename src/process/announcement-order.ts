/**
 * Order of the announcements of one incarnation of an executor, which may arrive late or come from another writer.
 */
import type {Clock, Milliseconds} from './clock.js';

/** Tells which announcements are outdated. */
export type AnnouncementOrder = {
	/** Whether an announcement is newer than all that were accepted; it then counts as accepted. */
	accept(sequence: number): boolean;
};

/**
 * Time over which announcements must go on below the newest sequence number to show that this number was not the executor's.
 * Longer than the second for which one of them may be under way, so that delayed ones do not show that.
 */
const steadyMs: Milliseconds = 2500;
/** Least number of these announcements, in increasing order. */
const steadyCount = 3;

/** Creates the order of an incarnation that has announced nothing yet. */
export function createAnnouncementOrder(clock: Clock): AnnouncementOrder {
	let newest = -Infinity;
	/** The announcements in a row, in increasing order, that were outdated. */
	let outdated: {readonly since: Milliseconds; readonly count: number; readonly sequence: number} | undefined;

	return {
		accept(sequence) {
			if (sequence <= newest && !isSteady(sequence)) {
				return false;
			}

			newest = sequence;
			outdated = undefined;
			return true;
		},
	};

	function isSteady(sequence: number): boolean {
		outdated = outdated !== undefined && sequence > outdated.sequence
			? {...outdated, count: outdated.count + 1, sequence}
			: {since: clock.now(), count: 1, sequence};
		return outdated.count >= steadyCount && clock.now() - outdated.since >= steadyMs;
	}
}
