/**
 * The directory of entries in the platform's table service: who is there, at which address, and who has been
 * declared dead. Each entry holds a lease on its own row by rewriting it; the others judge the lease by
 * their own monotonic clock, never by a time written in the row.
 */
import {z} from 'zod';
import type {EntryAddress} from '../generated/kingcuplane.js';
import {deleteAgreedAnswers} from '../request/agreed-answers.js';
import {
	every, type Clock, type Milliseconds, type Timer,
} from './clock.js';
import {readJson} from './json.js';
import type {TableRow, TableStore} from './platform/types.js';

/** What the directory needs. */
export type EntryDirectoryHost = {
	readonly clock: Clock;
	readonly table: TableStore;
	readonly self: EntryAddress;
	/** A row that stays unchanged for twice this time belongs to a dead entry. */
	readonly leaseMs: Milliseconds;
	/** Whether a stream to this entry incarnation is open. */
	isLinked(incarnation: string): boolean;
	/** Live entries, or the dead ones, have changed. */
	onChanged(): void;
	/** Another entry has declared this one dead: it must stop. */
	onDeclaredDead(): void;
};

/** Whether an entry incarnation may still act. */
export type EntryStatus =
	| 'live'
	/** Declared dead by a transaction; it gives no more answers. */
	| 'dead'
	/** Not in the directory as last read, or never read. */
	| 'unknown';

/** What an entry knows of its own lease. */
export type LeaseStatus =
	| 'held'
	/** Another entry has declared this one dead. */
	| 'lost'
	/** Another entry may have declared this one dead; ask again later. */
	| 'unconfirmed';

/** The directory as one entry sees it. */
export type EntryDirectory = {
	getStatus(incarnation: string): EntryStatus;
	/** All live entries, this one included. */
	getLive(): readonly EntryAddress[];
	getDead(): readonly string[];
	/** Adds entries that a peer told of, for the time that the platform cannot be read. */
	addReported(entries: readonly EntryAddress[]): void;
	/**
	 * Whether this entry still holds its lease. Renews it first if it has lapsed by this entry's own clock, as
	 * after a pause. During an outage of the platform the lease counts as held while this entry was not paused
	 * and at least half of the other live entries are linked, since none of them declares a linked entry dead.
	 */
	confirmLease(): Promise<LeaseStatus>;
	/** Whether the directory was read at least once. */
	isLoaded(): boolean;
	/**
	 * Whether this entry has its row. Before that it must issue no tickets: if it died, nobody could ever tell that
	 * they will not be answered.
	 */
	isRegistered(): boolean;
	/** Declares this entry dead itself; others answer for it from then on. */
	deregister(): Promise<void>;
	stop(): void;
};

/** How an attempt to renew the lease ended; `no-answer` means that the platform did not tell. */
type Renewal = LeaseStatus | 'no-answer';

type Observation = {
	readonly address: EntryAddress;
	readonly isDead: boolean;
	readonly revision: number;
	/** When this entry first saw the revision. */
	readonly since: Milliseconds;
};

const rowPrefix = 'entries/';
const maxEntries = 1000;
const renewalsPerLease = 3;
/** Dead rows stay this long, so that every entry and agent hears of them. */
const deadKeepMs: Milliseconds = 3_600_000;

const rowSchema = z.object({
	name: z.string(), incarnation: z.string(), links: z.string(), dead: z.boolean(), renewals: z.int(),
});

/** Creates the directory, registers this entry and keeps its lease until stopped. */
export function createEntryDirectory(host: EntryDirectoryHost): EntryDirectory {
	const {clock, table, self} = host;
	const key = `${rowPrefix}${self.incarnation}`;
	const observations = new Map<string, Observation>();
	const learned = new Map<string, EntryAddress>();
	let revision = 0;
	let renewals = 0;
	let heldUntil = clock.now();
	/** Since when an entry has not been linked. */
	const unlinkedSince = new Map<string, Milliseconds>();
	/** When the timer last ran, to notice that this process was paused. */
	let tickedAt = clock.now();
	let wasPaused = false;
	let isKnown = false;
	let isLost = false;
	let isStopped = false;
	let renewal: Promise<Renewal> | undefined;
	let lastRenewal: Renewal | undefined;
	const timers: readonly Timer[] = [every(clock, host.leaseMs / renewalsPerLease, () => {
		notePause();
		tickedAt = clock.now();
		void renew();
		void observe();
	})];
	void renew();
	void observe();

	return {
		getStatus,
		getLive,
		getDead: () => [...observations.values()].filter(seen => seen.isDead).map(seen => seen.address.incarnation),
		addReported(entries) {
			const before = learned.size;
			for (const entry of entries) {
				learned.set(entry.incarnation, entry);
			}

			if (learned.size !== before) {
				host.onChanged();
			}
		},
		async confirmLease() {
			if (isLost) {
				return 'lost';
			}

			if (clock.now() < heldUntil) {
				return 'held';
			}

			// During an outage the timer keeps trying, so that no reply waits for the platform.
			notePause();
			const outcome = wasPaused || lastRenewal !== 'no-answer' ? await renew() : lastRenewal;
			if (outcome === 'no-answer') {
				notePause();
				return revision > 0 && !wasPaused && areMostOthersLinked() ? 'held' : 'unconfirmed';
			}

			return outcome;
		},
		isLoaded: () => isKnown,
		isRegistered: () => revision > 0,
		async deregister() {
			stop();
			heldUntil = Number.NEGATIVE_INFINITY;
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

		for (const [incarnation, address] of learned) {
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
			revision = outcome.value.revision;
			renewals++;
			heldUntil = startedAt + host.leaseMs;
			wasPaused = false;
			return 'held';
		}

		return reconcile(outcome.value.revision);
	}

	// The row has another revision than expected: either an earlier renewal took effect although its answer was
	// lost, or another entry has declared this one dead.
	async function reconcile(found: number): Promise<Renewal> {
		if (found === 0) {
			return lose();
		}

		const row = await table.get(key);
		// The store may serve an old read; only the revision that the transaction reported tells what happened.
		if (row.isErr() || row.value?.revision !== found) {
			return 'unconfirmed';
		}

		if (tryReadRow(row.value)?.dead !== false) {
			return lose();
		}

		revision = found;
		return 'unconfirmed';
	}

	/** A process that was paused for longer than its lease cannot tell what others did meanwhile. */
	function notePause(): void {
		wasPaused ||= clock.now() - tickedAt > host.leaseMs;
	}

	// Entries that are down as well must not silence the rest for as long as the platform is down.
	function areMostOthersLinked(): boolean {
		const others = [...observations.values()].filter(({address, isDead}) => !isDead && address.incarnation !== self.incarnation);
		const linked = others.filter(({address}) => host.isLinked(address.incarnation));
		return linked.length * 2 >= others.length;
	}

	function lose(): 'lost' {
		if (!isLost) {
			isLost = true;
			stop();
			host.onDeclaredDead();
		}

		return 'lost';
	}

	async function observe(): Promise<void> {
		const rows = await table.scan(rowPrefix, maxEntries);
		if (rows.isErr() || isStopped) {
			return;
		}

		isKnown = true;
		const before = describe(observations);
		const seen = new Set<string>();
		for (const row of rows.value) {
			const value = tryReadRow(row);
			if (value !== undefined) {
				seen.add(value.incarnation);
				note(row, value);
			}
		}

		for (const incarnation of observations.keys()) {
			if (!seen.has(incarnation)) {
				observations.delete(incarnation);
				unlinkedSince.delete(incarnation);
			}
		}

		noteLinks();
		await buryLapsed();
		if (describe(observations) !== before) {
			host.onChanged();
		}
	}

	function note(row: TableRow, value: z.infer<typeof rowSchema>): void {
		const earlier = observations.get(value.incarnation);
		if (earlier !== undefined && row.revision <= earlier.revision) {
			return;
		}

		observations.set(value.incarnation, {
			address: {name: value.name, incarnation: value.incarnation, links: value.links},
			isDead: value.dead,
			revision: row.revision,
			since: clock.now(),
		});
	}

	async function buryLapsed(): Promise<void> {
		const now = clock.now();
		for (const [incarnation, seen] of observations) {
			const age = now - seen.since;
			if (seen.isDead && age > deadKeepMs) {
				await forget(incarnation, seen.revision);
			} else if (!seen.isDead && incarnation !== self.incarnation && age > 2 * host.leaseMs && getUnlinkedTime(incarnation) > host.leaseMs) {
				await declareDead(seen);
			}
		}
	}

	/** How long the entry has not been linked; its own view of the link may lag by less than a lease. */
	function getUnlinkedTime(incarnation: string): Milliseconds {
		return clock.now() - (unlinkedSince.get(incarnation) ?? clock.now());
	}

	function noteLinks(): void {
		for (const incarnation of observations.keys()) {
			if (host.isLinked(incarnation)) {
				unlinkedSince.delete(incarnation);
			} else if (!unlinkedSince.has(incarnation)) {
				unlinkedSince.set(incarnation, clock.now());
			}
		}
	}

	async function forget(incarnation: string, rowRevision: number): Promise<void> {
		if (await deleteAgreedAnswers(table, incarnation)) {
			const deadKey = `${rowPrefix}${incarnation}`;
			await table.commit({conditions: [{key: deadKey, revision: rowRevision}], writes: [{key: deadKey, value: undefined}]});
		}
	}

	async function declareDead(seen: Observation): Promise<void> {
		const {address} = seen;
		const deadKey = `${rowPrefix}${address.incarnation}`;
		const value = JSON.stringify({...address, dead: true, renewals: 0});
		const outcome = await table.commit({conditions: [{key: deadKey, revision: seen.revision}], writes: [{key: deadKey, value}]});
		if (outcome.isOk() && outcome.value.kind === 'committed') {
			observations.set(address.incarnation, {
				address, isDead: true, revision: outcome.value.revision, since: clock.now(),
			});
		}
	}
}

/** Reads the links addresses of all live entries once; undefined if the platform does not answer. */
export async function readEntryAddresses(table: TableStore): Promise<readonly string[] | undefined> {
	const rows = await table.scan(rowPrefix, maxEntries);
	if (rows.isErr()) {
		return undefined;
	}

	return rows.value
		.map(row => tryReadRow(row))
		.filter(row => row !== undefined && !row.dead)
		.map(row => row!.links);
}

function tryReadRow(row: TableRow): z.infer<typeof rowSchema> | undefined {
	return readJson(rowSchema, row.value).unwrapOr(undefined);
}

function describe(observations: ReadonlyMap<string, Observation>): string {
	return [...observations.values()].map(seen => `${seen.address.incarnation}=${seen.isDead ? 'dead' : 'live'}`).toSorted().join(' ');
}
