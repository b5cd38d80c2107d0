/**
 * The directory of entries in the platform's table service: which entries exist, at which addresses, and which have been
 * declared dead. Each entry holds a lease on its own row and renews it by rewriting the row. The other entries decide by
 * their own monotonic clock whether the lease has expired, never by a time written in the row.
 */
import {z} from 'zod';
import type {EntryAddress} from '../generated/kingcuplane.js';
import {deleteAgreedAnswers} from '../request/agreed-answers.js';
import {
	every, type Clock, type Milliseconds, type Timer,
} from './clock.js';
import {connectableAddressSchema, nameSchema, sequenceNumberSchema} from './input-schemas.js';
import type {Log} from './log.js';
import type {TableRow, TableStore} from './platform/types.js';
import {createRowReader, type RowReader} from './row-reader.js';

/** Dependencies of an entry directory. */
export type EntryDirectoryHost = {
	readonly clock: Clock;
	readonly table: TableStore;
	readonly log: Pick<Log, 'warn'>;
	readonly self: EntryAddress;
	/** Duration of a lease. An entry whose row stays unchanged for more than twice this time may be declared dead. */
	readonly leaseMs: Milliseconds;
	/** Whether a stream to this entry incarnation is open. */
	isLinked(incarnation: string): boolean;
	/** Called when the set of live or dead entries has changed. */
	onChanged(): void;
	/** Called when another entry has declared this one dead; this entry must then stop. */
	onDeclaredDead(): void;
};

/** Whether an entry incarnation is alive. */
export type EntryStatus =
	| 'live'
	/** Declared dead by a committed transaction; it must not answer callers any more. */
	| 'dead'
	/** Not in the directory as last read, or the directory was never read. */
	| 'unknown';

/** State of an entry's own lease. */
export type LeaseStatus =
	| 'held'
	/** Another entry has declared this one dead. */
	| 'lost'
	/** Another entry may have declared this one dead; check again later. */
	| 'unconfirmed';

/** One entry's view of the directory. */
export type EntryDirectory = {
	getStatus(incarnation: string): EntryStatus;
	/** Returns all live entries, including this one. */
	getLive(): readonly EntryAddress[];
	/** Returns the incarnations of the entries that have been declared dead. */
	getDead(): readonly string[];
	/** Adds entries that a peer has reported, for use while the platform cannot be read. They count as live while they are linked. */
	addReported(entries: readonly EntryAddress[]): void;
	/** Returns the entries that a peer has reported within the last seconds and that have neither a row nor a stream yet. */
	getReported(): readonly EntryAddress[];
	/**
	 * Checks whether this entry still holds its lease. If the lease has expired by this entry's own clock, for instance
	 * after a pause, renews it first. During an outage of the platform the lease counts as held as long as this entry was
	 * not paused and at least half of the other live entries are linked, since no entry declares a linked entry dead.
	 */
	confirmLease(): Promise<LeaseStatus>;
	/** Whether the directory has been read at least once. */
	isLoaded(): boolean;
	/** Whether it has been read after this entry had written its row: any entry that it does not show will find that row. */
	hasReadSinceRegistration(): boolean;
	/**
	 * Whether this entry has written its row. Until then it must not issue tickets: without a row it cannot be declared
	 * dead, so after a crash its tickets would stay unanswered forever.
	 */
	isRegistered(): boolean;
	/** Declares this entry dead, so that other entries answer for its tickets from then on. */
	deregister(): Promise<void>;
	stop(): void;
};

/** Outcome of an attempt to renew the lease; `no-answer` means that the platform did not answer. */
type Renewal = LeaseStatus | 'no-answer';

/** A row as last read by this entry. */
type Observation = {
	readonly address: EntryAddress;
	readonly isDead: boolean;
	readonly revision: number;
	/** When this entry first saw the revision. */
	readonly firstSeenAt: Milliseconds;
};

/** An entry that a peer has reported, and when it did so last. */
type ReportedEntry = {
	readonly address: EntryAddress;
	readonly reportedAt: Milliseconds;
};

const rowPrefix = 'entries/';
const maxEntries = 1000;
/** Time within which a reported entry that lives is linked. */
const unlinkedReportMs: Milliseconds = 2000;
const renewalsPerLease = 3;
/** How long rows of dead entries are retained, so that every entry and agent receives them. */
const deadRowRetentionMs: Milliseconds = 3_600_000;

const rowSchema = z.object({
	name: nameSchema, incarnation: nameSchema, links: connectableAddressSchema, dead: z.boolean(), renewals: sequenceNumberSchema,
});
type EntryRow = z.infer<typeof rowSchema>;

/** Creates the directory, registers this entry and renews its lease until stopped. */
export function createEntryDirectory(host: EntryDirectoryHost): EntryDirectory {
	const {clock, table, self} = host;
	const key = `${rowPrefix}${self.incarnation}`;
	const tryReadRow = createEntryRowReader(host.log);
	const observations = new Map<string, Observation>();
	const reportedEntries = new Map<string, ReportedEntry>();
	let revision = 0;
	let renewals = 0;
	let leaseExpiresAt = clock.now();
	/** For each entry that is not linked, when this was first seen. */
	const unlinkedSince = new Map<string, Milliseconds>();
	/** When the timer last fired, to detect pauses of this process. */
	let lastTickAt = clock.now();
	let wasPaused = false;
	let isLoaded = false;
	let hasReadSinceRegistration = false;
	let isLost = false;
	let isStopped = false;
	let renewal: Promise<Renewal> | undefined;
	let lastRenewal: Renewal | undefined;
	const timers: readonly Timer[] = [every(clock, host.leaseMs / renewalsPerLease, () => {
		detectPause();
		lastTickAt = clock.now();
		void renew();
		void observe();
	})];
	void renew();
	void observe();

	return {
		getStatus,
		getLive,
		getDead: () => [...observations.values()].filter(observed => observed.isDead).map(observed => observed.address.incarnation),
		addReported(entries) {
			const before = reportedEntries.size;
			for (const entry of entries) {
				reportedEntries.set(entry.incarnation, {address: entry, reportedAt: clock.now()});
			}

			if (reportedEntries.size !== before) {
				host.onChanged();
			}
		},
		async confirmLease() {
			if (isLost) {
				return 'lost';
			}

			if (clock.now() < leaseExpiresAt) {
				return 'held';
			}

			// During an outage only the timer retries the renewal, so that no reply to a caller waits for the platform.
			detectPause();
			const outcome = wasPaused || lastRenewal !== 'no-answer' ? await renew() : lastRenewal;
			if (outcome === 'no-answer') {
				detectPause();
				return revision > 0 && !wasPaused && areMostOthersLinked() ? 'held' : 'unconfirmed';
			}

			return outcome;
		},
		getReported: () => [...reportedEntries.values()].map(({address}) => address).filter(({incarnation}) => !observations.has(incarnation) && !host.isLinked(incarnation)),
		isLoaded: () => isLoaded,
		hasReadSinceRegistration: () => hasReadSinceRegistration,
		isRegistered: () => revision > 0,
		async deregister() {
			stop();
			leaseExpiresAt = Number.NEGATIVE_INFINITY;
			const value = JSON.stringify({...self, dead: true, renewals: 0});
			await table.commit({conditions: [{key, revision}], writes: [{key, value}]});
		},
		stop,
	};

	function stop(): void {
		isStopped = true;
		for (const timer of timers) {
			timer.cancel();
		}
	}

	function getStatus(incarnation: string): EntryStatus {
		const observation = observations.get(incarnation);
		if (observation?.isDead) {
			return 'dead';
		}

		return observation === undefined && incarnation !== self.incarnation && !host.isLinked(incarnation) ? 'unknown' : 'live';
	}

	function getLive(): readonly EntryAddress[] {
		const live = new Map([[self.incarnation, self]]);
		for (const [incarnation, {address, isDead}] of observations) {
			if (!isDead) {
				live.set(incarnation, address);
			}
		}

		for (const [incarnation, {address}] of reportedEntries) {
			if (host.isLinked(incarnation)) {
				live.set(incarnation, address);
			}
		}

		return [...live.values()];
	}

	async function renew(): Promise<Renewal> {
		renewal ??= renewOnce().then(outcome => {
			renewal = undefined;
			lastRenewal = outcome;
			return outcome;
		});
		return renewal;
	}

	async function renewOnce(): Promise<Renewal> {
		if (isStopped) {
			return 'unconfirmed';
		}

		const startedAt = clock.now();
		const value = JSON.stringify({...self, dead: false, renewals: renewals + 1});
		const outcome = await table.commit({conditions: [{key, revision}], writes: [{key, value}]});
		if (outcome.isErr()) {
			return 'no-answer';
		}

		if (outcome.value.kind === 'committed') {
			const isFirst = revision === 0;
			revision = outcome.value.revision;
			if (isFirst) {
				void observe();
			}

			renewals++;
			leaseExpiresAt = startedAt + host.leaseMs;
			wasPaused = false;
			return 'held';
		}

		return reconcile(outcome.value.revision);
	}

	// The row does not have the expected revision: either an earlier renewal took effect although its response was lost,
	// or another entry has declared this one dead.
	async function reconcile(foundRevision: number): Promise<Renewal> {
		if (foundRevision === 0) {
			return reportLeaseLost();
		}

		const row = await table.get(key);
		// The read may be stale, so it is conclusive only if it returns the revision that the transaction reported.
		if (row.isErr() || row.value?.revision !== foundRevision) {
			return 'unconfirmed';
		}

		// A row that cannot be read declares nothing; the next renewal replaces it.
		if (tryReadRow(row.value)?.dead) {
			return reportLeaseLost();
		}

		revision = foundRevision;
		return 'unconfirmed';
	}

	/** Records a pause longer than the lease, during which another entry may have declared this one dead. */
	function detectPause(): void {
		wasPaused ||= clock.now() - lastTickAt > host.leaseMs;
	}

	// Requires only half of the other entries, so that a few that fail during an outage of the platform do not keep all
	// others from answering until it ends.
	function areMostOthersLinked(): boolean {
		const others = [...observations.values()].filter(({address, isDead}) => !isDead && address.incarnation !== self.incarnation);
		const linked = others.filter(({address}) => host.isLinked(address.incarnation));
		return linked.length * 2 >= others.length;
	}

	function reportLeaseLost(): 'lost' {
		if (!isLost) {
			isLost = true;
			stop();
			host.onDeclaredDead();
		}

		return 'lost';
	}

	async function observe(): Promise<void> {
		const isRegistered = revision > 0;
		const rows = await table.scan(rowPrefix, maxEntries);
		if (rows.isErr() || isStopped) {
			return;
		}

		isLoaded = true;
		hasReadSinceRegistration ||= isRegistered;
		const before = formatStatuses(observations);
		const seenIncarnations = new Set<string>();
		for (const row of rows.value) {
			const incarnation = row.key.slice(rowPrefix.length);
			seenIncarnations.add(incarnation);
			recordRow(row, incarnation, tryReadRow(row));
		}

		for (const incarnation of observations.keys()) {
			if (!seenIncarnations.has(incarnation)) {
				observations.delete(incarnation);
				unlinkedSince.delete(incarnation);
			}
		}

		forgetUnlinkedReports();
		updateUnlinkedTimes();
		await expireEntries();
		if (formatStatuses(observations) !== before) {
			host.onChanged();
		}
	}

	// A report counts only while its entry is linked or will be at once, and is repeated when the link opens again.
	function forgetUnlinkedReports(): void {
		for (const [incarnation, {reportedAt}] of reportedEntries) {
			if (!host.isLinked(incarnation) && clock.now() - reportedAt >= unlinkedReportMs) {
				reportedEntries.delete(incarnation);
			}
		}
	}

	// What is known of an entry stays as it is while its row cannot be read.
	function recordRow({revision: rowRevision}: TableRow, incarnation: string, value: EntryRow | undefined): void {
		const earlier = observations.get(incarnation);
		if (earlier !== undefined && rowRevision <= earlier.revision) {
			return;
		}

		const found = value === undefined ? earlier : {address: {name: value.name, incarnation, links: value.links}, isDead: value.dead};
		if (found !== undefined) {
			observations.set(incarnation, {...found, revision: rowRevision, firstSeenAt: clock.now()});
		}
	}

	async function expireEntries(): Promise<void> {
		const now = clock.now();
		for (const [incarnation, observed] of observations) {
			const age = now - observed.firstSeenAt;
			if (observed.isDead && age > deadRowRetentionMs) {
				await removeDeadEntry(incarnation, observed.revision);
			} else if (!observed.isDead && incarnation !== self.incarnation && age > 2 * host.leaseMs && getUnlinkedTime(incarnation) > host.leaseMs) {
				await declareDead(observed);
			}
		}
	}

	/**
	 * Returns how long the entry has not been linked. The entry itself may detect that later than this one, by less than a
	 * lease.
	 */
	function getUnlinkedTime(incarnation: string): Milliseconds {
		return clock.now() - (unlinkedSince.get(incarnation) ?? clock.now());
	}

	function updateUnlinkedTimes(): void {
		for (const incarnation of observations.keys()) {
			if (host.isLinked(incarnation)) {
				unlinkedSince.delete(incarnation);
			} else if (!unlinkedSince.has(incarnation)) {
				unlinkedSince.set(incarnation, clock.now());
			}
		}
	}

	async function removeDeadEntry(incarnation: string, rowRevision: number): Promise<void> {
		if (await deleteAgreedAnswers(table, incarnation)) {
			const deadKey = `${rowPrefix}${incarnation}`;
			await table.commit({conditions: [{key: deadKey, revision: rowRevision}], writes: [{key: deadKey, value: undefined}]});
		}
	}

	async function declareDead(observed: Observation): Promise<void> {
		const {address} = observed;
		const deadKey = `${rowPrefix}${address.incarnation}`;
		const value = JSON.stringify({...address, dead: true, renewals: 0});
		const outcome = await table.commit({conditions: [{key: deadKey, revision: observed.revision}], writes: [{key: deadKey, value}]});
		if (outcome.isOk() && outcome.value.kind === 'committed') {
			observations.set(address.incarnation, {
				address, isDead: true, revision: outcome.value.revision, firstSeenAt: clock.now(),
			});
		}
	}
}

/** Creates a function that reads the link addresses of all live entries; undefined if the platform does not answer. */
export function createEntryAddressReader({table, log}: Pick<EntryDirectoryHost, 'table' | 'log'>): () => Promise<readonly string[] | undefined> {
	const tryReadRow = createEntryRowReader(log);

	return async () => {
		const rows = await table.scan(rowPrefix, maxEntries);
		return rows.match(found => found.flatMap(row => tryReadRow(row) ?? []).filter(({dead}) => !dead).map(({links}) => links), () => undefined);
	};
}

/** Creates a reader of rows, each of which is about the entry that its key names. */
function createEntryRowReader(log: Pick<Log, 'warn'>): RowReader<EntryRow> {
	return createRowReader(rowSchema, log, ({key}, {incarnation}) => key === `${rowPrefix}${incarnation}` ? undefined : 'it is about another entry than its key');
}

function formatStatuses(observations: ReadonlyMap<string, Observation>): string {
	return [...observations.values()].map(observed => `${observed.address.incarnation}=${observed.isDead ? 'dead' : 'live'}`).toSorted().join(' ');
}
