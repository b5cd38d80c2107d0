/**
 * What a home keeps of an accepted job until its answer stands.
 */
import type {InfeasibleReason, QueuedJob} from '../connection/types.js';
import type {TaskStop} from '../generated/kingcuplane.js';
import type {Milliseconds, Timer} from '../process/clock.js';
import {createDiagnostic, Diagnostics} from '../process/diagnostics.js';
import type {JobFailure} from './job.js';
import type {TrackedJob} from './tracked-job.js';
import type {JobRules, SubmissionRequest} from './submission-rules.js';

/** What an accepted job needs until its answer stands. */
export type OpenJob = {
	readonly tracked: TrackedJob;
	readonly queued: QueuedJob;
	readonly request: SubmissionRequest;
	readonly rules: JobRules;
	readonly configVersion: number;
	hasQuota: boolean;
	timer?: Timer;
	/** Starts whose end is awaited, by number of the start at its agent. */
	readonly sentRuns: Map<string, SentRun>;
	/** Runs that have failed, by index of the task. */
	readonly failureCounts: Map<number, number>;
	/** Agents on which a run failed or was ended early, by index of the task. */
	readonly avoidedAgents: Map<number, string[]>;
};

/** A start whose end is awaited, and the order that stops it. */
export type SentRun = {
	readonly agent: string;
	readonly stop: TaskStop;
};

/** Time for which a shortage that made a job wait past its chance is likely to last. */
const overloadRetryMs: Milliseconds = 1000;

/** Names one attempt at one task of a job. */
export function getAttemptKey({index, attempt}: {readonly index: number; readonly attempt: number}): string {
	return `${index}.${attempt}`;
}

/** What the caller of a job is told that waited for room past its chance. */
export function createInfeasibleFailure({queued}: OpenJob, reason: InfeasibleReason): JobFailure {
	const diagnostic = reason === 'deadline'
		? createDiagnostic(Diagnostics.Deadline_has_become_out_of_reach, queued.deadlineAt - queued.arrivedAt)
		: createDiagnostic(Diagnostics.Objective_has_passed_while_waiting);
	return {diagnostic, retryAfter: overloadRetryMs};
}
