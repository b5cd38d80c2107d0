/**
 * Names that are remembered for a while, such as those of cancelled jobs, whose requests may still be on their way.
 */
import type {Clock, Milliseconds} from '../process/clock.js';

/** Dependencies and limits of the names. */
export type RecentNamesHost = {
	readonly clock: Clock;
	readonly retentionMs: Milliseconds;
	/** Beyond this number, the oldest names are forgotten early. */
	readonly maxNames: number;
};

/** A name, and the time since it was added. */
export type AgedName = {
	readonly name: string;
	readonly age: Milliseconds;
};

/** Names that were added recently. */
export type RecentNames = {
	/** Adds a name, or counts its time anew. */
	add(name: string): void;
	/** Adds names that another process has remembered; returns those that are new here. */
	addAged(names: readonly AgedName[]): readonly string[];
	has(name: string): boolean;
	/** Returns the names that were added within the last `age`. */
	getSince(age: Milliseconds): readonly AgedName[];
};

/** Creates an empty set of names. */
export function createRecentNames({clock, retentionMs, maxNames}: RecentNamesHost): RecentNames {
	/** When each name was added last. */
	const addedAt = new Map<string, Milliseconds>();

	return {
		add(name) {
			addedAt.delete(name);
			addedAt.set(name, clock.now());
			forgetOldest();
		},
		addAged(names) {
			const added = names.filter(({name}) => !addedAt.has(name)).map(({name}) => name);
			for (const {name, age} of names) {
				addedAt.set(name, Math.max(addedAt.get(name) ?? -Infinity, clock.now() - age));
			}

			forgetOldest();
			return added;
		},
		has(name) {
			const at = addedAt.get(name);
			return at !== undefined && !isExpired(at);
		},
		getSince(age) {
			const now = clock.now();
			return [...addedAt].filter(([, at]) => now - at <= Math.min(age, retentionMs)).map(([name, at]) => ({name, age: now - at}));
		},
	};

	// Names of other processes are not in the order of their times; those behind younger ones are forgotten with these.
	function forgetOldest(): void {
		for (const [name, at] of addedAt) {
			if (addedAt.size <= maxNames && !isExpired(at)) {
				return;
			}

			addedAt.delete(name);
		}
	}

	function isExpired(at: Milliseconds): boolean {
		return clock.now() - at > retentionMs;
	}
}
