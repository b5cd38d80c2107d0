/**
 * The platform's table service and object store as the rest of the system sees them.
 * Implementations: `client.ts` over HTTP, and in-memory fakes in tests.
 */
import type {ResultAsync} from 'neverthrow';
import type {Diagnostic} from '../diagnostics.js';
import type {Milliseconds} from '../clock.js';

/** One row of the table service. */
export type TableRow = {
	readonly key: string;
	/** JSON text. */
	readonly value: string;
	/** Grows with each write to the row, from 1, and is never used again for it. Revision 0 stands for an absent row. */
	readonly revision: number;
};

/** Holds if the row still has this revision; 0 means that the row must be absent. */
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

/** How a transaction ended. */
export type CommitOutcome =
	/** Each row that was written has this revision now. */
	| {readonly kind: 'committed'; readonly revision: number}
	/** `key` has the revision `revision`, not the one that its condition names. */
	| {readonly kind: 'conflict'; readonly key: string; readonly revision: number};

/** Why a call to the platform gave no answer. */
export type PlatformError = {
	readonly kind: 'unreachable' | 'timeout' | 'rate-limited' | 'invalid';
	/** Whether a write may have taken effect although no answer came. */
	readonly mayHaveTakenEffect: boolean;
	readonly retryAfter: Milliseconds;
	readonly diagnostic: Diagnostic;
};

/** The platform's transactional table service. */
export type TableStore = {
	get(key: string): ResultAsync<TableRow | undefined, PlatformError>;
	/** Rows whose key starts with `prefix`, in order of key, after the key `after` if given. */
	scan(prefix: string, limit: number, after?: string): ResultAsync<readonly TableRow[], PlatformError>;
	commit(transaction: Transaction): ResultAsync<CommitOutcome, PlatformError>;
};

/** The platform's object store. */
export type ObjectStore = {
	get(key: string): ResultAsync<Uint8Array | undefined, PlatformError>;
	put(key: string, bytes: Uint8Array): ResultAsync<void, PlatformError>;
	delete(key: string): ResultAsync<void, PlatformError>;
	/** Keys that start with `prefix`, in order. */
	list(prefix: string, limit: number): ResultAsync<readonly string[], PlatformError>;
};

/** Both services of the platform. */
export type Platform = {
	readonly table: TableStore;
	readonly objects: ObjectStore;
};
