/**
 * Limits the runs of one upstream by its processors, memory and accelerators. No resources are reserved for an entry: the
 * first start that fits acquires them. This suits many entries with tasks of different sizes, for which reserved shares of
 * one upstream would each be too small for a large task.
 *
 * When resources become free while tasks wait, one entry at a time is notified, in turn, and the next one if no start
 * follows. If all were notified at once, all would send a start and all but one would be refused.
 */
import type {Resources} from '../generated/kingcuplane.js';
import type {Clock, Milliseconds, Timer} from '../process/clock.js';
import {assert} from '../process/debug.js';
import {
	addResources, areEqualResources, fits, noResources, subtractResources,
} from './resources.js';
import type {CreditGranter} from './types.js';

/** Dependencies of the resource limiter. */
export type ResourceLimiterHost = {
	readonly clock: Clock;
	/** Notifies this entry, which has waiting tasks, of free resources. */
	notifyEntry(entry: string): void;
};

/** A granter that limits resources instead of slots; it never grants credits. */
export type ResourceLimiter = CreditGranter & {
	/** Returns the resources that no run uses; none while draining or while the upstream is not usable. */
	getFreeResources(): Resources;
	/** Sets the resources of the upstream. Runs that exceed them continue. Returns whether anything has changed. */
	setCapacity(capacity: Resources): boolean;
	/**
	 * Records that the upstream has refused a start for lack of resources, so it has less than it has announced. Until the
	 * capacity is set again, no more is used than is used now.
	 */
	recordShortage(): void;
	getCapacity(): Resources;
};

/** An entry with an open link, which may be notified of free resources. */
type Candidate = {
	readonly entry: string;
	/** Number of waiting tasks, as last reported. */
	queued: number;
	/** Set from a notification until a start follows or the time for it has passed. */
	answerTimer: Timer | undefined;
	/** Whether no start followed the last notification, so that the free resources probably fit none of its tasks. */
	hasDeclined: boolean;
};

/**
 * Time within which a start follows a notification: a few round trips between data centres (2 ms each) and the delay of a
 * busy entry.
 */
const answerTimeoutMs: Milliseconds = 15;

/** Creates the limiter of an upstream with the given total `capacity`. */
export function createResourceLimiter(host: ResourceLimiterHost, initialCapacity: Resources): ResourceLimiter {
	/** In the order in which they are notified. */
	const candidates = new Map<string, Candidate>();
	let capacity = initialCapacity;
	/** What was in use when the upstream refused a start; undefined once its capacity was set again. */
	let shortageLimit: Resources | undefined;
	let usedResources = noResources;
	let isUsable = true;
	let isDraining = false;

	return {
		setSlots(slots) {
			isUsable = slots > 0;
			notifyAgain();
		},
		setDraining(draining) {
			isDraining = draining;
			notifyAgain();
		},
		addEntry(entry) {
			candidates.set(entry, {
				entry, queued: 0, answerTimer: undefined, hasDeclined: false,
			});
		},
		removeEntry(entry) {
			const candidate = candidates.get(entry);
			if (candidate !== undefined) {
				endTurn(candidate);
				candidates.delete(entry);
				notifyNext();
			}
		},
		setQueued(entry, queued) {
			const candidate = candidates.get(entry);
			if (candidate === undefined) {
				return;
			}

			candidate.hasDeclined &&= candidate.queued > 0;
			candidate.queued = queued;
			if (queued === 0) {
				endTurn(candidate);
			}

			notifyNext();
		},
		setReturnedCredits: () => undefined,
		tryAcquire(entry, need = noResources) {
			// A task that needs no resources would fit, too.
			if (isDraining || !fits(need, computeFreeResources())) {
				return false;
			}

			usedResources = addResources(usedResources, need);
			const candidate = candidates.get(entry);
			if (candidate !== undefined) {
				endTurn(candidate);
			}

			return true;
		},
		release(_entry, need = noResources) {
			assert(fits(need, usedResources), 'resources are released once for each run');
			usedResources = subtractResources(usedResources, need);
			notifyAgain();
		},
		getGrantedCredits: () => 0,
		getOutstandingCredits: () => 0,
		getFreeSlots: () => 0,
		getFreeResources: computeFreeResources,
		setCapacity(newCapacity) {
			if (shortageLimit === undefined && areEqualResources(capacity, newCapacity)) {
				return false;
			}

			capacity = newCapacity;
			shortageLimit = undefined;
			notifyAgain();
			return true;
		},
		recordShortage() {
			shortageLimit = usedResources;
		},
		getCapacity: () => capacity,
	};

	function computeFreeResources(): Resources {
		return isUsable && !isDraining ? subtractResources(shortageLimit ?? capacity, usedResources) : noResources;
	}

	/** Notifies an entry of more free resources, which may now also fit tasks of entries that sent no start before. */
	function notifyAgain(): void {
		for (const candidate of candidates.values()) {
			candidate.hasDeclined = false;
		}

		notify(tryGetNext() ?? [...candidates.values()].find(candidate => isEligible(candidate)));
	}

	function notifyNext(): void {
		notify(tryGetNext());
	}

	function notify(candidate: Candidate | undefined): void {
		if (candidate === undefined || computeFreeResources().cpu <= 0) {
			return;
		}

		candidate.answerTimer ??= host.clock.after(answerTimeoutMs, () => {
			candidate.hasDeclined = true;
			endTurn(candidate);
			notifyNext();
		});
		candidates.delete(candidate.entry);
		candidates.set(candidate.entry, candidate);
		host.notifyEntry(candidate.entry);
	}

	/** Returns the next entry in turn that is eligible and has no pending notification. */
	function tryGetNext(): Candidate | undefined {
		return [...candidates.values()].find(candidate => isEligible(candidate) && candidate.answerTimer === undefined);
	}

	function endTurn(candidate: Candidate): void {
		candidate.answerTimer?.cancel();
		candidate.answerTimer = undefined;
	}
}

function isEligible(candidate: Candidate): boolean {
	return candidate.queued > 0 && !candidate.hasDeclined;
}
