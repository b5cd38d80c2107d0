/**
 * HTTP interface of a stand-in upstream.
 *
 * - `POST /run` runs a task with the body as its payload; headers name the task, the attempt and the service. The
 *   response has status 200 or 500 and echoes the task.
 * - `GET /counts` returns the counts, with the starts by task unless `?tasks=false`.
 * - `GET /faults` and `POST /faults` read and change faults. Besides the fields of `UpstreamFaults`, `freezeMs` freezes
 *   the upstream and `refuseMs` refuses connections for that many milliseconds, and `clear` clears all faults first.
 */
import {Hono} from 'hono';
import {z} from 'zod';
import type {HttpEnv, HttpServer} from './http-server.js';
import {
	noUpstreamFaults, type Upstream, type UpstreamFaults, type UpstreamReply,
} from './upstream.js';

/** Headers of `POST /run`. */
export const taskHeaders = {
	/** `<ticket>/<index>` */
	task: 'x-kingcuplane-task',
	attempt: 'x-kingcuplane-attempt',
	service: 'x-kingcuplane-service',
} as const;

/** What the routes need. */
export type UpstreamAppHost = {
	readonly upstream: Upstream;
	/** Returns the server that serves the routes. */
	getServer(): Promise<HttpServer>;
};

const faultChangesSchema = z.strictObject({
	failFast: z.boolean(),
	straggleShare: z.number().min(0).max(1),
	straggleFactor: z.number().min(0),
	latencyMs: z.number().min(0),
	freezeMs: z.number().min(0),
	refuseMs: z.number().min(0),
	clear: z.boolean(),
}).partial();

/** Creates the routes. */
export function createUpstreamApp({upstream, getServer}: UpstreamAppHost): Hono<HttpEnv> {
	const app = new Hono<HttpEnv>();

	app.post('/run', async c => {
		const task = c.req.header(taskHeaders.task);
		const attempt = c.req.header(taskHeaders.attempt);
		if (task === undefined || attempt === undefined) {
			return c.json({message: `The headers ${taskHeaders.task} and ${taskHeaders.attempt} are missing.`}, 400);
		}

		const payload = new Uint8Array(await c.req.arrayBuffer());
		const {kind, body} = await new Promise<UpstreamReply>(resolve => {
			upstream.run({task, attempt, payload}, resolve);
		});
		return c.json(body, kind === 'completed' ? 200 : 500);
	});

	app.get('/counts', c => {
		const counts = upstream.getCounts();
		return c.json(c.req.query('tasks') === 'false' ? counts : {...counts, tasks: Object.fromEntries(upstream.getStarts())});
	});

	app.get('/faults', c => c.json(upstream.getFaults()));
	app.post('/faults', async c => {
		const parsed = faultChangesSchema.safeParse(await c.req.json());
		if (!parsed.success) {
			return c.json({message: parsed.error.message}, 400);
		}

		const {
			clear = false, freezeMs = 0, refuseMs = 0, ...changes
		} = parsed.data;
		const base: Partial<UpstreamFaults> = clear ? noUpstreamFaults : {};
		upstream.setFaults({...base, ...changes});
		upstream.freeze(freezeMs);
		if (refuseMs > 0) {
			const server = await getServer();
			server.refuseConnectionsFor(refuseMs);
		}

		return c.json(upstream.getFaults());
	});

	return app;
}
