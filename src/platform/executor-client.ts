/**
 * Orders to one life of an executor over the platform's HTTP interface.
 */
import {Pool} from 'undici';
import VError from 'verror';
import {z} from 'zod';
import type {Milliseconds} from '../process/clock.js';
import {readJson} from '../process/json.js';
import type {
	EndedRun, Executor, ExecutorStatus, PollOutcome, CommandOutcome, RunOutcome, WithExecutorTime,
} from '../process/executor-types.js';

/** What the client needs. */
export type ExecutorClientHost = {
	/** "IP:port" of the executor. */
	readonly address: string;
	/** Identifier of the executor; another life of it may have the same. */
	readonly id: string;
};

/** A healthy executor on the same machine answers within a millisecond; the rest is for a machine that is slowed. */
const orderTimeoutMs: Milliseconds = 150;
/** Some wait for ends, the others carry starts and stops. */
const connections = 8;
const idleConnectionMs: Milliseconds = 60_000;

const lists = z.object({
	born: z.number().optional(),
	running: z.array(z.array(z.unknown())).optional(),
	ended: z.array(z.array(z.unknown())).optional(),
});
const clocked = z.object({'clock-ms': z.number().optional(), reason: z.string().optional()});
const runningRow = z.tuple([z.string(), z.number(), z.string(), z.number()]).rest(z.unknown());
const endedRow = z.tuple([z.number(), z.string(), z.number(), z.string()]).rest(z.unknown());

type Answer = {
	readonly status: number;
	readonly text: string;
};

/** Creates the client; it connects with the first order. */
export function createExecutorClient({address, id}: ExecutorClientHost): Executor {
	const pool = new Pool(`http://${address}`, {
		connections, pipelining: 1, keepAliveTimeout: idleConnectionMs, connect: {timeout: orderTimeoutMs},
	});

	return {
		start: async order => post('/v1/run-start', {
			task: order.task, run: order.run, spec: order.spec, 'expires-at-ms': order.leaseExpiresAt, 'fence-token': order.fencingToken,
		}, orderTimeoutMs).then(answer => readOrder(answer)),
		stop: async (run, fencingToken) => post('/v1/run-stop', {
			task: run.task, run: run.run, 'fence-token': fencingToken,
		}, orderTimeoutMs).then(answer => readOrder(answer)),
		poll: async req => post('/v1/hold', {
			'expires-at-ms': req.leaseExpiresAt, 'fence-token': req.fencingToken, 'seen-upto': req.acknowledgedSequenceNumber, 'wait-ms': Math.round(req.waitMs),
		}, orderTimeoutMs + req.waitMs).then(answer => readHold(answer)),
		async close() {
			await pool.destroy();
		},
	};

	async function post(path: string, body: unknown, timeoutMs: Milliseconds): Promise<Answer | Error> {
		try {
			const res = await pool.request({
				method: 'POST',
				path,
				headers: {'content-type': 'application/json', 'expect-instance': id},
				body: JSON.stringify(body),
				signal: AbortSignal.timeout(timeoutMs),
			});
			return {status: res.statusCode, text: await res.body.text()};
		} catch (err) {
			return new VError(err instanceof Error ? err : new Error(String(err)), 'POST %s to executor %s', path, id);
		}
	}
}

function readOrder(answer: Answer | Error): WithExecutorTime<CommandOutcome> {
	if (answer instanceof Error) {
		return {outcome: {kind: 'no-answer', detail: answer.message}, executorTime: undefined};
	}

	const body = readJson(clocked, answer.text).unwrapOr<z.infer<typeof clocked>>({});
	return {outcome: toOutcome(answer, body.reason), executorTime: body['clock-ms']};
}

function toOutcome({status, text}: Answer, reason: string | undefined): CommandOutcome {
	switch (status) {
		case 200: {
			return {kind: 'done'};
		}

		case 409: {
			return refusals[reason ?? ''] ?? {kind: 'invalid', detail: text};
		}

		case 421: {
			return {kind: 'other-life'};
		}

		case 429:
		case 503: {
			return {kind: 'unavailable'};
		}

		case 400: {
			return {kind: 'invalid', detail: text};
		}

		default: {
			return {kind: 'no-answer', detail: `status ${status}`};
		}
	}
}

const refusals: Readonly<Record<string, CommandOutcome>> = {
	fence: {kind: 'fenced'},
	// The run, or a later one of its task, is over.
	old: {kind: 'superseded'},
	late: {kind: 'expired'},
	room: {kind: 'no-room'},
};

function readHold(answer: Answer | Error): WithExecutorTime<PollOutcome> {
	const {outcome, executorTime} = readOrder(answer);
	if (outcome.kind !== 'done' || answer instanceof Error) {
		return {outcome: outcome.kind === 'done' ? {kind: 'no-answer', detail: ''} : outcome, executorTime};
	}

	return readJson(lists, answer.text).match<WithExecutorTime<PollOutcome>>(
		found => ({outcome: {kind: 'held', status: toHolding(found)}, executorTime}),
		detail => ({outcome: {kind: 'no-answer', detail}, executorTime}),
	);
}

// Rows that cannot be read name no run; the others hold.
function toHolding(found: z.infer<typeof lists>): ExecutorStatus {
	return {
		executorStartedAt: found.born,
		running: (found.running ?? []).flatMap(row => {
			const parsed = runningRow.safeParse(row);
			return parsed.success ? [{task: parsed.data[0], run: parsed.data[1], percent: parsed.data[3]}] : [];
		}),
		ended: (found.ended ?? []).flatMap(row => {
			const parsed = endedRow.safeParse(row);
			return parsed.success ? [toEndedRow(parsed.data)] : [];
		}),
	};
}

function toEndedRow([number, task, run, how]: z.infer<typeof endedRow>): EndedRun {
	return {
		sequenceNumber: number, task, run, outcome: outcomes[how] ?? 'aborted', detail: how,
	};
}

// All other words tell that the run was ended from outside.
const outcomes: Readonly<Record<string, RunOutcome>> = {done: 'completed', failed: 'failed'};
