/**
 * The HTTP face of a platform in memory: the interface of `src/process/platform/client.ts`, and beside it
 * `GET /stats`, `GET /faults` and `POST /faults` (a JSON object with the faults to change).
 */
import {Buffer} from 'node:buffer';
import {Hono, type Context} from 'hono';
import type {Result} from 'neverthrow';
import {z} from 'zod';
import {noPlatformFaults, type MemoryPlatform, type PlatformFaults} from '../src/process/platform/memory.js';
import type {PlatformError} from '../src/process/platform/types.js';
import type {HttpEnv} from './http-server.js';

const defaultLimit = 1000;

const transaction = z.object({
	conditions: z.array(z.object({key: z.string(), revision: z.number()})),
	writes: z.array(z.object({key: z.string(), value: z.string().optional()})),
});

const faultChanges = z.strictObject({
	down: z.boolean(),
	slowMs: z.number().min(0),
	callsPerSecond: z.number().min(0).optional(),
	repliesToLose: z.number().min(0),
	oldReadsMs: z.number().min(0),
	/** Clears all faults before the others are set. */
	clear: z.boolean(),
}).partial();

/** Creates the HTTP routes over `platform`. */
export function createPlatformApp(platform: MemoryPlatform): Hono<HttpEnv> {
	const {table, objects} = platform;
	const app = new Hono<HttpEnv>();

	app.get('/table/row', async c => answer(c, await table.get(key(c)), row => c.json({row})));
	app.get('/table/rows', async c => answer(c, await table.scan(prefix(c), limit(c), c.req.query('after')), rows => c.json({rows})));
	app.post('/table/commit', async c => {
		const parsed = transaction.safeParse(await c.req.json());
		if (!parsed.success) {
			return c.json({message: parsed.error.message}, 400);
		}

		const {conditions, writes} = parsed.data;
		return answer(c, await table.commit({conditions, writes: writes.map(write => ({key: write.key, value: write.value}))}), outcome => c.json(outcome));
	});

	app.get('/objects/keys', async c => answer(c, await objects.list(prefix(c), limit(c)), keys => c.json({keys})));
	app.get('/objects', async c => answer(c, await objects.get(key(c)), bytes => bytes === undefined ? c.body(null, 204) : c.body(Buffer.from(bytes))));
	app.put('/objects', async c => answer(c, await objects.put(key(c), new Uint8Array(await c.req.arrayBuffer())), () => c.body(null, 204)));
	app.delete('/objects', async c => answer(c, await objects.delete(key(c)), () => c.body(null, 204)));

	app.get('/stats', c => c.json(platform.getStats()));
	app.get('/faults', c => c.json(platform.getFaults()));
	app.post('/faults', async c => {
		const parsed = faultChanges.safeParse(await c.req.json());
		if (!parsed.success) {
			return c.json({message: parsed.error.message}, 400);
		}

		const {clear = false, ...changes} = parsed.data;
		const base: Partial<PlatformFaults> = clear ? noPlatformFaults : {};
		platform.setFaults({...base, ...changes});
		return c.json(platform.getFaults());
	});

	return app;
}

/** Sends a result; an unreachable platform cuts the connection without an answer. */
function answer<T>(c: Context<HttpEnv>, result: Result<T, PlatformError>, send: (value: T) => Response): Response {
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

function key(c: Context<HttpEnv>): string {
	return c.req.query('key') ?? '';
}

function prefix(c: Context<HttpEnv>): string {
	return c.req.query('prefix') ?? '';
}

function limit(c: Context<HttpEnv>): number {
	return Number(c.req.query('limit') ?? defaultLimit);
}
