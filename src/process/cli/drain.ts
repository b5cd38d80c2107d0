/**
 * `kingcuplane drain NAME`: publishes that an upstream gets no new tasks, or with `--data-centre NAME` that no upstream of a
 * data centre does; `--undo` reverts this.
 */
import {err, safeTry} from 'neverthrow';
import type {Change, ConfigObject} from '../../version/types.js';
import {createDiagnostic, Diagnostics} from '../diagnostics.js';
import {publishAndPrint} from './apply.js';
import {readNewestSnapshot} from './change-set.js';
import {openPlatform, tryGetText} from './options.js';
import type {Command} from './types.js';

/** Runs the command. */
export const runDrain: Command = async (host, {args, options}) => safeTry(async function * () {
	const dataCentre = tryGetText(host, options, 'data-centre');
	const name = dataCentre ?? args[0] ?? '';
	const drain = options.undo !== true;
	const platform = yield * openPlatform(host, options);
	const snapshot = yield * readNewestSnapshot(platform);
	const object: ConfigObject | undefined = dataCentre === undefined ? snapshot.upstreams.get(name) : {kind: 'data-centre', name, drain};
	if (object === undefined) {
		return err([createDiagnostic(Diagnostics.Object_is_unknown, `upstream ${name}`, snapshot.version)]);
	}

	const change: Change = {kind: 'put', object: {...object, drain}};
	const changeSet = {
		id: tryGetText(host, options, 'id') ?? host.createId(),
		base: snapshot.version,
		author: tryGetText(host, options, 'author') ?? '',
		reason: tryGetText(host, options, 'reason') ?? `${drain ? 'drain' : 'undrain'} ${name}`,
		changes: [change],
	};
	return publishAndPrint(host, platform, {changeSet, options: {}}, snapshot);
});
