/**
 * HTTP routes by which the executor beside an agent announces itself, with regular heartbeats, and deregisters itself.
 */
import {Hono, type Context} from 'hono';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {maxAmount} from '../connection/resources.js';
import type {ReceivedAnnouncement} from '../process/announced-state.js';
import type {AnnouncementReception, ExecutorDeparture} from '../process/executor-manager.js';
import {assertNever} from '../process/debug.js';
import type {ExecutorInfo} from '../process/executor-types.js';
import type {RequestBindings} from '../process/http-server.js';
import {
	connectableAddressSchema, headerNameSchema, labelsSchema, nameSchema, sequenceNumberSchema, wallTimeSchema,
} from '../process/input-schemas.js';
import {readJson} from '../process/json.js';
import type {Log} from '../process/log.js';
import {readRequestBody} from '../process/request-body.js';
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
export const maxBodyBytes = 4 * 1024 * 1024;
/** Short, since an executor that is not acknowledged within a second calls another address. */
const memoryRetrySeconds = '1';
const maxLoggedIdLength = 200;
const decoder = new TextDecoder();

/** The body may be empty. */
const deregistrationSchema = z.object({born: z.number().optional()});

/** There are no bindings where a request did not come through a connection. */
type HeartbeatEnv = {readonly Bindings: Partial<RequestBindings> | undefined};

/** Creates the HTTP routes that an executor calls. */
export function createHeartbeatApp(host: HeartbeatHost): Hono<HeartbeatEnv> {
	const app = new Hono<HeartbeatEnv>();

	app.onError((err, c) => {
		host.log.warn({err, path: c.req.path}, 'request of an executor was not received whole, or failed unexpectedly');
		return c.json({}, 500);
	});
	app.post('/v1/Executors.Heartbeat/:id', async c => {
		const id = c.req.param('id');
		const text = await readText(c);
		if (text instanceof Response) {
			return text;
		}

		const heartbeat = readHeartbeat(id, text);
		if (heartbeat.isErr()) {
			host.log.warn({executor: id.slice(0, maxLoggedIdLength), reason: heartbeat.error}, 'invalid heartbeat ignored');
			return c.json({}, 400);
		}

		// The executor relies on what is acknowledged: after `draining`, that nothing more is started there.
		const reception = host.onHeartbeat(heartbeat.value);
		return c.json(replyStatuses[reception] === 200 ? {} : {reason: reception}, replyStatuses[reception]);
	});
	app.post('/v1/Executors.Deregister/:id', async c => {
		const text = await readText(c);
		if (text instanceof Response) {
			return text;
		}

		const {born} = readJson(deregistrationSchema, text).unwrapOr<z.infer<typeof deregistrationSchema>>({});
		await host.onDeregister({id: c.req.param('id'), bornAt: born});
		return c.json({});
	});
	return app;

	/** Returns the body, or the response if there is none. */
	async function readText(c: Context<HeartbeatEnv>): Promise<string | Response> {
		const body = await readRequestBody(c.req, c.env?.body, maxBodyBytes);
		switch (body.kind) {
			case 'whole': {
				return decoder.decode(body.bytes);
			}

			case 'too-long': {
				host.log.warn({path: c.req.path, maxBodyBytes}, 'request ignored, since its body is too long');
				return c.json({}, 413, {connection: 'close'});
			}

			case 'evicted': {
				return c.json({}, 503, {'retry-after': memoryRetrySeconds});
			}

			// Nobody reads this response.
			case 'disconnected': {
				return c.body(null, 400);
			}

			default: {
				return assertNever(body);
			}
		}
	}

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
