/**
 * Bounds the runs of one upstream by its processors, memory and accelerators. Nothing is set aside for an entry
 * beforehand: the first start that fits takes its part, and entries with waiting tasks hear at once when room
 * becomes free. Answers the pattern of many entries with tasks of different size, where reserved parts of one
 * upstream would each be too small for a large task.
 */
import type {Resources} from '../generated/kingcuplane.js';
import {assert} from '../process/debug.js';
import {
	addResources, fits, noResources, subtractResources,
} from './resources.js';
import type {CreditGranter} from './types.js';

/** Effects of the keeper. */
export type RoomKeeperHost = {
	/** This entry has waiting tasks, and room has become free. */
	changed(entry: string): void;
};

/** A granter whose unit is room; it never grants credits. */
export type RoomKeeper = CreditGranter & {
	/** Room that no run uses; nothing while draining or out of use. */
	getFreeRoom(): Resources;
};

/** Creates the keeper of an upstream that has `room` in all. */
export function createRoomKeeper(host: RoomKeeperHost, room: Resources): RoomKeeper {
	/** Waiting tasks by entry, as last told. */
	const waiting = new Map<string, number>();
	let used = noResources;
	let isUsable = true;
	let isDraining = false;

	return {
		setSlots(slots) {
			isUsable = slots > 0;
			tellWaiting();
		},
		setDraining(draining) {
			isDraining = draining;
		},
		open(entry) {
			waiting.set(entry, 0);
		},
		close(entry) {
			waiting.delete(entry);
		},
		setQueued(entry, queued) {
			if (waiting.has(entry)) {
				waiting.set(entry, queued);
			}
		},
		setReturned: () => undefined,
		tryUse(_entry, need = noResources) {
			if (!fits(need, getFreeRoom())) {
				return false;
			}

			used = addResources(used, need);
			return true;
		},
		release(_entry, need = noResources) {
			assert(fits(need, used), 'room is released once for each run');
			used = subtractResources(used, need);
			tellWaiting();
		},
		getGranted: () => 0,
		getOutstanding: () => 0,
		getFree: () => 0,
		getFreeRoom,
	};

	function getFreeRoom(): Resources {
		return isUsable && !isDraining ? subtractResources(room, used) : noResources;
	}

	function tellWaiting(): void {
		for (const [entry, queued] of waiting) {
			if (queued > 0) {
				host.changed(entry);
			}
		}
	}
}
