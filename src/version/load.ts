/**
 * Reads the newest version and the audit trail from the platform. Every read may be stale.
 */
import {
	err, ok, okAsync, Result, type ResultAsync,
} from 'neverthrow';
import type {Milliseconds} from '../process/clock.js';
import {createDiagnostic, Diagnostics, type Diagnostic} from '../process/diagnostics.js';
import type {Platform, PlatformError} from '../process/platform/types.js';
import {
	auditPrefix, getAuditKey, headKey, readAuditRecord, readHead, type Head,
} from './rows.js';
import {decodeSnapshot} from './snapshot-codec.js';
import {emptySnapshot} from './snapshot.js';
import type {AuditRecord, Snapshot} from './types.js';

/** Why a read failed. */
export type LoadError = {
	readonly diagnostic: Diagnostic;
	/** Time after which another read may succeed; undefined if the stored data is invalid. */
	readonly retryAfter: Milliseconds | undefined;
};

/** The head row as read. */
export type LoadedHead = {
	/** Version 0 if nothing was published. */
	readonly version: number;
	/** Revision of the row, 0 if it is absent. */
	readonly revision: number;
	readonly head: Head | undefined;
};

const absentObjectRetryAfter: Milliseconds = 200;
const maxRowsPerScan = 500;

/** Reads the head row. */
export function loadHead(platform: Platform): ResultAsync<LoadedHead, LoadError> {
	return platform.table.get(headKey)
		.mapErr(error => toLoadError(error))
		.andThen(row => row === undefined
			? ok({version: 0, revision: 0, head: undefined})
			: readHead(row)
				.map(head => ({version: head.version, revision: row.revision, head}))
				.mapErr(diagnostic => toInvalidDataError(diagnostic)));
}

/** Reads the snapshot that a head row names. */
export function loadSnapshot(platform: Platform, {head}: LoadedHead): ResultAsync<Snapshot, LoadError> {
	return head === undefined
		? okAsync(emptySnapshot)
		: platform.objects.get(head.object)
			.mapErr(error => toLoadError(error))
			.andThen(bytes => bytes === undefined
				? err({diagnostic: createDiagnostic(Diagnostics.Snapshot_is_absent, head.object), retryAfter: absentObjectRetryAfter})
				: readSnapshot(head, bytes).mapErr(diagnostic => toInvalidDataError(diagnostic)));
}

/** Reads the newest snapshot. */
export function loadNewestSnapshot(platform: Platform): ResultAsync<Snapshot, LoadError> {
	return loadHead(platform).andThen(head => loadSnapshot(platform, head));
}

/** Reads the audit records of the versions after `version`, oldest first, at most `limit`. */
export function loadAuditRecords(platform: Platform, version: number, limit: number): ResultAsync<readonly AuditRecord[], LoadError> {
	const count = Math.min(limit, maxRowsPerScan);
	return platform.table.scan(auditPrefix, count, getAuditKey(version))
		.mapErr(error => toLoadError(error))
		.andThen(rows => Result.combine(rows.map(row => readAuditRecord(row))).mapErr(diagnostic => toInvalidDataError(diagnostic)))
		.andThen(records => records.length < count || records.length === limit
			? okAsync(records)
			: loadAuditRecords(platform, records.at(-1)!.version, limit - count).map(rest => [...records, ...rest]));
}

/** Converts an error of the platform to a load error, which also states when another read may succeed. */
export function toLoadError(error: PlatformError): LoadError {
	return {diagnostic: error.diagnostic, retryAfter: error.retryAfter};
}

function toInvalidDataError(diagnostic: Diagnostic): LoadError {
	return {diagnostic, retryAfter: undefined};
}

function readSnapshot(head: Head, bytes: Uint8Array): Result<Snapshot, Diagnostic> {
	return decodeSnapshot(bytes, head.object).andThen(snapshot => snapshot.version === head.version
		? ok(snapshot)
		: err(createDiagnostic(Diagnostics.Snapshot_is_invalid, head.object, `it holds version ${snapshot.version}`)));
}
