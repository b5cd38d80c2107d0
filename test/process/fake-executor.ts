/**
 * An executor in memory that keeps leases, fencing tokens and runs as the platform's pages say, with faults that can
 * be switched.
 */
import type {Clock, Milliseconds} from '../../src/process/clock.js';
import type {
	EndedRun, Executor, PollOutcome, CommandOutcome, RunId, RunOutcome, WithExecutorTime,
} from '../../src/process/executor-types.js';

/** A run as the executor saw it, from its start to its end. */
export type RecordedRun = RunId & {
	readonly startedAt: Milliseconds;
	readonly duration: Milliseconds;
	endedAt?: Milliseconds;
	endDetail?: string;
};

/** Switches and counts. */
export type FakeExecutor = Executor & {
	readonly runs: RecordedRun[];
	/** Nothing arrives and nothing is answered. */
	isUnreachable: boolean;
	/** The next orders of this kind get no answer and are carried out after the delay; undefined never carries them out. */
	readonly unansweredCalls: {start: number; stop: number; hold: number; delay: Milliseconds | undefined};
	/** Percent of each run stands still. */
	isStalled: boolean;
	/** Time that orders to start wait before they arrive. */
	startCallDelay: Milliseconds;
	/** Whether questions wait for an end as long as they may; else they are answered at once. */
	isLongPolling: boolean;
	startedAt: number;
	/** Chooses the length and the end of each run; all take `length` and complete if undefined. */
	sampleRun?(): {readonly length: Milliseconds; readonly fails: boolean};
	getFencingToken(): number;
	getRunning(): readonly RecordedRun[];
};

type NoAnswer = {readonly kind: 'no-answer'; readonly detail: string};

const answerMs: Milliseconds = 1;
const timeoutMs: Milliseconds = 150;
const maxLeaseMs: Milliseconds = 1000;
/** Interval at which a run that stands still looks whether it may end. */
const standStillMs: Milliseconds = 50;
/** The executor's clock differs from ours by this and runs this much slower. */
const clockOffset = 5000;
const clockRate = 0.98;

/** Creates an executor whose runs take `length`. */
export function createFakeExecutor(clock: Clock, length: Milliseconds): FakeExecutor {
	let token = 0;
	let leaseUntil = 0;
	let nextNumber = 1;
	let acknowledged = 0;
	const ended: EndedRun[] = [];
	const highest = new Map<string, number>();
	const waiters: Array<() => void> = [];
	const executor: FakeExecutor = {
		runs: [],
		isUnreachable: false,
		unansweredCalls: {
			start: 0, stop: 0, hold: 0, delay: undefined,
		},
		isStalled: false,
		startCallDelay: 0,
		isLongPolling: false,
		startedAt: 1,
		getFencingToken: () => token,
		getRunning,
		start: async order => call('start', (): CommandOutcome => {
			const refusal = tryFence(order.fencingToken);
			if (refusal !== undefined) {
				return refusal;
			}

			if (order.leaseExpiresAt <= getTime()) {
				return {kind: 'expired'};
			}

			renew(order.leaseExpiresAt);
			if (order.run <= (highest.get(order.task) ?? 0)) {
				return {kind: 'superseded'};
			}

			if (!getRunning().some(run => run.task === order.task && run.run === order.run)) {
				begin(order);
			}

			return {kind: 'done'};
		}),
		stop: async (run, fencingToken) => call('stop', (): CommandOutcome => {
			const refusal = tryFence(fencingToken);
			if (refusal === undefined) {
				highest.set(run.task, Math.max(run.run, highest.get(run.task) ?? 0));
				for (const running of getRunning()) {
					if (running.task === run.task && running.run <= run.run) {
						finish(running, 'aborted', 'stopped');
					}
				}
			}

			return refusal ?? {kind: 'done'};
		}),
		poll: async req => call('hold', async (): Promise<PollOutcome> => {
			const refusal = tryFence(req.fencingToken);
			if (refusal !== undefined) {
				return refusal;
			}

			if (req.leaseExpiresAt !== undefined) {
				renew(req.leaseExpiresAt);
			}

			acknowledged = Math.max(acknowledged, req.acknowledgedSequenceNumber);
			if (executor.isLongPolling) {
				await waitForEnd(req.waitMs);
			}

			return {
				kind: 'held',
				status: {
					executorStartedAt: executor.startedAt,
					running: getRunning().map(({task, run, startedAt, duration: whole}) => ({
						task, run, percent: executor.isStalled ? 0 : Math.floor(100 * (clock.now() - startedAt) / whole),
					})),
					ended: ended.filter(row => row.sequenceNumber > acknowledged),
				},
			};
		}),
		close: async () => undefined,
	};
	return executor;

	function getTime(): Milliseconds {
		return (clock.now() * clockRate) + clockOffset;
	}

	function getRunning(): readonly RecordedRun[] {
		return executor.runs.filter(run => run.endedAt === undefined);
	}

	function tryFence(used: number): {readonly kind: 'fenced'} | undefined {
		if (used < token) {
			return {kind: 'fenced'};
		}

		token = used;
		return undefined;
	}

	function renew(until: Milliseconds): void {
		leaseUntil = Math.max(leaseUntil, Math.min(until, getTime() + maxLeaseMs));
		planLapse();
	}

	function planLapse(): void {
		// Rounding must not make the timer a fraction early.
		clock.after(Math.max(1, Math.ceil((leaseUntil - getTime()) / clockRate) + 1), () => {
			if (getTime() >= leaseUntil) {
				for (const run of getRunning()) {
					finish(run, 'aborted', 'lapsed');
				}
			}
		});
	}

	function begin({task, run}: RunId): void {
		const drawn = executor.sampleRun?.() ?? {length, fails: false};
		const seen: RecordedRun = {
			task, run, startedAt: clock.now(), duration: drawn.length,
		};
		executor.runs.push(seen);
		clock.after(drawn.length, () => {
			complete(seen, drawn.fails);
		});
	}

	function complete(run: RecordedRun, isFailing: boolean): void {
		if (run.endedAt !== undefined) {
			return;
		}

		if (executor.isStalled) {
			clock.after(standStillMs, () => {
				complete(run, isFailing);
			});
			return;
		}

		finish(run, isFailing ? 'failed' : 'completed', isFailing ? 'failed' : 'done');
	}

	function finish(run: RecordedRun, outcome: RunOutcome, how: string): void {
		run.endedAt = clock.now();
		run.endDetail = how;
		highest.set(run.task, Math.max(run.run, highest.get(run.task) ?? 0));
		ended.push({
			sequenceNumber: nextNumber++, task: run.task, run: run.run, outcome, detail: how,
		});
		for (const wake of waiters.splice(0)) {
			wake();
		}
	}

	async function waitForEnd(longest: Milliseconds): Promise<void> {
		if (longest > 0 && !ended.some(row => row.sequenceNumber > acknowledged)) {
			await new Promise<void>(resolve => {
				waiters.push(resolve);
				clock.after(longest, resolve);
			});
		}
	}

	async function call<T>(kind: 'start' | 'stop' | 'hold', act: () => T | Promise<T>): Promise<WithExecutorTime<T | NoAnswer>> {
		const isLate = executor.unansweredCalls[kind] > 0;
		if (executor.isUnreachable || isLate) {
			if (isLate) {
				executor.unansweredCalls[kind]--;
				if (executor.unansweredCalls.delay !== undefined) {
					clock.after(executor.unansweredCalls.delay, () => {
						void act();
					});
				}
			}

			await wait(timeoutMs);
			return {outcome: {kind: 'no-answer', detail: 'time-out'}, executorTime: undefined};
		}

		await wait((answerMs / 2) + (kind === 'start' ? executor.startCallDelay : 0));
		const outcome = await act();
		const executorTime = getTime();
		await wait(answerMs / 2);
		return {outcome, executorTime};
	}

	async function wait(delay: Milliseconds): Promise<void> {
		return new Promise(resolve => {
			clock.after(delay, resolve);
		});
	}
}
