/**
 * Polls the status of an executor. Each poll may renew the lease; its response reports the runs that have ended and shows
 * that the executor is reachable.
 */
import {
	sleep, type Clock, type Milliseconds, type Timer,
} from './clock.js';
import type {ExecutorLease} from './executor-lease.js';
import type {
	Executor, ExecutorStatus, PollOutcome, WithExecutorTime,
} from './executor-types.js';
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
	/** Called when an executor with another identifier has responded. */
	onReplaced(): void;
	/** Called when the next incarnation of the executor has responded, which is the expected one from now on. */
	onRestarted(restart: ExecutorRestart): void;
	/** Called when the executor has stopped responding. */
	onUnreachable(): void;
	/** Returns the total time for which this process was paused since the last call, and resets it to 0. */
	takePauseTime(): Milliseconds;
};

/** The first status of the next incarnation of an executor. */
export type ExecutorRestart = {
	/** When it started. */
	readonly startedAt: number;
	readonly status: ExecutorStatus;
	/** When the poll was sent that it answers. */
	readonly polledAt: Milliseconds;
	/** When the newest poll was sent that the incarnation before has answered; -Infinity if it has answered none. */
	readonly formerPolledAt: Milliseconds;
};

/** How a poll has ended. */
export type PollKind = PollOutcome['kind'] | 'outdated';

/** Polls an executor: one incarnation, and the next one of the same identifier after a restart. */
export type ExecutorPoller = {
	/** Polls once, without renewing the lease. Returns undefined if there is no usable response. */
	poll(): Promise<ExecutorStatus | undefined>;
	/**
	 * Polls once, without renewing the lease, and returns the kind of the outcome; `status` only from the expected incarnation, and `outdated`
	 * for one that may have been over before that.
	 */
	probe(): Promise<PollKind>;
	/** Polls once, without renewing the lease, unless such a poll is pending. */
	checkIncarnation(): void;
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

/** A poll that was sent. */
type SentPoll = {
	readonly number: number;
	readonly fencingToken: number;
	readonly polledAt: Milliseconds;
	readonly acknowledgement: number;
};

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
	/** Highest sequence number of an ended run that was listed, and up to which the executor is known to have received that. */
	let listedSequenceNumber = 0;
	let acknowledgedSequenceNumber = 0;
	let {executorStartedAt} = host;
	let pollsSent = 0;
	/**
	 * Number of the first poll that was sent after the expected incarnation had answered. Only such a poll can show which one follows it: a
	 * response to an earlier one may be that of any incarnation before it, read late.
	 */
	let firstOrderedPoll = 1;
	let isCheckingIncarnation = false;
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
		checkIncarnation() {
			if (!isCheckingIncarnation) {
				isCheckingIncarnation = true;
				void sendPoll(0, false).finally(() => {
					isCheckingIncarnation = false;
				});
			}
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
	async function exchangePoll(wait: Milliseconds, renewsLease: boolean): Promise<{readonly kind: PollKind; readonly status: ExecutorStatus | undefined}> {
		// A poll without a response may still have renewed the lease. After some of these in a row, polls stop renewing it:
		// otherwise the lease of an executor whose responses are lost would never be known to have expired.
		const leaseExpiresAt = renewsLease && unansweredPolls < unansweredPollLimit ? lease.tryRenew() : undefined;
		pollsSent++;
		const sent: SentPoll = {
			number: pollsSent, fencingToken: lease.getFencingToken(), polledAt: clock.now(), acknowledgement: getAcknowledgement(),
		};
		const response = await lease.track(executor.poll({
			leaseExpiresAt, fencingToken: sent.fencingToken, acknowledgedSequenceNumber: sent.acknowledgement, waitMs: wait,
		}));
		const status = readResponse(response, sent);
		return status === 'outdated' ? {kind: status, status: undefined} : {kind: response.outcome.kind, status};
	}

	// Another incarnation would forget its own ends up to this number, unseen. So it is sent only until it has arrived, and directly after
	// a response.
	function getAcknowledgement(): number {
		return listedSequenceNumber > acknowledgedSequenceNumber && unansweredPolls === 0 ? listedSequenceNumber : 0;
	}

	function readResponse({outcome, executorTime}: WithExecutorTime<PollOutcome>, sent: SentPoll): ExecutorStatus | 'outdated' | undefined {
		switch (outcome.kind) {
			case 'status': {
				return acceptStatus(outcome.status, executorTime, sent);
			}

			case 'fenced': {
				lease.catchUpFencingToken(sent.fencingToken);
				return undefined;
			}

			case 'other-incarnation': {
				host.onReplaced();
				return undefined;
			}

			case 'not-sent': {
				host.onConnectionRefused();
				return undefined;
			}

			case 'no-answer': {
				// The poll may renew the lease seconds later, when its runs count as ended. The next poll prevents that.
				lease.raiseFencingToken(sent.fencingToken);
				return undefined;
			}

			default: {
				log.debug({outcome}, 'the executor did not return its status');
				return undefined;
			}
		}
	}

	function acceptStatus(status: ExecutorStatus, executorTime: Milliseconds | undefined, {number, polledAt, acknowledgement}: SentPoll): ExecutorStatus | 'outdated' | undefined {
		const isOther = status.executorStartedAt !== undefined && executorStartedAt !== undefined && status.executorStartedAt !== executorStartedAt;
		if (isOther && number < firstOrderedPoll) {
			return 'outdated';
		}

		unansweredPolls = 0;
		isReachable = true;
		const formerPolledAt = lastAnsweredPollAt;
		lastAnsweredPollAt = Math.max(lastAnsweredPollAt, polledAt);
		if (isOther) {
			executorStartedAt = status.executorStartedAt!;
			firstOrderedPoll = pollsSent + 1;
			hasStatedStart = true;
			lease.continueWithNext(executorTime);
			acknowledgedSequenceNumber = 0;
			listedSequenceNumber = getHighestSequenceNumber(status);
			host.onRestarted({
				startedAt: executorStartedAt, status, polledAt, formerPolledAt,
			});
			return undefined;
		}

		if (executorStartedAt === undefined && status.executorStartedAt !== undefined) {
			executorStartedAt = status.executorStartedAt;
			firstOrderedPoll = pollsSent + 1;
		}

		hasStatedStart ||= status.executorStartedAt !== undefined;
		host.onStatus(status, polledAt);
		acknowledgedSequenceNumber = Math.max(acknowledgedSequenceNumber, acknowledgement);
		listedSequenceNumber = Math.max(listedSequenceNumber, getHighestSequenceNumber(status));
		return status;
	}
}

function getHighestSequenceNumber({ended}: ExecutorStatus): number {
	let highest = 0;
	for (const {sequenceNumber} of ended) {
		highest = Math.max(highest, sequenceNumber);
	}

	return highest;
}

/** Delay before the next poll. */
const delayAfter: Readonly<Record<PollResult | 'overdue', Milliseconds>> = {
	silent: retryDelayMs, overdue: 0, 'more-to-come': 0, idle: idleIntervalMs,
};
