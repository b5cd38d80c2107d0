/**
 * `kingcuplane check FILES`: checks files of objects against the newest version, shows what they would change and what in the
 * result never takes effect, and publishes nothing.
 */
import {err, ok, type Result} from 'neverthrow';
import {diffChanges} from '../../version/diff.js';
import {findConfigProblems} from '../../version/findings.js';
import {applyChanges, formatObjectName, getChangedObjectName} from '../../version/snapshot.js';
import type {Snapshot} from '../../version/types.js';
import {formatDiagnostic, type Diagnostic} from '../diagnostics.js';
import {readCheckedChangeSet, readNewestSnapshot, type ParsedChangeSet} from './change-set.js';
import {openPlatform} from './options.js';
import type {CliHost, Command} from './types.js';

/** What a check has found. */
type CheckReport = {
	/** Version in force. */
	readonly version: number;
	/** Number of changes. */
	readonly changes: number;
	/** Why the files cannot be published. */
	readonly errors: readonly Diagnostic[];
	/** What never takes effect once they are published. */
	readonly warnings: readonly Diagnostic[];
	/** Lines that show what differs from the version in force. */
	readonly differences: readonly string[];
};

/** Runs the command. It fails on errors, and on warnings with --strict. */
export const runCheck: Command = async (host, {args, options}) => {
	const snapshot = await openPlatform(host, options).asyncAndThen(platform => readNewestSnapshot(platform));
	if (snapshot.isErr()) {
		return err(snapshot.error);
	}

	const checked = readCheckedChangeSet(host, args, snapshot.value);
	const report = createReport(checked, snapshot.value);
	if (options.json === true) {
		host.print(JSON.stringify(report, undefined, '\t'));
	} else if (checked.isOk()) {
		printReport(host, report);
	}

	const isFailed = checked.isErr() || (options.strict === true && report.warnings.length > 0);
	// With --json the errors are part of the report.
	return isFailed ? err(options.json === true ? [] : report.errors) : ok();
};

function createReport(checked: Result<ParsedChangeSet, readonly Diagnostic[]>, snapshot: Snapshot): CheckReport {
	return checked.match(parsed => ({
		version: snapshot.version,
		changes: parsed.changeSet.changes.length,
		errors: [],
		warnings: findWarnings(parsed, snapshot),
		differences: diffChanges(parsed.changeSet.changes, snapshot),
	}), errors => ({
		version: snapshot.version, changes: 0, errors, warnings: [], differences: [],
	}));
}

/** Returns the warnings of the resulting configuration, with their lines where an object of the files causes them. */
function findWarnings({changeSet: {changes}, options: {locate}}: ParsedChangeSet, snapshot: Snapshot): readonly Diagnostic[] {
	const changesByName = new Map(changes.map(change => [formatObjectName(getChangedObjectName(change)), change]));
	return findConfigProblems(applyChanges(snapshot, changes, snapshot.version + 1)).map(({object, diagnostic}) => {
		const change = object && changesByName.get(formatObjectName(object));
		return {...diagnostic, ...(change && locate?.(change))};
	});
}

function printReport(host: CliHost, {version, changes, warnings, differences}: CheckReport): void {
	host.print(`${changes} changes can follow version ${version}.`);
	for (const line of differences) {
		host.print(line);
	}

	for (const warning of warnings) {
		host.print(`warning: ${formatDiagnostic(warning)}`);
	}
}
