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

/** Names that were added recently. */
export type RecentNames = {
	add(name: string): void;
	has(name: string): boolean;
};

/** Creates an empty set of names. */
export function createRecentNames({clock, retentionMs, maxNames}: RecentNamesHost): RecentNames {
	/** When each name was added last, oldest first. */
	const addedAt = new Map<string, Milliseconds>();

	return {
		add(name) {
			addedAt.delete(name);
			addedAt.set(name, clock.now());
			forgetOldest();
		},
		has(name) {
			const at = addedAt.get(name);
			return at !== undefined && !isExpired(at);
		},
	};

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
