/**
 * State that a coordinator retains for an accepted job until the job has its answer.
 */
import type {InfeasibleReason, QueuedJob} from '../connection/types.js';
import type {TaskStop} from '../generated/kingcuplane.js';
import type {Milliseconds, Timer} from '../process/clock.js';
import {createDiagnostic, Diagnostics} from '../process/diagnostics.js';
import type {JobFailure} from './job.js';
import type {TrackedJob} from './tracked-job.js';
import type {JobRules, SubmissionRequest} from './submission-rules.js';

/** An accepted job without an answer. */
export type OpenJob = {
	readonly tracked: TrackedJob;
	readonly queued: QueuedJob;
	readonly request: SubmissionRequest;
	readonly rules: JobRules;
	readonly configVersion: number;
	hasQuota: boolean;
	timer?: Timer;
	/** Sent starts that have not ended, by {@link getAttemptKey}. */
	readonly sentRuns: Map<string, SentRun>;
	/** Number of failed runs, by task index. */
	readonly failureCounts: Map<number, number>;
	/** Names of the agents on which a run failed or was ended early, by task index. */
	readonly avoidedAgents: Map<number, string[]>;
};

/** A sent start that has not ended, and the stop call for it. */
export type SentRun = {
	readonly agent: string;
	readonly stop: TaskStop;
};

/** How long an overload that made a job infeasible is likely to last. */
const overloadRetryMs: Milliseconds = 1000;

/** Returns a key that identifies one attempt at one task within its job. */
export function getAttemptKey({index, attempt}: {readonly index: number; readonly attempt: number}): string {
	return `${index}.${attempt}`;
}

/** Creates the failure of a job that has become infeasible while it waited for resources. */
export function createInfeasibleFailure({queued}: OpenJob, reason: InfeasibleReason): JobFailure {
	const diagnostic = reason === 'deadline'
		? createDiagnostic(Diagnostics.Deadline_has_become_out_of_reach, queued.deadlineAt - queued.arrivedAt)
		: createDiagnostic(Diagnostics.Objective_has_passed_while_waiting);
	return {diagnostic, retryAfter: overloadRetryMs};
}
