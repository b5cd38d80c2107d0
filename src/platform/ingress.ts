/**
 * HTTP interface for the platform's clients.
 */
import {Hono, type Context as HonoContext} from 'hono';
import type {Cancellation} from '../connection/peer-types.js';
import type {Milliseconds} from '../process/clock.js';
import {assertNever} from '../process/debug.js';
import type {Entry} from '../process/entry-types.js';
import type {RequestBindings} from '../process/http-server.js';
import type {Log} from '../process/log.js';
import type {RequestArrivals} from '../process/request-arrivals.js';
import type {JobDesk, JobReply, RouteMatch} from './job-desk.js';
import type {AdmittedJob, JobIntake, WaitingClient} from './job-intake.js';

/** Dependencies of the interface. */
export type IngressHost = {
	readonly entry: Pick<Entry, 'isShuttingDown'>;
	readonly desk: Pick<JobDesk, 'findRoute' | 'countWaiting' | 'refuse'>;
	readonly intake: JobIntake;
	readonly arrivals: RequestArrivals;
	readonly log: Pick<Log, 'warn'>;
};

/** Node's request and response are used directly: a web request with its body stream and abort signal costs more than the rest. */
type HttpEnv = {readonly Bindings: RequestBindings};
type Context = HonoContext<HttpEnv>;

/** Largest request body, according to the operator's limits on this platform. */
export const maxBodyBytes = 262_144;
const memoryRetryMs: Milliseconds = 1000;

/** Creates the HTTP routes. */
export function createIngress({
	entry, desk, intake, arrivals, log,
}: IngressHost): Hono<HttpEnv> {
	const app = new Hono<HttpEnv>();

	app.use(async (c, next) => {
		await next();
		if (entry.isShuttingDown()) {
			c.header('connection', 'close');
		}
	});
	app.all('*', async c => {
		const host = c.env.incoming.headers.host ?? '';
		const match = desk.findRoute(host, c.req.path);
		return 'status' in match ? respondWithoutRoute(c, host, match) : handle(c, host, match);
	});
	app.onError((err, c) => {
		log.warn({err}, 'request failed unexpectedly; its outcome is unknown');
		return c.json({error: 'the request failed unexpectedly'}, 504);
	});
	return app;

	// A job outlives the route under which it was accepted.
	async function respondWithoutRoute(c: Context, host: string, reply: JobReply): Promise<Response> {
		const cancelled = c.req.method === 'DELETE' && reply.status === 404 ? await intake.cancelAtDroppedRoute({host, path: c.req.path}) : undefined;
		return respond(cancelled ?? reply);
	}

	async function handle(c: Context, host: string, match: RouteMatch): Promise<Response> {
		const {route, name} = match;
		switch (c.req.method) {
			case 'POST': {
				return post(c, host, match);
			}

			case 'GET': {
				// Only jobs that need not be stored are accepted, and clients do not query these later.
				return name === '' ? c.json({waiting: desk.countWaiting(route)}) : c.json({error: 'no such job'}, 410);
			}

			case 'DELETE': {
				return respond(await intake.cancel(name, {host, path: c.req.path}));
			}

			default: {
				return c.json({error: 'use GET, POST or DELETE'}, 405);
			}
		}
	}

	async function post(c: Context, host: string, match: RouteMatch): Promise<Response> {
		const admitted = intake.admit({host, path: c.req.path}, match);
		if ('status' in admitted) {
			return respond(admitted);
		}

		const body = await c.env.body.read();
		switch (body.kind) {
			case 'whole': {
				return submit(c, admitted, body.bytes);
			}

			case 'too-long': {
				return c.json({error: `the body exceeds ${maxBodyBytes} bytes`}, 413, {connection: 'close'});
			}

			case 'evicted': {
				return respond(desk.refuse(match.name, {status: 503, retryAfter: memoryRetryMs, reason: 'the memory for requests is full'}));
			}

			case 'disconnected': {
				return respondToNobody(c);
			}

			default: {
				return assertNever(body);
			}
		}
	}

	async function submit(c: Context, job: AdmittedJob, body: Uint8Array): Promise<Response> {
		const client: WaitingClient = {
			...createCancellation(c),
			isWaiting: async () => arrivals.isClientWaiting(job.name, c.env.incoming.socket),
		};
		const reply = await intake.submit(job, body, Number(c.env.incoming.headers['request-deadline']), client);
		return reply === undefined ? respondToNobody(c) : respond(reply);
	}
}

/** Ends a request whose client has disconnected, so that nobody reads the response. */
function respondToNobody(c: Context): Response {
	return c.body(null, 504);
}

function respond({status, body, retryAfter}: JobReply): Response {
	const headers: Record<string, string> = {'content-type': 'application/json'};
	if (retryAfter !== undefined) {
		headers['retry-after'] = String(Math.ceil(retryAfter / 1000));
	}

	return new Response(body, {status, headers});
}

function createCancellation(c: Context): Cancellation {
	const {incoming: {socket}, outgoing} = c.env;
	return {
		onCancelled(action) {
			if (socket.readableEnded || outgoing.destroyed) {
				action();
				return;
			}

			// The response closes some turns of the event loop after the end of the connection was read.
			socket.once('end', cancel);
			outgoing.once('close', cancel);

			function cancel(): void {
				socket.off('end', cancel);
				outgoing.off('close', cancel);
				action();
			}
		},
	};
}
