/**
 * An in-memory platform for tests and development. It runs on any clock, counts its calls, and its injected faults can be
 * changed while it runs. Calls without a delay take effect at once.
 */
import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {sleep, type Clock, type Milliseconds} from '../clock.js';
import {createRateLimitError, createTimeoutError, createUnreachableError} from './errors.js';
import type {
	CommitOutcome, Platform, PlatformError, TableCondition, TableRow, TableWrite, Transaction,
} from './types.js';

/** Active faults. */
export type PlatformFaults = {
	/** Whether every call fails as unreachable, without effect. */
	readonly down: boolean;
	/** Delay before each call takes effect. */
	readonly slowMs: Milliseconds;
	/** Number of calls that are answered in each second; further ones are refused. Undefined for no limit. */
	readonly callsPerSecond: number | undefined;
	/** Number of upcoming writes that take effect but whose reply is lost. */
	readonly repliesToLose: number;
	/** Age of the data that table reads return, to simulate stale reads. */
	readonly oldReadsMs: Milliseconds;
};

/** Number of calls since the start. */
export type PlatformStats = {
	readonly tableReads: number;
	/** Transactions, including those that end in a conflict. */
	readonly tableWrites: number;
	readonly objectReads: number;
	readonly objectWrites: number;
	/** Calls that failed without effect, because the platform was down or the rate limit was exceeded. */
	readonly refused: number;
	readonly repliesLost: number;
};

/** Dependencies and limits of a memory platform. */
export type MemoryPlatformHost = {
	readonly clock: Clock;
	/** Calls slower than this fail as timed out, but writes still take effect later. Default: no limit. */
	readonly timeout?: Milliseconds;
};

/** An in-memory platform whose faults can be changed and whose calls are counted. */
export type MemoryPlatform = Platform & {
	/** Changes the given faults and leaves the others unchanged. */
	setFaults(faults: Partial<PlatformFaults>): void;
	getFaults(): PlatformFaults;
	getStats(): PlatformStats;
	/** Returns the revision of the newest transaction. */
	getRevision(): number;
};

/** No faults; the initial state of a memory platform. */
export const noPlatformFaults: PlatformFaults = {
	down: false,
	slowMs: 0,
	callsPerSecond: undefined,
	repliesToLose: 0,
	oldReadsMs: 0,
};

/** Greatest age for which stale reads return exactly the rows of that time. */
export const rowHistoryMs: Milliseconds = 60_000;

const retryAfterMs: Milliseconds = 100;
const secondMs: Milliseconds = 1000;

type CallKind = 'tableReads' | 'tableWrites' | 'objectReads' | 'objectWrites';

/** Creates an empty platform without active faults. */
export function createMemoryPlatform({clock, timeout = Number.POSITIVE_INFINITY}: MemoryPlatformHost): MemoryPlatform {
	const rows = createRowHistory(clock);
	const objects = new Map<string, Uint8Array>();
	const stats = {
		tableReads: 0, tableWrites: 0, objectReads: 0, objectWrites: 0, refused: 0, repliesLost: 0,
	};
	let faults = noPlatformFaults;
	let second = 0;
	let callsInSecond = 0;
	/** Number of committed transactions. */
	let revision = 0;

	return {
		table: {
			get: key => call('tableReads', () => rows.get(key, faults.oldReadsMs)),
			scan: (prefix, limit, after) => call('tableReads', () => {
				const keys = selectKeys(rows.keys(), prefix, after);
				return keys.map(key => rows.get(key, faults.oldReadsMs)).filter(row => row !== undefined).slice(0, limit);
			}),
			commit: transaction => call('tableWrites', () => commit(transaction)),
		},
		objects: {
			get: key => call('objectReads', () => objects.get(key)),
			put(key, bytes) {
				const copy = Uint8Array.from(bytes);
				return call('objectWrites', () => {
					objects.set(key, copy);
				});
			},
			delete: key => call('objectWrites', () => {
				objects.delete(key);
			}),
			list: (prefix, limit) => call('objectReads', () => selectKeys(objects.keys(), prefix).slice(0, limit)),
		},
		setFaults(changes) {
			faults = {...faults, ...changes};
		},
		getFaults: () => faults,
		getStats: () => ({...stats}),
		getRevision: () => revision,
	};

	function call<T>(kind: CallKind, action: () => T): ResultAsync<T, PlatformError> {
		return new ResultAsync(run(kind, action));
	}

	async function run<T>(kind: CallKind, action: () => T): Promise<Result<T, PlatformError>> {
		const refusal = tryRefuse();
		if (refusal !== undefined) {
			stats.refused++;
			return err(refusal);
		}

		stats[kind]++;
		const isWrite = kind === 'tableWrites' || kind === 'objectWrites';
		const {slowMs} = faults;
		if (slowMs > timeout) {
			clock.after(slowMs, action);
			await sleep(clock, timeout);
			return err(createTimeoutError(timeout, isWrite, retryAfterMs));
		}

		if (slowMs > 0) {
			await sleep(clock, slowMs);
		}

		const value = action();
		if (isWrite && faults.repliesToLose > 0) {
			faults = {...faults, repliesToLose: faults.repliesToLose - 1};
			stats.repliesLost++;
			return err(createUnreachableError('the reply was lost', true, retryAfterMs));
		}

		return ok(value);
	}

	function tryRefuse(): PlatformError | undefined {
		if (faults.down) {
			return createUnreachableError('the service is down', false, retryAfterMs);
		}

		const now = clock.now();
		const currentSecond = Math.floor(now / secondMs);
		if (currentSecond !== second) {
			second = currentSecond;
			callsInSecond = 0;
		}

		if (faults.callsPerSecond !== undefined && callsInSecond >= faults.callsPerSecond) {
			return createRateLimitError(((second + 1) * secondMs) - now);
		}

		callsInSecond++;
		return undefined;
	}

	function commit({conditions, writes}: Transaction): CommitOutcome {
		const failedCondition = conditions.find(condition => !isMet(condition));
		if (failedCondition !== undefined) {
			return {kind: 'conflict', key: failedCondition.key, revision: rows.get(failedCondition.key, 0)?.revision ?? 0};
		}

		revision++;
		for (const write of writes) {
			rows.write(write, revision);
		}

		return {kind: 'committed', revision};
	}

	function isMet({key, revision}: TableCondition): boolean {
		return (rows.get(key, 0)?.revision ?? 0) === revision;
	}
}

type RowVersion = {
	readonly at: Milliseconds;
	readonly value: string | undefined;
	readonly revision: number;
};

type RowHistory = {
	keys(): Iterable<string>;
	/** Returns the row as it was `age` milliseconds ago. */
	get(key: string, age: Milliseconds): TableRow | undefined;
	write(write: TableWrite, revision: number): void;
};

/** Stores the versions of each row, oldest first. */
function createRowHistory(clock: Clock): RowHistory {
	const versionsByKey = new Map<string, RowVersion[]>();

	return {
		keys: () => versionsByKey.keys(),
		get(key, age) {
			const asOf = clock.now() - age;
			const version = versionsByKey.get(key)?.findLast(({at}) => at <= asOf);
			return version?.value === undefined ? undefined : {key, value: version.value, revision: version.revision};
		},
		write({key, value}, revision) {
			const versions = versionsByKey.get(key) ?? [];
			versions.push({at: clock.now(), value, revision});
			versionsByKey.set(key, dropOldVersions(versions, clock.now() - rowHistoryMs));
		},
	};
}

/** Retains all versions since `horizon` and the newest one from before. */
function dropOldVersions(versions: RowVersion[], horizon: Milliseconds): RowVersion[] {
	const newestBeforeHorizon = versions.findLastIndex(({at}) => at <= horizon);
	return newestBeforeHorizon > 0 ? versions.slice(newestBeforeHorizon) : versions;
}

function selectKeys(keys: Iterable<string>, prefix: string, after?: string): string[] {
	return [...keys]
		.filter(key => key.startsWith(prefix) && (after === undefined || key > after))
		.toSorted();
}
