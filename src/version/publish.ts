/**
 * Publishes change sets: one compare-and-set transaction over the head row, the audit record and the row of the
 * change set. A change set whose reply was lost is recognised by its own row, so publishing may be repeated.
 *
 * A set made for an older version is published on the newest one if nobody changed the same objects since, and
 * if it passes the check against that version as a whole; otherwise the conflict is named.
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

/** What publishing needs. */
export type PublishHost = {
	readonly platform: Platform;
	readonly clock: Clock;
	/** Tries before publishing is given up, each with about seven calls to the platform. */
	readonly maxAttempts?: number;
};

/** A change set in force. */
export type PublishResult = {
	readonly version: number;
	/** Whether an earlier call had published it already. */
	readonly isRepetition: boolean;
};

/** Versions whose objects are kept; older ones are deleted. Processes read only the newest. */
export const retainedVersionCount = 100;

/** Publishes a change set, or tells every reason why not. `options` adds places in files to faults. */
export function publishChangeSet(host: PublishHost, changeSet: ChangeSet, options?: CheckOptions): ResultAsync<PublishResult, readonly Diagnostic[]> {
	return new ResultAsync(publishWithRetries(host, changeSet, options));
}

const defaultMaxAttempts = 8;
const firstPause: Milliseconds = 100;
const maxPause: Milliseconds = 3000;

/** Most versions between the base of a set and the newest one. */
const maxVersionsBehind = 1000;

/** Why an attempt did not publish. */
type Setback =
	/** Another attempt would end the same. */
	| {readonly kind: 'rejected'; readonly diagnostics: readonly Diagnostic[]}
	/** Another operator published between read and write, or a read was old. */
	| {readonly kind: 'contended'; readonly diagnostic?: Diagnostic}
	/** The platform failed before the transaction was sent. */
	| {readonly kind: 'unavailable'; readonly diagnostic: Diagnostic; readonly retryAfter: Milliseconds}
	/** The transaction was sent and its outcome is not known. */
	| {readonly kind: 'uncertain'; readonly diagnostic: Diagnostic; readonly retryAfter: Milliseconds};

async function publishWithRetries(host: PublishHost, changeSet: ChangeSet, options: CheckOptions | undefined): Promise<Result<PublishResult, readonly Diagnostic[]>> {
	const {clock, maxAttempts = defaultMaxAttempts} = host;
	let isUncertain = false;
	for (let attempt = 1; ; attempt++) {
		const outcome = await attemptPublish(host, changeSet, options);
		if (outcome.isOk()) {
			return ok(outcome.value);
		}

		const setback = outcome.error;
		if (setback.kind === 'rejected') {
			return err(setback.diagnostics);
		}

		isUncertain ||= setback.kind === 'uncertain';
		if (attempt === maxAttempts) {
			return err([toFinalDiagnostic(changeSet.id, setback, isUncertain, attempt)]);
		}

		await sleep(clock, getPause(setback, attempt));
	}
}

function getPause(setback: Setback, attempt: number): Milliseconds {
	const pause = Math.min(firstPause * (2 ** (attempt - 1)), maxPause);
	return 'retryAfter' in setback ? Math.max(pause, setback.retryAfter) : pause;
}

function toFinalDiagnostic(id: string, setback: Exclude<Setback, {readonly kind: 'rejected'}>, isUncertain: boolean, attempts: number): Diagnostic {
	if (isUncertain) {
		return createDiagnostic(Diagnostics.Publish_is_uncertain, id, setback.diagnostic?.message ?? 'other operators published meanwhile.');
	}

	return setback.kind === 'contended'
		? setback.diagnostic ?? createDiagnostic(Diagnostics.Publish_is_contended, id, attempts)
		: createDiagnostic(Diagnostics.Publish_has_failed, id, setback.diagnostic.message);
}

function attemptPublish(host: PublishHost, changeSet: ChangeSet, options: CheckOptions | undefined): ResultAsync<PublishResult, Setback> {
	const {platform} = host;
	return safeTry(async function * () {
		const earlier = yield * findEarlier(platform, changeSet);
		if (earlier !== undefined) {
			return ok({version: earlier.version, isRepetition: true});
		}

		const head = yield * loadHead(platform).mapErr(error => toSetback(error));
		yield * checkBase(changeSet, head);
		const overtaking = yield * loadAuditRecords(platform, changeSet.base, head.version - changeSet.base).mapErr(error => toSetback(error));
		yield * checkOvertaking(changeSet, head, overtaking);
		const snapshot = yield * loadSnapshot(platform, head).mapErr(error => toSetback(error));
		yield * checkWhole(changeSet, snapshot, options);
		return commit(host, changeSet, head, snapshot);
	});
}

function findEarlier(platform: Platform, changeSet: ChangeSet): ResultAsync<PublishedChangeSet | undefined, Setback> {
	return platform.table.get(getChangeSetKey(changeSet.id))
		.mapErr(error => toSetback(toLoadError(error)))
		.andThen(row => row === undefined
			? ok(undefined)
			: readPublishedChangeSet(row)
				.mapErr(diagnostic => reject(diagnostic))
				.andThen(published => published.digest === getChangesDigest(changeSet.changes)
					? ok(published)
					: err(reject(createDiagnostic(Diagnostics.Change_set_id_is_taken, changeSet.id, published.version)))));
}

function checkBase(changeSet: ChangeSet, head: LoadedHead): Result<void, Setback> {
	if (changeSet.base > head.version) {
		return err({kind: 'contended', diagnostic: createDiagnostic(Diagnostics.Base_is_unknown, changeSet.base, head.version)});
	}

	return head.version - changeSet.base > maxVersionsBehind
		? err(reject(createDiagnostic(Diagnostics.Base_is_too_old, changeSet.base, head.version - changeSet.base)))
		: ok();
}

/** Refuses the set if one of the versions since its base changed one of its objects. */
function checkOvertaking(changeSet: ChangeSet, head: LoadedHead, overtaking: readonly AuditRecord[]): Result<void, Setback> {
	const isOldRead = overtaking.length < head.version - changeSet.base || overtaking.some(record => record.changeSet === changeSet.id);
	if (isOldRead) {
		return err({kind: 'contended'});
	}

	const own = new Set(changeSet.changes.map(change => formatObjectName(getChangedObjectName(change))));
	const conflicts = overtaking.flatMap(record => {
		const both = record.changed.map(name => formatObjectName(name)).filter(name => own.has(name));
		return both.length === 0
			? []
			: [createDiagnostic(Diagnostics.Change_set_conflicts, record.version, record.author, record.reason, both.join(', '))];
	});
	return conflicts.length === 0 ? ok() : err({kind: 'rejected', diagnostics: conflicts});
}

function checkWhole(changeSet: ChangeSet, snapshot: Snapshot, options: CheckOptions | undefined): Result<void, Setback> {
	const faults = checkChangeSet(changeSet, snapshot, options);
	return faults.length === 0 ? ok() : err({kind: 'rejected', diagnostics: faults});
}

function commit({platform, clock}: PublishHost, changeSet: ChangeSet, head: LoadedHead, snapshot: Snapshot): ResultAsync<PublishResult, Setback> {
	const next = applyChanges(snapshot, changeSet.changes, head.version + 1);
	const digest = getChangesDigest(changeSet.changes);
	const object = getSnapshotKey(next.version, changeSet.id, digest);
	const transaction = createTransaction(changeSet, head, {version: next.version, changeSet: changeSet.id, object}, clock.wall());
	return platform.objects.put(object, encodeSnapshot(next))
		.mapErr(error => toSetback(toLoadError(error)))
		.andThen(() => platform.table.commit(transaction).mapErr(error => toCommitSetback(error)))
		.andThen(outcome => outcome.kind === 'committed' ? ok({version: next.version, isRepetition: false}) : err<PublishResult, Setback>({kind: 'contended'}))
		.andTee(async () => deleteObjects(platform, next.version - retainedVersionCount));
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

/** Deletes the objects of one version, also those of sets that lost a race. A failure leaves them; they do no harm. */
async function deleteObjects(platform: Platform, version: number): Promise<void> {
	if (version < 1) {
		return;
	}

	const keys = await platform.objects.list(`config/${version}-`, retainedVersionCount).unwrapOr([]);
	for (const key of keys) {
		await platform.objects.delete(key);
	}
}

function reject(diagnostic: Diagnostic): Setback {
	return {kind: 'rejected', diagnostics: [diagnostic]};
}

function toSetback({diagnostic, retryAfter}: LoadError): Setback {
	return retryAfter === undefined ? reject(diagnostic) : {kind: 'unavailable', diagnostic, retryAfter};
}

function toCommitSetback({diagnostic, retryAfter, mayHaveTakenEffect}: PlatformError): Setback {
	return {kind: mayHaveTakenEffect ? 'uncertain' : 'unavailable', diagnostic, retryAfter};
}
