/**
 * Runs tasks on an executor under leases. One agent orders one executor. The lease is renewed in short steps, so that
 * everything ends soon after this process dies or freezes. An order without an answer is settled by raising the
 * fencing token: once the executor has answered a question with the higher token, the order either shows among the
 * runs or will never have an effect.
 */
import {RefusalReason, TaskOutcome, type TaskStart} from '../generated/kingcuplane.js';
import type {RunResult} from '../connection/entry-sessions.js';
import {isStalled, estimateSlowdown, type RunProgress} from '../request/progress.js';
import type {UpstreamClient} from '../request/upstream-client.js';
import {sleep, type Clock, type Milliseconds} from './clock.js';
import {createExecutorPoller} from './executor-poller.js';
import {createExecutorLease} from './executor-lease.js';
import type {
	EndedRun, Executor, ExecutorStatus, CommandOutcome, RunOutcome,
} from './executor-types.js';
import type {Log} from './log.js';

/** Effects of the leased upstream. */
export type LeasedUpstreamHost = {
	readonly clock: Clock;
	readonly executor: Executor;
	/** Which life of the executor is meant; whichever answers first if undefined. */
	readonly executorStartedAt?: number;
	/** Higher than any token that an earlier agent of this executor may have used. */
	readonly firstFencingToken: number;
	/** Longest lease that the executor grants. */
	readonly maxLeaseMs: Milliseconds;
	readonly log: Log;
	/** The executor is another life than the one that was announced. */
	onIncarnationChanged(): void;
	/** Run times over the declared ones that the present runs are heading for. */
	onProjectedSlowdowns(projections: readonly number[]): void;
	/** The executor has stopped answering. */
	onUnreachable(): void;
	/** How long this process stood still since it was last asked; 0 if it did not. */
	takePauseTime(): Milliseconds;
};

/** An upstream whose executor can be taken over and left. */
export type LeasedUpstream = Omit<UpstreamClient, 'stop'> & {
	stop(start: TaskStart): void;
	/** Stops what an earlier agent left running; resolves once the executor is known to run nothing. */
	takeOver(): Promise<void>;
	/** The executor's life is over: all its runs are, too. */
	abortAll(detail: string): void;
};

type Run = {
	readonly start: TaskStart;
	readonly task: string;
	run: number;
	readonly done: (end: RunResult) => void;
	readonly orderedAt: Milliseconds;
	/** When it was first known to run; the order may have waited for a connection before. */
	seenAt?: Milliseconds;
	state: 'ordered' | 'running';
	isStopWanted: boolean;
	isStopping: boolean;
	isStalled: boolean;
};

/** Time without orders to an executor that refuses them. */
const unavailableMs: Milliseconds = 200;
/** Pause between two attempts to take an executor over. */
const takeOverRetryMs: Milliseconds = 40;
/** Pause between two attempts to stop a run. */
const stopRetryMs: Milliseconds = 100;
/** A run of the same name may have been stopped there before; numbers are raised at most this often. */
const maxRaises = 8;
const noPayload = new Uint8Array();

/** Creates the caller of one life of an executor. Nothing is ordered before {@link LeasedUpstream.takeOver}. */
export function createLeasedUpstream(host: LeasedUpstreamHost): LeasedUpstream {
	const {clock, executor, log} = host;
	const runs = new Map<string, Run>();
	const lease = createExecutorLease(host);
	const watch = createExecutorPoller({
		clock,
		executor,
		lease,
		log,
		executorStartedAt: host.executorStartedAt,
		hasActiveRuns: () => runs.size > 0,
		onStatus: receive,
		onLeaseExpired() {
			for (const run of runs.values()) {
				end(run, TaskOutcome.TASK_OUTCOME_ABORTED, 'the executor does not answer; its lease has run out', RefusalReason.REFUSAL_REASON_UPSTREAM_UNREACHABLE);
			}
		},
		onPaused() {
			for (const run of runs.values()) {
				run.isStopWanted = true;
				void stopRun(run);
			}
		},
		onIncarnationChanged: host.onIncarnationChanged,
		onUnreachable: host.onUnreachable,
		takePauseTime: host.takePauseTime,
	});
	let unavailableUntil = -Infinity;

	return {
		run(start, done) {
			const task = `${start.reference}.0.0.${start.task!.index}`;
			const run: Run = {
				start, task, run: start.attempt, done, orderedAt: clock.now(), state: 'ordered', isStopWanted: false, isStopping: false, isStalled: false,
			};
			if (runs.has(task)) {
				// An earlier start of the task, from an entry that has given it up, is still being stopped here.
				queueMicrotask(() => {
					done(createEnd(TaskOutcome.TASK_OUTCOME_REFUSED, RefusalReason.REFUSAL_REASON_FULL, 'an earlier run of the task is still being stopped', 0));
				});
				return;
			}

			runs.set(task, run);
			watch.pollNow();
			void order(run);
		},
		stop(start) {
			for (const run of runs.values()) {
				if (run.start === start) {
					run.isStopWanted = true;
					void stopRun(run);
				}
			}
		},
		takeOver,
		abortAll(detail) {
			for (const run of runs.values()) {
				end(run, TaskOutcome.TASK_OUTCOME_ABORTED, detail);
			}
		},
		isReachable: async () => watch.isReachable() && clock.now() >= unavailableUntil,
		async close() {
			watch.close();
			await executor.close();
		},
	};

	async function takeOver(): Promise<void> {
		while (watch.isOpen()) {
			const holding = await watch.poll();
			if (holding?.running.length === 0) {
				watch.pollNow();
				return;
			}

			for (const stranger of holding?.running ?? []) {
				await executor.stop(stranger, lease.getFencingToken());
			}

			await sleep(clock, takeOverRetryMs);
		}
	}

	async function order(run: Run): Promise<void> {
		for (let raises = 0; raises < maxRaises && runs.get(run.task) === run; raises++) {
			const leaseUntil = lease.tryGetLeaseExpiry();
			if (leaseUntil === undefined) {
				break;
			}

			const usedToken = lease.getFencingToken();
			lease.recordRenewal();
			const {outcome} = lease.recordResponse(await executor.start({
				task: run.task, run: run.run, spec: new TextDecoder().decode(run.start.payload), leaseExpiresAt: leaseUntil, fencingToken: usedToken,
			}));
			if (await isOrderSettled(run, outcome, usedToken)) {
				return;
			}
		}

		end(run, TaskOutcome.TASK_OUTCOME_REFUSED, 'the order could not be placed', RefusalReason.REFUSAL_REASON_UPSTREAM_UNREACHABLE);
	}

	/** Whether the order needs no further attempt. */
	async function isOrderSettled(run: Run, outcome: CommandOutcome, usedToken: number): Promise<boolean> {
		switch (outcome.kind) {
			case 'done': {
				noteRunning(run);
				return true;
			}

			case 'fenced': {
				lease.raiseFencingToken(usedToken);
				return false;
			}

			case 'superseded': {
				run.run++;
				return false;
			}

			case 'expired': {
				// The estimate of the executor's clock is too old.
				await watch.poll();
				return false;
			}

			case 'no-room': {
				end(run, TaskOutcome.TASK_OUTCOME_REFUSED, 'the executor has no room', RefusalReason.REFUSAL_REASON_FULL);
				return true;
			}

			case 'unavailable': {
				unavailableUntil = clock.now() + unavailableMs;
				end(run, TaskOutcome.TASK_OUTCOME_REFUSED, 'the executor refuses orders', RefusalReason.REFUSAL_REASON_UPSTREAM_UNREACHABLE);
				return true;
			}

			case 'invalid': {
				end(run, TaskOutcome.TASK_OUTCOME_FAILED, `the executor refused the order as faulty: ${outcome.detail}`);
				return true;
			}

			case 'other-life': {
				host.onIncarnationChanged();
				return true;
			}

			case 'no-answer': {
				log.info({task: run.task, run: run.run, detail: outcome.detail}, 'order to start without an answer');
				await settleOrder(run, usedToken);
				return true;
			}
		}
	}

	// A question with a higher token separates orders that took effect from ones that never will.
	async function settleOrder(run: Run, usedToken: number): Promise<void> {
		lease.raiseFencingToken(usedToken);
		if (!await watch.confirmFencingToken()) {
			return;
		}

		if (runs.get(run.task) === run && run.state === 'ordered') {
			end(run, TaskOutcome.TASK_OUTCOME_REFUSED, 'the order had no effect', RefusalReason.REFUSAL_REASON_UPSTREAM_UNREACHABLE);
		}
	}

	function receive(holding: ExecutorStatus, askedAt: Milliseconds): void {
		const projections: number[] = [];
		for (const row of holding.running) {
			const run = runs.get(row.task);
			if (run?.run === row.run) {
				noteRunning(run);
				const progress = {elapsed: askedAt - (run.seenAt ?? askedAt), percent: row.percent, expected: run.start.expectedRunMs};
				checkProgress(run, progress);
				projections.push(...estimateSlowdown(progress));
			} else if (run === undefined) {
				// An order that was given up was carried out late.
				log.warn({task: row.task, run: row.run}, 'unknown run; it is stopped');
				void executor.stop(row, lease.getFencingToken());
			}
		}

		host.onProjectedSlowdowns(projections);
		for (const row of holding.ended) {
			takeEnd(row);
		}
	}

	function takeEnd(row: EndedRun): void {
		const run = runs.get(row.task);
		if (run?.run === row.run) {
			end(run, outcomes[row.outcome], row.outcome === 'completed' ? '' : `${run.isStalled ? 'stalled, ' : ''}${row.detail}`);
		}
	}

	function noteRunning(run: Run): void {
		run.state = 'running';
		run.seenAt ??= clock.now();
		if (run.isStopWanted) {
			void stopRun(run);
		}
	}

	function checkProgress(run: Run, progress: RunProgress): void {
		if (!run.isStopWanted && isStalled(progress)) {
			log.info({task: run.task, run: run.run, ...progress}, 'run makes too little progress; it is stopped');
			run.isStopWanted = true;
			run.isStalled = true;
			void stopRun(run);
		}
	}

	async function stopRun(run: Run): Promise<void> {
		if (run.isStopping || run.state !== 'running') {
			return;
		}

		run.isStopping = true;
		while (runs.get(run.task) === run && watch.isOpen()) {
			const usedToken = lease.getFencingToken();
			const {outcome} = lease.recordResponse(await executor.stop(run, usedToken));
			if (outcome.kind === 'fenced') {
				lease.raiseFencingToken(usedToken);
			}

			await sleep(clock, stopRetryMs);
		}
	}

	function end(run: Run, outcome: TaskOutcome, detail: string, reason: RefusalReason = RefusalReason.REFUSAL_REASON_UNSPECIFIED): void {
		if (runs.get(run.task) !== run) {
			return;
		}

		runs.delete(run.task);
		run.done(createEnd(outcome, reason, detail, clock.now() - run.orderedAt));
	}
}

function createEnd(outcome: TaskOutcome, reason: RefusalReason, detail: string, run: Milliseconds): RunResult {
	return {
		outcome, reason, payload: noPayload, duration: run, detail,
	};
}

const outcomes: Readonly<Record<RunOutcome, TaskOutcome>> = {
	completed: TaskOutcome.TASK_OUTCOME_COMPLETED,
	failed: TaskOutcome.TASK_OUTCOME_FAILED,
	aborted: TaskOutcome.TASK_OUTCOME_ABORTED,
};
