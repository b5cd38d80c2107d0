/**
 * Reports the known entries to agents and peers when they have changed. While many entries start, each sees one change for
 * each other entry; sent one by one and in full, they would cost messages with the cube of the number of entries.
 */
import type {EntryAddress} from '../generated/kingcuplane.js';
import type {Clock, Milliseconds, Timer} from './clock.js';

/** Dependencies of the reports. */
export type EntryReportsHost = {
	readonly clock: Clock;
	getLive(): readonly EntryAddress[];
	/** Returns the incarnations of the entries that were declared dead. */
	getDead(): readonly string[];
	getLinkedPeers(): readonly EntryAddress[];
	/** Sends all live and dead entries to all agents. */
	reportToAgents(): void;
	/** Sends these entries, which have just been linked, to all peers. */
	reportToPeers(entries: readonly EntryAddress[]): void;
};

/** The reports of one entry. */
export type EntryReports = {
	/** To be called when entries or links to them may have changed. */
	schedule(): void;
	stop(): void;
};

/** Delay before changes are sent, in which more of them are collected. */
const reportDelayMs: Milliseconds = 100;

/** Creates reports that send nothing before they are scheduled. */
export function createEntryReports(host: EntryReportsHost): EntryReports {
	let timer: Timer | undefined;
	let reportedEntries = '';
	let reportedPeers: ReadonlySet<string> = new Set();

	return {
		schedule() {
			timer ??= host.clock.after(reportDelayMs, () => {
				timer = undefined;
				report();
			});
		},
		stop() {
			timer?.cancel();
		},
	};

	function report(): void {
		const entries = [...host.getLive().map(entry => entry.links), ...host.getDead()].toSorted().join(' ');
		if (entries !== reportedEntries) {
			reportedEntries = entries;
			host.reportToAgents();
		}

		const peers = host.getLinkedPeers();
		const newPeers = peers.filter(peer => !reportedPeers.has(peer.incarnation));
		reportedPeers = new Set(peers.map(peer => peer.incarnation));
		if (newPeers.length > 0) {
			host.reportToPeers(newPeers);
		}
	}
}
