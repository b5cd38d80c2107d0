/**
 * Interfaces of the platform's table service and object store.
 * Implementations: `src/platform/platform-client.ts` over HTTP, and `memory.ts` in memory.
 */
import type {ResultAsync} from 'neverthrow';
import type {Diagnostic} from '../diagnostics.js';
import type {Milliseconds} from '../clock.js';

/** One row of the table service. */
export type TableRow = {
	readonly key: string;
	/** JSON text. */
	readonly value: string;
	/** Increases with each write to the row, starting at 1, and is never reused for it. Revision 0 denotes an absent row. */
	readonly revision: number;
};

/** Met if the row has this revision; 0 means that the row must be absent. */
export type TableCondition = {
	readonly key: string;
	readonly revision: number;
};

/** Sets a row, or deletes it if `value` is undefined. */
export type TableWrite = {
	readonly key: string;
	readonly value: string | undefined;
};

/** Writes that take effect together if all conditions hold, and otherwise not at all. */
export type Transaction = {
	readonly conditions: readonly TableCondition[];
	readonly writes: readonly TableWrite[];
};

/** Outcome of a transaction. */
export type CommitOutcome =
	/** All written rows now have this revision. */
	| {readonly kind: 'committed'; readonly revision: number}
	/** The row `key` has the revision `revision`, not the one that its condition requires. */
	| {readonly kind: 'conflict'; readonly key: string; readonly revision: number};

/** Why a call to the platform failed. */
export type PlatformError = {
	readonly kind: 'unreachable' | 'timeout' | 'rate-limited' | 'invalid';
	/** Whether a write may have taken effect although no answer arrived. */
	readonly mayHaveTakenEffect: boolean;
	/** Time to wait before the call is tried again. */
	readonly retryAfter: Milliseconds;
	readonly diagnostic: Diagnostic;
};

/** The platform's transactional table service. */
export type TableStore = {
	get(key: string): ResultAsync<TableRow | undefined, PlatformError>;
	/** Returns up to `limit` rows whose key starts with `prefix`, in order of key, after the key `after` if given. */
	scan(prefix: string, limit: number, after?: string): ResultAsync<readonly TableRow[], PlatformError>;
	commit(transaction: Transaction): ResultAsync<CommitOutcome, PlatformError>;
};

/** The platform's object store. */
export type ObjectStore = {
	get(key: string): ResultAsync<Uint8Array | undefined, PlatformError>;
	put(key: string, bytes: Uint8Array): ResultAsync<void, PlatformError>;
	delete(key: string): ResultAsync<void, PlatformError>;
	/** Returns up to `limit` keys that start with `prefix`, in order. */
	list(prefix: string, limit: number): ResultAsync<readonly string[], PlatformError>;
};

/** Both services of the platform. */
export type Platform = {
	readonly table: TableStore;
	readonly objects: ObjectStore;
};
