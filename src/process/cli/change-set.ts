/**
 * Change sets as the commands read them from files.
 */
import {
	err, ok, type Result, type ResultAsync,
} from 'neverthrow';
import {type CheckOptions, checkChangeSet} from '../../version/check.js';
import {loadNewestSnapshot} from '../../version/load.js';
import {parseChangeFiles, type SourceFile} from '../../version/parse.js';
import type {ChangeSet, ObjectName, Snapshot} from '../../version/types.js';
import type {Diagnostic} from '../diagnostics.js';
import type {Platform} from '../platform/types.js';
import type {CliHost} from './types.js';

/** Everything about a change set but its changes. */
export type ChangeSetMetadata = Omit<ChangeSet, 'changes'>;

/** A change set that was read without faults, and where its changes stand. */
export type ParsedChangeSet = {
	readonly changeSet: ChangeSet;
	readonly options: CheckOptions;
};

/** Heading of change sets that are only looked at. */
const previewHeading: ChangeSetMetadata = {
	id: 'preview', base: 0, author: 'preview', reason: 'preview',
};

/** Reads the newest version. */
export function readNewestSnapshot(platform: Platform): ResultAsync<Snapshot, readonly Diagnostic[]> {
	return loadNewestSnapshot(platform).mapErr(error => [error.diagnostic]);
}

/** Reads a change set from files. If something cannot be read, the faults of the rest against `snapshot` are reported with it. */
export function readChangeSet(host: CliHost, files: readonly string[], heading: ChangeSetMetadata, snapshot: Snapshot): Result<ParsedChangeSet, readonly Diagnostic[]> {
	const [sources, unread] = readSources(host, files);
	const {changes, diagnostics: faults, locate, isUnreadable} = parseChangeFiles(sources);
	const options = {locate, isUnreadable: (name: ObjectName) => unread.length > 0 || isUnreadable(name)};
	const changeSet = {...heading, changes};
	const all = [...unread, ...faults];
	return all.length === 0
		? ok({changeSet, options})
		: err([...all, ...(changes.length === 0 ? [] : checkChangeSet(changeSet, snapshot, options))]);
}

/** Reads a change set from files and checks it against `snapshot`; all faults are reported together. */
export function readCheckedChangeSet(host: CliHost, files: readonly string[], snapshot: Snapshot): Result<ChangeSet, readonly Diagnostic[]> {
	return readChangeSet(host, files, {...previewHeading, base: snapshot.version}, snapshot).andThen(({changeSet, options}) => {
		const faults = checkChangeSet(changeSet, snapshot, options);
		return faults.length === 0 ? ok(changeSet) : err(faults);
	});
}

function readSources(host: CliHost, files: readonly string[]): readonly [sources: readonly SourceFile[], unread: readonly Diagnostic[]] {
	const results = files.map(name => host.readFile(name).map(text => ({name, text})));
	return [
		results.flatMap(result => result.isOk() ? [result.value] : []),
		results.flatMap(result => result.isErr() ? [result.error] : []),
	];
}
