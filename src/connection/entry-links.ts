/**
 * The links of one agent to the entries: finds the entries, opens and closes links as planned, and keeps one link to each
 * entry incarnation.
 */
import {every, type Milliseconds} from '../process/clock.js';
import {createAgentLink, type AgentLink, type LinkClientHost} from './link-client.js';
import {planLinks, type LinkStatus} from './link-planner.js';
import type {BatchCounts} from './link-timing.js';
import {rankByRendezvousHash} from './rendezvous.js';

/** Dependencies of the links. */
export type EntryLinksHost = Omit<LinkClientHost, 'receiveEntries' | 'replaceEarlierLink'> & {
	/** Name of the agent, the same after a restart. */
	readonly agent: string;
	/** Addresses ("IP:port") that are tried while no link is open, in addition to those of the directory. */
	readonly seeds: readonly string[];
	/** Number of entries that the agent is linked to. */
	readonly maxLinks: number;
	/** Interval at which entries are searched for while no link is open. */
	readonly discoverMs: Milliseconds;
	/** Reads the addresses of all live entries from the platform's directory; undefined if it cannot be read. */
	readEntryDirectory(): Promise<readonly string[] | undefined>;
};

/** The links of an agent. */
export type EntryLinks = {
	/** Sends pending output to an entry incarnation at the end of this turn of the event loop. */
	scheduleFlush(entry: string): void;
	/** Reports the agent's state to one entry incarnation. */
	reportStateTo(entry: string): void;
	/** Reports the agent's state, which has changed, to all entries. */
	broadcastState(): void;
	/** To be called at each heartbeat interval. */
	sendHeartbeats(): void;
	/** Reopens all links. */
	reset(): void;
	/** Stops searching for entries. */
	stopDiscovery(): void;
	/** Returns the numbers of batches on the present links. */
	getBatchCounts(): BatchCounts;
	/** Closes all links permanently. */
	stop(): void;
};

/** Bound on the unusable addresses that are remembered. */
const maxUnusable = 1000;

type PlannedLink = {
	readonly link: AgentLink;
	changedAt: Milliseconds;
	/** Entry incarnation whose welcome the link has received last. */
	entry?: string;
	/** Addresses of the entries that the entry has reported last. */
	reported: readonly string[];
};

/** Creates the links and starts to search for entries. */
export function createEntryLinks(host: EntryLinksHost): EntryLinks {
	const {clock, sessions} = host;
	const links = new Map<string, PlannedLink>();
	const linkByEntry = new Map<string, AgentLink>();
	/** Addresses that no link could be created to. */
	const unusable = new Set<string>();
	let ranked: readonly string[] = [];
	let isDiscovering = true;
	const timer = every(clock, host.discoverMs, () => {
		void discover();
		applyPlan();
	});
	void discover();

	return {
		scheduleFlush(entry) {
			linkByEntry.get(entry)?.scheduleFlush();
		},
		reportStateTo(entry) {
			linkByEntry.get(entry)?.reportState();
		},
		broadcastState() {
			for (const {link} of links.values()) {
				link.reportState();
			}
		},
		sendHeartbeats() {
			for (const {link} of links.values()) {
				link.sendHeartbeat();
			}
		},
		reset() {
			for (const {link} of links.values()) {
				link.reset();
			}
		},
		stopDiscovery() {
			isDiscovering = false;
		},
		getBatchCounts() {
			let batchesSent = 0;
			let batchesReceived = 0;
			for (const {link} of links.values()) {
				const counts = link.getBatchCounts();
				batchesSent += counts.batchesSent;
				batchesReceived += counts.batchesReceived;
			}

			return {batchesSent, batchesReceived};
		},
		stop() {
			// The directory may be read only after this. A link that is opened then would say hello as an incarnation that others have followed.
			isDiscovering = false;
			timer.cancel();
			for (const {link} of links.values()) {
				link.stop();
			}
		},
	};

	async function discover(): Promise<void> {
		if (!isDiscovering || isAnyOpen()) {
			return;
		}

		setAddresses([...ranked, ...host.seeds]);
		const found = await host.readEntryDirectory() ?? [];
		if (!isAnyOpen()) {
			setAddresses([...ranked, ...found]);
		}
	}

	function isAnyOpen(): boolean {
		return [...links.values()].some(({link}) => link.isOpen());
	}

	// An entry that has just started, or is cut off from the others, reports few entries. One that is reported by any
	// linked entry is kept.
	function updateAddresses(): void {
		const openLinks = [...links].filter(([, {link}]) => link.isOpen());
		setAddresses(openLinks.flatMap(([address, {reported}]) => [address, ...reported]));
	}

	function setAddresses(addresses: readonly string[]): void {
		// An entry that restarts keeps its address, and so its agents.
		ranked = rankByRendezvousHash(host.agent, [...new Set(addresses)].filter(address => !unusable.has(address)));
		applyPlan();
	}

	function applyPlan(): void {
		if (!isDiscovering) {
			return;
		}

		const plan = planLinks(ranked, getStatuses(), host.maxLinks, clock.now());
		for (const address of plan.close) {
			links.get(address)?.link.stop();
			links.delete(address);
		}

		for (const address of plan.retire) {
			links.get(address)?.link.setRetired(true);
		}

		for (const address of plan.restore) {
			links.get(address)?.link.setRetired(false);
		}

		for (const address of plan.open) {
			tryAddLink(address);
		}
	}

	// An address that cannot be used costs only itself, and the next one takes its place.
	function tryAddLink(address: string): void {
		try {
			addLink(address);
		} catch (err) {
			if (unusable.size >= maxUnusable) {
				unusable.clear();
			}

			unusable.add(address);
			ranked = ranked.filter(other => other !== address);
			host.onUnexpectedError?.(err, address);
		}
	}

	function getStatuses(): ReadonlyMap<string, LinkStatus> {
		return new Map([...links].map(([address, {link, changedAt, entry}]) => [address, {
			isOpen: link.isOpen(), changedAt, retiredAt: link.getRetiredAt(), hasRuns: entry !== undefined && sessions.hasRunningTasks(entry),
		}]));
	}

	function addLink(address: string): void {
		const link = createAgentLink({
			...host,
			receiveEntries(entries) {
				const planned = links.get(address);
				if (planned !== undefined) {
					planned.reported = entries.map(entry => entry.links);
					updateAddresses();
				}
			},
			replaceEarlierLink,
			onLinkChanged(change) {
				const planned = links.get(address);
				if (planned !== undefined) {
					planned.changedAt = clock.now();
					planned.entry = change.entry;
				}

				host.onLinkChanged?.(change);
			},
		}, address);
		links.set(address, {link, changedAt: clock.now(), reported: []});
	}

	// An entry may be known under two addresses. Only the newest link to an entry incarnation is used.
	function replaceEarlierLink(incarnation: string, link: AgentLink): void {
		const earlier = linkByEntry.get(incarnation);
		if (earlier !== undefined && earlier !== link) {
			earlier.stop();
			if (links.get(earlier.address)?.link === earlier) {
				links.delete(earlier.address);
			}
		}

		linkByEntry.set(incarnation, link);
	}
}
