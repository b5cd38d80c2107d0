/**
 * Asks an executor again and again what it holds, which renews the lease, brings the ends of runs and shows whether the
 * executor can be reached.
 */
import {
	sleep, type Clock, type Milliseconds, type Timer,
} from './clock.js';
import type {LeaseKeeper} from './lease-keeper.js';
import type {Executor, Holding, HoldOutcome} from './leased-run.js';
import type {Log} from './log.js';

/** What the watch needs. */
export type ExecutorWatchHost = {
	readonly clock: Clock;
	readonly executor: Executor;
	readonly lease: LeaseKeeper;
	readonly log: Log;
	/** Which life of the executor is meant; whichever answers first if undefined. */
	readonly bornAt?: number;
	/** Whether anything was ordered that has not ended. */
	isBusy(): boolean;
	/** The executor told what it holds, to a question that was asked at `askedAt`. */
	receive(holding: Holding, askedAt: Milliseconds): void;
	/** The lease has run out while the executor did not answer. */
	lapsed(): void;
	/** This process stood still for so long that entries may have given its runs up. */
	paused(): void;
	/** The executor is another life than the one meant. */
	lifeChanged(): void;
	/** The executor has stopped answering. */
	unreachable(): void;
	/** How long this process stood still since it was last asked; 0 if it did not. */
	takePause(): Milliseconds;
};

/** The questions to one life of an executor. */
export type ExecutorWatch = {
	/** Asks once, without renewing the lease; undefined without a usable answer. */
	ask(): Promise<Holding | undefined>;
	/** Asks with the present token until the executor answers; false if everything ended for want of an answer. */
	settle(): Promise<boolean>;
	/** Starts to ask regularly, or asks at once if something was ordered. */
	start(): void;
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
export function createExecutorWatch(host: ExecutorWatchHost): ExecutorWatch {
	const {
		clock, executor, lease, log,
	} = host;
	let acknowledged = 0;
	let {bornAt} = host;
	let isClosed = false;
	let isReachable = false;
	let isAsking = false;
	let silences = 0;
	/** When the newest question that was answered was asked. */
	let answeredAt = -Infinity;
	let timer: Timer | undefined;
	let settling: Promise<boolean> | undefined;

	return {
		ask: async () => ask(0, false),
		settle,
		start() {
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
		const isBusy = host.isBusy();
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
		return host.isBusy() || holding.ended.length > 0 ? 'more-to-come' : 'idle';
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

	function endIfLapsed(): void {
		if (lease.hasLapsed() && host.isBusy()) {
			log.warn('the executor does not answer and its lease has run out');
			lease.raiseToken(lease.getToken());
			host.lapsed();
		}
	}

	// After a pause entries may have given the runs up, so no lease is renewed for them.
	async function checkPause(): Promise<void> {
		const pause = host.takePause();
		if (pause < harmlessPauseMs) {
			return;
		}

		const before = lease.tryGetOffset();
		const holding = await ask(0, false);
		const after = lease.tryGetOffset();
		// The executor's clock ran on during a real pause; after a step of the time of day it agrees with ours.
		const isReal = holding === undefined || before === undefined || after === undefined || after - before > pause / 2;
		log.warn({pause, isReal}, 'this process may have stood still');
		if (isReal) {
			host.paused();
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
			const token = lease.getToken();
			const holding = await ask(0, false);
			if (holding !== undefined && lease.getToken() === token) {
				return true;
			}

			if (holding === undefined) {
				endIfLapsed();
				if (!host.isBusy()) {
					return false;
				}

				await sleep(clock, retryMs);
			}
		}

		return false;
	}

	/** Asks what the executor holds; undefined without a usable answer. */
	async function ask(wait: Milliseconds, renews: boolean): Promise<Holding | undefined> {
		// A question without an answer may have renewed the lease. After some of these in a row none is renewed any more:
		// otherwise the lease of an executor that cannot be heard would never be known to have run out.
		const leaseUntil = renews && silences < silentAnswers ? lease.tryGetLeaseEnd() : undefined;
		if (leaseUntil !== undefined) {
			lease.noteRenewal();
		}

		const token = lease.getToken();
		const askedAt = clock.now();
		const {outcome} = lease.noteAnswer(await executor.hold({
			leaseUntil, fencingToken: token, acknowledged, waitMs: wait,
		}));
		return read(outcome, token, askedAt);
	}

	function read(outcome: HoldOutcome, token: number, askedAt: Milliseconds): Holding | undefined {
		switch (outcome.kind) {
			case 'held': {
				return take(outcome.holding, askedAt);
			}

			case 'fenced': {
				lease.raiseToken(token);
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

	function take(holding: Holding, askedAt: Milliseconds): Holding | undefined {
		if (holding.bornAt !== undefined && bornAt !== undefined && holding.bornAt !== bornAt) {
			host.lifeChanged();
			return undefined;
		}

		bornAt ??= holding.bornAt;
		silences = 0;
		isReachable = true;
		host.receive(holding, askedAt);
		for (const {number} of holding.ended) {
			acknowledged = Math.max(acknowledged, number);
		}

		return holding;
	}
}

/** Time until the next question. */
const pauseAfter: Readonly<Record<Answer | 'overdue', Milliseconds>> = {
	silent: retryMs, overdue: 0, 'more-to-come': 0, idle: idleMs,
};
