/**
 * Order of the announcements of one incarnation of an executor, which may arrive late.
 */

/** Tells which announcements are outdated. */
export type AnnouncementOrder = {
	/** Whether an announcement is newer than all that were accepted; it then counts as accepted. */
	accept(sequence: number): boolean;
};

/** Creates the order of an incarnation that has announced nothing yet. */
export function createAnnouncementOrder(): AnnouncementOrder {
	let newest = -Infinity;

	return {
		accept(sequence) {
			const isNewer = sequence > newest;
			newest = Math.max(newest, sequence);
			return isNewer;
		},
	};
}
