/**
 * Reads options of commands; environment variables may replace some of them.
 */
import {err, ok, type Result} from 'neverthrow';
import {createDiagnostic, Diagnostics, type Diagnostic} from '../diagnostics.js';
import type {Platform} from '../platform/types.js';
import type {CliHost, EntryClient, Options} from './types.js';

/** Environment variables that are used in place of options that are not given. */
const environmentVariables: Readonly<Record<string, string>> = {
	platform: 'KINGCUPLANE_PLATFORM',
	entry: 'KINGCUPLANE_ENTRY',
	token: 'KINGCUPLANE_TOKEN',
	author: 'KINGCUPLANE_AUTHOR',
};

/** Returns the text of an option; undefined if it is not given. */
export function tryGetText(host: CliHost, options: Options, name: string): string | undefined {
	const value = options[name];
	const variable = environmentVariables[name];
	const text = typeof value === 'string' || typeof value === 'number' ? String(value) : '';
	return text === '' && variable !== undefined ? host.env[variable] : (text === '' ? undefined : text);
}

/** Returns the text of a required option; fails if it is not given. */
export function getText(host: CliHost, options: Options, name: string): Result<string, readonly Diagnostic[]> {
	const text = tryGetText(host, options, name);
	const variable = environmentVariables[name];
	return text === undefined
		? err([createDiagnostic(Diagnostics.Option_is_missing, name, variable === undefined ? '' : ` or set ${variable}`)])
		: ok(text);
}

/** Returns an option as a non-negative integer; undefined if it is not given. */
export function tryGetCount(host: CliHost, options: Options, name: string): Result<number | undefined, readonly Diagnostic[]> {
	const text = tryGetText(host, options, name);
	return text === undefined || /^\d+$/v.test(text)
		? ok(text === undefined ? undefined : Number(text))
		: err([createDiagnostic(Diagnostics.Option_is_invalid, name, 'expected a whole number')]);
}

/** Returns all values of an option that may be repeated. */
export function getList(options: Options, name: string): readonly string[] {
	const value = options[name];
	const values: readonly unknown[] = Array.isArray(value) ? value : [value];
	return values.filter(item => item !== undefined).map(String);
}

/** Opens the platform that --platform names. */
export function openPlatform(host: CliHost, options: Options): Result<Platform, readonly Diagnostic[]> {
	return getText(host, options, 'platform').map(url => host.openPlatform(url));
}

/** Creates a client of the entry that --entry names, with the token that --token gives. */
export function openEntry(host: CliHost, options: Options): Result<EntryClient, readonly Diagnostic[]> {
	return getText(host, options, 'entry')
		.andThen(url => getText(host, options, 'token').map(token => host.openEntry(url, token)));
}
