/**
 * Rendezvous hashing: lets processes agree on one of several processes without exchanging messages.
 */
import {createHash} from 'node:crypto';

/** Chooses one of `entries` for `name`. Adding or removing an entry only changes the choice for names that belong to it. */
export function chooseByRendezvousHash(name: string, entries: readonly string[]): string {
	return rankByRendezvousHash(name, entries)[0] ?? '';
}

/** Sorts `entries` by preference for `name`. Adding or removing an entry does not change the order of the others. */
export function rankByRendezvousHash(name: string, entries: readonly string[]): readonly string[] {
	return entries
		.map(entry => ({entry, score: createHash('sha1').update(name).update('\0').update(entry).digest('hex')}))
		.toSorted((a, b) => a.score < b.score ? 1 : -1)
		.map(({entry}) => entry);
}
