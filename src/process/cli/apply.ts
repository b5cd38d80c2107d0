/**
 * `kingcuplane apply FILES`: publishes files of objects as one change set.
 */
import {ok, safeTry, type ResultAsync} from 'neverthrow';
import {diffChanges} from '../../version/diff.js';
import {publishChangeSet} from '../../version/publish.js';
import type {Snapshot} from '../../version/types.js';
import type {Diagnostic} from '../diagnostics.js';
import type {Platform} from '../platform/types.js';
import {readChangeSet, readNewestSnapshot, type ParsedChangeSet} from './change-set.js';
import {openPlatform, tryGetCount, tryGetText} from './options.js';
import type {CliHost, Command} from './types.js';

/** Runs the command. Does not check the change set itself: publishing does so, after recognising a repetition with the same --id, which might no longer pass the check. */
export const runApply: Command = async (host, {args, options}) => safeTry(async function * () {
	const platform = yield * openPlatform(host, options);
	const base = yield * tryGetCount(host, options, 'base');
	const snapshot = yield * readNewestSnapshot(platform);
	const metadata = {
		id: tryGetText(host, options, 'id') ?? host.createId(),
		base: base ?? snapshot.version,
		author: tryGetText(host, options, 'author') ?? '',
		reason: tryGetText(host, options, 'reason') ?? '',
	};
	const parsed = yield * readChangeSet(host, args, metadata, snapshot);
	return publishAndPrint(host, platform, parsed, snapshot);
});

/** Publishes a change set, and prints its version and the differences to `snapshot`. */
export function publishAndPrint(host: CliHost, platform: Platform, {changeSet, options}: ParsedChangeSet, snapshot: Snapshot): ResultAsync<void, readonly Diagnostic[]> {
	return publishChangeSet({platform, clock: host.clock}, changeSet, options).andThen(({version, isRepetition}) => {
		if (isRepetition) {
			host.print(`Change set ${changeSet.id} was already published as version ${version}.`);
			return ok();
		}

		host.print(`Published version ${version} (change set ${changeSet.id}).`);
		for (const line of diffChanges(changeSet.changes, snapshot)) {
			host.print(line);
		}

		return ok();
	});
}
