/**
 * Polls the status of an executor. Each poll may renew the lease; its response reports the runs that have ended and shows
 * that the executor is reachable.
 */
import {
	sleep, type Clock, type Milliseconds, type Timer,
} from './clock.js';
import type {ExecutorLease} from './executor-lease.js';
import type {Executor, ExecutorStatus, PollOutcome} from './executor-types.js';
import type {Log} from './log.js';

/** Dependencies of an executor poller. */
export type ExecutorPollerHost = {
	readonly clock: Clock;
	readonly executor: Executor;
	readonly lease: ExecutorLease;
	readonly log: Log;
	/** Identifies the expected incarnation of the executor; if undefined, the first one that responds is accepted. */
	readonly executorStartedAt?: number;
	/** Pause up to which no entry can have abandoned a run. */
	readonly harmlessPauseMs: Milliseconds;
	/** Whether there are runs, requested or running, that have not ended. */
	hasActiveRuns(): boolean;
	/** Called with the status that answers a poll sent at `polledAt`. */
	onStatus(status: ExecutorStatus, polledAt: Milliseconds): void;
	/** Called when the executor has refused a connection, so it has probably ended. */
	onConnectionRefused(): void;
	/** Called when the lease has expired while the executor did not respond. */
	onLeaseExpired(): void;
	/** Called after this process was paused for so long that entries may have abandoned its runs. */
	onPaused(): void;
	/** Called when the executor turns out to be another incarnation than the expected one. */
	onIncarnationChanged(): void;
	/** Called when the executor has stopped responding. */
	onUnreachable(): void;
	/** Returns the total time for which this process was paused since the last call, and resets it to 0. */
	takePauseTime(): Milliseconds;
};

/** Polls one incarnation of an executor. */
export type ExecutorPoller = {
	/** Polls once, without renewing the lease. Returns undefined if there is no usable response. */
	poll(): Promise<ExecutorStatus | undefined>;
	/** Polls once, without renewing the lease, and returns the kind of the outcome; `status` only from the expected incarnation. */
	probe(): Promise<PollOutcome['kind']>;
	/** Returns when the incarnation that answers started; undefined if neither the expected one is known nor any has reported that. */
	tryGetExecutorStart(): number | undefined;
	/** Whether the executor states in its responses when it started. */
	statesStart(): boolean;
	/**
	 * Polls with the current fencing token until the executor responds to it. Returns false if the poller was closed, or if
	 * all runs ended because the lease expired without a response.
	 */
	confirmFencingToken(): Promise<boolean>;
	/** Polls immediately, and again at regular intervals. */
	pollNow(): void;
	isReachable(): boolean;
	isOpen(): boolean;
	close(): void;
};

/**
 * Result of one poll: `silent` without a usable response, `more-to-come` while runs are active or ended runs are listed,
 * otherwise `idle`.
 */
type PollResult = 'silent' | 'more-to-come' | 'idle';

/** How long a poll may wait at the executor while tasks run: short enough to renew the lease and to see progress. */
const longPollMs: Milliseconds = 60;
/**
 * If a poll has no response this long after its wait, the next one is sent while it is still pending: the response may be
 * lost, and with it the report of all ended runs. A healthy executor on the same machine responds within a millisecond.
 */
const overdueMs: Milliseconds = 25;
/** Interval between polls while nothing runs, which keep the estimate of the executor's clock up to date. */
const idleIntervalMs: Milliseconds = 500;
/** Number of unanswered polls in a row after which the executor counts as unreachable. */
const unansweredPollLimit = 2;
/** Delay after a poll that failed. */
const retryDelayMs: Milliseconds = 40;
/** Maximum number of runs that one log line names. */
export const maxLoggedRuns = 20;

/** Creates a poller that does not poll yet. */
export function createExecutorPoller(host: ExecutorPollerHost): ExecutorPoller {
	const {
		clock, executor, lease, log,
	} = host;
	let acknowledgedSequenceNumber = 0;
	let {executorStartedAt} = host;
	let hasStatedStart = false;
	let isClosed = false;
	let isReachable = false;
	let isPolling = false;
	let unansweredPolls = 0;
	/** When the newest poll that the expected incarnation has answered was sent. */
	let lastAnsweredPollAt = -Infinity;
	let timer: Timer | undefined;
	let confirmation: Promise<boolean> | undefined;

	return {
		poll: async () => sendPoll(0, false),
		async probe() {
			const {kind, status} = await exchangePoll(0, false);
			return kind === 'status' && status === undefined ? 'other-incarnation' : kind;
		},
		tryGetExecutorStart: () => executorStartedAt,
		statesStart: () => hasStatedStart,
		confirmFencingToken,
		pollNow() {
			schedulePoll(0);
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

	function schedulePoll(delay: Milliseconds): void {
		timer?.cancel();
		if (!isClosed && !isPolling) {
			timer = clock.after(delay, () => {
				void pollRegularly();
			});
		}
	}

	async function pollRegularly(): Promise<void> {
		if (isPolling) {
			return;
		}

		isPolling = true;
		await checkPause();
		const hasRuns = host.hasActiveRuns();
		const wait = hasRuns ? longPollMs : 0;
		const pendingPoll = pollAndClassify(wait, hasRuns);
		// After an unanswered poll, one poll at a time is enough to detect that the executor responds again.
		const result = await (unansweredPolls > 0 ? pendingPoll : waitUntilOverdue(pendingPoll, wait + overdueMs));
		isPolling = false;
		schedulePoll(delayAfter[result]);
	}

	/** Resolves to the result of a poll, or to `overdue` after `delay`. */
	async function waitUntilOverdue(pendingPoll: Promise<PollResult>, delay: Milliseconds): Promise<PollResult | 'overdue'> {
		return new Promise(resolve => {
			const overdueTimer = clock.after(delay, () => {
				resolve('overdue');
			});
			void pendingPoll.then(result => {
				overdueTimer.cancel();
				resolve(result);
			});
		});
	}

	async function pollAndClassify(wait: Milliseconds, renewsLease: boolean): Promise<PollResult> {
		const polledAt = clock.now();
		const status = await sendPoll(wait, renewsLease);
		if (status === undefined) {
			// A later poll may have been answered in the meantime.
			if (polledAt > lastAnsweredPollAt) {
				recordUnansweredPoll();
			}

			return 'silent';
		}

		return host.hasActiveRuns() || status.ended.length > 0 ? 'more-to-come' : 'idle';
	}

	function recordUnansweredPoll(): void {
		unansweredPolls++;
		if (unansweredPolls >= unansweredPollLimit && isReachable) {
			isReachable = false;
			log.warn({silences: unansweredPolls}, 'the executor does not answer');
			host.onUnreachable();
		}

		handleExpiredLease();
	}

	function handleExpiredLease(): void {
		if (lease.hasExpired() && host.hasActiveRuns()) {
			log.warn('the executor does not answer and its lease has expired');
			lease.raiseFencingToken(lease.getFencingToken());
			host.onLeaseExpired();
		}
	}

	// Polls without renewing the lease, since entries may have abandoned the runs during the pause.
	async function checkPause(): Promise<void> {
		const pause = host.takePauseTime();
		if (pause <= host.harmlessPauseMs) {
			return;
		}

		const offsetBefore = lease.tryGetClockOffset();
		const status = await sendPoll(0, false);
		const offsetAfter = lease.tryGetClockOffset();
		// During a real pause the executor's clock advances relative to this process's clock. If only the time of day was
		// stepped, the offset between the two clocks stays the same.
		const isReal = status === undefined || offsetBefore === undefined || offsetAfter === undefined || offsetAfter - offsetBefore > pause / 2;
		log.warn({pause, isReal}, 'this process may have stood still');
		if (isReal) {
			host.onPaused();
		}
	}

	async function confirmFencingToken(): Promise<boolean> {
		confirmation ??= confirmUntilAnswered().finally(() => {
			confirmation = undefined;
		});
		return confirmation;
	}

	async function confirmUntilAnswered(): Promise<boolean> {
		while (isOpen()) {
			const usedFencingToken = lease.getFencingToken();
			const status = await sendPoll(0, false);
			if (status !== undefined && lease.getFencingToken() === usedFencingToken) {
				return true;
			}

			if (status === undefined) {
				handleExpiredLease();
				if (!host.hasActiveRuns()) {
					return false;
				}

				await sleep(clock, retryDelayMs);
			}
		}

		return false;
	}

	/** Sends one poll. Returns undefined if there is no usable response. */
	async function sendPoll(wait: Milliseconds, renewsLease: boolean): Promise<ExecutorStatus | undefined> {
		const {status} = await exchangePoll(wait, renewsLease);
		return status;
	}

	/** Sends one poll. Its result has no status if there is no usable response. */
	async function exchangePoll(wait: Milliseconds, renewsLease: boolean): Promise<{readonly kind: PollOutcome['kind']; readonly status: ExecutorStatus | undefined}> {
		// A poll without a response may still have renewed the lease. After some of these in a row, polls stop renewing it:
		// otherwise the lease of an executor whose responses are lost would never be known to have expired.
		const leaseExpiresAt = renewsLease && unansweredPolls < unansweredPollLimit ? lease.tryRenew() : undefined;
		const usedFencingToken = lease.getFencingToken();
		const polledAt = clock.now();
		const {outcome} = lease.recordResponse(await executor.poll({
			leaseExpiresAt, fencingToken: usedFencingToken, acknowledgedSequenceNumber, waitMs: wait,
		}));
		return {kind: outcome.kind, status: readOutcome(outcome, usedFencingToken, polledAt)};
	}

	function readOutcome(outcome: PollOutcome, usedFencingToken: number, polledAt: Milliseconds): ExecutorStatus | undefined {
		switch (outcome.kind) {
			case 'status': {
				return acceptStatus(outcome.status, polledAt);
			}

			case 'fenced': {
				lease.catchUpFencingToken(usedFencingToken);
				return undefined;
			}

			case 'other-incarnation': {
				host.onIncarnationChanged();
				return undefined;
			}

			case 'not-sent': {
				host.onConnectionRefused();
				return undefined;
			}

			case 'no-answer': {
				// The poll may renew the lease seconds later, when its runs count as ended. The next poll prevents that.
				lease.raiseFencingToken(usedFencingToken);
				return undefined;
			}

			default: {
				log.debug({outcome}, 'the executor did not return its status');
				return undefined;
			}
		}
	}

	function acceptStatus(status: ExecutorStatus, polledAt: Milliseconds): ExecutorStatus | undefined {
		if (status.executorStartedAt !== undefined && executorStartedAt !== undefined && status.executorStartedAt !== executorStartedAt) {
			log.warn({
				startedAt: executorStartedAt,
				nextStartedAt: status.executorStartedAt,
				lastAnswerAge: Math.round(clock.now() - lastAnsweredPollAt),
				polledAge: Math.round(clock.now() - polledAt),
				running: status.running.slice(0, maxLoggedRuns).map(({task, run}) => [task, run]),
				ended: status.ended.slice(0, maxLoggedRuns).map(({task, run, detail}) => [task, run, detail]),
			}, 'another incarnation of the executor answers');
			host.onIncarnationChanged();
			return undefined;
		}

		executorStartedAt ??= status.executorStartedAt;
		hasStatedStart ||= status.executorStartedAt !== undefined;
		unansweredPolls = 0;
		lastAnsweredPollAt = Math.max(lastAnsweredPollAt, polledAt);
		isReachable = true;
		host.onStatus(status, polledAt);
		for (const {sequenceNumber} of status.ended) {
			acknowledgedSequenceNumber = Math.max(acknowledgedSequenceNumber, sequenceNumber);
		}

		return status;
	}
}

/** Delay before the next poll. */
const delayAfter: Readonly<Record<PollResult | 'overdue', Milliseconds>> = {
	silent: retryDelayMs, overdue: 0, 'more-to-come': 0, idle: idleIntervalMs,
};
