/**
 * Heartbeats of the executor beside an agent: what it announces of itself, and when it leaves.
 */
import {Hono} from 'hono';
import {z} from 'zod';
import type {Resources} from '../generated/kingcuplane.js';
import {readJson} from '../process/json.js';
import type {Log} from '../process/log.js';

/** One life of an executor, as it announces itself. */
export type ExecutorInfo = {
	readonly id: string;
	/** Wall time at which this life began; tells it from other lives with the same identifier. */
	readonly bornAt: number;
	/** "IP:port" for orders. */
	readonly address: string;
	readonly service: string;
	readonly room: Resources;
	readonly labels: readonly string[];
};

/** A heartbeat. */
export type Heartbeat = {
	readonly facts: ExecutorInfo;
	readonly isLeaving: boolean;
	/** Grows with each heartbeat of one life. */
	readonly sequence: number;
};

/** What the receiver needs. */
export type HeartbeatHost = {
	readonly log: Log;
	onHeartbeat(heartbeat: Heartbeat): void;
	/** The executor ends now. */
	onDeregister(id: string): void;
};

const wireBeat = z.object({
	upstream: z.string(),
	addr: z.string(),
	state: z.enum(['ready', 'draining']),
	seq: z.number(),
	born: z.number().default(0),
	room: z.object({cpu: z.number(), 'mem-mb': z.number(), gpu: z.number().default(0)}),
	labels: z.array(z.string()).default([]),
});

/** Creates the HTTP routes that an executor calls. */
export function createHeartbeatApp(host: HeartbeatHost): Hono {
	const app = new Hono();
	/** The newest heartbeat of each identifier: an older one may arrive after it. */
	const newest = new Map<string, {readonly bornAt: number; readonly sequence: number}>();

	app.post('/v1/Executors.Heartbeat/:id', async c => {
		const id = c.req.param('id');
		const beat = readJson(wireBeat, await c.req.text());
		if (beat.isErr()) {
			host.log.warn({executor: id, reason: beat.error}, 'unreadable heartbeat; it names no executor');
			return c.json({}, 400);
		}

		take(toHeartbeat(id, beat.value));
		return c.json({});
	});
	app.post('/v1/Executors.Deregister/:id', c => {
		host.onDeregister(c.req.param('id'));
		return c.json({});
	});
	return app;

	function take(heartbeat: Heartbeat): void {
		const {id, bornAt} = heartbeat.facts;
		const known = newest.get(id);
		if (known !== undefined && (bornAt < known.bornAt || (bornAt === known.bornAt && heartbeat.sequence <= known.sequence))) {
			host.log.info({
				executor: id, bornAt, sequence: heartbeat.sequence, known,
			}, 'late heartbeat ignored');
			return;
		}

		newest.set(id, {bornAt, sequence: heartbeat.sequence});
		host.onHeartbeat(heartbeat);
	}
}

function toHeartbeat(id: string, beat: z.infer<typeof wireBeat>): Heartbeat {
	return {
		facts: {
			id,
			bornAt: beat.born,
			address: beat.addr,
			service: beat.upstream,
			room: {cpu: beat.room.cpu, memory: beat.room['mem-mb'], accelerators: beat.room.gpu},
			labels: beat.labels,
		},
		isLeaving: beat.state === 'draining',
		sequence: beat.seq,
	};
}
