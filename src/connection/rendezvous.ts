/**
 * Rendezvous hashing: lets processes agree on one of several processes without exchanging messages.
 */
import {createHash} from 'node:crypto';

/** Chooses one of `entries` for `name`. Adding or removing an entry only changes the choice for names that belong to it. */
export function chooseByRendezvousHash(name: string, entries: readonly string[]): string {
	let best = '';
	let bestScore = '';
	for (const entry of entries) {
		const score = getScore(name, entry);
		if (score > bestScore) {
			best = entry;
			bestScore = score;
		}
	}

	return best;
}

/** Sorts `entries` by preference for `name`. Adding or removing an entry does not change the order of the others. */
export function rankByRendezvousHash(name: string, entries: readonly string[]): readonly string[] {
	return entries
		.map(entry => ({entry, score: getScore(name, entry)}))
		.toSorted((a, b) => a.score < b.score ? 1 : -1)
		.map(({entry}) => entry);
}

function getScore(name: string, entry: string): string {
	return createHash('sha1').update(name).update('\0').update(entry).digest('hex');
}
