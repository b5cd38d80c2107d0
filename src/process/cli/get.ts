/**
 * `kingcuplane get [KIND] [NAME]`: shows published objects.
 */
import {
	err, ok, safeTry, type Result,
} from 'neverthrow';
import {describeObject} from '../../version/diff.js';
import {getObjects} from '../../version/snapshot.js';
import {objectKinds, type ObjectKind} from '../../version/types.js';
import {createDiagnostic, Diagnostics, type Diagnostic} from '../diagnostics.js';
import {readNewestSnapshot} from './change-set.js';
import {openPlatform} from './options.js';
import type {Command} from './types.js';

/** Runs the command. */
export const runGet: Command = async (host, {args, options}) => safeTry(async function * () {
	const [kindText, name] = args;
	const platform = yield * openPlatform(host, options);
	const kind = yield * readKind(kindText);
	const snapshot = yield * readNewestSnapshot(platform);
	const objects = getObjects(snapshot).filter(object => (kind === undefined || object.kind === kind) && (name === undefined || object.name === name));
	if (name !== undefined && objects.length === 0) {
		return err([createDiagnostic(Diagnostics.Object_is_unknown, `${kind} ${name}`, snapshot.version)]);
	}

	host.print(`Version ${snapshot.version}, ${objects.length} objects`);
	for (const line of objects.flatMap(object => describeObject(object))) {
		host.print(line);
	}

	return ok();
});

/** Accepts a kind in the singular and in the plural. */
function readKind(text: string | undefined): Result<ObjectKind | undefined, readonly Diagnostic[]> {
	if (text === undefined) {
		return ok(undefined);
	}

	const kind = objectKinds.find(known => [known, `${known}s`, known.replace(/y$/v, 'ies')].includes(text));
	return kind === undefined
		? err([createDiagnostic(Diagnostics.Object_kind_is_unknown, text, objectKinds.join(', '))])
		: ok(kind);
}
