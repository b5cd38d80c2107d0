/**
 * Bounds the runs of one upstream by its processors, memory and accelerators. Nothing is set aside for an entry: the
 * first start that fits takes its room. Answers the pattern of many entries with tasks of different size, where reserved
 * parts of one upstream would each be too small for a large task.
 *
 * Room that becomes free while tasks wait is told to one entry at a time, in turn, and to the next one if nothing came
 * of it. If all heard of it at once, all would send a start and all but one would be refused.
 */
import type {Resources} from '../generated/kingcuplane.js';
import type {Clock, Milliseconds, Timer} from '../process/clock.js';
import {assert} from '../process/debug.js';
import {
	addResources, fits, noResources, subtractResources,
} from './resources.js';
import type {CreditGranter} from './types.js';

/** Effects of the keeper. */
export type ResourceLimiterHost = {
	readonly clock: Clock;
	/** This entry has waiting tasks and is to be told of free room. */
	notifyEntry(entry: string): void;
};

/** A granter whose unit is room; it never grants credits. */
export type ResourceLimiter = CreditGranter & {
	/** Room that no run uses; nothing while draining or out of use. */
	getFreeResources(): Resources;
};

/** An entry with an open link. */
type Waiter = {
	readonly entry: string;
	/** Waiting tasks, as last told. */
	queued: number;
	/** Runs while it was told of room and has not answered. */
	answerTimer: Timer | undefined;
	/** It was told and sent no start, so the room probably fits none of its tasks. */
	hasDeclined: boolean;
};

/** Time in which a start follows: a few round trips between data centres (2 ms each) and a busy entry. */
const answerMs: Milliseconds = 15;

/** Creates the keeper of an upstream that has `room` in all. */
export function createResourceLimiter(host: ResourceLimiterHost, room: Resources): ResourceLimiter {
	/** In the order of their turns. */
	const waiters = new Map<string, Waiter>();
	let used = noResources;
	let isUsable = true;
	let isDraining = false;

	return {
		setSlots(slots) {
			isUsable = slots > 0;
			tellAnew();
		},
		setDraining(draining) {
			isDraining = draining;
			tellAnew();
		},
		addEntry(entry) {
			waiters.set(entry, {
				entry, queued: 0, answerTimer: undefined, hasDeclined: false,
			});
		},
		removeEntry(entry) {
			const waiter = waiters.get(entry);
			if (waiter !== undefined) {
				endTurn(waiter);
				waiters.delete(entry);
				tellNext();
			}
		},
		setQueued(entry, queued) {
			const waiter = waiters.get(entry);
			if (waiter === undefined) {
				return;
			}

			waiter.hasDeclined &&= waiter.queued > 0;
			waiter.queued = queued;
			if (queued === 0) {
				endTurn(waiter);
			}

			tellNext();
		},
		setReturnedCredits: () => undefined,
		tryAcquire(entry, need = noResources) {
			if (!fits(need, getFreeRoom())) {
				return false;
			}

			used = addResources(used, need);
			const waiter = waiters.get(entry);
			if (waiter !== undefined) {
				endTurn(waiter);
			}

			return true;
		},
		release(_entry, need = noResources) {
			assert(fits(need, used), 'room is released once for each run');
			used = subtractResources(used, need);
			tellAnew();
		},
		getGrantedCredits: () => 0,
		getOutstandingCredits: () => 0,
		getFreeSlots: () => 0,
		getFreeResources: getFreeRoom,
	};

	function getFreeRoom(): Resources {
		return isUsable && !isDraining ? subtractResources(room, used) : noResources;
	}

	/** There is more room than before, so an entry that had no use for it may have one now. */
	function tellAnew(): void {
		for (const waiter of waiters.values()) {
			waiter.hasDeclined = false;
		}

		tell(tryGetNext() ?? [...waiters.values()].find(waiter => isWaiting(waiter)));
	}

	function tellNext(): void {
		tell(tryGetNext());
	}

	function tell(waiter: Waiter | undefined): void {
		if (waiter === undefined || getFreeRoom().cpu <= 0) {
			return;
		}

		waiter.answerTimer ??= host.clock.after(answerMs, () => {
			waiter.hasDeclined = true;
			endTurn(waiter);
			tellNext();
		});
		waiters.delete(waiter.entry);
		waiters.set(waiter.entry, waiter);
		host.notifyEntry(waiter.entry);
	}

	/** The next entry in turn that is not to answer yet. */
	function tryGetNext(): Waiter | undefined {
		return [...waiters.values()].find(waiter => isWaiting(waiter) && waiter.answerTimer === undefined);
	}

	function endTurn(waiter: Waiter): void {
		waiter.answerTimer?.cancel();
		waiter.answerTimer = undefined;
	}
}

function isWaiting(waiter: Waiter): boolean {
	return waiter.queued > 0 && !waiter.hasDeclined;
}
