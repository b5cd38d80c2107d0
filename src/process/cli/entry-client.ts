/**
 * Client of the HTTP interface of an entry.
 */
import {ResultAsync} from 'neverthrow';
import {request} from 'undici';
import type {Milliseconds} from '../clock.js';
import {createDiagnostic, Diagnostics, type Diagnostic} from '../diagnostics.js';
import type {EntryClient, EntryRequest, EntryResponse} from './types.js';

/** Longest wait for a response; exceeds the longest time that any entry lets a request wait. */
const responseTimeout: Milliseconds = 120_000;

/** Creates a client of the entry at `url`. */
export function createEntryClient(url: string, token: string): EntryClient {
	return {
		call: req => ResultAsync.fromPromise(send(url, token, req), error => toDiagnostic(url, error)),
	};
}

async function send(url: string, token: string, {method, path, body}: EntryRequest): Promise<EntryResponse> {
	const res = await request(`${url.replace(/\/+$/v, '')}${path}`, {
		method,
		headers: {
			authorization: `Bearer ${token}`,
			...(body === undefined ? {} : {'content-type': 'application/json'}),
		},
		body: body === undefined ? undefined : JSON.stringify(body),
		headersTimeout: responseTimeout,
	});
	return {status: res.statusCode, body: await res.body.json()};
}

function toDiagnostic(url: string, error: unknown): Diagnostic {
	return error instanceof SyntaxError
		? createDiagnostic(Diagnostics.Entry_answer_is_invalid, url, 'it is not JSON')
		: createDiagnostic(Diagnostics.Entry_is_unreachable, url, error instanceof Error ? error.message : String(error));
}
