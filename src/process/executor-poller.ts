/**
 * Asks an executor again and again what it holds, which renews the lease, brings the ends of runs and shows whether the
 * executor can be reached.
 */
import {
	sleep, type Clock, type Milliseconds, type Timer,
} from './clock.js';
import type {ExecutorLease} from './executor-lease.js';
import type {Executor, ExecutorStatus, PollOutcome} from './executor-types.js';
import type {Log} from './log.js';

/** What the watch needs. */
export type ExecutorPollerHost = {
	readonly clock: Clock;
	readonly executor: Executor;
	readonly lease: ExecutorLease;
	readonly log: Log;
	/** Which life of the executor is meant; whichever answers first if undefined. */
	readonly executorStartedAt?: number;
	/** Whether anything was ordered that has not ended. */
	hasActiveRuns(): boolean;
	/** The executor told what it holds, to a question that was asked at `askedAt`. */
	onStatus(holding: ExecutorStatus, askedAt: Milliseconds): void;
	/** The lease has run out while the executor did not answer. */
	onLeaseExpired(): void;
	/** This process stood still for so long that entries may have given its runs up. */
	onPaused(): void;
	/** The executor is another life than the one meant. */
	onIncarnationChanged(): void;
	/** The executor has stopped answering. */
	onUnreachable(): void;
	/** How long this process stood still since it was last asked; 0 if it did not. */
	takePauseTime(): Milliseconds;
};

/** The questions to one life of an executor. */
export type ExecutorPoller = {
	/** Asks once, without renewing the lease; undefined without a usable answer. */
	poll(): Promise<ExecutorStatus | undefined>;
	/** Asks with the present token until the executor answers; false if everything ended for want of an answer. */
	confirmFencingToken(): Promise<boolean>;
	/** Starts to ask regularly, or asks at once if something was ordered. */
	pollNow(): void;
	isReachable(): boolean;
	isOpen(): boolean;
	close(): void;
};

/** What came of one question. */
type Answer = 'silent' | 'more-to-come' | 'idle';

/** Time that a question waits at the executor while something runs, so that leases are renewed and progress is seen. */
const waitMs: Milliseconds = 60;
/**
 * A question that is not answered this long after its wait is followed by another one while it is still open: its answer
 * may be lost, and the news of all ends with it. A sound executor on the same machine answers within a millisecond.
 */
const overdueMs: Milliseconds = 25;
/** Interval between questions while nothing runs, to keep the estimate of the executor's clock. */
const idleMs: Milliseconds = 500;
/** Unanswered questions in a row after which the executor counts as unreachable. */
const silentAnswers = 2;
/** Pause after a question that failed. */
const retryMs: Milliseconds = 40;
/** Pauses below this cannot have let a lease run out or an entry give up. */
const harmlessPauseMs: Milliseconds = 300;

/** Creates a watch that asks nothing yet. */
export function createExecutorPoller(host: ExecutorPollerHost): ExecutorPoller {
	const {
		clock, executor, lease, log,
	} = host;
	let acknowledged = 0;
	let {executorStartedAt: bornAt} = host;
	let isClosed = false;
	let isReachable = false;
	let isAsking = false;
	let silences = 0;
	/** When the newest question that was answered was asked. */
	let answeredAt = -Infinity;
	let timer: Timer | undefined;
	let settling: Promise<boolean> | undefined;

	return {
		poll: async () => ask(0, false),
		confirmFencingToken: settle,
		pollNow() {
			plan(0);
		},
		isReachable: () => isReachable,
		isOpen,
		close() {
			isClosed = true;
			timer?.cancel();
		},
	};

	function isOpen(): boolean {
		return !isClosed;
	}

	function plan(delay: Milliseconds): void {
		timer?.cancel();
		if (!isClosed && !isAsking) {
			timer = clock.after(delay, () => {
				void askRegularly();
			});
		}
	}

	async function askRegularly(): Promise<void> {
		if (isAsking) {
			return;
		}

		isAsking = true;
		await checkPause();
		const isBusy = host.hasActiveRuns();
		const wait = isBusy ? waitMs : 0;
		const asked = askAndJudge(wait, isBusy);
		// After a silence one question at a time is enough to see whether the executor answers again.
		const answer = await (silences > 0 ? asked : Promise.race([asked, sleep(clock, wait + overdueMs).then(() => 'overdue' as const)]));
		isAsking = false;
		plan(pauseAfter[answer]);
	}

	async function askAndJudge(wait: Milliseconds, renews: boolean): Promise<Answer> {
		const askedAt = clock.now();
		const holding = await ask(wait, renews);
		if (holding === undefined) {
			// A later question may have been answered meanwhile.
			if (askedAt > answeredAt) {
				noteSilence();
			}

			return 'silent';
		}

		answeredAt = askedAt;
		return host.hasActiveRuns() || holding.ended.length > 0 ? 'more-to-come' : 'idle';
	}

	function noteSilence(): void {
		silences++;
		if (silences >= silentAnswers && isReachable) {
			isReachable = false;
			log.warn({silences}, 'the executor does not answer');
			host.onUnreachable();
		}

		endIfLapsed();
	}

	function endIfLapsed(): void {
		if (lease.hasExpired() && host.hasActiveRuns()) {
			log.warn('the executor does not answer and its lease has run out');
			lease.raiseFencingToken(lease.getFencingToken());
			host.onLeaseExpired();
		}
	}

	// After a pause entries may have given the runs up, so no lease is renewed for them.
	async function checkPause(): Promise<void> {
		const pause = host.takePauseTime();
		if (pause < harmlessPauseMs) {
			return;
		}

		const before = lease.tryGetClockOffset();
		const holding = await ask(0, false);
		const after = lease.tryGetClockOffset();
		// The executor's clock ran on during a real pause; after a step of the time of day it agrees with ours.
		const isReal = holding === undefined || before === undefined || after === undefined || after - before > pause / 2;
		log.warn({pause, isReal}, 'this process may have stood still');
		if (isReal) {
			host.onPaused();
		}
	}

	async function settle(): Promise<boolean> {
		settling ??= settleOnce().finally(() => {
			settling = undefined;
		});
		return settling;
	}

	async function settleOnce(): Promise<boolean> {
		while (isOpen()) {
			const token = lease.getFencingToken();
			const holding = await ask(0, false);
			if (holding !== undefined && lease.getFencingToken() === token) {
				return true;
			}

			if (holding === undefined) {
				endIfLapsed();
				if (!host.hasActiveRuns()) {
					return false;
				}

				await sleep(clock, retryMs);
			}
		}

		return false;
	}

	/** Asks what the executor holds; undefined without a usable answer. */
	async function ask(wait: Milliseconds, renews: boolean): Promise<ExecutorStatus | undefined> {
		// A question without an answer may have renewed the lease. After some of these in a row none is renewed any more:
		// otherwise the lease of an executor that cannot be heard would never be known to have run out.
		const leaseUntil = renews && silences < silentAnswers ? lease.tryGetLeaseExpiry() : undefined;
		if (leaseUntil !== undefined) {
			lease.recordRenewal();
		}

		const token = lease.getFencingToken();
		const askedAt = clock.now();
		const {outcome} = lease.recordResponse(await executor.poll({
			leaseExpiresAt: leaseUntil, fencingToken: token, acknowledgedSequenceNumber: acknowledged, waitMs: wait,
		}));
		return read(outcome, token, askedAt);
	}

	function read(outcome: PollOutcome, token: number, askedAt: Milliseconds): ExecutorStatus | undefined {
		switch (outcome.kind) {
			case 'held': {
				return take(outcome.status, askedAt);
			}

			case 'fenced': {
				lease.raiseFencingToken(token);
				return undefined;
			}

			case 'other-life': {
				host.onIncarnationChanged();
				return undefined;
			}

			default: {
				log.debug({outcome}, 'the executor did not tell what it holds');
				return undefined;
			}
		}
	}

	function take(holding: ExecutorStatus, askedAt: Milliseconds): ExecutorStatus | undefined {
		if (holding.executorStartedAt !== undefined && bornAt !== undefined && holding.executorStartedAt !== bornAt) {
			host.onIncarnationChanged();
			return undefined;
		}

		bornAt ??= holding.executorStartedAt;
		silences = 0;
		isReachable = true;
		host.onStatus(holding, askedAt);
		for (const {sequenceNumber: number} of holding.ended) {
			acknowledged = Math.max(acknowledged, number);
		}

		return holding;
	}
}

/** Time until the next question. */
const pauseAfter: Readonly<Record<Answer | 'overdue', Milliseconds>> = {
	silent: retryMs, overdue: 0, 'more-to-come': 0, idle: idleMs,
};
