/**
 * The HTTP interface of an entry for callers, operators and the balancer; docs/API.md describes it.
 */
import {routePath} from 'hono/route';
import {type Context, Hono} from 'hono';
import type {Result} from 'neverthrow';
import {z} from 'zod';
import {
	submissionSchema, type TicketOperation, type TicketRequest, type Principal, type Router, type SubmissionBody,
} from '../request/router.js';
import {toRefusalReply, type Reply} from '../request/reply.js';
import {parseTicket} from '../request/ticket.js';
import type {Ticket} from '../request/types.js';
import type {Clock, Milliseconds} from './clock.js';
import {assertNever} from './debug.js';
import {createDiagnostic, Diagnostics, type Diagnostic} from './diagnostics.js';
import type {RequestBindings} from './http-server.js';
import type {RequestArrivals} from './request-arrivals.js';
import {readRequestBody} from './request-body.js';

/** Dependencies of the HTTP interface. */
export type HttpApiHost = {
	readonly clock: Clock;
	readonly router: Router;
	readonly arrivals: RequestArrivals;
	/** Largest body of a request, in bytes. */
	readonly maxBodyBytes: number;
	/** Maximum number of tickets issued for one request. */
	readonly maxTickets: number;
	/** Longest time that a request waits for an answer. */
	readonly maxWaitMs: Milliseconds;
	readonly ticketLifetimeMs: Milliseconds;
	authenticate(token: string): Result<Principal, Diagnostic>;
	issueTickets(owner: string, count: number): readonly Ticket[];
	/** Whether the balancer may send requests to this entry. */
	isReady(): boolean;
	/** Returns the status of this process and of the processes linked to it, as a JSON value. */
	getStatus(): unknown;
	logError(err: unknown): void;
	/** Called when a request was answered with `status` after `duration`; `route` is its method and path pattern. */
	onRequestServed(route: string, status: number, duration: Milliseconds): void;
};

const bearerPattern = /^Bearer (.+)$/v;
const ticketsSchema = z.strictObject({count: z.int().min(1).default(1)});
const notReadyRetryMs: Milliseconds = 1000;
const memoryRetryMs: Milliseconds = 1000;
const decoder = new TextDecoder();

/** What handlers know of a request besides its contents; there are no bindings where it did not come through a connection. */
export type HttpApiEnv = {Variables: {principal: Principal}; Bindings: Partial<RequestBindings> | undefined};
type RequestContext = Context<HttpApiEnv>;

/** Creates the routes of one entry. */
export function createHttpApi(host: HttpApiHost): Hono<HttpApiEnv> {
	const app = new Hono<HttpApiEnv>();
	/** The submissions that were read, by their tickets, until they are answered. */
	const arriving = new Map<string, Promise<unknown>>();

	app.use(async (c, next) => {
		const startedAt = host.clock.now();
		await next();
		host.onRequestServed(`${c.req.method} ${routePath(c, -1)}`, c.res.status, host.clock.now() - startedAt);
	});
	app.get('/healthz', c => c.text('ok'));
	app.get('/readyz', c => host.isReady() ? c.text('ready') : c.text('not ready', 503));

	app.use('/v1/*', async (c, next) => {
		const principal = authenticate(c.req.header('authorization'));
		if ('code' in principal) {
			return send(toRefusalReply(principal));
		}

		c.set('principal', principal);
		return next();
	});
	app.get('/v1/status', () => Response.json(host.getStatus()));
	app.post('/v1/tickets', issueTickets);
	app.post('/v1/submissions', submit);
	app.get('/v1/submissions/:ticket', async c => routeTicketOperation(c, 'wait', getWaitMs(c)));
	app.delete('/v1/submissions/:ticket', async c => routeTicketOperation(c, 'cancel', 0));
	app.get('/v1/submissions/:ticket/fate', async c => routeTicketOperation(c, 'fate', 0));

	app.notFound(c => send(toRefusalReply(createDiagnostic(Diagnostics.Route_is_unknown, c.req.method, c.req.path))));
	app.onError(err => {
		host.logError(err);
		return send(toRefusalReply(createDiagnostic(Diagnostics.Internal_fault, err.message)));
	});
	return app;

	function authenticate(header: string | undefined): Principal | Diagnostic {
		const token = bearerPattern.exec(header ?? '')?.[1];
		return token === undefined
			? createDiagnostic(Diagnostics.Token_is_missing)
			: host.authenticate(token).unwrapOr(createDiagnostic(Diagnostics.Token_is_unknown));
	}

	async function issueTickets(c: RequestContext): Promise<Response> {
		const body = await readBody(c, ticketsSchema);
		if (body instanceof Response) {
			return body;
		}

		if (!host.isReady()) {
			return send(toRefusalReply(createDiagnostic(Diagnostics.Entry_is_not_ready), notReadyRetryMs));
		}

		const tickets = host.issueTickets(c.var.principal.name, Math.min(body.count, host.maxTickets));
		return c.json({tickets: tickets.map(ticket => ticket.text), lifetimeMs: host.ticketLifetimeMs});
	}

	async function submit(c: RequestContext): Promise<Response> {
		const submission = await readBody<SubmissionBody>(c, submissionSchema);
		if (submission instanceof Response) {
			return submission;
		}

		const ticket = parseTicket(submission.ticket);
		if (ticket.isErr()) {
			return send(toRefusalReply(ticket.error));
		}

		const begun = beginIfWaiting(c, {
			operation: 'submit', principal: c.var.principal, ticket: ticket.value, submission, waitMs: host.maxWaitMs, isConnected: trackConnection(c),
		});
		arriving.set(submission.ticket, begun);
		try {
			const submitted = await begun;
			// Nobody reads the response if the client has hung up.
			return submitted === undefined ? c.body(null, 504) : send(await submitted.reply);
		} finally {
			if (arriving.get(submission.ticket) === begun) {
				arriving.delete(submission.ticket);
			}
		}
	}

	/** Begins a submission if its client still waits; resolves once that is decided, and not only when there is a reply. */
	async function beginIfWaiting(c: RequestContext, req: TicketRequest): Promise<{readonly reply: Promise<Reply>} | undefined> {
		const connection = c.env?.incoming?.socket;
		const isWaiting = connection === undefined || await host.arrivals.isClientWaiting(req.ticket.text, connection);
		return isWaiting ? {reply: host.router.route(req)} : undefined;
	}

	async function routeTicketOperation(c: RequestContext, operation: TicketOperation, waitMs: Milliseconds): Promise<Response> {
		const ticket = parseTicket(c.req.param('ticket')!);
		if (ticket.isErr()) {
			return send(toRefusalReply(ticket.error));
		}

		// A request that arrives behind a submission must find it begun.
		await arriving.get(ticket.value.text);
		return send(await host.router.route({
			operation, principal: c.var.principal, ticket: ticket.value, waitMs, isConnected: trackConnection(c),
		}));
	}

	/** Returns the validated body, or a response that lists what is wrong with it. */
	async function readBody<T>(c: RequestContext, schema: z.ZodType<T>): Promise<T | Response> {
		const body = await readRequestBody(c.req, c.env?.body, host.maxBodyBytes);
		switch (body.kind) {
			case 'whole': {
				return parseBody(body.bytes, schema);
			}

			case 'too-long': {
				return send(toRefusalReply(createDiagnostic(Diagnostics.Body_is_too_large, host.maxBodyBytes)));
			}

			case 'evicted': {
				return send(toRefusalReply(createDiagnostic(Diagnostics.Request_memory_is_full), memoryRetryMs));
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

	function getWaitMs(c: RequestContext): Milliseconds {
		const waitMs = Number(c.req.query('waitMs') ?? 0);
		return Number.isFinite(waitMs) ? Math.min(Math.max(0, waitMs), host.maxWaitMs) : 0;
	}
}

function parseBody<T>(bytes: Uint8Array, schema: z.ZodType<T>): T | Response {
	let json: unknown;
	try {
		json = JSON.parse(decoder.decode(bytes));
	} catch {
		return send(toRefusalReply(createDiagnostic(Diagnostics.Body_is_invalid, 'it is not JSON')));
	}

	const parsed = schema.safeParse(json);
	return parsed.success ? parsed.data : send(toRefusalReply(createDiagnostic(Diagnostics.Body_is_invalid, describeIssues(parsed.error))));
}

// Reads the signal now: if it is first read after the caller has disconnected, it does not report that.
function trackConnection(c: Context): () => boolean {
	const {signal} = c.req.raw;
	return () => !signal.aborted;
}

const maxIssues = 10;

function describeIssues(error: z.ZodError): string {
	return error.issues
		.slice(0, maxIssues)
		.map(issue => `${issue.path.join('.') || 'body'}: ${issue.message}`)
		.join('; ');
}

function send(reply: Reply): Response {
	const headers: Record<string, string> = reply.retryAfter === undefined
		? {}
		: {'retry-after': String(Math.ceil(reply.retryAfter / 1000))};
	return Response.json(reply.body, {status: reply.status, headers});
}
