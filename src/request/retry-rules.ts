/**
 * Decides what follows for a task whose attempt has ended: whether it is started again or its job fails.
 */
import type {SentStart, SentStartOutcome} from '../connection/agent-sessions.js';
import type {Clock, Milliseconds} from '../process/clock.js';
import {toAttemptEnd} from './attempt-end.js';
import type {AttemptEnd} from './job.js';
import type {LostTasks} from './lost-tasks.js';
import {createInfeasibleFailure, type OpenJob} from './open-job.js';
import {isFeasible} from './resource-queue.js';
import {createRetryBudgets, type RetryBudget} from './retry-budget.js';

/** Dependencies of the rules. */
export type RetryRulesHost = {
	readonly clock: Clock;
	readonly lostTasks: Pick<LostTasks, 'tryGetTaskFailure'>;
};

/** The retry rules of one entry, with their budgets. */
export type RetryRules = {
	/** Records the first attempt of a task, which adds to the retry budget of its service. */
	recordFirstAttempt(openJob: OpenJob): void;
	/** Decides what follows for a task, and counts the end against its limits. */
	classifyEnd(openJob: OpenJob, start: SentStart, end: SentStartOutcome): AttemptEnd;
};

/** Number of unknown outcomes after which a single request is not sent to another upstream. */
const maxUnknownEnds = 3;
/** Time after which the caller of a job may return that had no time left for another run of a failed task. */
const retryAfterFailuresMs: Milliseconds = 1000;

/** Creates rules with full budgets. */
export function createRetryRules({clock, lostTasks}: RetryRulesHost): RetryRules {
	const retryBudgets = createRetryBudgets();

	return {
		recordFirstAttempt(openJob) {
			getBudget(openJob).recordFirstAttempt();
		},
		classifyEnd(openJob, start, end) {
			let isLastFailure = true;
			const classified = toAttemptEnd(start, end, {
				tryRetryUnknown: () => canRestart(openJob) || tryRetry(openJob),
				tryRetryAborted: () => canRestart(openJob),
				tryRetryFailed() {
					isLastFailure = openJob.request.maxFailedRuns === undefined || !countFailedRun(openJob, start);
					return !isLastFailure && canRestart(openJob);
				},
			});
			const lossFailure = classified.kind === 'retried' ? lostTasks.tryGetTaskFailure(openJob, start.index) : undefined;
			if (lossFailure !== undefined) {
				return {kind: 'failed', failure: lossFailure};
			}

			// More failed runs were allowed, but there is no time for another run: the job fails because of its deadline.
			return classified.kind === 'failed' && !isLastFailure ? {kind: 'failed', failure: createInfeasibleFailure(openJob, 'deadline', retryAfterFailuresMs)} : classified;
		},
	};

	// At this point the last run has certainly ended: the executor listed its end, or its lease has expired.
	function canRestart(openJob: OpenJob): boolean {
		return openJob.request.maxFailedRuns !== undefined && isFeasible(openJob.queued, clock.now());
	}

	// Only a single request that is idempotent may run again after an unknown outcome. The request itself may be the cause, so
	// the budget that all requests of a service share does not suffice as a limit.
	function tryRetry(openJob: OpenJob): boolean {
		openJob.unknownEnds++;
		return openJob.request.isSingleRequest && openJob.rules.submission.idempotent && openJob.unknownEnds < maxUnknownEnds && getBudget(openJob).trySpend();
	}

	function getBudget({rules}: OpenJob): RetryBudget {
		return retryBudgets.get(rules.service.name, rules.policy.retryPercent);
	}
}

/** Counts a failed run. Returns false if it was the last one allowed. */
function countFailedRun({request, failureCounts}: OpenJob, {index}: SentStart): boolean {
	const failures = (failureCounts.get(index) ?? 0) + 1;
	failureCounts.set(index, failures);
	return failures < request.maxFailedRuns!;
}
