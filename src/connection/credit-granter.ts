/**
 * Divides the slots of one upstream among the entries. A credit is a slot set aside for one start, so that
 * unused credits and running tasks together never exceed the slots.
 */
import {assert} from '../process/debug.js';
import type {CreditGranter, CreditGranterHost} from './types.js';

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
	/** True once the entry has handed credits back and has shown no demand since. */
	isSated: boolean;
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
			isDraining = draining;
			if (draining) {
				voidExcess(0);
			}

			grantFree();
		},
		open(entry) {
			accounts.set(entry, {
				entry, granted: 0, used: 0, returned: 0, voided: 0, queued: 0, isSated: false,
			});
			grantFree();
		},
		close(entry) {
			accounts.delete(entry);
			grantFree();
		},
		setQueued(entry, queued) {
			const account = accounts.get(entry);
			if (account === undefined) {
				return;
			}

			account.queued = queued;
			if (queued > 0) {
				account.isSated = false;
			}

			grantFree();
		},
		setReturned(entry, returned) {
			const account = accounts.get(entry);
			if (account !== undefined && takeBack(account, returned)) {
				grantFree();
			}
		},
		tryUse,
		release() {
			assert(running > 0, 'a slot is released once for each credit used');
			running--;
			grantFree();
		},
		getGranted: entry => accounts.get(entry)?.granted ?? 0,
		getOutstanding() {
			let count = 0;
			for (const account of accounts.values()) {
				count += getHeld(account);
			}

			return count;
		},
	};

	function tryUse(entry: string): boolean {
		const account = accounts.get(entry);
		if (account === undefined || getHeld(account) === 0) {
			return false;
		}

		const isUsable = getUsable(account) > 0;
		account.used++;
		account.queued = Math.max(0, account.queued - 1);
		account.isSated = false;
		if (isUsable) {
			running++;
		} else {
			account.voided--;
		}

		return isUsable;
	}

	function grantFree(): void {
		if (isDraining) {
			return;
		}

		const changed = new Set<EntryAccount>();
		for (let free = getFree(); free > 0; free--) {
			const account = chooseEntry(accounts.values());
			if (account === undefined) {
				break;
			}

			account.granted++;
			changed.add(account);
		}

		for (const account of changed) {
			host.changed(account.entry);
		}
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
	account.voided -= Math.min(account.voided, count);
	account.isSated = account.queued === 0;
	return true;
}

/** Credits that the entry counts as its own. */
function getHeld(account: EntryAccount): number {
	return account.granted - account.used - account.returned;
}

/** Credits that allow a start. */
function getUsable(account: EntryAccount): number {
	return getHeld(account) - account.voided;
}

/** The entry with the longest unserved queue; without any queue, the one with the fewest credits. */
function chooseEntry(accounts: Iterable<EntryAccount>): EntryAccount | undefined {
	let neediest: EntryAccount | undefined;
	let poorest: EntryAccount | undefined;
	for (const account of accounts) {
		if (getUnserved(account) > (neediest === undefined ? 0 : getUnserved(neediest))) {
			neediest = account;
		}

		if (!account.isSated && (poorest === undefined || getHeld(account) < getHeld(poorest))) {
			poorest = account;
		}
	}

	return neediest ?? poorest;
}

function getUnserved(account: EntryAccount): number {
	return account.queued - getUsable(account);
}
