/**
 * HTTP routes by which the executor beside an agent announces itself, with regular heartbeats, and deregisters itself.
 */
import {Hono} from 'hono';
import {bodyLimit} from 'hono/body-limit';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {maxAmount} from '../connection/resources.js';
import type {ReceivedAnnouncement} from '../process/announced-state.js';
import type {AnnouncementReception, ExecutorDeparture} from '../process/executor-manager.js';
import type {ExecutorInfo} from '../process/executor-types.js';
import {
	connectableAddressSchema, headerNameSchema, labelsSchema, nameSchema, sequenceNumberSchema, wallTimeSchema,
} from '../process/input-schemas.js';
import {readJson} from '../process/json.js';
import type {Log} from '../process/log.js';
import type {IsOwnService} from './own-service.js';

/** Dependencies of the heartbeat routes. */
export type HeartbeatHost = {
	readonly log: Log;
	readonly isOwnService: IsOwnService;
	/** Called with each valid heartbeat. Heartbeats may arrive out of order, and from other writers. */
	onHeartbeat(heartbeat: ReceivedAnnouncement): AnnouncementReception;
	/** Called when an executor announces that it is shutting down. It is acknowledged when the promise resolves. */
	onDeregister(departure: ExecutorDeparture): Promise<void>;
};

/** Rounds down to what a message can carry. */
const amountSchema = z.number().min(0).transform(amount => Math.min(Math.floor(amount), maxAmount));
/** A heartbeat with fields missing or of another type is no executor's, so fields that are not used are checked as well. */
const heartbeatSchema = z.object({
	upstream: nameSchema,
	addr: connectableAddressSchema,
	zone: z.string(),
	version: z.string(),
	slots: z.number().min(0),
	state: z.enum(['ready', 'draining']),
	'cold-left-ms': z.number().min(0),
	seq: sequenceNumberSchema,
	born: wallTimeSchema.default(0),
	room: z.object({cpu: amountSchema, 'mem-mb': amountSchema, gpu: amountSchema.default(0)}),
	labels: labelsSchema.default([]),
});
/** Largest heartbeat that the platform sends. */
const maxBodyBytes = 4 * 1024 * 1024;
const maxLoggedIdLength = 200;

/** The body may be empty. */
const deregistrationSchema = z.object({born: z.number().optional()});

/** Creates the HTTP routes that an executor calls. */
export function createHeartbeatApp(host: HeartbeatHost): Hono {
	const app = new Hono();

	app.use(bodyLimit({
		maxSize: maxBodyBytes,
		onError(c) {
			host.log.warn({path: c.req.path, maxBodyBytes}, 'request ignored, since its body is too long');
			return c.json({}, 413);
		},
	}));
	app.onError((err, c) => {
		host.log.warn({err, path: c.req.path}, 'request of an executor was not received whole, or failed unexpectedly');
		return c.json({}, 500);
	});
	app.post('/v1/Executors.Heartbeat/:id', async c => {
		const id = c.req.param('id');
		const heartbeat = readHeartbeat(id, await c.req.text());
		if (heartbeat.isErr()) {
			host.log.warn({executor: id.slice(0, maxLoggedIdLength), reason: heartbeat.error}, 'invalid heartbeat ignored');
			return c.json({}, 400);
		}

		// The executor relies on what is acknowledged: after `draining`, that nothing more is started there.
		const reception = host.onHeartbeat(heartbeat.value);
		return c.json(replyStatuses[reception] === 200 ? {} : {reason: reception}, replyStatuses[reception]);
	});
	app.post('/v1/Executors.Deregister/:id', async c => {
		const {born} = readJson(deregistrationSchema, await c.req.text()).unwrapOr<z.infer<typeof deregistrationSchema>>({});
		await host.onDeregister({id: c.req.param('id'), bornAt: born});
		return c.json({});
	});
	return app;

	function readHeartbeat(id: string, text: string): Result<ReceivedAnnouncement, string> {
		if (!headerNameSchema.safeParse(id).success) {
			return err('the id is invalid');
		}

		return readJson(heartbeatSchema, text).andThen(body => host.isOwnService(body.upstream)
			? ok(toAnnouncement(id, body))
			: err('the service is not that of the executor beside this agent'));
	}
}

/** HTTP statuses of the responses to heartbeats. */
const replyStatuses: Readonly<Record<AnnouncementReception, 200 | 409 | 503>> = {
	'in-force': 200, considered: 200, outdated: 409, unconfirmed: 409, stopping: 503,
};

function toAnnouncement(id: string, body: z.infer<typeof heartbeatSchema>): ReceivedAnnouncement {
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
