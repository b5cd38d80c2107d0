/**
 * HTTP interface for the platform's clients. A request carries a job under a name that the client chose. The job becomes a
 * submission under a ticket of this entry, and its answer becomes the response.
 */
import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import type {HttpBindings} from '@hono/node-server';
import {Hono, type Context as HonoContext} from 'hono';
import {z} from 'zod';
import {maxAmount} from '../connection/resources.js';
import type {Milliseconds} from '../process/clock.js';
import {createDiagnostic, Diagnostics} from '../process/diagnostics.js';
import type {Entry} from '../process/entry-types.js';
import {readJson} from '../process/json.js';
import type {Log} from '../process/log.js';
import type {JobHandle} from '../request/tracked-job.js';
import type {SubmissionRequest} from '../request/submission-rules.js';
import type {Answer} from '../request/types.js';
import {createRouteTable, type RouteTable} from '../version/route-table.js';
import type {Route, Snapshot} from '../version/types.js';
import {clientTeam} from './desired-state.js';

/** Dependencies of the interface. */
export type IngressHost = {
	readonly entry: Entry;
	readonly log: Log;
	tryGetSnapshot(): Snapshot | undefined;
	/** Must be called before a request is accepted, since the request may have waited while this process was paused. */
	checkPause(): void;
};

/** Node's request and response are used directly: a web request with its body stream and abort signal costs more than the rest. */
type HttpEnv = {readonly Bindings: HttpBindings};
type Context = HonoContext<HttpEnv>;

const caller = {name: clientTeam, team: clientTeam};
const jobNamePattern = /^[\da-f]{16}$/v;
/** Largest request body, according to the operator's limits on this platform. */
const maxBodyBytes = 262_144;
const notReadyRetryMs: Milliseconds = 1000;
/** Largest number of tasks of a job. */
export const maxTasks = 1100;
/** Bound on declared run times and deadlines; timers of the runtime overflow at 24 days. */
const maxRunMs: Milliseconds = 3_600_000;
/** Long, since these kinds of jobs are not supported on this platform and an early retry is useless. */
const unsupportedRetryMs: Milliseconds = 60_000;

/** Nineteen in twenty tasks take less than this multiple of their declared run time. */
const runTimeMarginFactor = 2.3;
/** Short, since other entries accept the job at once. */
const drainRetryMs: Milliseconds = 100;

const amountSchema = z.int().min(0).max(maxAmount).default(0);
const stepSchema = z.object({
	count: z.int().min(1).default(1),
	cpu: amountSchema,
	'mem-mb': amountSchema,
	gpu: amountSchema,
	'est-runtime-ms': z.number().min(0).max(maxRunMs).default(0),
	requires: z.string().optional(),
	'data-rack': z.string().optional(),
	'max-per-server': z.number().min(0).default(0),
	gang: z.boolean().default(false),
	'long-running': z.boolean().default(false),
	fills: z.boolean().default(false),
});
const jobSchema = z.object({
	spec: z.string(),
	steps: z.array(stepSchema).min(1),
	// If true, the job need not be stored, since the response carries its outcome.
	'best-effort': z.boolean().default(false),
	times: z.number().default(0),
});
type WireJob = z.infer<typeof jobSchema>;

/** A job as its client sent it. */
type ClientJob = {
	readonly route: Route;
	/** The client's name for the job. */
	readonly name: string;
	readonly body: WireJob;
};

/** The response to a job that is refused and has not run. */
type Refusal = {
	readonly status: 429 | 503;
	readonly retryAfter: Milliseconds;
	readonly reason: string;
};

/** A job without an answer yet. */
type OpenJob = {
	readonly job: JobHandle;
	/** Number of requests that wait for its answer. */
	waiters: number;
};

/** Creates the HTTP routes. */
export function createIngress({
	entry, log, tryGetSnapshot, checkPause,
}: IngressHost): Hono<HttpEnv> {
	const app = new Hono<HttpEnv>();
	const openJobs = new Map<string, OpenJob>();
	let routeTable: {readonly snapshot: Snapshot; readonly table: RouteTable} | undefined;

	app.use(async (c, next) => {
		await next();
		if (entry.isShuttingDown()) {
			c.header('connection', 'close');
		}
	});
	app.all('*', async c => {
		checkPause();
		const snapshot = tryGetSnapshot();
		if (snapshot === undefined) {
			return refuse(c, undefined, {status: 503, retryAfter: notReadyRetryMs, reason: 'no configuration is in force'});
		}

		const route = getRouteTable(snapshot).tryFind(c.env.incoming.headers.host ?? '', c.req.path);
		if (route === undefined) {
			return c.json({error: 'no such queue'}, 404);
		}

		return handle(c, route, c.req.path.slice(route.pathPrefix.length));
	});
	app.onError((err, c) => {
		log.warn({err}, 'request failed unexpectedly; its outcome is unknown');
		return c.json({error: 'the request failed unexpectedly'}, 504);
	});
	return app;

	function getRouteTable(snapshot: Snapshot): RouteTable {
		if (routeTable?.snapshot !== snapshot) {
			routeTable = {snapshot, table: createRouteTable(snapshot.routes ?? [])};
		}

		return routeTable.table;
	}

	async function handle(c: Context, route: Route, name: string): Promise<Response> {
		switch (c.req.method) {
			case 'POST': {
				return jobNamePattern.test(name) ? submit(c, route, name) : c.json({error: 'a job is named by 16 hexadecimal digits'}, 400);
			}

			case 'GET': {
				// Only jobs that need not be stored are accepted, and clients do not query these later.
				return name === '' ? c.json({waiting: countWaiting(route)}) : c.json({error: 'no such job'}, 410);
			}

			case 'DELETE': {
				return cancel(c, name);
			}

			default: {
				return c.json({error: 'use GET, POST or DELETE'}, 405);
			}
		}
	}

	function countWaiting(route: Route): number {
		let waiting = 0;
		for (const {job} of openJobs.values()) {
			waiting += job.submission === route.submission && job.tryGetAnswer() === undefined && job.getExecutionStatus() === 'not-run' ? 1 : 0;
		}

		return waiting;
	}

	function cancel(c: Context, name: string): Response {
		const found = openJobs.get(name);
		if (found === undefined) {
			return c.json({error: 'no such job'}, 410);
		}

		entry.coordinator.cancel(found.job.ticket.text, 'its client');
		return c.json({});
	}

	async function submit(c: Context, route: Route, name: string): Promise<Response> {
		const text = await readBody(c.env.incoming);
		if (text === undefined) {
			return c.json({error: `the body exceeds ${maxBodyBytes} bytes`}, 413, {connection: 'close'});
		}

		const body = readJson(jobSchema, text);
		if (body.isErr()) {
			log.info({request: name, status: 400, reason: body.error}, 'unreadable job; it has not run');
			return c.json({error: body.error}, 400);
		}

		const unsupportedReason = getUnsupportedReason(body.value);
		if (unsupportedReason !== undefined) {
			return refuse(c, name, {status: 503, retryAfter: unsupportedRetryMs, reason: unsupportedReason});
		}

		if (!openJobs.has(name) && isTooLongFor(entry.getRemainingDrainTime(), body.value)) {
			return refuse(c, name, {status: 503, retryAfter: drainRetryMs, reason: 'this entry stops before the job could be done'});
		}

		return waitForAnswer(c, name, openJobs.get(name) ?? accept(c, {route, name, body: body.value}));
	}

	/** Whether this process stops before the job can complete. */
	function isTooLongFor(timeLeft: Milliseconds, body: WireJob): boolean {
		return body.steps[0]!['est-runtime-ms'] * runTimeMarginFactor > timeLeft;
	}

	function accept(c: Context, {route, name, body}: ClientJob): OpenJob {
		const ticket = entry.issueTicket(caller.name);
		const req = toRequest(body, route, name, Number(c.env.incoming.headers['request-deadline']));
		// The client never sees the ticket, so no second request can use it and the digest may stay empty.
		const outcome = entry.coordinator.submit(caller, {...req, ticket, digest: ''});
		if (outcome.kind !== 'accepted') {
			throw new Error(`a submission under a new ticket was not accepted: ${outcome.kind}`);
		}

		const accepted: OpenJob = {job: outcome.job, waiters: 0};
		if (outcome.job.tryGetAnswer() === undefined) {
			openJobs.set(name, accepted);
		}

		return accepted;
	}

	/** Waits for the answer; cancels the job if the last client that waits for it disconnects. */
	async function waitForAnswer(c: Context, name: string, openJob: OpenJob): Promise<Response> {
		openJob.waiters++;
		const answer = await new Promise<Answer | undefined>(resolve => {
			openJob.job.whenAnswered(resolve);
			c.env.outgoing.once('close', () => {
				resolve(undefined);
			});
			if (c.env.outgoing.destroyed) {
				resolve(undefined);
			}
		});
		openJob.waiters--;
		if (answer === undefined) {
			if (openJob.waiters === 0) {
				entry.coordinator.cancel(openJob.job.ticket.text, 'its client, who hung up');
				forget(name, openJob);
			}

			// The client has disconnected, so nobody reads this response.
			return c.body(null, 504);
		}

		forget(name, openJob);
		return toResponse(c, name, answer);
	}

	/** Removes an open job, unless another one under the same name has taken its place. */
	function forget(name: string, openJob: OpenJob): void {
		if (openJobs.get(name) === openJob) {
			openJobs.delete(name);
		}
	}

	function toResponse(c: Context, name: string, answer: Answer): Response {
		if (answer.state === 'complete') {
			return c.json({state: 'completed'});
		}

		// The diagnostics of a task that failed in all allowed attempts. With any other one the job's outcome is unknown, and the
		// client may send it again.
		if (answer.diagnostic?.kind === 'TaskFailed' || answer.diagnostic?.kind === 'TaskCrashedUpstreams') {
			return c.json({state: 'failed'});
		}

		if (answer.ran === 'not-run') {
			return refuse(c, name, {
				status: answer.diagnostic?.kind === 'QueueFull' ? 429 : 503, retryAfter: answer.retryAfter ?? notReadyRetryMs, reason: answer.diagnostic?.message ?? '',
			});
		}

		return c.json({error: answer.diagnostic?.message}, 504);
	}

	function refuse(c: Context, name: string | undefined, {status, retryAfter, reason}: Refusal): Response {
		log.info({
			request: name, status, retryAfter, reason,
		}, 'request refused; it has not run');
		return c.json({error: reason}, status, {'retry-after': String(Math.ceil(retryAfter / 1000))});
	}
}

/** Reads a request body as text; undefined if it is too long. Rejects if the client disconnects before its end. */
async function readBody(incoming: IncomingMessage): Promise<string | undefined> {
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
			resolve(Buffer.concat(chunks).toString());
		});
		incoming.on('error', reject);
	});
}

/** Returns why jobs of this kind are not supported on this platform; undefined if they are. */
function getUnsupportedReason(job: WireJob): string | undefined {
	const [step] = job.steps;
	if (!job['best-effort']) {
		return 'jobs that must be stored are not served';
	}

	if (job.steps.length > 1 || job.times > 0) {
		return 'jobs of several steps or occurrences are not served';
	}

	if (step!.count > maxTasks) {
		return `jobs of more than ${maxTasks} tasks are not served`;
	}

	return step!.gang || step!['long-running'] || step!.fills ? 'gangs, tasks that last and tasks that fill are not served' : undefined;
}

function toRequest(job: WireJob, route: Route, name: string, deadlineMs: number): Omit<SubmissionRequest, 'ticket' | 'digest'> {
	const step = job.steps[0]!;
	const payload = Buffer.from(job.spec);
	return {
		submission: route.submission,
		reference: name,
		deadlineMs: Number.isFinite(deadlineMs) && deadlineMs > 0 ? Math.min(deadlineMs, maxRunMs) : route.deadline,
		payloads: Array.from({length: step.count}, () => payload),
		isSingleRequest: false,
		expectedRun: step['est-runtime-ms'],
		need: {
			resources: {cpu: step.cpu, memory: step['mem-mb'], accelerators: step.gpu},
			label: step.requires,
			rack: step['data-rack'],
			maxPerUpstream: step['max-per-server'] > 0 ? step['max-per-server'] : undefined,
		},
		objective: {stretch: route.stretch, margin: route.margin},
		maxFailedRuns: route.attempts,
	};
}
