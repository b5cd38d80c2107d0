/**
 * `kingcuplane token ID`: creates a token and shows its text once; `--withdraw` deletes it.
 */
import {
	err, ok, safeTry, type Result,
} from 'neverthrow';
import type {Principal} from '../../request/router.js';
import {createDiagnostic, Diagnostics, type Diagnostic} from '../diagnostics.js';
import type {Platform, TableWrite} from '../platform/types.js';
import {createTokenRow, tokenPrefix} from '../tokens.js';
import {getText, openPlatform, tryGetText} from './options.js';
import type {Command} from './types.js';

const roles = ['caller', 'operator', 'support'] as const;
const idPattern = /^[a-z0-9][a-z0-9\-]{0,62}$/v;

/** Runs the command. An existing token is replaced. */
export const runToken: Command = async (host, {args, options}) => safeTry(async function * () {
	const [id = ''] = args;
	const platform = yield * openPlatform(host, options);
	if (!idPattern.test(id)) {
		return err([createDiagnostic(Diagnostics.Option_is_invalid, 'ID', 'expected 1 to 63 lower-case letters, digits or "-"')]);
	}

	if (options.withdraw === true) {
		yield * await commit(platform, {key: `${tokenPrefix}${id}`, value: undefined});
		host.print(`Token ${id} was withdrawn.`);
		return ok();
	}

	const role = yield * readRole(yield * getText(host, options, 'role'));
	const team = tryGetText(host, options, 'team') ?? '';
	const token = createTokenRow(id, {name: tryGetText(host, options, 'name') ?? id, role, team});
	yield * await commit(platform, token.write);
	host.print(token.text);
	return ok();
});

function readRole(text: string): Result<Principal['role'], readonly Diagnostic[]> {
	const role = roles.find(known => known === text);
	return role === undefined
		? err([createDiagnostic(Diagnostics.Option_is_invalid, 'role', `expected one of ${roles.join(', ')}`)])
		: ok(role);
}

async function commit(platform: Platform, write: TableWrite): Promise<Result<unknown, readonly Diagnostic[]>> {
	return platform.table.commit({conditions: [], writes: [write]}).mapErr(error => [error.diagnostic]);
}
