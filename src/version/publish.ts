/**
 * Publishes change sets by one compare-and-set transaction over the head row, the audit record and the row of the
 * change set. The change set's own row shows whether an attempt whose reply was lost succeeded, so publishing may be
 * repeated.
 *
 * A change set that was made for an older version is applied to the newest one if no version in between changed the same
 * objects and if it passes all checks against the newest version; otherwise the conflict is reported.
 */
import {
	err, ok, ResultAsync, safeTry, type Result,
} from 'neverthrow';
import {sleep, type Clock, type Milliseconds} from '../process/clock.js';
import {createDiagnostic, Diagnostics, type Diagnostic} from '../process/diagnostics.js';
import type {Platform, PlatformError, Transaction} from '../process/platform/types.js';
import {checkChangeSet, type CheckOptions} from './check.js';
import {summarizeChanges} from './diff.js';
import {
	loadAuditRecords, loadHead, loadSnapshot, toLoadError, type LoadedHead, type LoadError,
} from './load.js';
import {
	getAuditKey, getChangeSetKey, getChangesDigest, getSnapshotKey, headKey, readPublishedChangeSet, type Head, type PublishedChangeSet,
} from './rows.js';
import {encodeSnapshot} from './snapshot-codec.js';
import {applyChanges, formatObjectName, getChangedObjectName} from './snapshot.js';
import type {AuditRecord, ChangeSet, Snapshot} from './types.js';

/** Dependencies and options of publishing. */
export type PublishHost = {
	readonly platform: Platform;
	readonly clock: Clock;
	/** Number of attempts before publishing fails, each with about seven calls to the platform. Default 8. */
	readonly maxAttempts?: number;
};

/** The outcome of a successful publication. */
export type PublishResult = {
	readonly version: number;
	/** Whether an earlier call had published it already. */
	readonly isRepetition: boolean;
};

/** Number of versions whose snapshots are retained; older ones are deleted. Processes read only the newest. */
export const retainedVersionCount = 100;

/** Publishes a change set, or returns all reasons why it was not published. `options` adds source locations to diagnostics. */
export function publishChangeSet(host: PublishHost, changeSet: ChangeSet, options?: CheckOptions): ResultAsync<PublishResult, readonly Diagnostic[]> {
	return new ResultAsync(publishWithRetries(host, changeSet, options));
}

const defaultMaxAttempts = 8;
const firstRetryDelay: Milliseconds = 100;
const maxRetryDelay: Milliseconds = 3000;

/** Largest number of versions between the base of a change set and the newest version. */
const maxVersionsBehind = 1000;

/** Why an attempt failed. */
type AttemptFailure =
	/** Another attempt would fail in the same way. */
	| {readonly kind: 'rejected'; readonly diagnostics: readonly Diagnostic[]}
	/** Another operator published between read and write, or a read was stale. */
	| {readonly kind: 'contended'; readonly diagnostic?: Diagnostic}
	/** The platform failed before the transaction was sent. */
	| {readonly kind: 'unavailable'; readonly diagnostic: Diagnostic; readonly retryAfter: Milliseconds}
	/** The transaction was sent, and its outcome is unknown. */
	| {readonly kind: 'uncertain'; readonly diagnostic: Diagnostic; readonly retryAfter: Milliseconds};

async function publishWithRetries(host: PublishHost, changeSet: ChangeSet, options: CheckOptions | undefined): Promise<Result<PublishResult, readonly Diagnostic[]>> {
	const {clock, maxAttempts = defaultMaxAttempts} = host;
	let isUncertain = false;
	for (let attempt = 1; ; attempt++) {
		const outcome = await attemptPublish(host, changeSet, options);
		if (outcome.isOk()) {
			return ok(outcome.value);
		}

		const failure = outcome.error;
		if (failure.kind === 'rejected') {
			return err(failure.diagnostics);
		}

		isUncertain ||= failure.kind === 'uncertain';
		if (attempt === maxAttempts) {
			return err([toFinalDiagnostic(changeSet.id, failure, isUncertain, attempt)]);
		}

		await sleep(clock, getRetryDelay(failure, attempt));
	}
}

function getRetryDelay(failure: AttemptFailure, attempt: number): Milliseconds {
	const delay = Math.min(firstRetryDelay * (2 ** (attempt - 1)), maxRetryDelay);
	return 'retryAfter' in failure ? Math.max(delay, failure.retryAfter) : delay;
}

function toFinalDiagnostic(id: string, failure: Exclude<AttemptFailure, {readonly kind: 'rejected'}>, isUncertain: boolean, attempts: number): Diagnostic {
	if (isUncertain) {
		return createDiagnostic(Diagnostics.Publish_is_uncertain, id, failure.diagnostic?.message ?? 'other operators published meanwhile.');
	}

	return failure.kind === 'contended'
		? failure.diagnostic ?? createDiagnostic(Diagnostics.Publish_is_contended, id, attempts)
		: createDiagnostic(Diagnostics.Publish_has_failed, id, failure.diagnostic.message);
}

function attemptPublish(host: PublishHost, changeSet: ChangeSet, options: CheckOptions | undefined): ResultAsync<PublishResult, AttemptFailure> {
	const {platform} = host;
	return safeTry(async function * () {
		const published = yield * findPublished(platform, changeSet);
		if (published !== undefined) {
			return ok({version: published.version, isRepetition: true});
		}

		const head = yield * loadHead(platform).mapErr(error => toAttemptFailure(error));
		yield * checkBase(changeSet, head);
		const intervening = yield * loadAuditRecords(platform, changeSet.base, head.version - changeSet.base).mapErr(error => toAttemptFailure(error));
		yield * checkConflicts(changeSet, head, intervening);
		const snapshot = yield * loadSnapshot(platform, head).mapErr(error => toAttemptFailure(error));
		yield * checkAgainstSnapshot(changeSet, snapshot, options);
		return commit(host, changeSet, head, snapshot);
	});
}

function findPublished(platform: Platform, changeSet: ChangeSet): ResultAsync<PublishedChangeSet | undefined, AttemptFailure> {
	return platform.table.get(getChangeSetKey(changeSet.id))
		.mapErr(error => toAttemptFailure(toLoadError(error)))
		.andThen(row => row === undefined
			? ok(undefined)
			: readPublishedChangeSet(row)
				.mapErr(diagnostic => reject(diagnostic))
				.andThen(published => published.digest === getChangesDigest(changeSet.changes)
					? ok(published)
					: err(reject(createDiagnostic(Diagnostics.Change_set_id_is_taken, changeSet.id, published.version)))));
}

function checkBase(changeSet: ChangeSet, head: LoadedHead): Result<void, AttemptFailure> {
	if (changeSet.base > head.version) {
		return err({kind: 'contended', diagnostic: createDiagnostic(Diagnostics.Base_is_unknown, changeSet.base, head.version)});
	}

	return head.version - changeSet.base > maxVersionsBehind
		? err(reject(createDiagnostic(Diagnostics.Base_is_too_old, changeSet.base, head.version - changeSet.base)))
		: ok();
}

/** Rejects the change set if a version after its base changed one of its objects. */
function checkConflicts(changeSet: ChangeSet, head: LoadedHead, intervening: readonly AuditRecord[]): Result<void, AttemptFailure> {
	const isStaleRead = intervening.length < head.version - changeSet.base || intervening.some(record => record.changeSet === changeSet.id);
	if (isStaleRead) {
		return err({kind: 'contended'});
	}

	const changedNames = new Set(changeSet.changes.map(change => formatObjectName(getChangedObjectName(change))));
	const conflicts = intervening.flatMap(record => {
		const commonNames = record.changed.map(name => formatObjectName(name)).filter(name => changedNames.has(name));
		return commonNames.length === 0
			? []
			: [createDiagnostic(Diagnostics.Change_set_conflicts, record.version, record.author, record.reason, commonNames.join(', '))];
	});
	return conflicts.length === 0 ? ok() : err({kind: 'rejected', diagnostics: conflicts});
}

function checkAgainstSnapshot(changeSet: ChangeSet, snapshot: Snapshot, options: CheckOptions | undefined): Result<void, AttemptFailure> {
	const errors = checkChangeSet(changeSet, snapshot, options);
	return errors.length === 0 ? ok() : err({kind: 'rejected', diagnostics: errors});
}

function commit({platform, clock}: PublishHost, changeSet: ChangeSet, head: LoadedHead, snapshot: Snapshot): ResultAsync<PublishResult, AttemptFailure> {
	const next = applyChanges(snapshot, changeSet.changes, head.version + 1);
	const digest = getChangesDigest(changeSet.changes);
	const objectKey = getSnapshotKey(next.version, changeSet.id, digest);
	const transaction = createTransaction(changeSet, head, {version: next.version, changeSet: changeSet.id, object: objectKey}, clock.wall());
	return platform.objects.put(objectKey, encodeSnapshot(next))
		.mapErr(error => toAttemptFailure(toLoadError(error)))
		.andThen(() => platform.table.commit(transaction).mapErr(error => toCommitFailure(error)))
		.andThen(outcome => outcome.kind === 'committed' ? ok({version: next.version, isRepetition: false}) : err<PublishResult, AttemptFailure>({kind: 'contended'}))
		.andTee(async () => deleteSnapshots(platform, next.version - retainedVersionCount));
}

function createTransaction(changeSet: ChangeSet, before: LoadedHead, head: Head, at: Milliseconds): Transaction {
	const record: AuditRecord = {
		version: head.version,
		changeSet: changeSet.id,
		author: changeSet.author,
		reason: changeSet.reason,
		at,
		changed: changeSet.changes.map(change => getChangedObjectName(change)),
		summary: summarizeChanges(changeSet.changes),
	};
	const published: PublishedChangeSet = {version: head.version, digest: getChangesDigest(changeSet.changes)};
	return {
		conditions: [
			{key: headKey, revision: before.revision},
			{key: getChangeSetKey(changeSet.id), revision: 0},
		],
		writes: [
			{key: headKey, value: JSON.stringify(head)},
			{key: getAuditKey(head.version), value: JSON.stringify(record)},
			{key: getChangeSetKey(changeSet.id), value: JSON.stringify(published)},
		],
	};
}

/** Deletes all snapshots of one version, including those of change sets that were not committed. Snapshots that cannot be deleted stay and are never read. */
async function deleteSnapshots(platform: Platform, version: number): Promise<void> {
	if (version < 1) {
		return;
	}

	const keys = await platform.objects.list(`config/${version}-`, retainedVersionCount).unwrapOr([]);
	for (const key of keys) {
		await platform.objects.delete(key);
	}
}

function reject(diagnostic: Diagnostic): AttemptFailure {
	return {kind: 'rejected', diagnostics: [diagnostic]};
}

function toAttemptFailure({diagnostic, retryAfter}: LoadError): AttemptFailure {
	return retryAfter === undefined ? reject(diagnostic) : {kind: 'unavailable', diagnostic, retryAfter};
}

function toCommitFailure({diagnostic, retryAfter, mayHaveTakenEffect}: PlatformError): AttemptFailure {
	return {kind: mayHaveTakenEffect ? 'uncertain' : 'unavailable', diagnostic, retryAfter};
}
