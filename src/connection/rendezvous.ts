/**
 * Rendezvous hashing: lets processes agree on one of several processes without exchanging messages.
 */
import {createHash} from 'node:crypto';

/** Chooses one of `entries` for `name`. Adding or removing an entry only changes the choice for names that belong to it. */
export function chooseByRendezvousHash(name: string, entries: readonly string[]): string {
	let best = '';
	let bestScore = '';
	for (const entry of entries) {
		const score = createHash('sha1').update(name).update('\0').update(entry).digest('hex');
		if (score > bestScore) {
			best = entry;
			bestScore = score;
		}
	}

	return best;
}
