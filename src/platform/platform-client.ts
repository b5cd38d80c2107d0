/**
 * Client of the users' store over HTTP; implements the table service and the object store that the rest of the system
 * uses. A key "area/name" stands for the row NAME of the table AREA, and keys without a slash belong to one separate
 * table. All rows share the empty partition, so that one transaction may include any of them.
 */
import {Buffer} from 'node:buffer';
import {
	err, ok, okAsync, ResultAsync, type Result,
} from 'neverthrow';
import {Pool} from 'undici';
import {z} from 'zod';
import type {Clock, Milliseconds} from '../process/clock.js';
import {sequenceNumberSchema} from '../process/input-schemas.js';
import {readJson} from '../process/json.js';
import {createCircuitBreaker} from '../process/platform/circuit-breaker.js';
import {
	createInvalidAnswerError, createRateLimitError, createTimeoutError, createUnreachableError,
} from '../process/platform/errors.js';
import type {
	CommitOutcome, Platform, PlatformError, TableRow, Transaction,
} from '../process/platform/types.js';

/** Dependencies and options of the client. */
export type PlatformClientHost = {
	readonly clock: Clock;
	/** Address of the platform, for instance `http://10.1.0.5:7000`. */
	readonly url: string;
	/** Timeout of one call. */
	readonly timeoutMs: Milliseconds;
	/** Maximum number of connections at a time; further calls wait for a free one. Default 8. */
	readonly connections?: number;
	/** Number of consecutive failures after which calls fail fast. Default 5. */
	readonly failuresToOpen?: number;
	/** How long calls fail fast before the platform is tried again. Default 500 ms. */
	readonly circuitOpenMs?: Milliseconds;
};

/** Client of the store, which also reads rows of the operator and can be closed. */
export type PlatformClient = Platform & {
	/** Reads the operator's rows whose names are at least `from` and less than `to`. */
	readOperatorRows(from: string, to: string): ResultAsync<OperatorRows, PlatformError>;
	/** Waits up to `waitMs` for changes of the operator's rows after revision `after`. */
	waitForOperatorRows(after: number, waitMs: Milliseconds): ResultAsync<RowChanges, PlatformError>;
	/** Aborts calls in progress and closes all connections. A read that waits for a change would otherwise delay the exit of the process. */
	close(): Promise<void>;
};

/** A row that only the operator writes. */
export type OperatorRow = {
	readonly name: string;
	/** Undefined if the row was deleted. */
	readonly text: string | undefined;
};

/** The operator's rows as of one revision of the whole store. */
export type OperatorRows = {
	readonly rows: readonly OperatorRow[];
	readonly revision: number;
};

/** Result of waiting for changes of the operator's rows. */
export type RowChanges =
	/** The changes up to `revision` in their order, after which the next wait continues; there may be none. */
	| {readonly kind: 'changes'} & OperatorRows
	/** The store no longer retains the requested changes; the rows have to be read again. */
	| {readonly kind: 'history-lost'};

/** Creates a client; it connects with the first call. */
export function createPlatformClient(host: PlatformClientHost): PlatformClient {
	const {clock, url, timeoutMs, connections = 8, failuresToOpen = 5, circuitOpenMs = 500} = host;
	const pool = new Pool(url, {connections, pipelining: 1, connect: {timeout: timeoutMs}});
	const circuit = createCircuitBreaker({clock, failureThreshold: failuresToOpen, resetTimeout: circuitOpenMs});

	return {
		table: {
			get: key => readRows({...splitKey(key), limit: 1}).map(({rows}) => rows.find(row => row.key === key)),
			scan,
			commit: transaction => call<CommitOutcome>({method: 'POST', path: '/v1/rows-tx', body: JSON.stringify(toWireTransaction(transaction))}, answer => readCommit(answer, transaction)),
		},
		objects: {
			get: key => call({method: 'GET', path: `/v1/blob-get/${encodeURIComponent(key)}`}, readBytes),
			put: (key, bytes) => call({method: 'PUT', path: `/v1/blob-put/${encodeURIComponent(key)}`, body: bytes}, readEmpty),
			delete: key => call({method: 'DELETE', path: `/v1/blob-drop/${encodeURIComponent(key)}`}, readEmpty),
			list: (prefix, limit) => call({method: 'GET', path: `/v1/blob-list?${formatQuery({'path-prefix': prefix})}`}, createJsonReader(namesSchema)).map(({names}) => names.slice(0, limit)),
		},
		readOperatorRows,
		waitForOperatorRows,
		async close() {
			await pool.destroy();
		},
	};

	function scan(prefix: string, limit: number, after?: string): ResultAsync<readonly TableRow[], PlatformError> {
		const {table, key} = splitKey(prefix);
		// The smallest key greater than `after` is `after` with the least character appended.
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
			method: 'GET', path: `/v1/rows-get?${formatQuery({
				table, part: '', from: key, target: end, limit,
			})}`,
		}, createJsonReader(rowsSchema)).map(answer => ({
			rows: answer.rows.map(row => toTableRow(row)), hasMore: answer['has-more'], revision: answer.ver,
		}));
	}

	function readOperatorRows(from: string, to: string): ResultAsync<OperatorRows, PlatformError> {
		return readRows({
			table: operatorTable, key: from, end: to, limit: maxRowsPerRead,
		}).andThen(page => {
			const rows = page.rows.map(({key, value}): OperatorRow => ({name: splitKey(key).key, text: value}));
			const last = rows.at(-1);
			// Later pages may contain later changes. These follow once more after the revision of the first page.
			return page.hasMore && last !== undefined
				? readOperatorRows(`${last.name}\0`, to).map(rest => ({rows: [...rows, ...rest.rows], revision: page.revision}))
				: okAsync({rows, revision: page.revision});
		});
	}

	function waitForOperatorRows(after: number, waitMs: Milliseconds): ResultAsync<RowChanges, PlatformError> {
		return call<RowChanges>({
			method: 'GET', path: `/v1/rows-feed?${formatQuery({table: operatorTable, after, 'wait-ms': waitMs})}`, waitMs,
		}, answer => {
			if (answer.status === 410) {
				return {value: {kind: 'history-lost'}};
			}

			const feed = createJsonReader(rowsSchema)(answer);
			return feed && {
				value: {
					kind: 'changes',
					rows: feed.value.rows.map(({key, value = '', deleted}) => ({name: key, text: deleted ? undefined : decodeValue(value)})),
					revision: feed.value.ver,
				},
			};
		});
	}

	function call<T>(request: PlatformRequest, read: AnswerReader<T>): ResultAsync<T, PlatformError> {
		return new ResultAsync(runCall(request, read));
	}

	async function runCall<T>(request: PlatformRequest, read: AnswerReader<T>): Promise<Result<T, PlatformError>> {
		const remainingOpenMs = circuit.tryAcquire();
		if (remainingOpenMs !== undefined) {
			return err(createUnreachableError('earlier calls failed, so this one was not made', false, remainingOpenMs));
		}

		const isWrite = request.method !== 'GET';
		const sent = await send(request, isWrite);
		if (sent.isErr()) {
			circuit.recordFailure();
			return err(sent.error);
		}

		// A rate limit or an answer in an unexpected format still shows that the platform responds.
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
				return err(createTimeoutError(timeoutMs, isWrite, circuitOpenMs));
			}

			return err(createUnreachableError(describeError(err_), isWrite && !isBeforeSending(err_), circuitOpenMs));
		} finally {
			timer.cancel();
		}
	}
}

type PlatformRequest = {
	readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
	readonly path: string;
	readonly body?: string | Uint8Array;
	/** How long the store may delay the answer while it waits for a change. */
	readonly waitMs?: Milliseconds;
};

type PlatformAnswer = {
	readonly status: number;
	/** Seconds as text; empty if the header is absent. */
	readonly retryAfter: string;
	readonly bytes: Uint8Array;
};

/** Parses an answer whose status is a success or expected for its method; returns undefined if the format is not the agreed one. */
type AnswerReader<T> = (answer: PlatformAnswer) => {readonly value: T} | undefined;

/** Rows with keys from `key` (included) to `end` (excluded). */
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

/** Table of the rows that only the operator writes. */
const operatorTable = 'op';
/** Table of the keys without a slash. */
const defaultTable = 'kingcuplane';
const maxRowsPerRead = 500;

const rowSchema = z.object({
	table: z.string(), key: z.string(), value: z.string().optional(), ver: sequenceNumberSchema, deleted: z.coerce.boolean().default(false),
});
const rowsSchema = z.object({rows: z.array(rowSchema), 'has-more': z.boolean().default(false), ver: sequenceNumberSchema.default(0)});
const commitSchema = z.object({ver: sequenceNumberSchema});
const conflictSchema = z.object({rows: z.array(rowSchema)});
const namesSchema = z.object({names: z.array(z.string())});

function splitKey(key: string): {readonly table: string; readonly key: string} {
	const slash = key.indexOf('/');
	return slash === -1 ? {table: defaultTable, key} : {table: key.slice(0, slash), key: key.slice(slash + 1)};
}

function toTableRow({
	table, key, value = '', ver,
}: z.infer<typeof rowSchema>): TableRow {
	return {key: table === defaultTable ? key : `${table}/${key}`, value: decodeValue(value), revision: ver};
}

function decodeValue(value: string): string {
	return Buffer.from(value, 'base64').toString();
}

// "expect-rev" lists the conditions; rows to set and rows to delete are in separate lists.
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
		const committed = createJsonReader(commitSchema)(answer);
		return committed === undefined ? undefined : {value: {kind: 'committed', revision: committed.value.ver}};
	}

	const conflict = createJsonReader(conflictSchema)(answer);
	if (conflict === undefined) {
		return undefined;
	}

	const revisions = new Map(conflict.value.rows.filter(row => row.value !== undefined).map(row => [toTableRow(row).key, row.ver]));
	const unmet = conditions.find(({key, revision}) => (revisions.get(key) ?? 0) !== revision);
	return unmet === undefined ? undefined : {value: {kind: 'conflict', key: unmet.key, revision: revisions.get(unmet.key) ?? 0}};
}

const defaultRetryAfterMs: Milliseconds = 1000;
/** The object does not exist, or the requested changes of a row are no longer retained; the answer readers handle both. */
const expectedReadStatuses: ReadonlySet<number> = new Set([404, 410]);
/** A condition of the transaction is not met. */
const expectedWriteStatuses: ReadonlySet<number> = new Set([412]);

function readAnswer<T>(answer: PlatformAnswer, isWrite: boolean, read: AnswerReader<T>): Result<T, PlatformError> {
	const {status} = answer;
	if (status === 429) {
		const seconds = Number.parseFloat(answer.retryAfter);
		return err(createRateLimitError(Number.isFinite(seconds) ? seconds * 1000 : defaultRetryAfterMs));
	}

	if (status === 503) {
		return err(createUnreachableError('the store refuses calls', false, defaultRetryAfterMs));
	}

	if ((status < 200 || status >= 300) && !(isWrite ? expectedWriteStatuses : expectedReadStatuses).has(status)) {
		return err(createInvalidAnswerError(`status ${status}`, isWrite && status >= 500, defaultRetryAfterMs));
	}

	const found = read(answer);
	return found === undefined
		? err(createInvalidAnswerError('the body has another form', isWrite, defaultRetryAfterMs))
		: ok(found.value);
}

function createJsonReader<T>(schema: z.ZodType<T>): AnswerReader<T> {
	return ({bytes}) => readJson(schema, Buffer.from(bytes).toString()).match(value => ({value}), () => undefined);
}

function readBytes({status, bytes}: PlatformAnswer): {readonly value: Uint8Array | undefined} {
	return {value: status === 404 ? undefined : bytes};
}

function readEmpty({status}: PlatformAnswer): {readonly value: undefined} | undefined {
	return status === 412 ? undefined : {value: undefined};
}

function formatQuery(parameters: Readonly<Record<string, string | number | undefined>>): string {
	const search = new URLSearchParams();
	for (const [name, value] of Object.entries(parameters)) {
		if (value !== undefined) {
			search.set(name, String(value));
		}
	}

	return search.toString();
}

/** Whether the connection failed before any byte of the request could be sent. */
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
