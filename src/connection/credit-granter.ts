/**
 * Divides the slots of one upstream among the entries. A credit is a slot set aside for one start, so that
 * unused credits and running tasks together never exceed the slots.
 */
import {assert} from '../process/debug.js';
import type {Milliseconds} from '../process/clock.js';
import type {CreditGranter, CreditGranterHost, WaitingHead} from './types.js';
import {getUrgency} from './urgency.js';

/**
 * A job may be this many times more urgent than another before a freed slot changes hands for it: towards an
 * entry that keeps its credits, and towards one that hands them back at once.
 */
const keeperTolerance = 4;
const returnerTolerance = 2;
/** Taken for an entry that tells no waiting job. */
const unknownHead: WaitingHead = {waited: 0, size: 1000};
/** Slots are first divided into at least this many parts, so that a second entry finds some. */
const minShares = 2;
/** Weight of the newest credit in the share of credits that an entry hands back. */
const newestWeight = 0.05;
/** An entry that hands back a larger share of its credits gets one only while tasks wait there. */
const maxReturnedShare = 0.3;

/** What is known of one entry. All counters start from zero when its link opens. */
type EntryAccount = {
	readonly entry: string;
	granted: number;
	used: number;
	returned: number;
	/** Credits that the entry still counts but that no longer allow a start. */
	voided: number;
	/** Tasks that wait at the entry, as last told. */
	queued: number;
	/** The job that the entry would start next, and when it was told. */
	head: WaitingHead | undefined;
	toldAt: Milliseconds;
	/** Share of the credits handed back, the newest counting most. */
	returnedShare: number;
};

/** Creates the granter of an upstream that runs `slots` tasks at the same time. */
export function createCreditGranter(host: CreditGranterHost, slots: number): CreditGranter {
	const accounts = new Map<string, EntryAccount>();
	let slotCount = slots;
	let running = 0;
	let isDraining = false;

	return {
		setSlots(value) {
			slotCount = value;
			voidExcess(slotCount);
			grantFree();
		},
		setDraining(draining) {
			if (draining && !isDraining) {
				voidExcess(0);
				askForReply();
			}

			isDraining = draining;

			grantFree();
		},
		addEntry(entry) {
			accounts.set(entry, {
				entry, granted: 0, used: 0, returned: 0, voided: 0, queued: 0, head: undefined, toldAt: 0, returnedShare: 0,
			});
			grantFree();
		},
		removeEntry(entry) {
			accounts.delete(entry);
			grantFree();
		},
		setQueued(entry, queued, head) {
			const account = accounts.get(entry);
			if (account === undefined) {
				return;
			}

			account.queued = queued;
			account.head = head;
			account.toldAt = host.clock.now();
			grantFree();
		},
		setReturnedCredits(entry, returned) {
			const account = accounts.get(entry);
			if (account !== undefined && takeBack(account, returned)) {
				grantFree();
			}
		},
		tryAcquire: tryUse,
		release(entry) {
			assert(running > 0, 'a slot is released once for each credit used');
			running--;
			grantFree(entry === undefined ? choosePoorest() : accounts.get(entry));
		},
		getGrantedCredits: entry => accounts.get(entry)?.granted ?? 0,
		getOutstandingCredits() {
			let count = 0;
			for (const account of accounts.values()) {
				count += getHeld(account);
			}

			return count;
		},
		getFreeSlots: () => isDraining ? 0 : Math.max(0, getFree()),
	};

	function tryUse(entry: string): boolean {
		const account = accounts.get(entry);
		if (account === undefined) {
			return false;
		}

		const isGranted = getHeld(account) > 0;
		const isUsable = isGranted ? getUsable(account) > 0 : !isDraining && getFree() > 0;
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

	/** Grants what is free. `releasing` is the entry whose task has just ended. */
	function grantFree(releasing?: EntryAccount): void {
		if (isDraining) {
			return;
		}

		const changed = new Set<EntryAccount>();
		for (let free = getFree(); free > 0; free--) {
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

	/** Where a slot goes that no task waits for: back to the entry that used it, or evenly to new entries. */
	function chooseIdle(releasing: EntryAccount | undefined): EntryAccount | undefined {
		if (releasing !== undefined) {
			return isReturner(releasing) ? undefined : releasing;
		}

		const evenPart = Math.ceil(slotCount / Math.max(minShares, accounts.size));
		let poorest: EntryAccount | undefined;
		for (const account of accounts.values()) {
			if (isNew(account) && getHeld(account) < evenPart && (poorest === undefined || getHeld(account) < getHeld(poorest))) {
				poorest = account;
			}
		}

		return poorest;
	}

	/** Stands in for the entry whose task ended where the caller does not know it. */
	function choosePoorest(): EntryAccount | undefined {
		let poorest: EntryAccount | undefined;
		for (const account of accounts.values()) {
			if (poorest === undefined || getHeld(account) < getHeld(poorest)) {
				poorest = account;
			}
		}

		return poorest;
	}

	function getFree(): number {
		return slotCount - running - sumUsable();
	}

	function sumUsable(): number {
		let sum = 0;
		for (const account of accounts.values()) {
			sum += getUsable(account);
		}

		return sum;
	}

	/**
	 * Gives each entry one credit that allows no start. An entry hands it back once it knows of the draining, and
	 * sends nothing without a credit from then on; until then it counts as outstanding.
	 */
	function askForReply(): void {
		for (const account of accounts.values()) {
			account.granted++;
			account.voided++;
			host.onGrantChanged(account.entry);
		}
	}

	/** Voids unused credits until they and the running tasks fit into `limit` slots. */
	function voidExcess(limit: number): void {
		let excess = running + sumUsable() - limit;
		for (const account of accounts.values()) {
			const count = Math.min(getUsable(account), Math.max(0, excess));
			account.voided += count;
			excess -= count;
		}
	}
}

/** Takes credits back; false if the figure is old or cannot stem from this link. */
function takeBack(account: EntryAccount, returned: number): boolean {
	const count = returned - account.returned;
	if (count <= 0 || count > getHeld(account)) {
		return false;
	}

	account.returned = returned;
	account.returnedShare = 1 - ((1 - account.returnedShare) * ((1 - newestWeight) ** count));
	account.voided -= Math.min(account.voided, count);
	// An entry keeps its credits while tasks wait for them.
	account.queued = 0;
	return true;
}

/** The demand of an entry is unknown until it has used a credit or handed one back. */
function isNew(account: EntryAccount): boolean {
	return account.used === 0 && account.returned === 0;
}

/** Credits that the entry counts as its own. */
function getHeld(account: EntryAccount): number {
	return account.granted - account.used - account.returned;
}

/** Credits that allow a start. */
function getUsable(account: EntryAccount): number {
	return getHeld(account) - account.voided;
}

/**
 * The entry with the most urgent job among those whose queue is not served. The one whose task has just
 * ended goes first if its job is nearly as urgent, because a grant to it needs no message.
 */
function chooseWaiting(accounts: Iterable<EntryAccount>, releasing: EntryAccount | undefined, now: Milliseconds): EntryAccount | undefined {
	let best: EntryAccount | undefined;
	let bestUrgency = 0;
	for (const account of accounts) {
		const isFree = account === releasing && account.head !== undefined;
		const urgency = getHeadUrgency(account, now) * (isFree ? getTolerance(account) : 1);
		if ((isFree || isUnserved(account)) && urgency > bestUrgency) {
			best = account;
			bestUrgency = urgency;
		}
	}

	return best;
}

/** An entry that soon hands back what it does not need. */
function isReturner(account: EntryAccount): boolean {
	return account.returnedShare > maxReturnedShare;
}

function getTolerance(account: EntryAccount): number {
	return isReturner(account) ? returnerTolerance : keeperTolerance;
}

function isUnserved(account: EntryAccount): boolean {
	return account.queued > getUsable(account);
}

function getHeadUrgency({head = unknownHead, toldAt}: EntryAccount, now: Milliseconds): number {
	return getUrgency(head.waited + now - toldAt, head.size);
}
