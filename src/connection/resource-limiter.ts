/**
 * Limits the runs of one upstream by its processors, memory and accelerators. No resources are reserved for an entry: the
 * first start that fits acquires them. This suits many entries with tasks of different sizes, for which reserved shares of
 * one upstream would each be too small for a large task.
 *
 * When resources become free while tasks wait, one entry at a time is notified, in turn, and the next one if no start
 * follows. If all were notified at once, all would send a start and all but one would be refused.
 *
 * An entry with a large task may claim resources for it. They are then kept free of the other entries' tasks until the
 * large task starts or the claim ends. There is one claim at a time, for a bounded time, and each entry makes at most one
 * in turn with the others, so that large tasks cannot take the upstream over.
 */
import type {Resources} from '../generated/kingcuplane.js';
import type {Clock, Milliseconds, Timer} from '../process/clock.js';
import {assert} from '../process/debug.js';
import {
	addResources, areEqualResources, fits, noResources, subtractResources,
} from './resources.js';
import type {CreditGranter, WaitingHead} from './types.js';

/** Dependencies of the resource limiter. */
export type ResourceLimiterHost = {
	readonly clock: Clock;
	/** Notifies this entry, which has waiting tasks, of free resources. */
	notifyEntry(entry: string): void;
};

/** A granter that limits resources instead of slots; it never grants credits. */
export type ResourceLimiter = CreditGranter & {
	/**
	 * Returns the resources that no run uses; none while draining or while the upstream is not usable. Less what is
	 * claimed for another entry if an entry is given.
	 */
	getFreeResources(entry?: string): Resources;
	/** Whether tasks of this entry wait, as last reported. */
	hasWaitingTasks(entry: string): boolean;
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
	/** Time before which the entry may not claim resources again. */
	nextClaimAt: Milliseconds;
};

/** Resources that are kept free for one entry. */
type Claim = {
	readonly entry: string;
	resources: Resources;
	/** Entries that were told of free resources since, less what is claimed. Starts that others have sent before are not refused. */
	readonly informed: Set<string>;
	readonly endTimer: Timer;
};

/**
 * Time within which a start follows a notification: a few round trips between data centres (2 ms each) and the delay of a
 * busy entry.
 */
const answerTimeoutMs: Milliseconds = 15;
/** Maximum duration of a claim; most tasks have ended after it, so enough is free by then if it ever is. */
const maxClaimMs: Milliseconds = 600;
/** Time after the end of an unused claim for which the entry may not claim again. */
const claimPauseMs: Milliseconds = 300;

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
	let claim: Claim | undefined;

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
				entry, queued: 0, answerTimer: undefined, hasDeclined: false, nextClaimAt: -Infinity,
			});
		},
		removeEntry(entry) {
			const candidate = candidates.get(entry);
			if (candidate !== undefined) {
				endTurn(candidate);
				candidates.delete(entry);
				updateClaim(candidate, undefined);
				notifyNext();
			}
		},
		setQueued(entry, queued, head) {
			const candidate = candidates.get(entry);
			if (candidate === undefined) {
				return;
			}

			candidate.hasDeclined &&= candidate.queued > 0;
			candidate.queued = queued;
			if (queued === 0) {
				endTurn(candidate);
			}

			updateClaim(candidate, queued === 0 ? undefined : head);

			notifyNext();
		},
		setReturnedCredits: () => undefined,
		tryAcquire(entry, need = noResources) {
			// A task that needs no resources would fit, too.
			if (isDraining || !fits(need, claim?.informed.has(entry) ? computeAvailableResources(entry) : computeFreeResources())) {
				return false;
			}

			usedResources = addResources(usedResources, need);
			const candidate = candidates.get(entry);
			if (candidate !== undefined) {
				endTurn(candidate);
			}

			if (claim?.entry === entry && fits(claim.resources, need)) {
				endClaim(claim);
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
		getFreeResources(entry) {
			if (entry === undefined) {
				return computeFreeResources();
			}

			claim?.informed.add(entry);
			return computeAvailableResources(entry);
		},
		hasWaitingTasks: entry => (candidates.get(entry)?.queued ?? 0) > 0,
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

	function computeAvailableResources(entry: string | undefined): Resources {
		const free = computeFreeResources();
		return claim === undefined || claim.entry === entry ? free : subtractResources(free, claim.resources);
	}

	function updateClaim(candidate: Candidate, head: WaitingHead | undefined): void {
		if (claim?.entry === candidate.entry) {
			if (head?.need === undefined) {
				endClaim(claim);
				notifyAgain();
			} else {
				claim.resources = head.need;
			}
		} else if (claim === undefined && head?.need !== undefined && head.keepMs > 0 && host.clock.now() >= candidate.nextClaimAt && fits(head.need, capacity)) {
			const duration = Math.min(head.keepMs, maxClaimMs);
			const created: Claim = {
				entry: candidate.entry, resources: head.need, informed: new Set(), endTimer: host.clock.after(duration, () => {
					candidate.nextClaimAt = host.clock.now() + claimPauseMs;
					endClaim(created);
					notifyAgain();
				}),
			};
			claim = created;
		}
	}

	function endClaim(ended: Claim): void {
		ended.endTimer.cancel();
		claim = undefined;
	}

	/** Notifies an entry of more free resources, which may now also fit tasks of entries that sent no start before. */
	function notifyAgain(): void {
		for (const candidate of candidates.values()) {
			candidate.hasDeclined = false;
		}

		notify(tryGetClaimant() ?? tryGetNext() ?? [...candidates.values()].find(candidate => isEligible(candidate)));
	}

	function notifyNext(): void {
		notify(tryGetNext());
	}

	function notify(candidate: Candidate | undefined): void {
		if (candidate === undefined || computeAvailableResources(candidate.entry).cpu <= 0) {
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

	/** Returns the entry with the claim if what it claims is free. */
	function tryGetClaimant(): Candidate | undefined {
		return claim !== undefined && fits(claim.resources, computeFreeResources()) ? candidates.get(claim.entry) : undefined;
	}

	/** Returns the next entry in turn that is eligible and has no pending notification. */
	function tryGetNext(): Candidate | undefined {
		return [...candidates.values()].find(candidate => isEligible(candidate) && candidate.answerTimer === undefined);
	}

	function isEligible({entry, queued, hasDeclined}: Candidate): boolean {
		return queued > 0 && !hasDeclined && computeAvailableResources(entry).cpu > 0;
	}

	function endTurn(candidate: Candidate): void {
		candidate.answerTimer?.cancel();
		candidate.answerTimer = undefined;
	}
}
