/**
 * The rules under which a submission is taken: its objects in the configuration in force, its limits, and what
 * the scheduler is told of it.
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

/** Who sends a request. */
export type Caller = {
	readonly name: string;
	readonly team: string;
};

/** What a caller asks for under a ticket. */
export type SubmissionRequest = {
	readonly ticket: Ticket;
	/** Name of a submission object. */
	readonly submission: string;
	readonly reference: string;
	/** Longest time to the answer; the submission object's own if undefined. */
	readonly deadlineMs?: Milliseconds;
	readonly payloads: readonly Uint8Array[];
	/** A single request, which may run again if its submission object is idempotent; tasks of jobs never do. */
	readonly isSingleRequest: boolean;
	/** Declared run time of one task; the submission object's own if undefined. */
	readonly expectedRun?: Milliseconds;
	readonly need?: TaskRequirements;
	readonly objective?: LatencyObjective;
	/**
	 * Runs of one task that may fail before the job does. A task may be started again once its last run is over for
	 * certain; undefined never starts one again.
	 */
	readonly maxFailedRuns?: number;
	/** Hash of everything above but the ticket; tells a repetition from a different request. */
	readonly digest: string;
};

/** The objects under which a job was accepted. */
export type JobRules = {
	readonly submission: SubmissionObject;
	readonly service: ServiceObject;
	readonly policy: PolicyObject;
	readonly maxTeamTasks: number;
};

/** The objects that a request names, or why it cannot be taken under this version. */
export function resolveRules(snapshot: Snapshot, caller: Caller, req: SubmissionRequest, maxTasks: number): JobRules | Diagnostic {
	const submission = snapshot.submissions.get(req.submission);
	if (submission === undefined) {
		return createDiagnostic(Diagnostics.Submission_is_unknown, req.submission, snapshot.version);
	}

	if (submission.team !== caller.team) {
		return createDiagnostic(Diagnostics.Submission_is_not_allowed, caller.team, req.submission);
	}

	// A published version is whole: references resolve.
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

/** What the scheduler is told of a job; the shortest of all deadlines counts. */
export function toQueuedJob(req: SubmissionRequest, rules: JobRules, now: Milliseconds): QueuedJob {
	const longest = Math.min(rules.submission.deadline, rules.policy.deadline);
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
		deadlineAt: now + Math.min(req.deadlineMs ?? longest, longest),
	};
}

/** Why the scheduler does not take a job; undefined if it does. */
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
			const left = Math.round(queued.deadlineAt - now);
			return {diagnostic: createDiagnostic(Diagnostics.Deadline_cannot_be_met, queued.service, Math.round(admission.wait), left), retryAfter: admission.retryAfter};
		}

		default: {
			return assertNever(admission);
		}
	}
}

/** Applies the policies and teams of a version to the scheduler. */
export function applyRules(scheduler: Scheduler, snapshot: Snapshot): void {
	for (const service of snapshot.services.values()) {
		const policy = checkDefined(snapshot.policies.get(service.policy), 'the policy of a service exists');
		scheduler.setRules(service.name, {placement: policy.placement, maxQueuedTasks: policy.maxQueuedTasks});
	}

	for (const team of snapshot.teams.values()) {
		scheduler.setTeamShare(team.name, {weight: team.weight, maxRunning: team.maxTasks});
	}
}
