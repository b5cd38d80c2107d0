/**
 * Runs tasks on an executor under leases. One agent orders one executor. The lease is renewed in short steps, so that
 * everything ends soon after this process dies or freezes. An order without an answer is settled by raising the
 * fencing token: once the executor has answered a question with the higher token, the order either shows among the
 * runs or will never have an effect.
 */
import {RefusalReason, TaskOutcome, type TaskStart} from '../generated/kingcuplane.js';
import type {RunEnd} from '../connection/entry-sessions.js';
import type {UpstreamCaller} from '../request/upstream-call.js';
import {isStalled, project, type RunProgress} from '../request/progress.js';
import {
	sleep, type Clock, type Milliseconds, type Timer,
} from './clock.js';
import type {
	EndedRow, Executor, HoldOutcome, Holding, OrderOutcome, RunName, RunOutcome, Timed,
} from './leased-run.js';
import type {Log} from './log.js';

/** Effects of the leased upstream. */
export type LeasedUpstreamHost = {
	readonly clock: Clock;
	readonly executor: Executor;
	/** Which life of the executor is meant; whichever answers first if undefined. */
	readonly bornAt?: number;
	/** Higher than any token that an earlier agent of this executor may have used. */
	readonly firstToken: number;
	/** Longest lease that the executor grants. */
	readonly maxLeaseMs: Milliseconds;
	readonly log: Log;
	/** The executor is another life than the one that was announced. */
	lifeChanged(): void;
	/** Run times over the declared ones that the present runs are heading for. */
	observe(projections: readonly number[]): void;
	/** The executor has stopped answering. */
	unreachable(): void;
	/** How long this process stood still since it was last asked; 0 if it did not. */
	takePause(): Milliseconds;
};

/** An upstream whose executor can be taken over and left. */
export type LeasedUpstream = Omit<UpstreamCaller, 'stop'> & {
	stop(start: TaskStart): void;
	/** Stops what an earlier agent left running; resolves once the executor is known to run nothing. */
	takeOver(): Promise<void>;
	/** The executor's life is over: all its runs are, too. */
	endAll(detail: string): void;
	isIdle(): boolean;
};

type Run = {
	readonly start: TaskStart;
	readonly task: string;
	run: number;
	readonly done: (end: RunEnd) => void;
	readonly orderedAt: Milliseconds;
	/** When it was first known to run; the order may have waited for a connection before. */
	seenAt?: Milliseconds;
	state: 'ordered' | 'running';
	isStopWanted: boolean;
	isStopping: boolean;
	isStalled: boolean;
};

/** Lease of each renewal: long enough for three renewals to fail, short enough that a lost agent's tasks restart soon. */
const leaseMs: Milliseconds = 500;
/** An executor's clock may be up to this much slower than ours, as its page states. */
const clockError = 0.02;
/** Time that a question waits at the executor while something runs, so that leases are renewed and progress is seen. */
const holdWaitMs: Milliseconds = 60;
/**
 * A question that is not answered this long after its wait is followed by another one while it is still open: its answer
 * may be lost, and the news of all ends with it. A sound executor on the same machine answers within a millisecond.
 */
const overdueMs: Milliseconds = 25;
/** Interval between questions while nothing runs, to keep the estimate of the executor's clock. */
const idleHoldMs: Milliseconds = 500;
/** Unanswered questions in a row after which the executor counts as unreachable. */
const silentAnswers = 2;
/** Time without orders to an executor that refuses them. */
const unavailableMs: Milliseconds = 200;
/** Bound on the error of the estimated clock, beside its rate. */
const clockMarginMs: Milliseconds = 20;
/** Pause after a question that failed. */
const retryMs: Milliseconds = 40;
/** Pause between two attempts to stop a run. */
const stopRetryMs: Milliseconds = 100;
/** A run of the same name may have been stopped there before; numbers are raised at most this often. */
const maxRaises = 8;
/** Pauses below this cannot have let a lease run out or an entry give up. */
const harmlessPauseMs: Milliseconds = 300;
/** Raised by this much when another token was seen. */
const tokenStep = 1000;
const noPayload = new Uint8Array();

/** Creates the caller of one life of an executor. Nothing is ordered before {@link LeasedUpstream.takeOver}. */
export function createLeasedUpstream(host: LeasedUpstreamHost): LeasedUpstream {
	const {clock, executor, log} = host;
	const lease = Math.min(leaseMs, host.maxLeaseMs);
	const runs = new Map<string, Run>();
	let token = host.firstToken;
	/** The executor's clock less ours. */
	let offset: Milliseconds | undefined;
	let acknowledged = 0;
	/** No run can outlive this time on our clock unless the lease is renewed. */
	let leaseEndsAt = -Infinity;
	let {bornAt} = host;
	let isClosed = false;
	let isReachable = false;
	let silences = 0;
	/** When the newest question that was answered was asked. */
	let answeredAt = -Infinity;
	let unavailableUntil = -Infinity;
	let isHolding = false;
	let timer: Timer | undefined;
	let settling: Promise<boolean> | undefined;

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
			planHold(0);
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
		endAll(detail) {
			for (const run of runs.values()) {
				end(run, TaskOutcome.TASK_OUTCOME_ABORTED, detail);
			}
		},
		isIdle: () => runs.size === 0,
		isReachable: async () => isReachable && clock.now() >= unavailableUntil,
		async close() {
			isClosed = true;
			timer?.cancel();
			await executor.close();
		},
	};

	function isOpen(): boolean {
		return !isClosed;
	}

	async function takeOver(): Promise<void> {
		while (isOpen()) {
			const holding = await ask(0, false);
			if (holding?.running.length === 0) {
				isReachable = true;
				planHold(0);
				return;
			}

			for (const stranger of holding?.running ?? []) {
				await executor.stop(stranger, token);
			}

			await sleep(clock, retryMs);
		}
	}

	async function order(run: Run): Promise<void> {
		for (let raises = 0; raises < maxRaises && runs.get(run.task) === run; raises++) {
			const leaseUntil = getLeaseUntil();
			if (leaseUntil === undefined) {
				break;
			}

			const usedToken = token;
			noteLease();
			const {outcome} = note(await executor.start({
				task: run.task, run: run.run, spec: new TextDecoder().decode(run.start.payload), leaseUntil, fencingToken: usedToken,
			}));
			if (await isOrderSettled(run, outcome, usedToken)) {
				return;
			}
		}

		end(run, TaskOutcome.TASK_OUTCOME_REFUSED, 'the order could not be placed', RefusalReason.REFUSAL_REASON_UPSTREAM_UNREACHABLE);
	}

	/** Whether the order needs no further attempt. */
	async function isOrderSettled(run: Run, outcome: OrderOutcome, usedToken: number): Promise<boolean> {
		switch (outcome.kind) {
			case 'done': {
				noteRunning(run);
				return true;
			}

			case 'fenced': {
				raiseToken(usedToken);
				return false;
			}

			case 'superseded': {
				run.run++;
				return false;
			}

			case 'expired': {
				// The estimate of the executor's clock is too old.
				await ask(0, false);
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
				host.lifeChanged();
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
		raiseToken(usedToken);
		if (!await settle()) {
			return;
		}

		if (runs.get(run.task) === run && run.state === 'ordered') {
			end(run, TaskOutcome.TASK_OUTCOME_REFUSED, 'the order had no effect', RefusalReason.REFUSAL_REASON_UPSTREAM_UNREACHABLE);
		}
	}

	/** Asks with the present token until the executor answers; false if its lease ran out first. */
	async function settle(): Promise<boolean> {
		settling ??= settleOnce().finally(() => {
			settling = undefined;
		});
		return settling;
	}

	async function settleOnce(): Promise<boolean> {
		const asked = token;
		while (isOpen()) {
			const holding = await ask(0, false);
			if (holding !== undefined && token === asked) {
				return true;
			}

			if (holding === undefined) {
				endIfLapsed();
				if (runs.size === 0) {
					return false;
				}

				await sleep(clock, retryMs);
			} else {
				return settleOnce();
			}
		}

		return false;
	}

	/** Ends everything once the lease has run out on any clock that the executor may have. */
	function endIfLapsed(): void {
		if (clock.now() > leaseEndsAt && runs.size > 0) {
			log.warn({runs: runs.size}, 'the executor does not answer and its lease has run out');
			token += tokenStep;
			for (const run of runs.values()) {
				end(run, TaskOutcome.TASK_OUTCOME_ABORTED, 'the executor does not answer; its lease has run out', RefusalReason.REFUSAL_REASON_UPSTREAM_UNREACHABLE);
			}
		}
	}

	function planHold(delay: Milliseconds): void {
		timer?.cancel();
		if (!isClosed && !isHolding) {
			timer = clock.after(delay, () => {
				void holdOnce();
			});
		}
	}

	async function holdOnce(): Promise<void> {
		if (isHolding) {
			return;
		}

		isHolding = true;
		await checkPause();
		const isBusy = runs.size > 0;
		const waitMs = isBusy ? holdWaitMs : 0;
		const asked = askAndJudge(waitMs, isBusy);
		// After a silence one question at a time is enough to see whether the executor answers again.
		const answer = await (silences > 0 ? asked : Promise.race([asked, sleep(clock, waitMs + overdueMs).then(() => 'overdue' as const)]));
		isHolding = false;
		switch (answer) {
			case 'silent': {
				planHold(retryMs);
				break;
			}

			case 'overdue':
			case 'more-to-come': {
				planHold(0);
				break;
			}

			case 'idle': {
				planHold(idleHoldMs);
				break;
			}
		}
	}

	async function askAndJudge(waitMs: Milliseconds, renews: boolean): Promise<'silent' | 'more-to-come' | 'idle'> {
		const askedAt = clock.now();
		const holding = await ask(waitMs, renews);
		if (holding === undefined) {
			// A later question may have been answered meanwhile.
			if (askedAt > answeredAt) {
				noteSilence();
			}

			return 'silent';
		}

		answeredAt = askedAt;
		isReachable = true;
		return runs.size > 0 || holding.ended.length > 0 ? 'more-to-come' : 'idle';
	}

	function noteSilence(): void {
		silences++;
		if (silences >= silentAnswers && isReachable) {
			isReachable = false;
			log.warn({silences}, 'the executor does not answer');
			host.unreachable();
		}

		endIfLapsed();
	}

	// After a pause entries may have given these runs up, so no lease is renewed for them.
	async function checkPause(): Promise<void> {
		const pause = host.takePause();
		if (pause < harmlessPauseMs) {
			return;
		}

		const before = offset;
		const holding = await ask(0, false);
		// The executor's clock ran on during a real pause; after a step of the time of day it agrees with ours.
		const isReal = holding === undefined || before === undefined || offset === undefined || offset - before > pause / 2;
		log.warn({pause, isReal}, 'this process may have stood still');
		if (isReal) {
			for (const run of runs.values()) {
				run.isStopWanted = true;
				void stopRun(run);
			}
		}
	}

	/** Asks what the executor holds and takes the ends it lists; undefined without a usable answer. */
	async function ask(waitMs: Milliseconds, renews: boolean): Promise<Holding | undefined> {
		// A question without an answer may have renewed the lease. After some of these in a row none is renewed any more:
		// otherwise the lease of an executor that cannot be heard would never be known to have run out.
		const isRenewing = renews && silences < silentAnswers;
		const leaseUntil = isRenewing ? getLeaseUntil() : undefined;
		if (isRenewing) {
			noteLease();
		}

		const usedToken = token;
		const askedAt = clock.now();
		const {outcome} = note(await executor.hold({
			leaseUntil, fencingToken: usedToken, acknowledged, waitMs,
		}));
		return readHold(outcome, usedToken, askedAt);
	}

	function readHold(outcome: HoldOutcome, usedToken: number, askedAt: Milliseconds): Holding | undefined {
		switch (outcome.kind) {
			case 'held': {
				return takeHolding(outcome.holding, askedAt);
			}

			case 'fenced': {
				raiseToken(usedToken);
				return undefined;
			}

			case 'other-life': {
				host.lifeChanged();
				return undefined;
			}

			default: {
				log.debug({outcome}, 'the executor did not tell what it holds');
				return undefined;
			}
		}
	}

	function takeHolding(holding: Holding, askedAt: Milliseconds): Holding | undefined {
		if (holding.bornAt !== undefined && bornAt !== undefined && holding.bornAt !== bornAt) {
			host.lifeChanged();
			return undefined;
		}

		bornAt ??= holding.bornAt;
		silences = 0;
		const projections: number[] = [];
		for (const row of holding.running) {
			const run = runs.get(row.task);
			if (run?.run === row.run) {
				noteRunning(run);
				const progress = {elapsed: askedAt - (run.seenAt ?? askedAt), percent: row.percent, expected: run.start.expectedRunMs};
				checkProgress(run, progress);
				projections.push(...project(progress));
			} else if (run === undefined) {
				// An order that was given up was carried out late.
				log.warn({task: row.task, run: row.run}, 'unknown run; it is stopped');
				void executor.stop(row, token);
			}
		}

		host.observe(projections);
		for (const row of holding.ended) {
			takeEnd(row);
		}

		return holding;
	}

	function takeEnd(row: EndedRow): void {
		acknowledged = Math.max(acknowledged, row.number);
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
		while (runs.get(run.task) === run && isOpen()) {
			const usedToken = token;
			const {outcome} = note(await executor.stop(run, usedToken));
			if (outcome.kind === 'fenced') {
				raiseToken(usedToken);
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

	function raiseToken(usedToken: number): void {
		if (token === usedToken) {
			token += tokenStep;
		}
	}

	function getLeaseUntil(): Milliseconds | undefined {
		return offset === undefined ? undefined : Math.floor(clock.now() + offset + lease);
	}

	// The lease that this order grants counts from now at the latest, on a clock that may be slow.
	function noteLease(): void {
		leaseEndsAt = clock.now() + (lease * (1 + clockError)) + clockMarginMs;
	}

	function note<T>(answer: Timed<T>): Timed<T> {
		if (answer.executorTime !== undefined) {
			offset = answer.executorTime - clock.now();
		}

		return answer;
	}
}

function createEnd(outcome: TaskOutcome, reason: RefusalReason, detail: string, run: Milliseconds): RunEnd {
	return {
		outcome, reason, payload: noPayload, run, detail,
	};
}

const outcomes: Readonly<Record<RunOutcome, TaskOutcome>> = {
	completed: TaskOutcome.TASK_OUTCOME_COMPLETED,
	failed: TaskOutcome.TASK_OUTCOME_FAILED,
	aborted: TaskOutcome.TASK_OUTCOME_ABORTED,
};
