/**
 * State that a coordinator retains for an accepted job until the job has its answer.
 */
import type {UnsequencedStart} from '../connection/agent-sessions.js';
import {getRepeatableJobName} from '../connection/loss-log.js';
import type {InfeasibleReason, QueuedJob, QueuedTask} from '../connection/types.js';
import type {TaskStop} from '../generated/kingcuplane.js';
import type {Milliseconds, Timer} from '../process/clock.js';
import {assertNever} from '../process/debug.js';
import {createDiagnostic, Diagnostics} from '../process/diagnostics.js';
import type {JobFailure} from './job.js';
import type {TrackedJob} from './tracked-job.js';
import type {JobRules, SubmissionRequest} from './submission-rules.js';

/** An accepted job without an answer. */
export type OpenJob = {
	readonly tracked: TrackedJob;
	/** Name that stays the same if the caller submits the job again. */
	readonly repeatableName: string;
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
	/** Number of attempts that ended with an unknown outcome. */
	unknownEnds: number;
	/** Names of the agents on which a run failed or was ended early, by task index. */
	readonly avoidedAgents: Map<number, string[]>;
};

/** A sent start that has not ended, and the stop call for it. */
export type SentRun = {
	readonly agent: string;
	readonly stop: TaskStop;
};

/** Creates the state of a job that has just been accepted. */
export function createOpenJob(accepted: Pick<OpenJob, 'tracked' | 'queued' | 'request' | 'rules' | 'configVersion'>): OpenJob {
	const {tracked: {owner}, request: {ticket, reference}} = accepted;
	return {
		...accepted,
		repeatableName: getRepeatableJobName({ticket: ticket.text, caller: owner, reference}),
		hasQuota: false,
		sentRuns: new Map(),
		failureCounts: new Map(),
		unknownEnds: 0,
		avoidedAgents: new Map(),
	};
}

/** Creates the start of one task of a job. */
export function toUnsequencedStart(openJob: OpenJob, task: QueuedTask, isolated: boolean): UnsequencedStart {
	const {
		queued, request, rules, tracked, configVersion, avoidedAgents,
	} = openJob;
	return {
		task: {ticket: task.ticket, index: task.index},
		attempt: task.attempt,
		taskCount: queued.taskCount,
		service: queued.service,
		payload: request.payloads[task.index]!,
		timeoutMs: rules.policy.taskTimeout,
		configVersion,
		idempotent: rules.submission.idempotent,
		caller: tracked.owner,
		reference: request.reference,
		submission: request.submission,
		isolated,
		payloadOf: 0,
		payloadDeflated: false,
		need: queued.need?.resources,
		// A run stopped as stalled may only be longer than declared, so the next run is not checked for stalling.
		expectedRunMs: avoidedAgents.has(task.index) ? 0 : Math.round(queued.expectedRun),
	};
}

/** Returns a key that identifies one attempt at one task within its job. */
export function getAttemptKey({index, attempt}: {readonly index: number; readonly attempt: number}): string {
	return `${index}.${attempt}`;
}

/** Creates the failure of a job that has become infeasible while it waited for resources. */
export function createInfeasibleFailure({queued}: OpenJob, reason: InfeasibleReason, retryAfter: Milliseconds): JobFailure {
	switch (reason) {
		case 'deadline': {
			return {diagnostic: createDiagnostic(Diagnostics.Deadline_has_become_out_of_reach, queued.deadlineAt - queued.arrivedAt), retryAfter};
		}

		case 'objective': {
			return {diagnostic: createDiagnostic(Diagnostics.Objective_has_passed_while_waiting), retryAfter};
		}

		case 'backlog': {
			return {diagnostic: createDiagnostic(Diagnostics.Objective_is_out_of_reach), retryAfter};
		}

		default: {
			return assertNever(reason);
		}
	}
}
