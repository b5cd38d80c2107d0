/**
 * Records of cancelled jobs in the platform's table service, from which entries learn their names if no entry has lived on that knows them. The
 * names that arrive within a short time are written together, to one row that grows until it is full or some time has passed. After a write of
 * which it is not known whether it took effect, another row is begun, so that a late write replaces nothing.
 */
import {z} from 'zod';
import type {AgedName} from '../request/recent-names.js';
import {cancelledNameRetentionMs} from './cancelled-names.js';
import {
	every, sleep, type Clock, type Milliseconds,
} from './clock.js';
import {createListSchema, nameSchema, wallTimeSchema} from './input-schemas.js';
import type {Log} from './log.js';
import type {TableRow, TableStore} from './platform/types.js';
import {createRowReader} from './row-reader.js';

/** Dependencies of the records. */
export type CancelRecordsHost = {
	readonly clock: Clock;
	readonly table: TableStore;
	readonly log: Pick<Log, 'warn'>;
	/** Incarnation of this entry. */
	readonly incarnation: string;
};

/** The records of one entry. */
export type CancelRecords = {
	/** Saves the name of a cancelled job. Resolves once that is done, or after a limit, after which it is still tried. */
	save(name: string): Promise<void>;
	/** Reads the names that any entry has saved recently; undefined if they cannot be read now. */
	load(): Promise<readonly AgedName[] | undefined>;
	/** Ends all work in the background. */
	stop(): void;
};

/** A name that was cancelled at this wall time. */
type SavedName = readonly [name: string, cancelledAt: number];

type Row = {
	readonly key: string;
	readonly revision: number;
	readonly names: readonly SavedName[];
};

type PendingName = {
	readonly saved: SavedName;
	resolve(): void;
};

const rowPrefix = 'cancels/';
/** At the length that clients give names, a row is then half as long as the store allows. */
const maxNamesPerRow = 500;
const maxRows = 2000;
/** Time after which another row is begun, so that rows can be removed soon after their last name is forgotten. */
const rowOpenMs: Milliseconds = 60_000;
/** Shortest time between two writes. */
const writeIntervalMs: Milliseconds = 100;
const retryMs: Milliseconds = 300;
/** Longest time for which the acknowledgement of a request to cancel waits for the store. */
const maxSaveMs: Milliseconds = 300;
/** Names beyond this number are not saved until others are forgotten; entries do not remember more, either. */
const maxNames = 10_000;
const cleanupIntervalMs: Milliseconds = 60_000;
/** Greatest difference between the clocks of two machines that is allowed for when rows are removed. */
const maxClockDifferenceMs: Milliseconds = 60_000;

const rowSchema = createListSchema(z.tuple([nameSchema, wallTimeSchema]), {max: maxNamesPerRow});

/** Creates the records of an entry that has saved no name. */
export function createCancelRecords({clock, table, log, incarnation}: CancelRecordsHost): CancelRecords {
	const tryReadRow = createRowReader(rowSchema, log);
	const pending: PendingName[] = [];
	/** Rows of this entry that were written, the open one included. */
	const written = new Map<string, Row>();
	let rowCount = 0;
	let open: Row = createRow();
	let openedAt = clock.now();
	let isWriting = false;
	let isStopped = false;
	const timer = every(clock, cleanupIntervalMs, () => {
		void removeOutdated([...written.values()].filter(row => row !== open));
	});

	return {
		async save(name) {
			if (pending.length + countWritten() >= maxNames) {
				log.warn({request: name}, 'too many jobs were cancelled lately; this name is not saved');
				return;
			}

			const saved = new Promise<void>(resolve => {
				pending.push({saved: [name, Math.round(clock.wall())], resolve});
			});
			if (!isWriting) {
				isWriting = true;
				void writePending();
			}

			await Promise.race([saved, sleep(clock, maxSaveMs)]);
		},
		async load() {
			const found = await table.scan(rowPrefix, maxRows);
			if (found.isErr()) {
				return undefined;
			}

			const rows = found.value.flatMap(row => toRow(row) ?? []);
			void removeOutdated(rows.filter(({key}) => !written.has(key)));
			const now = clock.wall();
			return rows.flatMap(({names}) => names)
				.map(([name, cancelledAt]) => ({name, age: Math.max(0, now - cancelledAt)}))
				.filter(({age}) => age <= cancelledNameRetentionMs);
		},
		stop() {
			isStopped = true;
			timer.cancel();
		},
	};

	function countWritten(): number {
		let count = 0;
		for (const {names} of written.values()) {
			count += names.length;
		}

		return count;
	}

	function createRow(): Row {
		return {key: `${rowPrefix}${incarnation}.${rowCount}`, revision: 0, names: []};
	}

	function beginRow(): void {
		rowCount++;
		open = createRow();
		openedAt = clock.now();
	}

	function toRow(row: TableRow): Row | undefined {
		const names = tryReadRow(row);
		return names && {key: row.key, revision: row.revision, names};
	}

	async function writePending(): Promise<void> {
		while (pending.length > 0 && !hasStopped()) {
			const isWritten = await writeBatch();
			await sleep(clock, isWritten ? writeIntervalMs : retryMs);
		}

		isWriting = false;
	}

	/** Writes the names that wait, or as many as fit into a row. Returns whether that has succeeded. */
	async function writeBatch(): Promise<boolean> {
		if (open.names.length >= maxNamesPerRow || clock.now() - openedAt > rowOpenMs) {
			beginRow();
		}

		const batch = pending.slice(0, maxNamesPerRow - open.names.length);
		const {key, revision} = open;
		const names = [...open.names, ...batch.map(({saved}) => saved)];
		const outcome = await table.commit({conditions: [{key, revision}], writes: [{key, value: JSON.stringify(names)}]});
		if (outcome.isErr() || outcome.value.kind === 'conflict') {
			log.warn({row: key, names: batch.length, diagnostic: outcome.isErr() ? outcome.error.diagnostic : undefined}, 'names of cancelled jobs were not saved; trying again');
			beginRow();
			return false;
		}

		open = {key, revision: outcome.value.revision, names};
		written.set(key, open);
		for (const {resolve} of pending.splice(0, batch.length)) {
			resolve();
		}

		return true;
	}

	function hasStopped(): boolean {
		return isStopped;
	}

	/** Removes the rows all of whose names are forgotten. */
	async function removeOutdated(rows: readonly Row[]): Promise<void> {
		const oldest = clock.wall() - cancelledNameRetentionMs - maxClockDifferenceMs;
		for (const {key, revision, names} of rows) {
			if (names.every(([, cancelledAt]) => cancelledAt < oldest)) {
				const outcome = await table.commit({conditions: [{key, revision}], writes: [{key, value: undefined}]});
				if (outcome.isErr()) {
					// Tried again with the next cleanup, or by an entry that starts.
					log.warn({row: key, diagnostic: outcome.error.diagnostic}, 'outdated names of cancelled jobs were not removed');
					return;
				}

				written.delete(key);
			}
		}
	}
}
