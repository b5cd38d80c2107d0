/**
 * Runs tasks on the agent's upstream over HTTP. Distinguishes a task that was certainly not sent from one that may
 * have run.
 */
import {Pool} from 'undici';
import {RefusalReason, TaskOutcome, type TaskStart} from '../generated/kingcuplane.js';
import type {RunResult, StopCause} from '../connection/entry-sessions.js';
import type {Clock, Milliseconds} from '../process/clock.js';

/** Address and limits of the upstream. */
export type UpstreamClientHost = {
	readonly clock: Clock;
	/** For example "http://127.0.0.1:8080". */
	readonly url: string;
	/** Maximum number of connections to the upstream at the same time. */
	readonly connections: number;
	/** Timeout of a task whose start contains none. */
	readonly taskTimeoutMs: Milliseconds;
};

/** Client of one upstream. */
export type UpstreamClient = {
	/** Runs one task. `done` is called once, and never before this call returns. */
	run(start: TaskStart, done: (result: RunResult) => void): void;
	/** Stops a run early; undefined if the upstream does not support this. `done` is called afterwards. */
	stop?(start: TaskStart, cause: StopCause, since: Milliseconds): void;
	/** Whether the upstream answers a probe now, with any status. */
	isReachable(): Promise<boolean>;
	close(): Promise<void>;
};

const noPayload = new Uint8Array();
const maxDetailLength = 200;
const probeTimeoutMs: Milliseconds = 1000;

/** Creates a client. It connects on first use. */
export function createUpstreamClient(host: UpstreamClientHost): UpstreamClient {
	const pool = new Pool(host.url, {connections: host.connections, pipelining: 1, connect: {timeout: 1000}});

	return {
		run(start, done) {
			void call(start).then(done);
		},
		async isReachable() {
			try {
				const res = await pool.request({
					method: 'GET', path: '/healthz', headersTimeout: probeTimeoutMs, bodyTimeout: probeTimeoutMs,
				});
				await res.body.dump();
				return true;
			} catch {
				return false;
			}
		},
		close: async () => pool.close(),
	};

	async function call(start: TaskStart): Promise<RunResult> {
		const startedAt = host.clock.now();
		const abort = new AbortController();
		const timer = host.clock.after(start.timeoutMs || host.taskTimeoutMs, () => {
			abort.abort();
		});
		try {
			const res = await pool.request({
				method: 'POST', path: '/run', headers: getHeaders(start), body: start.payload, signal: abort.signal,
			});
			const payload = await res.body.bytes();
			const runTime = host.clock.now() - startedAt;
			return res.statusCode >= 200 && res.statusCode < 300
				? createRunResult(TaskOutcome.TASK_OUTCOME_COMPLETED, runTime, '', payload)
				: createRunResult(TaskOutcome.TASK_OUTCOME_FAILED, runTime, `status ${res.statusCode}: ${new TextDecoder().decode(payload).slice(0, maxDetailLength)}`);
		} catch (err) {
			const runTime = host.clock.now() - startedAt;
			return isConnectFailure(err)
				? createRunResult(TaskOutcome.TASK_OUTCOME_REFUSED, 0, '')
				: createRunResult(TaskOutcome.TASK_OUTCOME_UNKNOWN, runTime, describeError(err, abort.signal.aborted));
		} finally {
			timer.cancel();
		}
	}
}

function getHeaders(start: TaskStart): Record<string, string> {
	return {
		'content-type': 'application/octet-stream',
		'x-kingcuplane-task': `${start.task!.ticket}/${start.task!.index}`,
		'x-kingcuplane-attempt': String(start.attempt),
		'x-kingcuplane-service': start.service,
	};
}

function createRunResult(outcome: TaskOutcome, runTime: Milliseconds, detail: string, payload: Uint8Array = noPayload): RunResult {
	const reason = outcome === TaskOutcome.TASK_OUTCOME_REFUSED
		? RefusalReason.REFUSAL_REASON_UPSTREAM_UNREACHABLE
		: RefusalReason.REFUSAL_REASON_UNSPECIFIED;
	return {
		outcome, reason, payload, duration: runTime, detail,
	};
}

// Only these errors are certain to occur before any byte of the request was sent.
const connectFailures = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT']);

function isConnectFailure(err: unknown): boolean {
	const code = getCode(err);
	return code !== undefined && connectFailures.has(code);
}

function getCode(err: unknown): string | undefined {
	return err instanceof Error && 'code' in err && typeof err.code === 'string' ? err.code : undefined;
}

function describeError(err: unknown, isTimeout: boolean): string {
	if (isTimeout) {
		return 'the upstream did not answer in time';
	}

	return `the connection to the upstream broke: ${getCode(err) ?? String(err)}`;
}
