/**
 * An executor in memory that keeps leases, fencing tokens and runs as the platform's pages say, with faults that can
 * be switched.
 */
import type {Clock, Milliseconds} from '../../src/process/clock.js';
import type {
	EndedRow, Executor, HoldOutcome, OrderOutcome, RunName, RunOutcome, Timed,
} from '../../src/process/leased-run.js';

/** A run as the executor saw it, from its start to its end. */
export type SeenRun = RunName & {
	readonly startedAt: Milliseconds;
	readonly length: Milliseconds;
	endedAt?: Milliseconds;
	how?: string;
};

/** Switches and counts. */
export type FakeExecutor = Executor & {
	readonly runs: SeenRun[];
	/** Nothing arrives and nothing is answered. */
	isDark: boolean;
	/** The next orders of this kind get no answer and are carried out after the delay; undefined never carries them out. */
	readonly late: {start: number; stop: number; hold: number; delay: Milliseconds | undefined};
	/** Percent of each run stands still. */
	isStandingStill: boolean;
	/** Time that orders to start wait before they arrive. */
	orderDelay: Milliseconds;
	/** Whether questions wait for an end as long as they may; else they are answered at once. */
	isPatient: boolean;
	bornAt: number;
	/** Chooses the length and the end of each run; all take `length` and complete if undefined. */
	draw?(): {readonly length: Milliseconds; readonly fails: boolean};
	getToken(): number;
	getRunning(): readonly SeenRun[];
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
	const ended: EndedRow[] = [];
	const highest = new Map<string, number>();
	const waiters: Array<() => void> = [];
	const executor: FakeExecutor = {
		runs: [],
		isDark: false,
		late: {
			start: 0, stop: 0, hold: 0, delay: undefined,
		},
		isStandingStill: false,
		orderDelay: 0,
		isPatient: false,
		bornAt: 1,
		getToken: () => token,
		getRunning,
		start: async order => call('start', (): OrderOutcome => {
			const refusal = tryFence(order.fencingToken);
			if (refusal !== undefined) {
				return refusal;
			}

			if (order.leaseUntil <= getTime()) {
				return {kind: 'expired'};
			}

			renew(order.leaseUntil);
			if (order.run <= (highest.get(order.task) ?? 0)) {
				return {kind: 'superseded'};
			}

			if (!getRunning().some(run => run.task === order.task && run.run === order.run)) {
				begin(order);
			}

			return {kind: 'done'};
		}),
		stop: async (run, fencingToken) => call('stop', (): OrderOutcome => {
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
		hold: async req => call('hold', async (): Promise<HoldOutcome> => {
			const refusal = tryFence(req.fencingToken);
			if (refusal !== undefined) {
				return refusal;
			}

			if (req.leaseUntil !== undefined) {
				renew(req.leaseUntil);
			}

			acknowledged = Math.max(acknowledged, req.acknowledged);
			if (executor.isPatient) {
				await waitForEnd(req.waitMs);
			}

			return {
				kind: 'held',
				holding: {
					bornAt: executor.bornAt,
					running: getRunning().map(({task, run, startedAt, length: whole}) => ({
						task, run, percent: executor.isStandingStill ? 0 : Math.floor(100 * (clock.now() - startedAt) / whole),
					})),
					ended: ended.filter(row => row.number > acknowledged),
				},
			};
		}),
		close: async () => undefined,
	};
	return executor;

	function getTime(): Milliseconds {
		return (clock.now() * clockRate) + clockOffset;
	}

	function getRunning(): readonly SeenRun[] {
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

	function begin({task, run}: RunName): void {
		const drawn = executor.draw?.() ?? {length, fails: false};
		const seen: SeenRun = {
			task, run, startedAt: clock.now(), length: drawn.length,
		};
		executor.runs.push(seen);
		clock.after(drawn.length, () => {
			complete(seen, drawn.fails);
		});
	}

	function complete(run: SeenRun, isFailing: boolean): void {
		if (run.endedAt !== undefined) {
			return;
		}

		if (executor.isStandingStill) {
			clock.after(standStillMs, () => {
				complete(run, isFailing);
			});
			return;
		}

		finish(run, isFailing ? 'failed' : 'completed', isFailing ? 'failed' : 'done');
	}

	function finish(run: SeenRun, outcome: RunOutcome, how: string): void {
		run.endedAt = clock.now();
		run.how = how;
		highest.set(run.task, Math.max(run.run, highest.get(run.task) ?? 0));
		ended.push({
			number: nextNumber++, task: run.task, run: run.run, outcome, detail: how,
		});
		for (const wake of waiters.splice(0)) {
			wake();
		}
	}

	async function waitForEnd(longest: Milliseconds): Promise<void> {
		if (longest > 0 && !ended.some(row => row.number > acknowledged)) {
			await new Promise<void>(resolve => {
				waiters.push(resolve);
				clock.after(longest, resolve);
			});
		}
	}

	async function call<T>(kind: 'start' | 'stop' | 'hold', act: () => T | Promise<T>): Promise<Timed<T | NoAnswer>> {
		const isLate = executor.late[kind] > 0;
		if (executor.isDark || isLate) {
			if (isLate) {
				executor.late[kind]--;
				if (executor.late.delay !== undefined) {
					clock.after(executor.late.delay, () => {
						void act();
					});
				}
			}

			await wait(timeoutMs);
			return {outcome: {kind: 'no-answer', detail: 'time-out'}, executorTime: undefined};
		}

		await wait((answerMs / 2) + (kind === 'start' ? executor.orderDelay : 0));
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
