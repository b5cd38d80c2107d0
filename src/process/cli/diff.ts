/**
 * `kingcuplane diff FILES`: shows what files of objects would change.
 */
import {ok, safeTry} from 'neverthrow';
import {diffChanges} from '../../version/diff.js';
import {readCheckedChangeSet, readNewestSnapshot} from './change-set.js';
import {openPlatform} from './options.js';
import type {Command} from './types.js';

/** Runs the command. */
export const runDiff: Command = async (host, {args, options}) => safeTry(async function * () {
	const platform = yield * openPlatform(host, options);
	const snapshot = yield * readNewestSnapshot(platform);
	const {changeSet} = yield * readCheckedChangeSet(host, args, snapshot);
	const lines = diffChanges(changeSet.changes, snapshot);
	host.print(lines.length === 0 ? `Nothing differs from version ${snapshot.version}.` : `Changes to version ${snapshot.version}:`);
	for (const line of lines) {
		host.print(line);
	}

	return ok();
});
