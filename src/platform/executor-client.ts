/**
 * Calls one incarnation of an executor over the platform's HTTP interface.
 */
import {Pool} from 'undici';
import VError from 'verror';
import {z} from 'zod';
import {maxAmount} from '../connection/resources.js';
import type {Clock, Milliseconds} from '../process/clock.js';
import {wallTimeSchema} from '../process/input-schemas.js';
import {readJson} from '../process/json.js';
import type {Log} from '../process/log.js';
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
	readonly log: Pick<Log, 'warn'>;
};

/** A healthy executor on the same machine answers within a millisecond; the rest allows for a machine that is slowed down. */
const callTimeoutMs: Milliseconds = 150;
/** Some connections are occupied by polls that wait for runs to end; the others carry start calls. */
const connections = 8;
/** Stop calls have connections of their own, so that start calls without an answer do not hold them up. */
const stopConnections = 8;
const idleConnectionMs: Milliseconds = 60_000;

/** Largest time on a steady clock, some three centuries, so that sums of times stay exact. */
const maxSteadyTimeMs: Milliseconds = 1e13;
/** Bound on the numbers of ends and runs; messages carry a run's number in 32 bits. */
const maxNumber = maxAmount;
/** Bound on the different faults that are logged for one executor. */
const maxLoggedFaults = 20;
/** Longest text of an executor that is passed on. */
const maxDetailLength = 500;
/** Number of ends in a response at which the executor may have left out others. */
const maxListedEnds = 500;
/** Longest name of a task. */
const maxTaskLength = 300;

const replySchema = z.object({'clock-ms': z.number().min(0).max(maxSteadyTimeMs).optional(), reason: z.string().optional()});
const statusSchema = replySchema.extend({
	born: wallTimeSchema.optional(),
	running: z.array(z.unknown()).optional(),
	ended: z.array(z.unknown()).optional(),
});

/** Creates the client; it connects with the first call. */
export function createExecutorClient({
	clock, address, id, log,
}: ExecutorClientHost): Executor {
	const pool = createPool(address, connections);
	const stopPool = createPool(address, stopConnections);

	/** Faults of responses that were logged. An executor lists the same rows again until their ends are acknowledged. */
	const loggedFaults = new Set<string>();
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
		}, callTimeoutMs + req.waitMs).then(answer => readPollOutcome(answer, reportFault)),
		async close() {
			await Promise.all([pool.destroy(), stopPool.destroy()]);
		},
	};

	function reportFault(reason: string): void {
		if (loggedFaults.size < maxLoggedFaults && !loggedFaults.has(reason)) {
			loggedFaults.add(reason);
			log.warn({executor: id, address, reason}, 'a part of the status of the executor cannot be read; it is ignored');
		}
	}

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
			return outcomesByReason.get(reason ?? '') ?? {kind: 'invalid', detail: text.slice(0, maxDetailLength)};
		}

		case 421: {
			return {kind: 'other-incarnation'};
		}

		case 429:
		case 503: {
			return {kind: 'unavailable'};
		}

		case 400: {
			return {kind: 'invalid', detail: text.slice(0, maxDetailLength)};
		}

		default: {
			return {kind: 'no-answer', detail: `status ${status}`};
		}
	}
}

const outcomesByReason: ReadonlyMap<string, CommandOutcome> = new Map([
	['fence', {kind: 'fenced'}],
	// This run, or a later run of the same task, has ended.
	['old', {kind: 'superseded'}],
	['late', {kind: 'expired'}],
	['room', {kind: 'no-room'}],
	// It runs only what an advising service allows, which is not asked.
	['ticket', {kind: 'unavailable'}],
]);

function readPollOutcome(answer: HttpResponse | Error, reportFault: (reason: string) => void): WithExecutorTime<PollOutcome> {
	if (answer instanceof Error) {
		// For a poll, only a refused connection is of interest: it is a sign that the executor has ended.
		return {outcome: {kind: isConnectionRefused(answer) ? 'not-sent' : 'no-answer', detail: answer.message}, executorTime: undefined};
	}

	// Polls are the most frequent messages of an agent, so their responses are parsed only once.
	const body = readJson(statusSchema, answer.text);
	if (body.isErr()) {
		const {outcome, executorTime} = readCommandOutcome(answer);
		if (outcome.kind === 'done') {
			reportFault(body.error);
		}

		return {outcome: outcome.kind === 'done' ? {kind: 'no-answer', detail: body.error} : outcome, executorTime};
	}

	const {outcome, executorTime} = toCommandOutcome(answer, body.value);
	return {outcome: outcome.kind === 'done' ? {kind: 'status', status: toExecutorStatus(body.value, reportFault)} : outcome, executorTime};
}

// Skips runs that cannot be parsed and keeps all others.
function toExecutorStatus(body: z.infer<typeof statusSchema>, reportFault: (reason: string) => void): ExecutorStatus {
	const {born, running: runningRows = [], ended: endedRows = []} = body;
	const running = readRows('running', runningRows, tryReadActiveRun);
	const ended = readRows('ended', endedRows, tryReadEndedRun);
	return {
		executorStartedAt: born,
		running,
		ended,
		isComplete: running.length === runningRows.length && ended.length === endedRows.length && ended.length < maxListedEnds,
	};

	function readRows<T>(list: string, rows: readonly unknown[], tryRead: (row: unknown) => T | undefined): readonly T[] {
		return rows.flatMap((row, i) => {
			const run = tryRead(row);
			if (run === undefined) {
				reportFault(`${list}[${i}] is invalid`);
				return [];
			}

			return [run];
		});
	}
}

/** Reads a row of task, run number, checkpoint and completed share. The run goes on even if its share cannot be read. */
function tryReadActiveRun(row: unknown): ActiveRun | undefined {
	const [task, run, , percent] = toArray(row);
	return isTask(task) && isNumber(run) ? {task, run, percent: typeof percent === 'number' ? Math.min(100, Math.max(0, percent)) : undefined} : undefined;
}

/** Reads a row of sequence number, task, run number and reason of the end. */
function tryReadEndedRun(row: unknown): EndedRun | undefined {
	const [sequenceNumber, task, run, endReason] = toArray(row);
	return isNumber(sequenceNumber) && isTask(task) && isNumber(run) && typeof endReason === 'string'
		? {
			sequenceNumber, task, run, outcome: runOutcomes.get(endReason) ?? 'aborted', detail: endReason.slice(0, maxDetailLength),
		}
		: undefined;
}

function isTask(value: unknown): value is string {
	return typeof value === 'string' && value !== '' && value.length <= maxTaskLength;
}

/** Whether a value can be the number of an end or of a run, both of which count from 1. */
function isNumber(value: unknown): value is number {
	return Number.isInteger(value) && typeof value === 'number' && value >= 1 && value <= maxNumber;
}

function toArray(row: unknown): readonly unknown[] {
	return Array.isArray(row) ? row : [];
}

// Any other value means that the run was ended from outside.
const runOutcomes: ReadonlyMap<string, RunOutcome> = new Map([['done', 'completed'], ['failed', 'failed']]);
