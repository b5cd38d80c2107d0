/**
 * Counts which kinds of trouble the bench has drawn together within one day.
 */

/** The different kinds of one day. */
export type DayKinds = ReadonlySet<string>;

/** How often a kind was drawn, and with which others it never was. */
export type KindPairs = {
	readonly kind: string;
	readonly days: number;
	readonly neverWith: readonly string[];
};

/** Compares all of `kinds` with each other; both the result and each `neverWith` are in order of name. */
export function findMissingPairs(days: readonly DayKinds[], kinds: Iterable<string>): readonly KindPairs[] {
	const sorted = [...new Set(kinds)].toSorted((a, b) => a.localeCompare(b, 'en'));
	return sorted.map(kind => {
		const own = days.filter(day => day.has(kind));
		const drawn = new Set(own.flatMap(day => [...day]));
		return {kind, days: own.length, neverWith: sorted.filter(other => other !== kind && !drawn.has(other))};
	});
}

/** Returns on how many days both kinds were drawn. */
export function countPair(days: readonly DayKinds[], first: string, second: string): number {
	return days.filter(day => day.has(first) && day.has(second)).length;
}
