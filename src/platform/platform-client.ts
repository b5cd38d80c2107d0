/**
 * The users' store over HTTP, as the table service and the object store that the rest of the system knows. A key
 * "area/name" is the row NAME of the table AREA, and a key without a slash lies in a table of its own; all rows share
 * the empty partition, so that one transaction may touch any of them.
 */
import {Buffer} from 'node:buffer';
import {
	err, ok, okAsync, ResultAsync, type Result,
} from 'neverthrow';
import {Pool} from 'undici';
import {z} from 'zod';
import type {Clock, Milliseconds} from '../process/clock.js';
import {readJson} from '../process/json.js';
import {createCircuitBreaker} from '../process/platform/circuit-breaker.js';
import {
	createInvalidAnswerError, createRateLimitError, createTimeoutError, createUnreachableError,
} from '../process/platform/errors.js';
import type {
	CommitOutcome, Platform, PlatformError, TableRow, Transaction,
} from '../process/platform/types.js';

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
	readonly circuitOpenMs?: Milliseconds;
};

/** A platform whose connections can be closed. */
export type PlatformClient = Platform & {
	/** The text of a row that only the operator writes, and the store's newest revision. */
	readOperatorRow(name: string): ResultAsync<OperatorRow, PlatformError>;
	/** Waits up to `waitMs` for a change after `after` to a row that only the operator writes. */
	waitForOperatorRow(name: string, after: number, waitMs: Milliseconds): ResultAsync<RowChange, PlatformError>;
	/** Gives up calls in progress and closes all connections: a read that waits for a change would hold up the end of the process. */
	close(): Promise<void>;
};

/** A row that only the operator writes. */
export type OperatorRow = {
	/** Undefined if there is none. */
	readonly text: string | undefined;
	/** Revision of the newest transaction of the whole store. */
	readonly revision: number;
};

/** What became of a row since a revision. */
export type RowChange =
	/** `text` is undefined if the row did not change; go on from `revision`. */
	| {readonly kind: 'changes'; readonly text: string | undefined; readonly revision: number}
	/** The store no longer has the history asked for; the row has to be read anew. */
	| {readonly kind: 'history-lost'};

/** Creates a client; it connects with the first call. */
export function createPlatformClient(host: PlatformClientHost): PlatformClient {
	const {clock, url, timeoutMs, connections = 8, failuresToOpen = 5, circuitOpenMs: pauseMs = 500} = host;
	const pool = new Pool(url, {connections, pipelining: 1, connect: {timeout: timeoutMs}});
	const circuit = createCircuitBreaker({clock, failureThreshold: failuresToOpen, resetTimeout: pauseMs});

	return {
		table: {
			get: key => readRows({...splitKey(key), limit: 1}).map(({rows}) => rows.find(row => row.key === key)),
			scan,
			commit: transaction => call<CommitOutcome>({method: 'POST', path: '/v1/rows-tx', body: JSON.stringify(toWireTransaction(transaction))}, answer => readCommit(answer, transaction)),
		},
		objects: {
			get: key => call({method: 'GET', path: `/v1/blob-get/${encodeURIComponent(key)}`}, readBytes),
			put: (key, bytes) => call({method: 'PUT', path: `/v1/blob-put/${encodeURIComponent(key)}`, body: bytes}, readNothing),
			delete: key => call({method: 'DELETE', path: `/v1/blob-drop/${encodeURIComponent(key)}`}, readNothing),
			list: (prefix, limit) => call({method: 'GET', path: `/v1/blob-list?${query({'path-prefix': prefix})}`}, jsonReader(namesAnswer)).map(({names}) => names.slice(0, limit)),
		},
		readOperatorRow: name => readRows({table: operatorTable, key: name, limit: 1})
			.map(({rows, revision}) => ({text: rows.find(row => row.key === `${operatorTable}/${name}`)?.value, revision})),
		waitForOperatorRow,
		async close() {
			await pool.destroy();
		},
	};

	function scan(prefix: string, limit: number, after?: string): ResultAsync<readonly TableRow[], PlatformError> {
		const {table, key} = splitKey(prefix);
		// The smallest key after another one is that key with the least character added.
		const from = after === undefined ? key : `${splitKey(after).key}\0`;
		return readRows({
			table, key: from, end: key === '' ? undefined : `${key}\u{10FFFF}`, limit: Math.min(limit, maxRowsPerRead),
		}).andThen(({rows, hasMore}) => hasMore && rows.length > 0 && rows.length < limit
			? scan(prefix, limit - rows.length, rows.at(-1)!.key).map(rest => [...rows, ...rest])
			: okAsync(rows));
	}

	function readRows({
		table, key, end, limit,
	}: RowRange): ResultAsync<RowPage, PlatformError> {
		return call({
			method: 'GET', path: `/v1/rows-get?${query({
				table, part: '', from: key, target: end, limit,
			})}`,
		}, jsonReader(rowsAnswer)).map(answer => ({
			rows: answer.rows.map(row => toTableRow(row)), hasMore: answer['has-more'], revision: answer.ver,
		}));
	}

	function waitForOperatorRow(name: string, after: number, waitMs: Milliseconds): ResultAsync<RowChange, PlatformError> {
		return call<RowChange>({
			method: 'GET', path: `/v1/rows-feed?${query({table: operatorTable, after, 'wait-ms': waitMs})}`, waitMs,
		}, answer => {
			if (answer.status === 410) {
				return {value: {kind: 'history-lost'}};
			}

			const feed = jsonReader(rowsAnswer)(answer);
			if (feed === undefined) {
				return undefined;
			}

			const row = feed.value.rows.findLast(({key}) => key === name);
			return {value: {kind: 'changes', text: row?.value === undefined ? undefined : decodeValue(row.value), revision: feed.value.ver}};
		});
	}

	function call<T>(request: PlatformRequest, read: AnswerReader<T>): ResultAsync<T, PlatformError> {
		return new ResultAsync(runCall(request, read));
	}

	async function runCall<T>(request: PlatformRequest, read: AnswerReader<T>): Promise<Result<T, PlatformError>> {
		const wait = circuit.tryAcquire();
		if (wait !== undefined) {
			return err(createUnreachableError('earlier calls failed, so this one was not made', false, wait));
		}

		const isWrite = request.method !== 'GET';
		const sent = await send(request, isWrite);
		if (sent.isErr()) {
			circuit.recordFailure();
			return err(sent.error);
		}

		// A refusal by rate or an unexpected form still shows that the platform answers.
		circuit.recordSuccess();
		return readAnswer(sent.value, isWrite, read);
	}

	async function send(request: PlatformRequest, isWrite: boolean): Promise<Result<PlatformAnswer, PlatformError>> {
		const abort = new AbortController();
		const timer = clock.after(timeoutMs + (request.waitMs ?? 0), () => {
			abort.abort();
		});
		try {
			const {statusCode, headers, body} = await pool.request({
				method: request.method,
				path: request.path,
				body: request.body,
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
	/** Time that the store may hold the answer back. */
	readonly waitMs?: Milliseconds;
};

type PlatformAnswer = {
	readonly status: number;
	/** Seconds as text; empty if the header is absent. */
	readonly retryAfter: string;
	readonly bytes: Uint8Array;
};

/** Reads an answer with a status of success, or returns undefined if its form is not the agreed one. */
type AnswerReader<T> = (answer: PlatformAnswer) => {readonly value: T} | undefined;

/** Rows with keys from `key` to before `end`. */
type RowRange = {
	readonly table: string;
	readonly key: string;
	readonly end?: string;
	readonly limit: number;
};

type RowPage = {
	readonly rows: readonly TableRow[];
	readonly hasMore: boolean;
	/** Revision of the newest transaction of the whole store. */
	readonly revision: number;
};

/** Rows that only the operator writes. */
const operatorTable = 'op';
/** Table of keys without a slash. */
const plainTable = 'kingcuplane';
const maxRowsPerRead = 500;

const wireRow = z.object({
	table: z.string(), key: z.string(), value: z.string().optional(), ver: z.number(),
});
const rowsAnswer = z.object({rows: z.array(wireRow), 'has-more': z.boolean().default(false), ver: z.number().default(0)});
const commitAnswer = z.object({ver: z.number()});
const conflictAnswer = z.object({rows: z.array(wireRow)});
const namesAnswer = z.object({names: z.array(z.string())});

function splitKey(key: string): {readonly table: string; readonly key: string} {
	const slash = key.indexOf('/');
	return slash === -1 ? {table: plainTable, key} : {table: key.slice(0, slash), key: key.slice(slash + 1)};
}

function toTableRow({
	table, key, value = '', ver,
}: z.infer<typeof wireRow>): TableRow {
	return {key: table === plainTable ? key : `${table}/${key}`, value: decodeValue(value), revision: ver};
}

function decodeValue(value: string): string {
	return Buffer.from(value, 'base64').toString();
}

// "expect-rev" lists conditions; rows to set and to delete stand apart.
function toWireTransaction({conditions, writes}: Transaction): unknown {
	const toName = (key: string) => {
		const {table, key: name} = splitKey(key);
		return {table, part: '', key: name};
	};

	return {
		'expect-rev': conditions.map(({key, revision}) => ({...toName(key), ver: revision})),
		'set-keys': writes.flatMap(({key, value}) => value === undefined ? [] : [{...toName(key), value: Buffer.from(value).toString('base64')}]),
		'delete-keys': writes.flatMap(({key, value}) => value === undefined ? [toName(key)] : []),
	};
}

function readCommit(answer: PlatformAnswer, {conditions}: Transaction): {readonly value: CommitOutcome} | undefined {
	if (answer.status !== 412) {
		const committed = jsonReader(commitAnswer)(answer);
		return committed === undefined ? undefined : {value: {kind: 'committed', revision: committed.value.ver}};
	}

	const present = jsonReader(conflictAnswer)(answer);
	if (present === undefined) {
		return undefined;
	}

	const revisions = new Map(present.value.rows.filter(row => row.value !== undefined).map(row => [toTableRow(row).key, row.ver]));
	const broken = conditions.find(({key, revision}) => (revisions.get(key) ?? 0) !== revision);
	return broken === undefined ? undefined : {value: {kind: 'conflict', key: broken.key, revision: revisions.get(broken.key) ?? 0}};
}

const defaultRetryAfterMs: Milliseconds = 1000;
/** No such object, history no longer kept: answers that the readers understand. */
const expectedOfReads: ReadonlySet<number> = new Set([404, 410]);
/** A condition is not met. */
const expectedOfWrites: ReadonlySet<number> = new Set([412]);

function readAnswer<T>(answer: PlatformAnswer, isWrite: boolean, read: AnswerReader<T>): Result<T, PlatformError> {
	const {status} = answer;
	if (status === 429) {
		const seconds = Number.parseFloat(answer.retryAfter);
		return err(createRateLimitError(Number.isFinite(seconds) ? seconds * 1000 : defaultRetryAfterMs));
	}

	if (status === 503) {
		return err(createUnreachableError('the store refuses calls', false, defaultRetryAfterMs));
	}

	if ((status < 200 || status >= 300) && !(isWrite ? expectedOfWrites : expectedOfReads).has(status)) {
		return err(createInvalidAnswerError(`status ${status}`, isWrite && status >= 500, defaultRetryAfterMs));
	}

	const found = read(answer);
	return found === undefined
		? err(createInvalidAnswerError('the body has another form', isWrite, defaultRetryAfterMs))
		: ok(found.value);
}

function jsonReader<T>(schema: z.ZodType<T>): AnswerReader<T> {
	return ({bytes}) => readJson(schema, Buffer.from(bytes).toString()).match(value => ({value}), () => undefined);
}

function readBytes({status, bytes}: PlatformAnswer): {readonly value: Uint8Array | undefined} {
	return {value: status === 404 ? undefined : bytes};
}

function readNothing({status}: PlatformAnswer): {readonly value: undefined} | undefined {
	return status === 412 ? undefined : {value: undefined};
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
