/**
 * `kingcuplane check FILES`: checks files of objects against the newest version, and publishes nothing.
 */
import {ok, safeTry} from 'neverthrow';
import {readCheckedChangeSet, readNewestSnapshot} from './change-set.js';
import {openPlatform} from './options.js';
import type {Command} from './types.js';

/** Runs the command. */
export const runCheck: Command = async (host, {args, options}) => safeTry(async function * () {
	const platform = yield * openPlatform(host, options);
	const snapshot = yield * readNewestSnapshot(platform);
	const changeSet = yield * readCheckedChangeSet(host, args, snapshot);
	host.print(`${changeSet.changes.length} changes can follow version ${snapshot.version}.`);
	return ok();
});
