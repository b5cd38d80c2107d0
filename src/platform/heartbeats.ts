/**
 * HTTP routes by which the executor beside an agent announces itself, with regular heartbeats, and deregisters itself.
 */
import {Hono} from 'hono';
import {z} from 'zod';
import {maxAmount} from '../connection/resources.js';
import type {ExecutorDeparture} from '../process/executor-manager.js';
import type {ExecutorInfo} from '../process/executor-types.js';
import {readJson} from '../process/json.js';
import type {Log} from '../process/log.js';

/** One heartbeat of an executor. */
export type Heartbeat = {
	readonly executorInfo: ExecutorInfo;
	readonly isLeaving: boolean;
	/** Increases with each heartbeat of one incarnation. */
	readonly sequence: number;
};

/** Dependencies of the heartbeat routes. */
export type HeartbeatHost = {
	readonly log: Log;
	/** Called with each valid heartbeat. Heartbeats may arrive out of order, and from other writers. */
	onHeartbeat(heartbeat: Heartbeat): void;
	/** Called when an executor announces that it is shutting down. It is acknowledged when the promise resolves. */
	onDeregister(departure: ExecutorDeparture): Promise<void>;
};

/** Rounds down to what a message can carry. */
const amountSchema = z.number().min(0).transform(amount => Math.min(Math.floor(amount), maxAmount));
const heartbeatSchema = z.object({
	upstream: z.string(),
	addr: z.string(),
	state: z.enum(['ready', 'draining']),
	seq: z.number(),
	born: z.number().default(0),
	room: z.object({cpu: amountSchema, 'mem-mb': amountSchema, gpu: amountSchema.default(0)}),
	labels: z.array(z.string()).default([]),
});

/** The body may be empty. */
const deregistrationSchema = z.object({born: z.number().optional()});

/** Creates the HTTP routes that an executor calls. */
export function createHeartbeatApp(host: HeartbeatHost): Hono {
	const app = new Hono();

	app.post('/v1/Executors.Heartbeat/:id', async c => {
		const id = c.req.param('id');
		const body = readJson(heartbeatSchema, await c.req.text());
		if (body.isErr()) {
			host.log.warn({executor: id, reason: body.error}, 'invalid heartbeat ignored');
			return c.json({}, 400);
		}

		host.onHeartbeat(toHeartbeat(id, body.value));
		return c.json({});
	});
	app.post('/v1/Executors.Deregister/:id', async c => {
		const {born} = readJson(deregistrationSchema, await c.req.text()).unwrapOr<z.infer<typeof deregistrationSchema>>({});
		await host.onDeregister({id: c.req.param('id'), bornAt: born});
		return c.json({});
	});
	return app;
}

function toHeartbeat(id: string, body: z.infer<typeof heartbeatSchema>): Heartbeat {
	return {
		executorInfo: {
			id,
			bornAt: body.born,
			address: body.addr,
			service: body.upstream,
			room: {cpu: body.room.cpu, memory: body.room['mem-mb'], accelerators: body.room.gpu},
			labels: body.labels,
		},
		isLeaving: body.state === 'draining',
		sequence: body.seq,
	};
}
