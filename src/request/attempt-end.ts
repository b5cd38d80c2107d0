/**
 * Converts the outcome of a sent start into the end of an attempt, its recorded outcome and a description.
 */
import type {SentStartOutcome, SentStart} from '../connection/agent-sessions.js';
import {RefusalReason, TaskOutcome, type TaskResult} from '../generated/kingcuplane.js';
import {assertNever} from '../process/debug.js';
import {createDiagnostic, Diagnostics} from '../process/diagnostics.js';
import type {AttemptEnd} from './job.js';
import type {AttemptOutcome} from './types.js';

const refusalTexts: Readonly<Record<RefusalReason, string>> = {
	[RefusalReason.REFUSAL_REASON_UNSPECIFIED]: 'no reason given',
	[RefusalReason.REFUSAL_REASON_FULL]: 'no free slot',
	[RefusalReason.REFUSAL_REASON_DRAINING]: 'the agent is draining',
	[RefusalReason.REFUSAL_REASON_CANCELLED]: 'cancelled',
	[RefusalReason.REFUSAL_REASON_UPSTREAM_UNREACHABLE]: 'the upstream cannot be reached',
	[RefusalReason.REFUSAL_REASON_FENCED]: 'this entry was declared dead',
	[RefusalReason.REFUSAL_REASON_EXPIRED]: 'the start arrived too late',
	[RefusalReason.UNRECOGNIZED]: 'unknown reason',
};

/** Decides whether a task is tried again. The methods have side effects, such as spending a retry. */
export type RetryRules = {
	/** Called if the outcome of the attempt is not known. */
	tryRetryUnknown(): boolean;
	/** Called if the run was stopped before it had finished. */
	tryRetryAborted(): boolean;
	/** Called if the upstream answered with a failure. */
	tryRetryFailed(): boolean;
};

/** Returns how an attempt ended for its job. */
export function toAttemptEnd(start: SentStart, end: SentStartOutcome, retry: RetryRules): AttemptEnd {
	switch (end.kind) {
		case 'result': {
			return toResultEnd(start, end.result, retry);
		}

		case 'not-received': {
			return {kind: 'refused'};
		}

		case 'agent-gone': {
			return toUnknownEnd(start, 'its agent is gone', retry.tryRetryUnknown());
		}

		default: {
			return assertNever(end);
		}
	}
}

function toResultEnd(start: SentStart, result: TaskResult, retry: RetryRules): AttemptEnd {
	switch (result.outcome) {
		case TaskOutcome.TASK_OUTCOME_COMPLETED: {
			return {kind: 'completed', payload: result.payload};
		}

		case TaskOutcome.TASK_OUTCOME_REFUSED: {
			return {kind: 'refused'};
		}

		case TaskOutcome.TASK_OUTCOME_FAILED: {
			if (retry.tryRetryFailed()) {
				return {kind: 'retried'};
			}

			return {kind: 'failed', failure: {diagnostic: createDiagnostic(Diagnostics.Task_failed, start.index, start.agent.upstream, result.detail)}};
		}

		case TaskOutcome.TASK_OUTCOME_ABORTED: {
			return toUnknownEnd(start, result.detail, retry.tryRetryAborted());
		}

		default: {
			return toUnknownEnd(start, result.detail, retry.tryRetryUnknown());
		}
	}
}

function toUnknownEnd(start: SentStart, detail: string, isRetried: boolean): AttemptEnd {
	return isRetried
		? {kind: 'retried'}
		: {kind: 'unknown', failure: {diagnostic: createDiagnostic(Diagnostics.Task_may_have_run, start.index, start.agent.upstream, detail)}};
}

/** Returns the outcome for the submission record. */
export function toAttemptOutcome(end: SentStartOutcome): AttemptOutcome {
	if (end.kind !== 'result') {
		return end.kind === 'not-received' ? 'refused' : 'unknown';
	}

	switch (end.result.outcome) {
		case TaskOutcome.TASK_OUTCOME_COMPLETED: {
			return 'completed';
		}

		case TaskOutcome.TASK_OUTCOME_FAILED: {
			return 'failed';
		}

		case TaskOutcome.TASK_OUTCOME_REFUSED: {
			return 'refused';
		}

		default: {
			return 'unknown';
		}
	}
}

/** Returns the reason for the outcome; empty for a completed attempt. */
export function describeAttemptEnd(end: SentStartOutcome): string {
	if (end.kind === 'result') {
		return end.result.outcome === TaskOutcome.TASK_OUTCOME_REFUSED ? refusalTexts[end.result.reason] : end.result.detail;
	}

	return end.kind === 'not-received' ? 'the link was cut before the start arrived' : 'the agent is gone';
}

