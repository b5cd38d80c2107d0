/**
 * Runs tasks on an executor under a lease. One agent controls one executor. The lease is short and renewed often, so
 * that all runs end soon after this process dies or is paused. To resolve a start call without a response, the agent raises
 * the fencing token and polls: once the executor has responded to the higher token, it either lists the run, or the call
 * will never have an effect.
 */
import {RefusalReason, TaskOutcome, type TaskStart} from '../generated/kingcuplane.js';
import type {RunPermission, RunResult, StopCause} from '../connection/entry-sessions.js';
import {isStalled, estimateSlowdown, type RunProgress} from '../request/progress.js';
import type {UpstreamClient} from '../request/upstream-client.js';
import {sleep, type Clock, type Milliseconds} from './clock.js';
import {createExecutorPoller, maxLoggedRuns, type ExecutorRestart} from './executor-poller.js';
import {createExecutorLease, leaseMs} from './executor-lease.js';
import type {
	ActiveRun, EndedRun, Executor, ExecutorPresence, ExecutorStatus, CommandOutcome, RunOutcome,
} from './executor-types.js';
import type {Log} from './log.js';
import type {Metrics} from './metrics.js';
import {decodeText} from './text.js';

/** Dependencies of a leased upstream. */
export type LeasedUpstreamHost = {
	readonly clock: Clock;
	readonly executor: Executor;
	/** Identifies the expected incarnation of the executor; if undefined, the first one that responds is accepted. */
	readonly executorStartedAt?: number;
	/** Higher than any fencing token that an earlier agent of this executor may have used. */
	readonly firstFencingToken: number;
	/** Longest lease that the executor grants. */
	readonly maxLeaseMs: Milliseconds;
	/**
	 * Age of the messages by which a start is permitted up to which it is sent without asking first whether the executor has restarted.
	 * Unlimited if undefined.
	 */
	readonly maxUnverifiedAgeMs?: Milliseconds;
	/** Pause of this process up to which no entry can have abandoned a run. */
	readonly harmlessPauseMs: Milliseconds;
	readonly log: Log;
	readonly metrics: Pick<Metrics, 'time'>;
	/** Called when an executor with another identifier has responded at the address. */
	onReplaced(): void;
	/** Called when the executor has responded after a restart. The caller ends the lost runs by {@link LeasedUpstream.abort}. */
	onRestarted(restart: UpstreamRestart): void;
	/** Called after a restart with starts that the incarnation before has carried out, if any has. Their runs are then reported as aborted. */
	onFormerRunsLost(starts: readonly TaskStart[]): void;
	/** Called with the projected slowdowns of the current runs: projected divided by declared run time. */
	onProjectedSlowdowns(projections: readonly number[]): void;
	/** Called with the progress of each current run. */
	onProgress?(start: TaskStart, elapsed: Milliseconds, percent: number): void;
	/** Called when the executor has stopped responding. */
	onUnreachable(): void;
	/** Called when the executor has refused a start for lack of resources. */
	onShortage(): void;
	/** Called with the starts whose runs count as lost: connections are refused, or there was no response until the lease expired. */
	onRunsLost(starts: readonly TaskStart[]): void;
	/** Called when the executor refuses connections while nothing runs there. */
	onRefused?(): void;
	/** Called when the executor responds again after runs were lost. */
	onRecovered(): void;
	/** Returns the time until which runs may go on although their entries are silent; Infinity if undefined or no run depends on a silent entry. */
	getSilentRunLimit?(): Milliseconds;
	/** Returns by what a run may go on, for the log; undefined if that is not known. */
	tryGetPermission?(start: TaskStart): RunPermission | undefined;
	/** Returns the total time for which this process was paused since the last call, and resets it to 0. */
	takePauseTime(): Milliseconds;
	/** Called when the executor's clock shows that this process was suspended. */
	onPauseWitnessed(pause: Milliseconds): void;
};

/** What is known when the next incarnation of an executor responds. */
export type UpstreamRestart = {
	/** When the next incarnation started, by its own time of day. */
	readonly startedAt: number;
	/** Time since the newest poll was sent that the incarnation before has answered. */
	readonly formerAge: Milliseconds;
	/** The starts whose runs have certainly ended: the next incarnation does not run them. */
	readonly lost: readonly TaskStart[];
};

/** An upstream that runs its tasks on an executor under a lease. */
export type LeasedUpstream = Omit<UpstreamClient, 'stop'> & {
	/** Stops a run that must end since some time, or from now on if undefined. */
	stop(start: TaskStart, cause: StopCause, since?: Milliseconds): void;
	/** Polls the executor once, without an effect on its runs, and returns what that shows. */
	checkPresence(): Promise<ExecutorPresence>;
	/** Does the same for an executor that an earlier agent may have used, whose fencing token may be higher. */
	identify(): Promise<ExecutorPresence>;
	/** Returns when the incarnation that answers started; undefined if that is not known. */
	tryGetExecutorStart(): number | undefined;
	/** Whether the executor states in its responses when it started. */
	statesStart(): boolean;
	/** Returns the fencing token of the next call, the highest so far. */
	getFencingToken(): number;
	/** Stops the runs of an earlier agent. Resolves once the executor has reported that it runs nothing. */
	takeOver(): Promise<void>;
	/** Stops all runs. Resolves once each of them has ended. */
	stopAll(cause: StopCause): Promise<void>;
	/** Returns the starts whose runs have not ended. */
	getActiveStarts(): readonly TaskStart[];
	/** Resolves once no run is left. */
	whenIdle(): Promise<void>;
	/** Ends the runs of these starts as aborted, which have ended with their executor. */
	abort(starts: readonly TaskStart[], detail: string): void;
};

/** What the log tells of a run. */
type RunDescription = {
	readonly task: string;
	readonly run: number;
	/** Since its start was requested. */
	readonly requestedAge: Milliseconds;
	/** Since it was first known to run; undefined if it is not. */
	readonly runningAge: Milliseconds | undefined;
	/** Whether the incarnation in service has listed it as running. */
	readonly isListed: boolean;
};

type Run = {
	readonly start: TaskStart;
	readonly task: string;
	run: number;
	readonly done: (result: RunResult) => void;
	readonly requestedAt: Milliseconds;
	/** When it was first known to run; before that, the start call may have waited for a connection. */
	runningSince?: Milliseconds;
	/** When the newest poll was sent that the present incarnation of the executor has answered with this run among those that go on. */
	listedAt?: Milliseconds;
	/** Whether its start may have reached an incarnation that was followed by another one. */
	isInDoubt: boolean;
	/** `requested` while the start call is being made, `running` once the executor is known to run the task. */
	state: 'requested' | 'running';
	/** Undefined while the run may go on. */
	stop?: RequestedStop;
};

type RequestedStop = {
	readonly cause: StopCause;
	readonly requestedAt: Milliseconds;
	/** Since when the run has to end even if stop calls are lost; undefined while its entry waits for its end. */
	mustEndSince?: Milliseconds;
	/** Number of stop calls, answered or not. */
	calls: number;
};

/** Time for which an executor that refuses calls is reported as unreachable. */
const unavailableBackoffMs: Milliseconds = 200;
/** Remaining time of a lease below which the log says why it is not renewed for longer; a stop that is answered at once takes less than the rest. */
const reportedRenewalMs: Milliseconds = 250;
/** Delay between two attempts to take over an executor. */
const takeOverRetryMs: Milliseconds = 40;
/** Delay between two attempts to stop a run. */
const stopRetryMs: Milliseconds = 100;
/** Least delay after a stop call without a response, which may have waited for its timeout already. */
const unansweredStopRetryMs: Milliseconds = 5;
/**
 * Maximum number of start calls for one run. If the executor has stopped an earlier run of the task with the same number,
 * the next call uses a higher number.
 */
const maxStartAttempts = 8;
const emptyPayload = new Uint8Array();
const restartedDetail = 'the executor has restarted and has not announced itself yet';

/** Creates an upstream over one incarnation of an executor. It starts no runs before {@link LeasedUpstream.takeOver}. */
export function createLeasedUpstream(host: LeasedUpstreamHost): LeasedUpstream {
	const {clock, executor, log} = host;
	const runs = new Map<string, Run>();
	const lease = createExecutorLease({
		...host,
		getRenewalLimit,
		onPauseWitnessed: handleWitnessedPause,
		onClockSetBack() {
			poller.checkIncarnation();
		},
	});
	const poller = createExecutorPoller({
		clock,
		executor,
		lease,
		log,
		executorStartedAt: host.executorStartedAt,
		hasActiveRuns: () => runs.size > 0,
		onStatus: receiveStatus,
		onConnectionRefused() {
			if (runs.size === 0) {
				host.onRefused?.();
				return;
			}

			// Tells the entries early. The runs are restarted only once the lease has expired: a cut may look the same.
			if (!hasLostRuns) {
				reportLostRuns();
			}
		},
		onLeaseExpired() {
			reportLostRuns();
			for (const run of runs.values()) {
				endRun(run, TaskOutcome.TASK_OUTCOME_ABORTED, 'the executor does not answer; its lease has run out', RefusalReason.REFUSAL_REASON_UPSTREAM_UNREACHABLE);
			}
		},
		onPaused() {
			stopAllRuns('agent-paused');
		},
		onReplaced: host.onReplaced,
		onRestarted: handleRestart,
		onUnreachable: host.onUnreachable,
		takePauseTime: host.takePauseTime,
		harmlessPauseMs: host.harmlessPauseMs,
	});
	let unavailableUntil = -Infinity;
	let hasLostRuns = false;
	/** Whether the lease will soon end, although there are runs. */
	let isRenewalEnding = false;
	/** Whether the runs that are left belong to a later incarnation than the one that was taken over. */
	let hasRestarted = false;
	/** Called when the last run has ended. */
	const idleListeners: Array<() => void> = [];

	return {
		run(start, done) {
			const task = `${start.reference}.0.0.${start.task!.index}`;
			const run: Run = {
				start, task, run: start.attempt, done, requestedAt: clock.now(), state: 'requested', isInDoubt: false,
			};
			if (hasRestarted) {
				// The next incarnation has not announced itself yet and may offer something else.
				queueMicrotask(() => {
					done(createRunResult(TaskOutcome.TASK_OUTCOME_REFUSED, RefusalReason.REFUSAL_REASON_UPSTREAM_UNREACHABLE, restartedDetail, 0));
				});
				return;
			}

			if (runs.has(task)) {
				// An earlier run of the task, which an entry has abandoned, is still being stopped here.
				queueMicrotask(() => {
					done(createRunResult(TaskOutcome.TASK_OUTCOME_REFUSED, RefusalReason.REFUSAL_REASON_FULL, 'an earlier run of the task is still being stopped', 0));
				});
				return;
			}

			runs.set(task, run);
			poller.pollNow();
			void sendStart(run);
		},
		stop(start, cause, since) {
			for (const run of runs.values()) {
				if (run.start === start) {
					requestStop(run, cause, since);
				}
			}
		},
		checkPresence,
		async identify() {
			const presence = await checkPresence();
			if (presence !== 'in-doubt') {
				return presence;
			}

			lease.raiseAboveEarlierAgent();
			return checkPresence();
		},
		tryGetExecutorStart: poller.tryGetExecutorStart,
		statesStart: poller.statesStart,
		getFencingToken: lease.getFencingToken,
		takeOver,
		async stopAll(cause) {
			stopAllRuns(cause);
			await whenIdle();
		},
		whenIdle,
		getActiveStarts,
		abort(starts, detail) {
			const aborted = new Set(starts);
			for (const run of runs.values()) {
				if (aborted.has(run.start)) {
					endRun(run, TaskOutcome.TASK_OUTCOME_ABORTED, detail);
				}
			}
		},
		isReachable: async () => !hasRestarted && poller.isReachable() && clock.now() >= unavailableUntil && lease.canRenew(),
		async close() {
			poller.close();
			await executor.close();
		},
	};

	/** A run that must end, and whose stop is not confirmed, ends with the lease, as do all others. */
	function getRenewalLimit(): Milliseconds {
		const silentRunLimit = host.getSilentRunLimit?.() ?? Infinity;
		let limit = silentRunLimit;
		let unconfirmedRun: Run | undefined;
		for (const run of runs.values()) {
			const stopLimit = (run.stop?.mustEndSince ?? Infinity) + leaseMs;
			if (stopLimit < limit) {
				limit = stopLimit;
				unconfirmedRun = run;
			}
		}

		reportRenewalEnd(limit, unconfirmedRun);
		return limit;
	}

	function reportRenewalEnd(limit: Milliseconds, unconfirmedRun: Run | undefined): void {
		const endsIn = limit - clock.now();
		const isEnding = runs.size > 0 && endsIn < reportedRenewalMs;
		if (isEnding && !isRenewalEnding) {
			const cause = unconfirmedRun === undefined ? 'silent-run' : 'unconfirmed-stop';
			log.warn({
				cause, endsIn: Math.round(endsIn), runs: runs.size, ...unconfirmedRun && toLogFields(unconfirmedRun),
			}, 'lease is not renewed for long');
		}

		isRenewalEnding = isEnding;
	}

	/** Returns the ages of the messages by which a run may go on; the hop of the oldest was lost first. */
	function describePermission({start}: Run): Readonly<Record<string, unknown>> {
		const permission = host.tryGetPermission?.(start);
		return permission === undefined
			? {}
			: {
				entry: permission.entry,
				isLinked: permission.isLinked,
				entryAge: Math.round(permission.entryAge),
				senderAge: permission.senderAge === undefined ? undefined : Math.round(permission.senderAge),
			};
	}

	// While this process was suspended, entries may have abandoned the runs here and the starts that wait in the sockets.
	function handleWitnessedPause(pause: Milliseconds): void {
		if (pause > host.harmlessPauseMs) {
			log.warn({pause}, 'this process was suspended, as the clock of the executor shows');
			stopAllRuns('agent-paused');
		}

		host.onPauseWitnessed(pause);
	}

	function stopAllRuns(cause: StopCause): void {
		for (const run of runs.values()) {
			requestStop(run, cause);
		}
	}

	async function whenIdle(): Promise<void> {
		if (runs.size > 0) {
			await new Promise<void>(resolve => {
				idleListeners.push(resolve);
			});
		}
	}

	// A response to a start does not name the incarnation that has carried it out, so any run may have begun at either one. The next one
	// lists what it runs of the starts that were answered before it was polled; the others are settled by a later status.
	function handleRestart({startedAt, status, polledAt, formerPolledAt}: ExecutorRestart): void {
		hasRestarted = true;
		hasLostRuns = false;
		const runsBefore = describeRuns();
		for (const run of runs.values()) {
			run.listedAt = undefined;
			run.isInDoubt = true;
		}

		receiveLists(status, polledAt);
		const lost = findMissingRuns(status, polledAt).map(run => run.start);
		log.warn({
			startedAt,
			formerAge: Math.round(clock.now() - formerPolledAt),
			polledAge: Math.round(clock.now() - polledAt),
			runs: runsBefore.slice(0, maxLoggedRuns),
			lost: lost.length,
			running: status.running.slice(0, maxLoggedRuns).map(({task, run}) => [task, run]),
			ended: status.ended.slice(0, maxLoggedRuns).map(({task, run, detail}) => [task, run, detail]),
		}, 'the executor has restarted');
		host.onRestarted({startedAt, formerAge: clock.now() - formerPolledAt, lost});
		if (runs.size > 0) {
			// Its fencing token keeps the next incarnation from carrying out what has not arrived yet.
			void poller.confirmFencingToken();
		}
	}

	/**
	 * Returns the runs that had begun before a poll was sent at `polledAt` and are not in the lists that it was answered with. They have
	 * ended, with an incarnation of the executor or, if their ends were acknowledged by mistake after a restart, unseen.
	 */
	function findMissingRuns(status: ExecutorStatus, polledAt: Milliseconds): readonly Run[] {
		return status.isComplete ? [...runs.values()].filter(({runningSince = Infinity, listedAt}) => runningSince <= polledAt && listedAt !== polledAt) : [];
	}

	function reportFormerRuns(ended: readonly Run[]): void {
		const former = ended.filter(({isInDoubt}) => isInDoubt);
		if (former.length > 0) {
			host.onFormerRunsLost(former.map(run => run.start));
		}
	}

	function reportLostRuns(): void {
		hasLostRuns = true;
		host.onRunsLost(getActiveStarts());
	}

	function getActiveStarts(): readonly TaskStart[] {
		return [...runs.values()].map(run => run.start);
	}

	function describeRuns(): readonly RunDescription[] {
		return [...runs.values()].map(run => ({
			task: run.task,
			run: run.run,
			requestedAge: Math.round(clock.now() - run.requestedAt),
			runningAge: run.runningSince === undefined ? undefined : Math.round(clock.now() - run.runningSince),
			isListed: run.listedAt !== undefined,
		}));
	}

	async function checkPresence(): Promise<ExecutorPresence> {
		const kind = await poller.probe();
		switch (kind) {
			case 'status': {
				return 'answered';
			}

			case 'other-incarnation': {
				return 'replaced';
			}

			case 'not-sent': {
				return runs.size === 0 ? 'refused' : 'in-doubt';
			}

			case 'no-answer': {
				return runs.size === 0 && lease.hasExpired() ? 'lapsed' : 'in-doubt';
			}

			case 'outdated':
			case 'fenced':
			case 'superseded':
			case 'expired':
			case 'no-room':
			case 'unavailable':
			case 'invalid': {
				return 'in-doubt';
			}
		}
	}

	// The first token comes from the time of day, which may have been stepped back, and the earlier agent may have raised its
	// own. So a token that the executor accepts is not enough: calls that have not arrived yet may carry a higher one.
	async function takeOver(): Promise<void> {
		let isAboveEarlierAgent = false;
		while (poller.isOpen()) {
			const status = await poller.poll();
			if (status === undefined) {
				// The token was too low, or there was no response.
				isAboveEarlierAgent = false;
				lease.raiseAboveEarlierAgent();
			} else if (!isAboveEarlierAgent) {
				isAboveEarlierAgent = true;
				lease.raiseAboveEarlierAgent();
				continue;
			} else if (status.running.length === 0) {
				poller.pollNow();
				return;
			} else {
				for (const earlierRun of status.running) {
					await executor.stop(earlierRun, lease.getFencingToken());
				}
			}

			await sleep(clock, takeOverRetryMs);
		}
	}

	async function sendStart(run: Run): Promise<void> {
		const spec = decodeText(run.start.payload);
		if (spec.isErr()) {
			endRun(run, TaskOutcome.TASK_OUTCOME_FAILED, `the payload cannot be given to the executor: ${spec.error}`);
			return;
		}

		if (isVerificationNeeded(run) && await poller.poll() === undefined) {
			endRun(run, TaskOutcome.TASK_OUTCOME_REFUSED, 'the executor does not answer, or has restarted', RefusalReason.REFUSAL_REASON_UPSTREAM_UNREACHABLE);
			return;
		}

		for (let attempts = 0; attempts < maxStartAttempts && runs.get(run.task) === run; attempts++) {
			// The response to the call before may have shown that this process was suspended after it had received the start.
			if (run.stop !== undefined) {
				endRun(run, TaskOutcome.TASK_OUTCOME_REFUSED, 'the order came too late', RefusalReason.REFUSAL_REASON_EXPIRED);
				return;
			}

			if (hasRestarted) {
				endRun(run, TaskOutcome.TASK_OUTCOME_REFUSED, restartedDetail, RefusalReason.REFUSAL_REASON_UPSTREAM_UNREACHABLE);
				return;
			}

			const leaseExpiresAt = lease.tryRenew();
			if (leaseExpiresAt === undefined) {
				break;
			}

			const usedFencingToken = lease.getFencingToken();
			const {outcome} = await lease.track(executor.start({
				task: run.task, run: run.run, spec: spec.value, leaseExpiresAt, fencingToken: usedFencingToken,
			}));
			if (await handleStartOutcome(run, outcome, usedFencingToken)) {
				return;
			}
		}

		endRun(run, TaskOutcome.TASK_OUTCOME_REFUSED, 'the order could not be placed', RefusalReason.REFUSAL_REASON_UPSTREAM_UNREACHABLE);
	}

	// An executor that has restarted unnoticed holds the run for the longest lease that it grants, whatever the call says. If the messages
	// that permit the start are old, its task might be started elsewhere before that lease has expired.
	function isVerificationNeeded({start}: Run): boolean {
		const permission = host.tryGetPermission?.(start);
		return permission !== undefined && Math.max(permission.entryAge, permission.senderAge ?? 0) > (host.maxUnverifiedAgeMs ?? Infinity);
	}

	/** Handles the outcome of a start call. Returns whether no further attempt is needed. */
	async function handleStartOutcome(run: Run, outcome: CommandOutcome, usedFencingToken: number): Promise<boolean> {
		switch (outcome.kind) {
			case 'done': {
				markRunning(run);
				return true;
			}

			case 'fenced': {
				lease.catchUpFencingToken(usedFencingToken);
				return false;
			}

			case 'superseded': {
				run.run++;
				return false;
			}

			case 'expired': {
				// The estimate of the executor's clock is out of date; a poll updates it.
				await poller.poll();
				return false;
			}

			case 'no-room': {
				endRun(run, TaskOutcome.TASK_OUTCOME_REFUSED, 'the executor has no room', RefusalReason.REFUSAL_REASON_FULL);
				host.onShortage();
				return true;
			}

			case 'unavailable': {
				unavailableUntil = clock.now() + unavailableBackoffMs;
				endRun(run, TaskOutcome.TASK_OUTCOME_REFUSED, 'the executor refuses orders', RefusalReason.REFUSAL_REASON_UPSTREAM_UNREACHABLE);
				return true;
			}

			case 'invalid': {
				endRun(run, TaskOutcome.TASK_OUTCOME_FAILED, `the executor refused the order as faulty: ${outcome.detail}`);
				return true;
			}

			case 'other-incarnation': {
				endRun(run, TaskOutcome.TASK_OUTCOME_REFUSED, 'another executor has refused the order', RefusalReason.REFUSAL_REASON_UPSTREAM_UNREACHABLE);
				host.onReplaced();
				return true;
			}

			case 'not-sent': {
				unavailableUntil = clock.now() + unavailableBackoffMs;
				endRun(run, TaskOutcome.TASK_OUTCOME_REFUSED, `the order was not sent: ${outcome.detail}`, RefusalReason.REFUSAL_REASON_UPSTREAM_UNREACHABLE);
				return true;
			}

			case 'no-answer': {
				log.info({task: run.task, run: run.run, detail: outcome.detail}, 'order to start without an answer');
				await resolveUnansweredStart(run, usedFencingToken);
				return true;
			}
		}
	}

	// Once the executor has responded to a higher fencing token, the start call has either taken effect or never will.
	async function resolveUnansweredStart(run: Run, usedFencingToken: number): Promise<void> {
		lease.raiseFencingToken(usedFencingToken);
		if (!await poller.confirmFencingToken()) {
			return;
		}

		if (runs.get(run.task) !== run) {
			return;
		}

		if (run.isInDoubt) {
			reportFormerRuns([run]);
			endRun(run, TaskOutcome.TASK_OUTCOME_ABORTED, 'the executor has restarted and may have begun the run before');
		} else if (run.state === 'requested') {
			endRun(run, TaskOutcome.TASK_OUTCOME_REFUSED, 'the order had no effect', RefusalReason.REFUSAL_REASON_UPSTREAM_UNREACHABLE);
		}
	}

	function receiveStatus(status: ExecutorStatus, polledAt: Milliseconds): void {
		if (hasLostRuns) {
			hasLostRuns = false;
			host.onRecovered();
		}

		receiveLists(status, polledAt);
		const missing = findMissingRuns(status, polledAt);
		reportFormerRuns(missing);
		for (const run of missing) {
			log.warn({...toLogFields(run), isInDoubt: run.isInDoubt}, 'run is missing in the lists of the executor');
			endRun(run, TaskOutcome.TASK_OUTCOME_ABORTED, 'the executor does not list it any more');
		}
	}

	function receiveLists(status: ExecutorStatus, polledAt: Milliseconds): void {
		const projections: number[] = [];
		for (const listedRun of status.running) {
			const run = runs.get(listedRun.task);
			if (run?.run === listedRun.run) {
				run.listedAt = polledAt;
				run.isInDoubt = false;
				markRunning(run);
				projections.push(...recordProgress(run, listedRun, polledAt));
			} else if (run === undefined) {
				// A start call that was abandoned has taken effect late.
				log.warn({task: listedRun.task, run: listedRun.run}, 'stopping an unknown run');
				void executor.stop(listedRun, lease.getFencingToken());
			}
		}

		host.onProjectedSlowdowns(projections);
		for (const listedRun of status.ended) {
			receiveEnd(listedRun);
		}
	}

	/** Returns the projected slowdown of a run, if there is one yet. */
	function recordProgress(run: Run, {percent}: ActiveRun, polledAt: Milliseconds): readonly number[] {
		if (percent === undefined) {
			return [];
		}

		const progress = {elapsed: polledAt - (run.runningSince ?? polledAt), percent, expected: run.start.expectedRunMs};
		checkProgress(run, progress);
		host.onProgress?.(run.start, progress.elapsed, percent);
		return estimateSlowdown(progress);
	}

	function receiveEnd(listedRun: EndedRun): void {
		const run = runs.get(listedRun.task);
		if (run?.run === listedRun.run) {
			endRun(run, taskOutcomes[listedRun.outcome], listedRun.outcome === 'completed' ? '' : `${run.stop?.cause === 'no-progress' ? 'stalled, ' : ''}${listedRun.detail}`);
		}
	}

	function markRunning(run: Run): void {
		run.state = 'running';
		run.runningSince ??= clock.now();
		if (run.stop?.calls === 0) {
			void stopRun(run, run.stop);
		}
	}

	function checkProgress(run: Run, progress: RunProgress): void {
		if (run.stop === undefined && isStalled(progress)) {
			log.info({task: run.task, run: run.run, ...progress}, 'stopping a run that makes too little progress');
			requestStop(run, 'no-progress');
		}
	}

	function requestStop(run: Run, cause: StopCause, since = clock.now()): void {
		const mustEndSince = cause === 'no-progress' ? undefined : since;
		if (run.stop !== undefined) {
			run.stop.mustEndSince ??= mustEndSince;
			return;
		}

		run.stop = {
			cause, requestedAt: clock.now(), mustEndSince, calls: 0,
		};
		log.info({
			...toLogFields(run), cause, state: run.state, elapsed: Math.round(clock.now() - run.requestedAt), ...describePermission(run),
		}, 'run is stopped');
		if (run.state === 'running') {
			void stopRun(run, run.stop);
		}
	}

	/** Repeats the stop call until the executor has listed the end of the run. */
	async function stopRun(run: Run, stop: RequestedStop): Promise<void> {
		while (runs.get(run.task) === run && poller.isOpen()) {
			stop.calls++;
			const calledAt = clock.now();
			const usedFencingToken = lease.getFencingToken();
			const {outcome} = await lease.track(executor.stop(run, usedFencingToken));
			if (outcome.kind === 'fenced') {
				lease.catchUpFencingToken(usedFencingToken);
			}

			await sleep(clock, outcome.kind === 'no-answer' ? Math.max(unansweredStopRetryMs, stopRetryMs - (clock.now() - calledAt)) : stopRetryMs);
		}
	}

	function reportStopEnd(run: Run, detail: string): void {
		if (run.stop !== undefined) {
			const {cause, requestedAt, calls} = run.stop;
			const took = clock.now() - requestedAt;
			log.info({
				...toLogFields(run), cause, calls, took: Math.round(took), detail, ...describePermission(run),
			}, 'stopped run has ended');
			host.metrics.time('run.stop', took, {cause});
		}
	}

	function endRun(run: Run, outcome: TaskOutcome, detail: string, reason: RefusalReason = RefusalReason.REFUSAL_REASON_UNSPECIFIED): void {
		if (runs.get(run.task) !== run) {
			return;
		}

		runs.delete(run.task);
		reportStopEnd(run, detail);
		run.done(createRunResult(outcome, reason, detail, clock.now() - run.requestedAt));
		if (runs.size === 0) {
			for (const resolveIdle of idleListeners.splice(0)) {
				resolveIdle();
			}
		}
	}
}

function toLogFields({start, task, run}: Run): {readonly request: string; readonly task: string; readonly run: number} {
	return {request: start.reference, task, run};
}

function createRunResult(outcome: TaskOutcome, reason: RefusalReason, detail: string, duration: Milliseconds): RunResult {
	return {
		outcome, reason, payload: emptyPayload, duration, detail,
	};
}

const taskOutcomes: Readonly<Record<RunOutcome, TaskOutcome>> = {
	completed: TaskOutcome.TASK_OUTCOME_COMPLETED,
	failed: TaskOutcome.TASK_OUTCOME_FAILED,
	aborted: TaskOutcome.TASK_OUTCOME_ABORTED,
};
