/**
 * `kingcuplane history`: shows who published which version, when and why, newest first.
 */
import {ok, safeTry} from 'neverthrow';
import {loadAuditRecords, loadHead} from '../../version/load.js';
import type {AuditRecord} from '../../version/types.js';
import {openPlatform, tryGetCount} from './options.js';
import type {Command} from './types.js';

const defaultLimit = 20;

/** Runs the command. */
export const runHistory: Command = async (host, {options}) => safeTry(async function * () {
	const platform = yield * openPlatform(host, options);
	const limit = (yield * tryGetCount(host, options, 'limit')) ?? defaultLimit;
	const head = yield * loadHead(platform).mapErr(error => [error.diagnostic]);
	const records = yield * loadAuditRecords(platform, Math.max(0, head.version - limit), limit).mapErr(error => [error.diagnostic]);
	if (records.length === 0) {
		host.print('Nothing was published yet.');
	}

	for (const line of records.toReversed().flatMap(record => formatRecord(record))) {
		host.print(line);
	}

	return ok();
});

function formatRecord(record: AuditRecord): string[] {
	return [
		`version ${record.version}  ${new Date(record.at).toISOString()}  ${record.author}: ${record.reason}`,
		`    change set ${record.changeSet}`,
		...record.summary.map(line => `    ${line}`),
	];
}
