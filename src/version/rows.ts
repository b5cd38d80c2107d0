/**
 * Keys and values of the platform's rows and objects that hold the configuration.
 *
 * | Key | Value |
 * | --- | --- |
 * | row `config/head` | the newest version and the key of its snapshot |
 * | row `config/audit/<version, 10 digits>` | who published it, when, why and what changed |
 * | row `config/changeset/<id>` | the version that the change set created, and a digest of its changes |
 * | object `config/<version>-<change set>-<digest>` | the snapshot of the version |
 */
import {createHash} from 'node:crypto';
import type {Result} from 'neverthrow';
import {z} from 'zod';
import {createDiagnostic, Diagnostics, type Diagnostic} from '../process/diagnostics.js';
import {readJson} from '../process/json.js';
import type {TableRow} from '../process/platform/types.js';
import {objectKinds, type AuditRecord, type Change} from './types.js';

/** Value of the head row. */
export type Head = {
	readonly version: number;
	readonly changeSet: string;
	/** Key of the object that holds the snapshot. */
	readonly object: string;
};

/** Value of the row of one published change set. */
export type PublishedChangeSet = {
	readonly version: number;
	/** Digest of the changes; distinguishes a repetition from another change set with the same identifier. */
	readonly digest: string;
};

/** Key of the head row. */
export const headKey = 'config/head';

/** Prefix of the keys of audit rows. */
export const auditPrefix = 'config/audit/';

/** Returns the key of the audit row of one version. Keys sort in the order of versions. */
export function getAuditKey(version: number): string {
	return `${auditPrefix}${String(version).padStart(10, '0')}`;
}

/** Returns the key of the row of one published change set. */
export function getChangeSetKey(id: string): string {
	return `config/changeset/${id}`;
}

/** Returns the key of the snapshot of one version. The digest prevents two change sets with one identifier from overwriting each other. */
export function getSnapshotKey(version: number, changeSet: string, digest: string): string {
	return `config/${version}-${changeSet}-${digest}`;
}

/** Returns a digest of changes, which is equal for equal changes in the same order. */
export function getChangesDigest(changes: readonly Change[]): string {
	return createHash('sha256').update(JSON.stringify(changes)).digest('hex').slice(0, 16);
}

/** Reads the head row. */
export function readHead(row: TableRow): Result<Head, Diagnostic> {
	return readRow(headSchema, row);
}

/** Reads an audit row. */
export function readAuditRecord(row: TableRow): Result<AuditRecord, Diagnostic> {
	return readRow(auditSchema, row);
}

/** Reads the row of a published change set. */
export function readPublishedChangeSet(row: TableRow): Result<PublishedChangeSet, Diagnostic> {
	return readRow(changeSetSchema, row);
}

const headSchema: z.ZodType<Head> = z.strictObject({
	version: z.int().min(1),
	changeSet: z.string(),
	object: z.string(),
});

const changeSetSchema: z.ZodType<PublishedChangeSet> = z.strictObject({
	version: z.int().min(1),
	digest: z.string(),
});

const auditSchema: z.ZodType<AuditRecord> = z.strictObject({
	version: z.int().min(1),
	changeSet: z.string(),
	author: z.string(),
	reason: z.string(),
	at: z.number(),
	changed: z.array(z.strictObject({kind: z.enum(objectKinds), name: z.string()})),
	summary: z.array(z.string()),
});

function readRow<T>(schema: z.ZodType<T>, row: TableRow): Result<T, Diagnostic> {
	return readJson(schema, row.value).mapErr(reason => createDiagnostic(Diagnostics.Row_is_invalid, row.key, reason));
}
