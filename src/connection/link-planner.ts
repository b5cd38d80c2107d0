/**
 * Decides to which entries an agent is linked. Each agent is linked to a limited number of entries, so that links and
 * their messages at rest grow with the number of machines, not with its square. Entries are ranked by rendezvous hashing:
 * each entry gets about the same number of agents, and an entry that joins or leaves changes only its own links.
 */
import type {Milliseconds} from '../process/clock.js';

/** State of the link to one entry. */
export type LinkStatus = {
	readonly isOpen: boolean;
	/** Time on the monotonic clock at which the link was created, opened or lost, whichever was last. */
	readonly changedAt: Milliseconds;
	/** Time since which the entry has been told to start nothing more on this link; undefined if it has not. */
	readonly retiredAt: Milliseconds | undefined;
	/** Whether a task of the entry runs. */
	readonly hasRuns: boolean;
};

/** What to do with the links, by address of the entry. */
export type LinkPlan = {
	readonly open: readonly string[];
	/** Links whose entries must be told to start nothing more. */
	readonly retire: readonly string[];
	/** Retired links that are needed again. */
	readonly restore: readonly string[];
	readonly close: readonly string[];
};

/** Time after which a link that is not open is replaced by that to the next entry; it is still tried meanwhile. */
const connectTimeMs: Milliseconds = 1500;
/** Least time for which a link stays open before it is retired as surplus, so that a flapping entry costs few links. */
const minOpenTimeMs: Milliseconds = 5000;
/** Time from retiring a link until it is closed; starts that were under way arrive within it. */
const retirementMs: Milliseconds = 1000;

/** Plans the links of an agent to the first `maxLinks` entries that can be reached; `ranked` has their addresses by decreasing preference. */
export function planLinks(ranked: readonly string[], links: ReadonlyMap<string, LinkStatus>, maxLinks: number, now: Milliseconds): LinkPlan {
	const wanted = getWanted(ranked, links, maxLinks, now);
	const retire: string[] = [];
	const restore: string[] = [];
	const close: string[] = [];
	for (const [address, link] of links) {
		if (wanted.has(address)) {
			if (link.retiredAt !== undefined) {
				restore.push(address);
			}
		} else if (!link.isOpen) {
			close.push(address);
		} else if (link.retiredAt === undefined) {
			if (now - link.changedAt >= minOpenTimeMs) {
				retire.push(address);
			}
		} else if (now - link.retiredAt >= retirementMs && !link.hasRuns) {
			close.push(address);
		}
	}

	return {
		open: [...wanted].filter(address => !links.has(address)), retire, restore, close,
	};
}

function getWanted(ranked: readonly string[], links: ReadonlyMap<string, LinkStatus>, maxLinks: number, now: Milliseconds): ReadonlySet<string> {
	const wanted = new Set<string>();
	let usable = 0;
	for (const address of ranked) {
		if (usable >= maxLinks) {
			break;
		}

		wanted.add(address);
		const link = links.get(address);
		usable += link === undefined || link.isOpen || now - link.changedAt < connectTimeMs ? 1 : 0;
	}

	return wanted;
}
