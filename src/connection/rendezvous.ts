/**
 * Rendezvous hashing: agreement on one of several processes without any exchange.
 */
import {createHash} from 'node:crypto';

/** Chooses one of `entries` for `name`; a change of the set moves only the names of the entries concerned. */
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
