/**
 * Holds the evacuated data centres, which get no new tasks. The list's revision only increases, whatever the store, a peer
 * or an entry serves and in whatever order messages arrive.
 */
import type {Snapshot} from './types.js';

/** The evacuated data centres as of one revision of the store. */
export type EvacuationList = {
	readonly revision: number;
	readonly dataCentres: readonly string[];
};

/** What a newer list changes. */
export type EvacuationChange = {
	readonly evacuated: readonly string[];
	/** Data centres whose evacuation has ended. */
	readonly restored: readonly string[];
};

/** Called with each list that differs from the one before. */
export type EvacuationListener = (list: EvacuationList, change: EvacuationChange) => void;

/** The newest known list and its listeners. */
export type EvacuationHolder = {
	/** Takes a list if its revision is higher than that of the present one; returns whether it was. */
	offer(list: EvacuationList): boolean;
	/** Returns the present list; undefined while none is known. */
	tryGet(): EvacuationList | undefined;
	isEvacuated(dataCentre: string): boolean;
	/** Calls `listener` with each change from now on. Returns a function that removes the listener. */
	onChange(listener: EvacuationListener): () => void;
};

/** Returns the data centres that a version of the configuration drains. */
export function toEvacuationList({version, dataCentres}: Snapshot): EvacuationList {
	return {revision: version, dataCentres: [...dataCentres.values()].filter(({drain}) => drain).map(({name}) => name)};
}

/** Creates a holder without a list. */
export function createEvacuationHolder(): EvacuationHolder {
	const listeners = new Set<EvacuationListener>();
	let current: EvacuationList | undefined;
	let evacuated: ReadonlySet<string> = new Set();

	return {
		offer,
		tryGet: () => current,
		isEvacuated: dataCentre => evacuated.has(dataCentre),
		onChange(listener) {
			listeners.add(listener);
			return () => {
				listeners.delete(listener);
			};
		},
	};

	function offer({revision, dataCentres}: EvacuationList): boolean {
		if (current !== undefined && revision <= current.revision) {
			return false;
		}

		// An unchanged list is taken as well: without its revision, an older list could still replace it.
		const before = evacuated;
		evacuated = new Set(dataCentres);
		const list = {revision, dataCentres: [...evacuated].toSorted()};
		current = list;
		const change = {
			evacuated: list.dataCentres.filter(dataCentre => !before.has(dataCentre)),
			restored: [...before].filter(dataCentre => !evacuated.has(dataCentre)),
		};
		if (change.evacuated.length > 0 || change.restored.length > 0) {
			for (const listener of listeners) {
				listener(list, change);
			}
		}

		return true;
	}
}
