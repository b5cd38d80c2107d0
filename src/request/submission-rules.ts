/**
 * The rules under which a submission is accepted: its objects in the active configuration, its limits, and the job
 * that is passed to the scheduler.
 */
import type {
	Admission, LatencyObjective, QueuedJob, Scheduler, TaskRequirements,
} from '../connection/types.js';
import type {Milliseconds} from '../process/clock.js';
import {assertNever, checkDefined} from '../process/debug.js';
import {createDiagnostic, type Diagnostic, Diagnostics} from '../process/diagnostics.js';
import type {
	PolicyObject, ServiceObject, Snapshot, SubmissionObject,
} from '../version/types.js';
import type {JobFailure} from './job.js';
import type {Ticket} from './types.js';

/** The sender of a submission. */
export type Caller = {
	readonly name: string;
	readonly team: string;
};

/** A submission of a caller under a ticket. */
export type SubmissionRequest = {
	readonly ticket: Ticket;
	/** Name of a submission object. */
	readonly submission: string;
	/** The caller's own name for the submission; empty if none was given. */
	readonly reference: string;
	/** Maximum time until the answer; the deadline of the submission object if undefined. */
	readonly deadlineMs?: Milliseconds;
	readonly payloads: readonly Uint8Array[];
	/**
	 * Whether this is a single request, which may be retried if its submission object is idempotent. Tasks of jobs are
	 * never retried for that reason.
	 */
	readonly isSingleRequest: boolean;
	/** Declared run time of one task; that of the submission object if undefined. */
	readonly expectedRun?: Milliseconds;
	readonly need?: TaskRequirements;
	readonly objective?: LatencyObjective;
	/**
	 * Number of failed runs of one task after which the job fails. A task is started again only if its last run has
	 * certainly ended. If undefined, the first failure is final.
	 */
	readonly maxFailedRuns?: number;
	/** Hash that distinguishes a repetition of this request from a different one with the same ticket. */
	readonly digest: string;
};

/** The objects under which a job was accepted. */
export type JobRules = {
	readonly submission: SubmissionObject;
	readonly service: ServiceObject;
	readonly policy: PolicyObject;
	readonly maxTeamTasks: number;
};

/** Returns the objects that a request refers to, or why it cannot be accepted under this configuration version. */
export function resolveRules(snapshot: Snapshot, caller: Caller, req: SubmissionRequest, maxTasks: number): JobRules | Diagnostic {
	const submission = snapshot.submissions.get(req.submission);
	if (submission === undefined) {
		return createDiagnostic(Diagnostics.Submission_is_unknown, req.submission, snapshot.version);
	}

	if (submission.team !== caller.team) {
		return createDiagnostic(Diagnostics.Submission_is_not_allowed, caller.team, req.submission);
	}

	// All references resolve, because the objects of a version are validated before it is published.
	const service = checkDefined(snapshot.services.get(submission.service), 'the service of a submission exists');
	const policy = checkDefined(snapshot.policies.get(service.policy), 'the policy of a service exists');
	const team = checkDefined(snapshot.teams.get(submission.team), 'the team of a submission exists');
	const limit = Math.min(maxTasks, service.maxTasksPerJob);
	if (req.payloads.length > limit) {
		return createDiagnostic(Diagnostics.Too_many_tasks, req.payloads.length, limit);
	}

	if (req.payloads.some(payload => payload.length > service.maxPayload)) {
		return createDiagnostic(Diagnostics.Payload_is_too_large, service.maxPayload);
	}

	return {
		submission, service, policy, maxTeamTasks: team.maxTasks,
	};
}

/** Creates the job that is passed to the scheduler. The shortest of its deadlines applies. */
export function toQueuedJob(req: SubmissionRequest, rules: JobRules, now: Milliseconds): QueuedJob {
	const maxDeadline = Math.min(rules.submission.deadline, rules.policy.deadline);
	return {
		ticket: req.ticket.text,
		service: rules.service.name,
		submission: rules.submission.name,
		team: rules.submission.team,
		taskCount: req.payloads.length,
		expectedRun: req.expectedRun ?? rules.submission.expectedRun,
		need: req.need,
		objective: req.objective,
		arrivedAt: now,
		deadlineAt: now + Math.min(req.deadlineMs ?? maxDeadline, maxDeadline),
	};
}

/** Returns the failure of a job that the scheduler did not admit; undefined if it was admitted. */
export function toAdmissionFailure(admission: Admission, queued: QueuedJob, now: Milliseconds): JobFailure | undefined {
	switch (admission.kind) {
		case 'admitted': {
			return undefined;
		}

		case 'no-upstream': {
			return {diagnostic: createDiagnostic(Diagnostics.Service_has_no_upstream, queued.service), retryAfter: admission.retryAfter};
		}

		case 'queue-full': {
			return {diagnostic: createDiagnostic(Diagnostics.Queue_is_full, queued.service, admission.queued), retryAfter: admission.retryAfter};
		}

		case 'too-late': {
			const timeLeft = Math.round(queued.deadlineAt - now);
			return {diagnostic: createDiagnostic(Diagnostics.Deadline_cannot_be_met, queued.service, Math.round(admission.wait), timeLeft), retryAfter: admission.retryAfter};
		}

		default: {
			return assertNever(admission);
		}
	}
}

/** Applies the policies and teams of a configuration version to the scheduler. */
export function applyRules(scheduler: Scheduler, snapshot: Snapshot): void {
	for (const service of snapshot.services.values()) {
		const policy = checkDefined(snapshot.policies.get(service.policy), 'the policy of a service exists');
		scheduler.setRules(service.name, {placement: policy.placement, maxQueuedTasks: policy.maxQueuedTasks, lookAhead: policy.lookAhead});
	}

	for (const team of snapshot.teams.values()) {
		scheduler.setTeamShare(team.name, {weight: team.weight, maxRunning: team.maxTasks});
	}
}
