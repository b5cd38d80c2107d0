/**
 * HTTP interface for the platform's clients.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import type {HttpBindings} from '@hono/node-server';
import {Hono, type Context as HonoContext} from 'hono';
import type {Cancellation} from '../connection/peer-types.js';
import type {Entry} from '../process/entry-types.js';
import type {Log} from '../process/log.js';
import type {RequestArrivals} from '../process/request-arrivals.js';
import type {JobDesk, JobReply, RouteMatch} from './job-desk.js';
import type {JobIntake, WaitingClient} from './job-intake.js';

/** Dependencies of the interface. */
export type IngressHost = {
	readonly entry: Pick<Entry, 'isShuttingDown'>;
	readonly desk: Pick<JobDesk, 'findRoute' | 'countWaiting'>;
	readonly intake: JobIntake;
	readonly arrivals: RequestArrivals;
	readonly log: Pick<Log, 'warn'>;
};

/** Node's request and response are used directly: a web request with its body stream and abort signal costs more than the rest. */
type HttpEnv = {readonly Bindings: HttpBindings};
type Context = HonoContext<HttpEnv>;

/** Largest request body, according to the operator's limits on this platform. */
const maxBodyBytes = 262_144;

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

		const body = await readBody(c.env.incoming);
		if (body === undefined) {
			return c.json({error: `the body exceeds ${maxBodyBytes} bytes`}, 413, {connection: 'close'});
		}

		const client: WaitingClient = {
			...createCancellation(c),
			isWaiting: async () => arrivals.isClientWaiting(match.name, c.env.incoming.socket),
		};
		const reply = await intake.submit(admitted, body, Number(c.env.incoming.headers['request-deadline']), client);
		// The client has disconnected if there is none, so nobody reads this response.
		return reply === undefined ? c.body(null, 504) : respond(reply);
	}
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

/** Reads a request body; undefined if it is too long. Rejects if the client disconnects before its end. */
async function readBody(incoming: IncomingMessage): Promise<Uint8Array | undefined> {
	return new Promise((resolve, reject) => {
		const chunks: Uint8Array[] = [];
		let length = 0;
		incoming.on('data', (chunk: Uint8Array) => {
			length += chunk.length;
			if (length <= maxBodyBytes) {
				chunks.push(chunk);
			} else {
				resolve(undefined);
			}
		});
		incoming.on('end', () => {
			resolve(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks));
		});
		incoming.on('error', reject);
	});
}
