/**
 * The platform over HTTP.
 *
 * | Call | Request | Answer |
 * | --- | --- | --- |
 * | `table.get` | `GET /table/row?key=` | `{"row"?: {key, value, revision}}` |
 * | `table.scan` | `GET /table/rows?prefix=&limit=&after=` | `{"rows": [...]}` |
 * | `table.commit` | `POST /table/commit` with the transaction | `{"kind": "committed"}` or `{"kind": "conflict", key, revision}` |
 * | `objects.get` | `GET /objects?key=` | 200 with the bytes, 204 if there is none |
 * | `objects.put` | `PUT /objects?key=` with the bytes | 204 |
 * | `objects.delete` | `DELETE /objects?key=` | 204 |
 * | `objects.list` | `GET /objects/keys?prefix=&limit=` | `{"keys": [...]}` |
 *
 * 429 with `Retry-After` in seconds means that the call was refused without effect.
 */
import {Buffer} from 'node:buffer';
import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {Pool} from 'undici';
import {z} from 'zod';
import type {Clock, Milliseconds} from '../clock.js';
import {createCircuit} from './circuit.js';
import {
	createInvalidAnswerError, createRateLimitError, createTimeoutError, createUnreachableError,
} from './errors.js';
import type {CommitOutcome, Platform, PlatformError} from './types.js';

/** What the client needs. */
export type PlatformClientHost = {
	readonly clock: Clock;
	/** Address of the platform, for instance `http://10.1.0.5:7000`. */
	readonly url: string;
	/** Longest wait for one answer. */
	readonly timeoutMs: Milliseconds;
	/** Most connections at a time; further calls wait for a free one. Default 8. */
	readonly connections?: number;
	/** Failures in a row after which calls fail fast. Default 5. */
	readonly failuresToOpen?: number;
	/** How long calls fail fast before the platform is tried again. Default 500 ms. */
	readonly pauseMs?: Milliseconds;
};

/** A platform whose connections can be closed. */
export type PlatformClient = Platform & {
	/** Waits for calls in progress, then closes all connections. */
	close(): Promise<void>;
};

/** Creates a client; it connects with the first call. */
export function createPlatformClient(host: PlatformClientHost): PlatformClient {
	const {clock, url, timeoutMs, connections = 8, failuresToOpen = 5, pauseMs = 500} = host;
	const pool = new Pool(url, {connections, pipelining: 1, connect: {timeout: timeoutMs}});
	const circuit = createCircuit({clock, failuresToOpen, pause: pauseMs});

	return {
		table: {
			get: key => call({method: 'GET', path: `/table/row?${query({key})}`}, jsonReader(rowAnswer)).map(({row}) => row),
			scan: (prefix, limit, after) => call({method: 'GET', path: `/table/rows?${query({prefix, limit, after})}`}, jsonReader(rowsAnswer)).map(({rows}) => rows),
			commit: transaction => call<CommitOutcome>({method: 'POST', path: '/table/commit', body: JSON.stringify(transaction)}, jsonReader(commitAnswer)),
		},
		objects: {
			get: key => call({method: 'GET', path: `/objects?${query({key})}`}, readBytes),
			put: (key, bytes) => call({method: 'PUT', path: `/objects?${query({key})}`, body: bytes}, readNothing),
			delete: key => call({method: 'DELETE', path: `/objects?${query({key})}`}, readNothing),
			list: (prefix, limit) => call({method: 'GET', path: `/objects/keys?${query({prefix, limit})}`}, jsonReader(keysAnswer)).map(({keys}) => keys),
		},
		async close() {
			await pool.close();
		},
	};

	function call<T>(request: PlatformRequest, read: AnswerReader<T>): ResultAsync<T, PlatformError> {
		return new ResultAsync(runCall(request, read));
	}

	async function runCall<T>(request: PlatformRequest, read: AnswerReader<T>): Promise<Result<T, PlatformError>> {
		const wait = circuit.tryEnter();
		if (wait !== undefined) {
			return err(createUnreachableError('earlier calls failed, so this one was not made', false, wait));
		}

		const isWrite = request.method !== 'GET';
		const sent = await send(request, isWrite);
		if (sent.isErr()) {
			circuit.reportFailure();
			return err(sent.error);
		}

		// A refusal by rate or an unexpected form still shows that the platform answers.
		circuit.reportSuccess();
		return readAnswer(sent.value, isWrite, read);
	}

	async function send(request: PlatformRequest, isWrite: boolean): Promise<Result<PlatformAnswer, PlatformError>> {
		const abort = new AbortController();
		const timer = clock.after(timeoutMs, () => {
			abort.abort();
		});
		try {
			const {statusCode, headers, body} = await pool.request({
				...request,
				headers: {'content-type': typeof request.body === 'string' ? 'application/json' : 'application/octet-stream'},
				signal: abort.signal,
			});
			const bytes = await body.bytes();
			return ok({status: statusCode, retryAfter: String(headers['retry-after'] ?? ''), bytes});
		} catch (err_) {
			if (abort.signal.aborted) {
				return err(createTimeoutError(timeoutMs, isWrite, pauseMs));
			}

			return err(createUnreachableError(describeError(err_), isWrite && !isBeforeSending(err_), pauseMs));
		} finally {
			timer.cancel();
		}
	}
}

type PlatformRequest = {
	readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	readonly path: string;
	readonly body?: string | Uint8Array;
};

type PlatformAnswer = {
	readonly status: number;
	/** Seconds as text; empty if the header is absent. */
	readonly retryAfter: string;
	readonly bytes: Uint8Array;
};

/** Reads an answer with a status of success, or returns undefined if its form is not the agreed one. */
type AnswerReader<T> = (answer: PlatformAnswer) => {readonly value: T} | undefined;

const tableRow = z.object({key: z.string(), value: z.string(), revision: z.number()});
const rowAnswer = z.object({row: tableRow.optional()});
const rowsAnswer = z.object({rows: z.array(tableRow)});
const keysAnswer = z.object({keys: z.array(z.string())});
const commitAnswer = z.discriminatedUnion('kind', [
	z.object({kind: z.literal('committed')}),
	z.object({kind: z.literal('conflict'), key: z.string(), revision: z.number()}),
]);

const defaultRetryAfterMs: Milliseconds = 1000;

function readAnswer<T>(answer: PlatformAnswer, isWrite: boolean, read: AnswerReader<T>): Result<T, PlatformError> {
	const {status} = answer;
	if (status === 429) {
		const seconds = Number.parseFloat(answer.retryAfter);
		return err(createRateLimitError(Number.isFinite(seconds) ? seconds * 1000 : defaultRetryAfterMs));
	}

	if (status < 200 || status >= 300) {
		return err(createInvalidAnswerError(`status ${status}`, isWrite && status >= 500, defaultRetryAfterMs));
	}

	const found = read(answer);
	return found === undefined
		? err(createInvalidAnswerError('the body has another form', isWrite, defaultRetryAfterMs))
		: ok(found.value);
}

function jsonReader<T>(schema: z.ZodType<T>): AnswerReader<T> {
	return ({bytes}) => {
		try {
			const parsed = schema.safeParse(JSON.parse(Buffer.from(bytes).toString()));
			return parsed.success ? {value: parsed.data} : undefined;
		} catch {
			return undefined;
		}
	};
}

function readBytes({status, bytes}: PlatformAnswer): {readonly value: Uint8Array | undefined} {
	return {value: status === 204 ? undefined : bytes};
}

function readNothing(): {readonly value: undefined} {
	return {value: undefined};
}

function query(parameters: Readonly<Record<string, string | number | undefined>>): string {
	const search = new URLSearchParams();
	for (const [name, value] of Object.entries(parameters)) {
		if (value !== undefined) {
			search.set(name, String(value));
		}
	}

	return search.toString();
}

/** Whether the connection failed before any byte of the request could leave. */
function isBeforeSending(error: unknown): boolean {
	if (!(error instanceof Error)) {
		return false;
	}

	const isConnect = 'syscall' in error && error.syscall === 'connect';
	const code = 'code' in error ? error.code : undefined;
	return isConnect || code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT';
}

function describeError(error: unknown): string {
	return error instanceof Error ? error.message || error.name : String(error);
}
