/**
 * Calls one incarnation of an executor over the platform's HTTP interface.
 */
import {Pool} from 'undici';
import VError from 'verror';
import {z} from 'zod';
import type {Clock, Milliseconds} from '../process/clock.js';
import {readJson} from '../process/json.js';
import type {
	ActiveRun, EndedRun, Executor, ExecutorStatus, PollOutcome, CommandOutcome, RunOutcome, WithExecutorTime,
} from '../process/executor-types.js';
import {exchangeHttp, requestNotSent, type HttpResponse} from './http-exchange.js';

/** The executor that the client calls, and the clock of its timeouts. */
export type ExecutorClientHost = {
	readonly clock: Clock;
	/** "IP:port" of the executor. */
	readonly address: string;
	/** Identifier of the executor; other incarnations may have the same. */
	readonly id: string;
};

/** A healthy executor on the same machine answers within a millisecond; the rest allows for a machine that is slowed down. */
const callTimeoutMs: Milliseconds = 150;
/** Some connections are occupied by polls that wait for runs to end; the others carry start calls. */
const connections = 8;
/** Stop calls have connections of their own, so that start calls without an answer do not hold them up. */
const stopConnections = 8;
const idleConnectionMs: Milliseconds = 60_000;

const replySchema = z.object({'clock-ms': z.number().optional(), reason: z.string().optional()});
const statusSchema = replySchema.extend({
	born: z.number().optional(),
	running: z.array(z.unknown()).optional(),
	ended: z.array(z.unknown()).optional(),
});

/** Creates the client; it connects with the first call. */
export function createExecutorClient({clock, address, id}: ExecutorClientHost): Executor {
	const pool = createPool(address, connections);
	const stopPool = createPool(address, stopConnections);

	const headers = {'content-type': 'application/json', 'expect-instance': id};

	return {
		start: async command => post(pool, '/v1/run-start', {
			task: command.task, run: command.run, spec: command.spec, 'expires-at-ms': command.leaseExpiresAt, 'fence-token': command.fencingToken,
		}, callTimeoutMs).then(answer => readCommandOutcome(answer)),
		stop: async (run, fencingToken) => post(stopPool, '/v1/run-stop', {
			task: run.task, run: run.run, 'fence-token': fencingToken,
		}, callTimeoutMs).then(answer => readCommandOutcome(answer)),
		poll: async req => post(pool, '/v1/hold', {
			'expires-at-ms': req.leaseExpiresAt, 'fence-token': req.fencingToken, 'seen-upto': req.acknowledgedSequenceNumber, 'wait-ms': Math.round(req.waitMs),
		}, callTimeoutMs + req.waitMs).then(answer => readPollOutcome(answer)),
		async close() {
			await Promise.all([pool.destroy(), stopPool.destroy()]);
		},
	};

	async function post(usedPool: Pool, path: string, body: unknown, timeoutMs: Milliseconds): Promise<HttpResponse | Error> {
		const res = await exchangeHttp(clock, usedPool, {
			method: 'POST', path, headers, body: JSON.stringify(body), timeoutMs,
		});
		return res instanceof Error ? new VError(res, 'POST %s to executor %s', path, id) : res;
	}
}

function createPool(address: string, size: number): Pool {
	return new Pool(`http://${address}`, {
		connections: size, pipelining: 1, keepAliveTimeout: idleConnectionMs, connect: {timeout: callTimeoutMs},
	});
}

function readCommandOutcome(answer: HttpResponse | Error): WithExecutorTime<CommandOutcome> {
	if (answer instanceof Error) {
		return {outcome: {kind: VError.hasCauseWithName(answer, requestNotSent) ? 'not-sent' : 'no-answer', detail: answer.message}, executorTime: undefined};
	}

	return toCommandOutcome(answer, readJson(replySchema, answer.text).unwrapOr<z.infer<typeof replySchema>>({}));
}

function toCommandOutcome(answer: HttpResponse, body: z.infer<typeof replySchema>): WithExecutorTime<CommandOutcome> {
	return {outcome: toOutcome(answer, body.reason), executorTime: body['clock-ms']};
}

function isConnectionRefused(err: Error): boolean {
	const cause: unknown = VError.cause(VError.cause(err) ?? err);
	return cause instanceof Error && 'code' in cause && cause.code === 'ECONNREFUSED';
}

function toOutcome({status, text}: HttpResponse, reason: string | undefined): CommandOutcome {
	switch (status) {
		case 200: {
			return {kind: 'done'};
		}

		case 409: {
			return outcomesByReason[reason ?? ''] ?? {kind: 'invalid', detail: text};
		}

		case 421: {
			return {kind: 'other-incarnation'};
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

const outcomesByReason: Readonly<Record<string, CommandOutcome>> = {
	fence: {kind: 'fenced'},
	// This run, or a later run of the same task, has ended.
	old: {kind: 'superseded'},
	late: {kind: 'expired'},
	room: {kind: 'no-room'},
};

function readPollOutcome(answer: HttpResponse | Error): WithExecutorTime<PollOutcome> {
	if (answer instanceof Error) {
		// For a poll, only a refused connection is of interest: it is a sign that the executor has ended.
		return {outcome: {kind: isConnectionRefused(answer) ? 'not-sent' : 'no-answer', detail: answer.message}, executorTime: undefined};
	}

	// Polls are the most frequent messages of an agent, so their responses are parsed only once.
	const body = readJson(statusSchema, answer.text);
	if (body.isErr()) {
		const {outcome, executorTime} = readCommandOutcome(answer);
		return {outcome: outcome.kind === 'done' ? {kind: 'no-answer', detail: body.error} : outcome, executorTime};
	}

	const {outcome, executorTime} = toCommandOutcome(answer, body.value);
	return {outcome: outcome.kind === 'done' ? {kind: 'status', status: toExecutorStatus(body.value)} : outcome, executorTime};
}

// Skips runs that cannot be parsed and keeps all others.
function toExecutorStatus(body: z.infer<typeof statusSchema>): ExecutorStatus {
	return {
		executorStartedAt: body.born,
		running: (body.running ?? []).flatMap(row => readActiveRun(row)),
		ended: (body.ended ?? []).flatMap(row => readEndedRun(row)),
	};
}

/** Reads a row of task, run number, checkpoint and completed share. */
function readActiveRun(row: unknown): ActiveRun[] {
	const [task, run, , percent] = toArray(row);
	return typeof task === 'string' && typeof run === 'number' && typeof percent === 'number' ? [{task, run, percent}] : [];
}

/** Reads a row of sequence number, task, run number and reason of the end. */
function readEndedRun(row: unknown): EndedRun[] {
	const [sequenceNumber, task, run, endReason] = toArray(row);
	return typeof sequenceNumber === 'number' && typeof task === 'string' && typeof run === 'number' && typeof endReason === 'string'
		? [{
			sequenceNumber, task, run, outcome: runOutcomes[endReason] ?? 'aborted', detail: endReason,
		}]
		: [];
}

function toArray(row: unknown): readonly unknown[] {
	return Array.isArray(row) ? row : [];
}

// Any other value means that the run was ended from outside.
const runOutcomes: Readonly<Record<string, RunOutcome>> = {done: 'completed', failed: 'failed'};
