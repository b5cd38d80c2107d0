/**
 * Order of the announcements of one incarnation of an executor, which may arrive late or come from another writer.
 */
import type {Clock} from './clock.js';
import {createSteadySeries} from './steady-series.js';

/** Tells which announcements are outdated. */
export type AnnouncementOrder = {
	/** Whether an announcement is newer than all that were accepted; it then counts as accepted. */
	accept(sequence: number): boolean;
};

/** Creates the order of an incarnation that has announced nothing yet. */
export function createAnnouncementOrder(clock: Clock): AnnouncementOrder {
	let newest = -Infinity;
	// An executor that goes on below the newest number shows that this number was not its own.
	const outdated = createSteadySeries(clock);

	return {
		accept(sequence) {
			// A repeated number is no sign of an executor that goes on below it.
			if (sequence === newest || (sequence < newest && !outdated.add(sequence))) {
				return false;
			}

			newest = sequence;
			outdated.clear();
			return true;
		},
	};
}
