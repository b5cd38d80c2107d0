/**
 * Divides the slots of one upstream among the entries. A credit reserves a slot for one start, so unused credits and
 * running tasks together never exceed the number of slots.
 */
import {assert} from '../process/debug.js';
import type {Milliseconds} from '../process/clock.js';
import type {CreditGranter, CreditGranterHost, WaitingHead} from './types.js';
import {getUrgency} from './urgency.js';

/**
 * The entry whose task has just ended gets the freed slot unless the waiting job of another entry is this many times more
 * urgent. The first factor applies if the entry keeps its unused credits, the second if it returns them soon.
 */
const keeperUrgencyFactor = 4;
const returnerUrgencyFactor = 2;
/** Assumed as the first waiting job of an entry that reports waiting tasks but no such job. */
const unknownHead: WaitingHead = {
	waited: 0, size: 1000, need: undefined, keepMs: 0,
};
/** Slots are initially divided into at least this many shares, so that a second entry gets some. */
const minShares = 2;
/** Weight of the newest credit in the moving average of the share of credits that an entry returns. */
const newestWeight = 0.05;
/** An entry that returns a larger share of its credits gets credits only while tasks wait there. */
const maxReturnedShare = 0.3;

/** State of one entry. All counters start from zero when its link opens. */
type EntryAccount = {
	readonly entry: string;
	granted: number;
	used: number;
	returned: number;
	/** Credits that the entry still counts as its own but that no longer allow a start. */
	voided: number;
	/** Credits that the entry wants for waiting tasks, as last reported. */
	queued: number;
	/** The job that the entry would start next, as last reported at `reportedAt`. */
	head: WaitingHead | undefined;
	reportedAt: Milliseconds;
	/** Share of credits returned unused; a moving average that weights the newest most. */
	returnedShare: number;
};

/** Creates the granter of an upstream that runs up to `slots` tasks concurrently. */
export function createCreditGranter(host: CreditGranterHost, slots: number): CreditGranter {
	const accounts = new Map<string, EntryAccount>();
	let slotCount = slots;
	let running = 0;
	let isDraining = false;

	return {
		setSlots(value) {
			slotCount = value;
			voidExcess(slotCount);
			grantFreeSlots();
		},
		setDraining(draining) {
			if (draining && !isDraining) {
				voidExcess(0);
				requestCreditReturn();
			}

			isDraining = draining;

			grantFreeSlots();
		},
		addEntry(entry) {
			accounts.set(entry, {
				entry, granted: 0, used: 0, returned: 0, voided: 0, queued: 0, head: undefined, reportedAt: 0, returnedShare: 0,
			});
			grantFreeSlots();
		},
		removeEntry(entry) {
			accounts.delete(entry);
			grantFreeSlots();
		},
		setQueued(entry, queued, head) {
			const account = accounts.get(entry);
			if (account === undefined) {
				return;
			}

			account.queued = queued;
			account.head = head;
			account.reportedAt = host.clock.now();
			grantFreeSlots();
		},
		setReturnedCredits(entry, returned) {
			const account = accounts.get(entry);
			if (account !== undefined && acceptReturned(account, returned)) {
				grantFreeSlots();
			}
		},
		tryAcquire: tryAcquireCredit,
		release(entry) {
			assert(running > 0, 'release must be called once for each used credit');
			running--;
			grantFreeSlots(entry === undefined ? chooseFewestCredits() : accounts.get(entry));
		},
		getGrantedCredits: entry => accounts.get(entry)?.granted ?? 0,
		getOutstandingCredits() {
			let count = 0;
			for (const account of accounts.values()) {
				count += getOutstanding(account);
			}

			return count;
		},
		getFreeSlots: () => isDraining ? 0 : Math.max(0, getUngrantedSlots()),
	};

	function tryAcquireCredit(entry: string): boolean {
		const account = accounts.get(entry);
		if (account === undefined) {
			return false;
		}

		const isGranted = getOutstanding(account) > 0;
		const isUsable = isGranted ? getUsableCredits(account) > 0 : !isDraining && getUngrantedSlots() > 0;
		if (!isGranted) {
			account.granted++;
		}

		account.used++;
		if (isUsable) {
			running++;
		} else if (isGranted) {
			account.voided--;
		}

		return isUsable;
	}

	/** Grants all free slots. `releasing` is the entry whose task has just ended. */
	function grantFreeSlots(releasing?: EntryAccount): void {
		if (isDraining) {
			return;
		}

		const changed = new Set<EntryAccount>();
		for (let free = getUngrantedSlots(); free > 0; free--) {
			const account = chooseWaiting(accounts.values(), releasing, host.clock.now()) ?? chooseIdle(releasing);
			if (account === undefined) {
				break;
			}

			account.granted++;
			account.returnedShare -= account.returnedShare * newestWeight;
			changed.add(account);
		}

		for (const account of changed) {
			host.onGrantChanged(account.entry);
		}
	}

	/**
	 * Chooses the entry that gets a slot for which no task waits. The entry that has just used the slot gets it back, unless
	 * it would soon return the credit. Other free slots are divided evenly among new entries.
	 */
	function chooseIdle(releasing: EntryAccount | undefined): EntryAccount | undefined {
		if (releasing !== undefined) {
			return isReturner(releasing) ? undefined : releasing;
		}

		const evenShare = Math.ceil(slotCount / Math.max(minShares, accounts.size));
		let chosen: EntryAccount | undefined;
		for (const account of accounts.values()) {
			if (isNew(account) && getOutstanding(account) < evenShare && (chosen === undefined || getOutstanding(account) < getOutstanding(chosen))) {
				chosen = account;
			}
		}

		return chosen;
	}

	/** Chooses the entry with the fewest credits, for a released slot whose entry is not known. */
	function chooseFewestCredits(): EntryAccount | undefined {
		let chosen: EntryAccount | undefined;
		for (const account of accounts.values()) {
			if (chosen === undefined || getOutstanding(account) < getOutstanding(chosen)) {
				chosen = account;
			}
		}

		return chosen;
	}

	function getUngrantedSlots(): number {
		return slotCount - running - sumUsableCredits();
	}

	function sumUsableCredits(): number {
		let sum = 0;
		for (const account of accounts.values()) {
			sum += getUsableCredits(account);
		}

		return sum;
	}

	/**
	 * Grants each entry one credit that does not allow a start. An entry returns it when it has learned of the draining
	 * and sends no start without a credit from then on; until it does, the credit counts as outstanding.
	 */
	function requestCreditReturn(): void {
		for (const account of accounts.values()) {
			account.granted++;
			account.voided++;
			host.onGrantChanged(account.entry);
		}
	}

	/** Voids unused credits until the remaining ones and the running tasks fit into `limit` slots. */
	function voidExcess(limit: number): void {
		let excess = running + sumUsableCredits() - limit;
		for (const account of accounts.values()) {
			const count = Math.min(getUsableCredits(account), Math.max(0, excess));
			account.voided += count;
			excess -= count;
		}
	}
}

/** Accepts returned credits. Returns false if the total is out of date or is not possible on this link. */
function acceptReturned(account: EntryAccount, returned: number): boolean {
	const count = returned - account.returned;
	if (count <= 0 || count > getOutstanding(account)) {
		return false;
	}

	account.returned = returned;
	account.returnedShare = 1 - ((1 - account.returnedShare) * ((1 - newestWeight) ** count));
	account.voided -= Math.min(account.voided, count);
	// An entry returns credits only if no task waits for them.
	account.queued = 0;
	return true;
}

/** Whether the demand of the entry is still unknown, that is, it has neither used nor returned a credit. */
function isNew(account: EntryAccount): boolean {
	return account.used === 0 && account.returned === 0;
}

/** Returns the number of unused credits that the entry counts as its own, including voided ones. */
function getOutstanding(account: EntryAccount): number {
	return account.granted - account.used - account.returned;
}

/** Returns the number of credits that allow a start. */
function getUsableCredits(account: EntryAccount): number {
	return getOutstanding(account) - account.voided;
}

/**
 * Chooses the entry with the most urgent job among those that have fewer usable credits than waiting tasks. The entry
 * whose task has just ended is considered whenever it reports a waiting job, and is preferred if that job is nearly as
 * urgent, because a grant to it needs no extra message.
 */
function chooseWaiting(accounts: Iterable<EntryAccount>, releasing: EntryAccount | undefined, now: Milliseconds): EntryAccount | undefined {
	let best: EntryAccount | undefined;
	let bestUrgency = 0;
	for (const account of accounts) {
		const isReleasing = account === releasing && account.head !== undefined;
		const urgency = getHeadUrgency(account, now) * (isReleasing ? getUrgencyFactor(account) : 1);
		if ((isReleasing || isUnserved(account)) && urgency > bestUrgency) {
			best = account;
			bestUrgency = urgency;
		}
	}

	return best;
}

/** Whether the entry tends to return unused credits soon. */
function isReturner(account: EntryAccount): boolean {
	return account.returnedShare > maxReturnedShare;
}

function getUrgencyFactor(account: EntryAccount): number {
	return isReturner(account) ? returnerUrgencyFactor : keeperUrgencyFactor;
}

function isUnserved(account: EntryAccount): boolean {
	return account.queued > getUsableCredits(account);
}

function getHeadUrgency({head = unknownHead, reportedAt}: EntryAccount, now: Milliseconds): number {
	return getUrgency(head.waited + now - reportedAt, head.size);
}
