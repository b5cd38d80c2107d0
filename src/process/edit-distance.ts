/**
 * Finds the known name that is closest to a misspelt one.
 */

/** Returns the candidate with the smallest edit distance to `name`, ignoring case; undefined without candidates. */
export function tryGetNearest(name: string, candidates: readonly string[]): string | undefined {
	let nearest: string | undefined;
	let nearestDistance = Number.POSITIVE_INFINITY;
	for (const candidate of candidates) {
		const distance = getEditDistance(name.toLowerCase(), candidate.toLowerCase());
		if (distance < nearestDistance) {
			nearest = candidate;
			nearestDistance = distance;
		}
	}

	return nearest;
}

/** Returns the Levenshtein distance: the number of single-character insertions, deletions and substitutions. */
export function getEditDistance(a: string, b: string): number {
	let previous = Array.from({length: b.length + 1}, (_, j) => j);
	for (let i = 1; i <= a.length; i++) {
		const current = [i];
		for (let j = 1; j <= b.length; j++) {
			const substitution = previous[j - 1]! + (a[i - 1] === b[j - 1] ? 0 : 1);
			current.push(Math.min(substitution, previous[j]! + 1, current[j - 1]! + 1));
		}

		previous = current;
	}

	return previous[b.length]!;
}
