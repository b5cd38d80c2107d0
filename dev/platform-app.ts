/**
 * HTTP interface of an in-memory platform: the protocol of the users' store, and in addition `GET /stats`,
 * `GET /faults` and `POST /faults` (a JSON object with the faults to change).
 */
import {Buffer} from 'node:buffer';
import {Hono, type Context} from 'hono';
import type {Result} from 'neverthrow';
import {z} from 'zod';
import {noPlatformFaults, type MemoryPlatform, type PlatformFaults} from '../src/process/platform/memory.js';
import type {PlatformError, TableRow} from '../src/process/platform/types.js';
import type {HttpEnv} from './http-server.js';

const maxRows = 500;
const pollMs = 10;
const defaultTable = 'kingcuplane';

const rowNameSchema = z.object({table: z.string(), part: z.string(), key: z.string()});
const transactionSchema = z.object({
	'expect-rev': z.array(rowNameSchema.extend({ver: z.number()})).default([]),
	'set-keys': z.array(rowNameSchema.extend({value: z.string()})).default([]),
	'delete-keys': z.array(rowNameSchema).default([]),
});

const faultChangesSchema = z.strictObject({
	down: z.boolean(),
	slowMs: z.number().min(0),
	callsPerSecond: z.number().min(0).optional(),
	repliesToLose: z.number().min(0),
	oldReadsMs: z.number().min(0),
	/** Clears all faults before the other fields are applied. */
	clear: z.boolean(),
}).partial();

/** Creates the HTTP routes of `platform`. */
export function createPlatformApp(platform: MemoryPlatform): Hono<HttpEnv> {
	const {table, objects} = platform;
	const app = new Hono<HttpEnv>();

	app.get('/v1/rows-get', async c => sendResult(c, await scanTable(c), rows => {
		const {from = '', target} = c.req.query();
		const found = rows.map(row => toWireRow(row)).filter(row => row.key >= from && (target === undefined || row.key < target));
		const limit = Math.min(maxRows, Number(c.req.query('limit') ?? maxRows));
		return c.json({rows: found.slice(0, limit), 'has-more': found.length > limit, ver: platform.getRevision()});
	}));
	app.get('/v1/rows-feed', async c => {
		const after = Number(c.req.query('after'));
		const end = Date.now() + Number(c.req.query('wait-ms') ?? 0);
		for (;;) {
			const rows = await scanTable(c);
			const changed = rows.map(found => found.filter(row => row.revision > after));
			if (changed.isErr() || changed.value.length > 0 || Date.now() >= end) {
				return sendResult(c, changed, found => c.json({rows: found.map(row => toWireRow(row)), ver: platform.getRevision()}));
			}

			await new Promise(resolve => {
				setTimeout(resolve, pollMs);
			});
		}
	});
	app.post('/v1/rows-tx', async c => {
		const parsed = transactionSchema.safeParse(await c.req.json());
		if (!parsed.success) {
			return c.json({message: parsed.error.message}, 400);
		}

		const conditions = parsed.data['expect-rev'].map(({ver, ...name}) => ({key: toKey(name), revision: ver}));
		const writes = [
			...parsed.data['set-keys'].map(({value, ...name}) => ({key: toKey(name), value: Buffer.from(value, 'base64').toString()})),
			...parsed.data['delete-keys'].map(name => ({key: toKey(name), value: undefined})),
		];
		return sendResult(c, await table.commit({conditions, writes}), async outcome => outcome.kind === 'committed'
			? c.json({ver: outcome.revision})
			: c.json({rows: await readExistingRows(conditions)}, 412));
	});

	app.get('/v1/blob-list', async c => sendResult(c, await objects.list(c.req.query('path-prefix') ?? '', Infinity), names => c.json({names, 'has-more': false})));
	app.get('/v1/blob-get/:name', async c => sendResult(c, await objects.get(c.req.param('name')), bytes => bytes === undefined ? c.body(null, 404) : c.body(Buffer.from(bytes))));
	app.put('/v1/blob-put/:name', async c => sendResult(c, await objects.put(c.req.param('name'), new Uint8Array(await c.req.arrayBuffer())), () => c.json({})));
	app.delete('/v1/blob-drop/:name', async c => sendResult(c, await objects.delete(c.req.param('name')), () => c.json({})));

	app.get('/stats', c => c.json(platform.getStats()));
	app.get('/faults', c => c.json(platform.getFaults()));
	app.post('/faults', async c => {
		const parsed = faultChangesSchema.safeParse(await c.req.json());
		if (!parsed.success) {
			return c.json({message: parsed.error.message}, 400);
		}

		const {clear = false, ...changes} = parsed.data;
		const base: Partial<PlatformFaults> = clear ? noPlatformFaults : {};
		platform.setFaults({...base, ...changes});
		return c.json(platform.getFaults());
	});

	return app;

	async function scanTable(c: Context<HttpEnv>): Promise<Result<readonly TableRow[], PlatformError>> {
		const name = c.req.query('table') ?? '';
		const rows = await table.scan(name === defaultTable ? '' : `${name}/`, Infinity);
		return rows.map(found => found.filter(row => toWireRow(row).table === name));
	}

	async function readExistingRows(conditions: ReadonlyArray<{readonly key: string}>): Promise<unknown[]> {
		const rows = await Promise.all(conditions.map(async ({key}) => table.get(key)));
		return rows.flatMap(row => row.isOk() && row.value !== undefined ? [toWireRow(row.value)] : []);
	}
}

function toKey({table, key}: {readonly table: string; readonly key: string}): string {
	return table === defaultTable ? key : `${table}/${key}`;
}

function toWireRow({key, value, revision}: TableRow): WireRow {
	const slash = key.indexOf('/');
	return {
		table: slash === -1 ? defaultTable : key.slice(0, slash), part: '', key: key.slice(slash + 1), value: Buffer.from(value).toString('base64'), ver: revision,
	};
}

type WireRow = {
	readonly table: string;
	readonly part: string;
	readonly key: string;
	readonly value: string;
	readonly ver: number;
};

/** Sends a result. If the platform is unreachable, closes the connection without a response. */
function sendResult<T, R extends Response | Promise<Response>>(c: Context<HttpEnv>, result: Result<T, PlatformError>, send: (value: T) => R): R | Response {
	if (result.isOk()) {
		return send(result.value);
	}

	const {kind, retryAfter, diagnostic} = result.error;
	if (kind === 'rate-limited') {
		return c.json(diagnostic, 429, {'retry-after': String(retryAfter / 1000)});
	}

	c.env.incoming.socket.destroy();
	return c.body(null);
}
