/**
 * What the executor beside an agent announced last, kept in the store: an agent that is started again uses the executor
 * at once, without waiting for its next heartbeat.
 */
import {z} from 'zod';
import {sleep, type Clock, type Milliseconds} from '../process/clock.js';
import {readJson} from '../process/json.js';
import type {Log} from '../process/log.js';
import type {TableStore} from '../process/platform/types.js';
import type {ExecutorInfo} from './heartbeats.js';

/** An announcement as it is kept. */
export type Announcement = {
	readonly facts: ExecutorInfo;
	readonly isLeaving: boolean;
};

/** What the row needs. */
export type AnnouncementStoreHost = {
	readonly clock: Clock;
	readonly table: TableStore;
	readonly log: Log;
	/** Name of the machine. */
	readonly machine: string;
};

/** The row of one machine. */
export type AnnouncementStore = {
	/** Undefined if there is none or it cannot be read now. */
	load(): Promise<Announcement | undefined>;
	/** Keeps the newest announcement; tries until it is written. */
	save(announcement: Announcement): void;
	stop(): void;
};

const retryMs: Milliseconds = 300;

const rowSchema = z.object({
	facts: z.object({
		id: z.string(),
		bornAt: z.number(),
		address: z.string(),
		service: z.string(),
		room: z.object({cpu: z.number(), memory: z.number(), accelerators: z.number()}),
		labels: z.array(z.string()),
	}),
	isLeaving: z.boolean(),
});

/** Creates the row's reader and writer. */
export function createAnnouncementStore({
	clock, table, log, machine,
}: AnnouncementStoreHost): AnnouncementStore {
	const key = `executors/${machine}`;
	let wanted: Announcement | undefined;
	let isWriting = false;
	let isStopped = false;

	return {
		async load() {
			const row = await table.get(key);
			if (row.isErr()) {
				log.info({diagnostic: row.error.diagnostic}, 'the last announcement cannot be read; the next heartbeat is awaited');
				return undefined;
			}

			return row.value === undefined ? undefined : readJson(rowSchema, row.value.value).unwrapOr(undefined);
		},
		save(announcement) {
			wanted = announcement;
			if (!isWriting) {
				isWriting = true;
				void writeAll();
			}
		},
		stop() {
			isStopped = true;
		},
	};

	async function writeAll(): Promise<void> {
		while (wanted !== undefined && !isOver()) {
			const written = wanted;
			const outcome = await table.commit({conditions: [], writes: [{key, value: JSON.stringify(written)}]});
			if (outcome.isErr()) {
				await sleep(clock, retryMs);
			} else if (wanted === written) {
				wanted = undefined;
			}
		}

		isWriting = false;
	}

	function isOver(): boolean {
		return isStopped;
	}
}
