/**
 * Reads change sets from files for the commands.
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

/** Everything in a change set except its changes. */
export type ChangeSetMetadata = Omit<ChangeSet, 'changes'>;

/** A change set that was read without errors, and options for its check, which include source locations. */
export type ParsedChangeSet = {
	readonly changeSet: ChangeSet;
	readonly options: CheckOptions;
};

/** Metadata of change sets that are not published. */
const previewMetadata: ChangeSetMetadata = {
	id: 'preview', base: 0, author: 'preview', reason: 'preview',
};

/** Reads the newest snapshot. */
export function readNewestSnapshot(platform: Platform): ResultAsync<Snapshot, readonly Diagnostic[]> {
	return loadNewestSnapshot(platform).mapErr(error => [error.diagnostic]);
}

/** Reads a change set from files. If a part of it cannot be read, the rest is checked against `snapshot`, so that all diagnostics are reported together. */
export function readChangeSet(host: CliHost, files: readonly string[], metadata: ChangeSetMetadata, snapshot: Snapshot): Result<ParsedChangeSet, readonly Diagnostic[]> {
	const [sources, readErrors] = readSources(host, files);
	const {changes, diagnostics, locate, isUnreadable} = parseChangeFiles(sources);
	const options = {locate, isUnreadable: (name: ObjectName) => readErrors.length > 0 || isUnreadable(name)};
	const changeSet = {...metadata, changes};
	const errors = [...readErrors, ...diagnostics];
	return errors.length === 0
		? ok({changeSet, options})
		: err([...errors, ...(changes.length === 0 ? [] : checkChangeSet(changeSet, snapshot, options))]);
}

/** Reads a change set from files and checks it against `snapshot`; all diagnostics are reported together. */
export function readCheckedChangeSet(host: CliHost, files: readonly string[], snapshot: Snapshot): Result<ParsedChangeSet, readonly Diagnostic[]> {
	return readChangeSet(host, files, {...previewMetadata, base: snapshot.version}, snapshot).andThen(parsed => {
		const errors = checkChangeSet(parsed.changeSet, snapshot, parsed.options);
		return errors.length === 0 ? ok(parsed) : err(errors);
	});
}

function readSources(host: CliHost, files: readonly string[]): readonly [sources: readonly SourceFile[], readErrors: readonly Diagnostic[]] {
	const results = files.map(name => host.readFile(name).map(text => ({name, text})));
	return [
		results.flatMap(result => result.isOk() ? [result.value] : []),
		results.flatMap(result => result.isErr() ? [result.error] : []),
	];
}
