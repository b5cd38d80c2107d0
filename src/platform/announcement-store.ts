/**
 * Stores the last announcement of the executor beside an agent, so that a restarted agent can use the executor at once,
 * without waiting for its next heartbeat.
 */
import {z} from 'zod';
import {sleep, type Clock, type Milliseconds} from '../process/clock.js';
import type {ExecutorInfo} from '../process/executor-types.js';
import {
	amountSchema, connectableAddressSchema, headerNameSchema, labelsSchema, nameSchema, wallTimeSchema,
} from '../process/input-schemas.js';
import type {Log} from '../process/log.js';
import type {TableStore} from '../process/platform/types.js';
import {createRowReader} from '../process/row-reader.js';
import type {IsOwnService} from './own-service.js';

/** An announcement as it is stored. */
export type Announcement = {
	readonly facts: ExecutorInfo;
	readonly isLeaving: boolean;
};

/** Dependencies of the store. */
export type AnnouncementStoreHost = {
	readonly clock: Clock;
	readonly table: TableStore;
	readonly log: Log;
	/** Name of the machine. */
	readonly machine: string;
	readonly isOwnService: IsOwnService;
};

/** Loads and saves the announcement of one machine's executor. */
export type AnnouncementStore = {
	/** Returns the stored announcement; undefined if there is none or it cannot be read now. */
	load(): Promise<Announcement | undefined>;
	/** Saves the newest announcement in the background; retries until it is written. */
	save(announcement: Announcement): void;
	/** Ends the retries. */
	stop(): void;
};

const retryMs: Milliseconds = 300;

const announcementSchema = z.object({
	facts: z.object({
		id: headerNameSchema,
		bornAt: wallTimeSchema,
		address: connectableAddressSchema,
		service: nameSchema,
		room: z.object({cpu: amountSchema, memory: amountSchema, accelerators: amountSchema}),
		labels: labelsSchema,
	}),
	isLeaving: z.boolean(),
});

/** Creates the store of one machine's announcement. */
export function createAnnouncementStore({
	clock, table, log, machine, isOwnService,
}: AnnouncementStoreHost): AnnouncementStore {
	const key = `executors/${machine}`;
	const tryReadRow = createRowReader(announcementSchema, log);
	let pending: Announcement | undefined;
	/** Revision of the row as last seen; undefined before it was read. */
	let revision: number | undefined;
	let isSaving = false;
	let isStopped = false;

	return {
		async load() {
			const row = await table.get(key);
			if (row.isErr()) {
				log.info({diagnostic: row.error.diagnostic}, 'cannot read the last announcement; waiting for the next heartbeat');
				return undefined;
			}

			revision ??= row.value?.revision ?? 0;
			const announcement = row.value === undefined ? undefined : tryReadRow(row.value);
			if (announcement !== undefined && !isOwnService(announcement.facts.service)) {
				log.warn({announcement}, 'the last announcement names another service than the settings; waiting for the next heartbeat');
				return undefined;
			}

			return announcement;
		},
		save(announcement) {
			pending = announcement;
			if (!isSaving) {
				isSaving = true;
				void savePending();
			}
		},
		stop() {
			isStopped = true;
		},
	};

	async function savePending(): Promise<void> {
		while (pending !== undefined && !hasStopped()) {
			const saving = pending;
			if (!await trySave(saving)) {
				await sleep(clock, retryMs);
			} else if (pending === saving) {
				pending = undefined;
			}
		}

		isSaving = false;
	}

	// The condition on the revision keeps a write without an answer, which may take effect seconds later, from replacing a
	// newer announcement: an executor that has left would otherwise be used again after a restart.
	async function trySave(announcement: Announcement): Promise<boolean> {
		revision ??= await readRevision();
		if (revision === undefined) {
			return false;
		}

		const outcome = await table.commit({conditions: [{key, revision}], writes: [{key, value: JSON.stringify(announcement)}]});
		if (outcome.isErr()) {
			return false;
		}

		revision = outcome.value.revision;
		return outcome.value.kind === 'committed';
	}

	async function readRevision(): Promise<number | undefined> {
		const row = await table.get(key);
		return row.isErr() ? undefined : row.value?.revision ?? 0;
	}

	function hasStopped(): boolean {
		return isStopped;
	}
}
