/**
 * An in-memory executor for tests. It implements leases, fencing tokens and runs as the platform documents them, and
 * faults can be injected.
 */
import type {Clock, Milliseconds} from '../../src/process/clock.js';
import type {
	EndedRun, Executor, PollOutcome, CommandOutcome, RunId, RunOutcome, WithExecutorTime,
} from '../../src/process/executor-types.js';

/** A run as recorded by the executor. */
export type RecordedRun = RunId & {
	readonly startedAt: Milliseconds;
	readonly duration: Milliseconds;
	endedAt?: Milliseconds;
	endDetail?: string;
};

/** Kinds of calls; `hold` for polls. */
export type CallKind = 'start' | 'stop' | 'hold';

/** An executor whose faults can be changed and whose runs can be inspected. */
export type FakeExecutor = Executor & {
	readonly runs: RecordedRun[];
	/** Whether all calls are lost without an effect or a response. */
	isUnreachable: boolean;
	/**
	 * Number of upcoming calls of each kind (`hold` for polls) that get no response. They take effect after `delay`; never
	 * if it is undefined.
	 */
	readonly unansweredCalls: {start: number; stop: number; hold: number; delay: Milliseconds | undefined};
	/** Whether a lease in a call that takes effect late counts from its arrival; otherwise it ends when its agent meant it to. */
	areLateLeasesExtended: boolean;
	/** Whether runs make no progress. */
	isStalled: boolean;
	/** Delay before a start call arrives. */
	startCallDelay: Milliseconds;
	/** Whether polls wait for a run to end, for at most the time that they allow; otherwise they are answered at once. */
	isLongPolling: boolean;
	/** Offset of the executor's clock from the test's clock. It changes with a restart. */
	clockOffsetMs: Milliseconds;
	/** Longest lease that the executor grants. */
	maxLeaseMs: Milliseconds;
	/** Identifies this incarnation of the executor. */
	startedAt: number;
	/** Whether it states in its responses when it started. */
	statesStart: boolean;
	/** Number of runs above which the executor refuses starts; undefined if it accepts all. */
	guardedRuns?: number;
	/** Number of starts that were refused for that reason. */
	refusedStarts: number;
	/** Time for which the executor is down after a crash that a run has caused. */
	downTimeMs: Milliseconds;
	/** Chooses the duration and outcome of each run. If undefined, all runs take the default duration and complete. */
	sampleRun?(task: string): RunSample;
	/** Called when a run starts, before anything else happens at that instant. */
	onRunStarted?(run: RecordedRun): void;
	/** Returns whether a call gets no response, beside those that `unansweredCalls` counts. */
	isUnanswered?(kind: CallKind): boolean;
	/** Called when another incarnation has started after a crash. */
	onRestarted?(): void;
	/** Ends this incarnation with all its runs; another one starts after `downTime`, with a clock that starts anew. */
	crash(downTime: Milliseconds): void;
	getFencingToken(): number;
	getRunning(): readonly RecordedRun[];
};

/** How a run ends at the latest `length` after its start. */
export type RunSample = {
	readonly length: Milliseconds;
	readonly fails: boolean;
	/** Whether the run crashes the executor at its end. */
	readonly crashes?: boolean;
};

/** Detail of the end of a run that was lost in a crash. */
export const crashedDetail = 'crashed';

type NoAnswer = {readonly kind: 'no-answer' | 'not-sent'; readonly detail: string};

const responseTimeMs: Milliseconds = 1;
const timeoutMs: Milliseconds = 150;
const defaultMaxLeaseMs: Milliseconds = 1000;
/** Interval at which a stalled run checks whether it may end. */
const stallCheckIntervalMs: Milliseconds = 50;
const initialClockOffsetMs = 5000;
const defaultDownTimeMs: Milliseconds = 3000;
/** Rate of the executor's clock relative to the test's clock: as slow as the platform documents it may be. */
const clockRate = 0.98;

/** Creates an executor whose runs take `defaultDuration`. */
export function createFakeExecutor(clock: Clock, defaultDuration: Milliseconds): FakeExecutor {
	let highestToken = 0;
	let leaseExpiresAt = 0;
	let nextSequenceNumber = 1;
	let acknowledgedSequenceNumber = 0;
	let isDown = false;
	/** By how much the leases in the call that takes effect now are extended. */
	let leaseExtension: Milliseconds = 0;
	let ended: EndedRun[] = [];
	const highestRuns = new Map<string, number>();
	const waiters: Array<() => void> = [];
	const executor: FakeExecutor = {
		runs: [],
		isUnreachable: false,
		unansweredCalls: {
			start: 0, stop: 0, hold: 0, delay: undefined,
		},
		areLateLeasesExtended: false,
		isStalled: false,
		startCallDelay: 0,
		isLongPolling: false,
		clockOffsetMs: initialClockOffsetMs,
		maxLeaseMs: defaultMaxLeaseMs,
		startedAt: 1,
		statesStart: true,
		refusedStarts: 0,
		downTimeMs: defaultDownTimeMs,
		crash,
		getFencingToken: () => highestToken,
		getRunning,
		start: async command => call('start', (): CommandOutcome => {
			const refusal = checkFencingToken(command.fencingToken);
			if (refusal !== undefined) {
				return refusal;
			}

			if (command.leaseExpiresAt + leaseExtension <= getTime()) {
				return {kind: 'expired'};
			}

			renewLease(command.leaseExpiresAt);
			if (command.run <= (highestRuns.get(command.task) ?? 0)) {
				return {kind: 'superseded'};
			}

			if (!getRunning().some(run => run.task === command.task && run.run === command.run)) {
				if (getRunning().length >= (executor.guardedRuns ?? Infinity)) {
					executor.refusedStarts++;
					return {kind: 'no-room'};
				}

				startRun(command);
			}

			return {kind: 'done'};
		}),
		stop: async (run, fencingToken) => call('stop', (): CommandOutcome => {
			const refusal = checkFencingToken(fencingToken);
			if (refusal === undefined) {
				highestRuns.set(run.task, Math.max(run.run, highestRuns.get(run.task) ?? 0));
				for (const running of getRunning()) {
					if (running.task === run.task && running.run <= run.run) {
						finish(running, 'aborted', 'stopped');
					}
				}
			}

			return refusal ?? {kind: 'done'};
		}),
		poll: async req => call('hold', async (): Promise<PollOutcome> => {
			const refusal = checkFencingToken(req.fencingToken);
			if (refusal !== undefined) {
				return refusal;
			}

			if (req.leaseExpiresAt !== undefined) {
				renewLease(req.leaseExpiresAt);
			}

			acknowledgedSequenceNumber = Math.max(acknowledgedSequenceNumber, req.acknowledgedSequenceNumber);
			if (executor.isLongPolling) {
				await waitForEnd(req.waitMs);
			}

			return {
				kind: 'status',
				status: {
					executorStartedAt: executor.statesStart ? executor.startedAt : undefined,
					running: getRunning().map(({task, run, startedAt, duration}) => ({
						task, run, percent: executor.isStalled ? 0 : Math.floor(100 * (clock.now() - startedAt) / duration),
					})),
					ended: ended.filter(endedRun => endedRun.sequenceNumber > acknowledgedSequenceNumber),
					isComplete: true,
				},
			};
		}),
		close: async () => undefined,
	};
	return executor;

	function getTime(): Milliseconds {
		return (clock.now() * clockRate) + executor.clockOffsetMs;
	}

	function getRunning(): readonly RecordedRun[] {
		return executor.runs.filter(run => run.endedAt === undefined);
	}

	function checkFencingToken(usedToken: number): {readonly kind: 'fenced'} | undefined {
		if (usedToken < highestToken) {
			return {kind: 'fenced'};
		}

		highestToken = usedToken;
		return undefined;
	}

	function renewLease(requestedExpiry: Milliseconds): void {
		leaseExpiresAt = Math.max(leaseExpiresAt, Math.min(requestedExpiry + leaseExtension, getTime() + executor.maxLeaseMs));
		scheduleLeaseExpiry();
	}

	function scheduleLeaseExpiry(): void {
		// Rounds up, since the timer must not fire before the lease has expired.
		clock.after(Math.max(1, Math.ceil((leaseExpiresAt - getTime()) / clockRate) + 1), () => {
			if (getTime() >= leaseExpiresAt) {
				for (const run of getRunning()) {
					finish(run, 'aborted', 'lapsed');
				}
			}
		});
	}

	function startRun({task, run}: RunId): void {
		const sample: RunSample = executor.sampleRun?.(task) ?? {length: defaultDuration, fails: false};
		const recorded: RecordedRun = {
			task, run, startedAt: clock.now(), duration: sample.length,
		};
		executor.runs.push(recorded);
		executor.onRunStarted?.(recorded);
		clock.after(sample.length, () => {
			if (sample.crashes && recorded.endedAt === undefined) {
				crash(executor.downTimeMs);
			} else {
				complete(recorded, sample.fails);
			}
		});
	}

	function crash(downTime: Milliseconds): void {
		if (isDown) {
			return;
		}

		isDown = true;
		for (const run of getRunning()) {
			run.endedAt = clock.now();
			run.endDetail = crashedDetail;
		}

		highestToken = 0;
		leaseExpiresAt = 0;
		nextSequenceNumber = 1;
		acknowledgedSequenceNumber = 0;
		ended = [];
		highestRuns.clear();
		clock.after(downTime, () => {
			isDown = false;
			executor.startedAt++;
			executor.clockOffsetMs = -clock.now() * clockRate;
			executor.onRestarted?.();
		});
	}

	function complete(run: RecordedRun, isFailing: boolean): void {
		if (run.endedAt !== undefined) {
			return;
		}

		if (executor.isStalled) {
			clock.after(stallCheckIntervalMs, () => {
				complete(run, isFailing);
			});
			return;
		}

		finish(run, isFailing ? 'failed' : 'completed', isFailing ? 'failed' : 'done');
	}

	function finish(run: RecordedRun, outcome: RunOutcome, endDetail: string): void {
		run.endedAt = clock.now();
		run.endDetail = endDetail;
		highestRuns.set(run.task, Math.max(run.run, highestRuns.get(run.task) ?? 0));
		ended.push({
			sequenceNumber: nextSequenceNumber++, task: run.task, run: run.run, outcome, detail: endDetail,
		});
		for (const resolveWait of waiters.splice(0)) {
			resolveWait();
		}
	}

	async function waitForEnd(maxWait: Milliseconds): Promise<void> {
		if (maxWait > 0 && !ended.some(endedRun => endedRun.sequenceNumber > acknowledgedSequenceNumber)) {
			await new Promise<void>(resolve => {
				waiters.push(resolve);
				clock.after(maxWait, resolve);
			});
		}
	}

	async function call<T>(kind: CallKind, action: () => T | Promise<T>): Promise<WithExecutorTime<T | NoAnswer>> {
		const {startedAt} = executor;
		const isSameIncarnation = () => !isDown && executor.startedAt === startedAt;
		if (isDown) {
			await wait(responseTimeMs);
			return {outcome: {kind: 'not-sent', detail: 'connection refused'}, executorTime: undefined};
		}

		const isCounted = executor.unansweredCalls[kind] > 0;
		const isUnanswered = isCounted || (executor.isUnanswered?.(kind) ?? false);
		if (executor.isUnreachable || isUnanswered) {
			if (isUnanswered) {
				executor.unansweredCalls[kind] -= isCounted ? 1 : 0;
				const {delay} = executor.unansweredCalls;
				if (delay !== undefined) {
					clock.after(delay, () => {
						if (isSameIncarnation()) {
							leaseExtension = executor.areLateLeasesExtended ? delay : 0;
							void action();
							leaseExtension = 0;
						}
					});
				}
			}

			await wait(timeoutMs);
			return {outcome: {kind: 'no-answer', detail: 'time-out'}, executorTime: undefined};
		}

		await wait((responseTimeMs / 2) + (kind === 'start' ? executor.startCallDelay : 0));
		const outcome = isSameIncarnation() ? await action() : undefined;
		const executorTime = getTime();
		await wait(responseTimeMs / 2);
		return outcome === undefined || !isSameIncarnation()
			? {outcome: {kind: 'no-answer', detail: 'connection reset'}, executorTime: undefined}
			: {outcome, executorTime};
	}

	async function wait(delay: Milliseconds): Promise<void> {
		return new Promise(resolve => {
			clock.after(delay, resolve);
		});
	}
}
