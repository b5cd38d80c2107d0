/**
 * Reads options of commands; some may come from environment variables instead.
 */
import {err, ok, type Result} from 'neverthrow';
import {createDiagnostic, Diagnostics, type Diagnostic} from '../diagnostics.js';
import type {Platform} from '../platform/types.js';
import type {CliHost, EntryClient, Options} from './types.js';

/** Environment variables that stand in for options. */
const variables: Readonly<Record<string, string>> = {
	platform: 'KINGCUPLANE_PLATFORM',
	entry: 'KINGCUPLANE_ENTRY',
	token: 'KINGCUPLANE_TOKEN',
	author: 'KINGCUPLANE_AUTHOR',
};

/** The text of an option; undefined if it is not given. */
export function tryGetText(host: CliHost, options: Options, name: string): string | undefined {
	const value = options[name];
	const variable = variables[name];
	const text = typeof value === 'string' || typeof value === 'number' ? String(value) : '';
	return text === '' && variable !== undefined ? host.env[variable] : (text === '' ? undefined : text);
}

/** The text of an option that must be given. */
export function getText(host: CliHost, options: Options, name: string): Result<string, readonly Diagnostic[]> {
	const text = tryGetText(host, options, name);
	const variable = variables[name];
	return text === undefined
		? err([createDiagnostic(Diagnostics.Option_is_missing, name, variable === undefined ? '' : ` or set ${variable}`)])
		: ok(text);
}

/** A whole number that is not negative; undefined if the option is not given. */
export function tryGetCount(host: CliHost, options: Options, name: string): Result<number | undefined, readonly Diagnostic[]> {
	const text = tryGetText(host, options, name);
	return text === undefined || /^\d+$/v.test(text)
		? ok(text === undefined ? undefined : Number(text))
		: err([createDiagnostic(Diagnostics.Option_is_invalid, name, 'expected a whole number')]);
}

/** All values of an option that may be repeated. */
export function getList(options: Options, name: string): readonly string[] {
	const value = options[name];
	const values: readonly unknown[] = Array.isArray(value) ? value : [value];
	return values.filter(item => item !== undefined).map(String);
}

/** The platform that --platform names. */
export function openPlatform(host: CliHost, options: Options): Result<Platform, readonly Diagnostic[]> {
	return getText(host, options, 'platform').map(url => host.openPlatform(url));
}

/** The entry that --entry names, with the token that --token gives. */
export function openEntry(host: CliHost, options: Options): Result<EntryClient, readonly Diagnostic[]> {
	return getText(host, options, 'entry')
		.andThen(url => getText(host, options, 'token').map(token => host.openEntry(url, token)));
}
