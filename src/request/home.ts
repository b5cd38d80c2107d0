/**
 * The home of submissions: everything that one entry incarnation decides about the tickets it issued.
 * It accepts or refuses them, starts their tasks through the scheduler, assembles their answers and
 * records what became of them. No I/O: messages leave through the host.
 */
import {
	createAgentSessions, type AgentSessions, type SentEnd, type SentStart,
} from '../connection/agent-sessions.js';
import type {
	Admission, QueuedJob, QueuedTask, Scheduler, TeamQuota,
} from '../connection/types.js';
import {
	RefusalReason, TaskOutcome, type TaskResult, type TaskStart,
} from '../generated/kingcuplane.js';
import type {Clock, Milliseconds, Timer} from '../process/clock.js';
import {assertNever, checkDefined} from '../process/debug.js';
import {createDiagnostic, type Diagnostic, Diagnostics} from '../process/diagnostics.js';
import type {
	ServiceObject, Snapshot, SubmissionObject, PolicyObject,
} from '../version/types.js';
import {
	createJob, type AttemptEnd, type Job, type JobFailure,
} from './job.js';
import {createRetryBudget, type RetryBudget} from './retry-budget.js';
import {createScheduler} from './scheduler.js';
import type {TicketIssuer} from './ticket.js';
import type {
	Answer, AttemptOutcome, FateRecorder, Ticket,
} from './types.js';

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
	readonly isRequest: boolean;
	/** Hash of everything above but the ticket; tells a repetition from a different request. */
	readonly digest: string;
};

/** Effects and surroundings of the home. */
export type HomeHost = {
	readonly clock: Clock;
	/** Name of the entry. */
	readonly entry: string;
	readonly issuer: TicketIssuer;
	readonly fates: FateRecorder;
	readonly quota: TeamQuota;
	/** How long an agent may stay away before its starts are given up. */
	readonly agentGraceMs: Milliseconds;
	/** How long the payloads of an answer are kept. */
	readonly answerKeepMs: Milliseconds;
	readonly maxTasks: number;
	/** The configuration in force. */
	tryGetSnapshot(): Snapshot | undefined;
	isDraining(): boolean;
	/** Puts a start on the link of an agent. */
	send(agent: string, start: TaskStart): void;
	/** Queue lengths, credits or acknowledgements for this agent have changed. */
	changed(agent: string): void;
};

/** A submission that has a final answer or will have one. */
export type JobHandle = {
	readonly ticket: Ticket;
	readonly owner: string;
	readonly taskCount: number;
	tryGetAnswer(): Answer | undefined;
	/** Calls `action` with the answer, at once if it stands; the returned function withdraws the call. */
	whenAnswered(action: (answer: Answer) => void): () => void;
};

/** How the home takes a request. */
export type SubmitOutcome =
	/** The answer follows, or stands already for a repeated request. */
	| {readonly kind: 'taken'; readonly job: JobHandle}
	/** The ticket was used before and its answer is no longer in memory; the record tells. */
	| {readonly kind: 'forgotten'}
	/** The request cannot be served under this ticket; nothing was started or changed. */
	| {readonly kind: 'invalid'; readonly diagnostic: Diagnostic};

/** The home of one entry incarnation. */
export type Home = {
	readonly sessions: AgentSessions;
	readonly scheduler: Scheduler;
	submit(caller: Caller, req: SubmissionRequest): SubmitOutcome;
	tryGetJob(ticket: string): JobHandle | undefined;
	/** Ends a job that has no answer yet; waiting tasks are never started. */
	cancel(ticket: string, by: string): void;
	/** Applies the rules of a version to the scheduler. */
	applySnapshot(snapshot: Snapshot): void;
	/** Jobs without an answer. */
	getOpenJobs(): number;
};

type JobRecord = JobHandle & {
	readonly job: Job;
	readonly digest: string;
	answer?: Answer;
	readonly listeners: Set<(answer: Answer) => void>;
};

/** What an accepted job needs until its answer stands. */
type OpenJob = {
	readonly record: JobRecord;
	readonly queued: QueuedJob;
	readonly request: SubmissionRequest;
	readonly rules: JobRules;
	readonly configVersion: number;
	hasQuota: boolean;
	timer?: Timer;
};

/** The objects under which a job was accepted. */
type JobRules = {
	readonly submission: SubmissionObject;
	readonly service: ServiceObject;
	readonly policy: PolicyObject;
	readonly maxTeamTasks: number;
};

const refusalTexts: Readonly<Record<RefusalReason, string>> = {
	[RefusalReason.REFUSAL_REASON_UNSPECIFIED]: 'no reason given',
	[RefusalReason.REFUSAL_REASON_FULL]: 'no free slot',
	[RefusalReason.REFUSAL_REASON_DRAINING]: 'the agent is draining',
	[RefusalReason.REFUSAL_REASON_CANCELLED]: 'cancelled',
	[RefusalReason.REFUSAL_REASON_UPSTREAM_UNREACHABLE]: 'the upstream cannot be reached',
	[RefusalReason.REFUSAL_REASON_FENCED]: 'this entry was declared dead',
	[RefusalReason.UNRECOGNIZED]: 'unknown reason',
};

const fateRetryMs = 5000;
const drainRetryMs = 100;
const quotaRetryMs = 1000;

/** Creates a home without jobs or agents. */
export function createHome(host: HomeHost): Home {
	const records = new Map<string, JobRecord>();
	const open = new Map<string, OpenJob>();
	/** Times at which answers were given, oldest first. */
	const answered = new Map<string, Milliseconds>();
	const retryBudgets = new Map<string, RetryBudget>();

	const scheduler = createScheduler({
		clock: host.clock,
		start: startTask,
		changed: host.changed,
	});
	const sessions = createAgentSessions({
		clock: host.clock,
		graceMs: host.agentGraceMs,
		opened: scheduler.openAgent,
		closed(agent) {
			scheduler.closeAgent(agent.incarnation);
		},
		stateChanged(agent, state) {
			scheduler.setCondition(agent.incarnation, {...state, meanRun: state.meanRunMs});
		},
		granted(agent, granted) {
			scheduler.setGranted(agent.incarnation, granted);
		},
		ended: endAttempt,
		endedLate: recordLateEnd,
	});

	return {
		sessions,
		scheduler,
		submit,
		tryGetJob: ticket => records.get(ticket),
		cancel(ticket, by) {
			const entry = open.get(ticket);
			if (entry === undefined) {
				return;
			}

			host.fates.recordCancelled(ticket, by);
			failJob(entry, {diagnostic: createDiagnostic(Diagnostics.Job_was_cancelled, by)});
		},
		applySnapshot(snapshot) {
			applyRules(scheduler, snapshot);
		},
		getOpenJobs: () => open.size,
	};

	function submit(caller: Caller, req: SubmissionRequest): SubmitOutcome {
		forgetOldAnswers();
		const verified = host.issuer.verify(req.ticket, caller.name);
		if (verified.isErr()) {
			return {kind: 'invalid', diagnostic: verified.error};
		}

		const known = records.get(req.ticket.text);
		if (known !== undefined) {
			return known.digest === req.digest
				? {kind: 'taken', job: known}
				: {kind: 'invalid', diagnostic: createDiagnostic(Diagnostics.Ticket_names_other_request, req.ticket.text)};
		}

		switch (host.issuer.claim(req.ticket)) {
			case 'claimed': {
				return {kind: 'taken', job: take(caller, req)};
			}

			case 'spent':
			case 'expired': {
				return {kind: 'forgotten'};
			}
		}
	}

	// From here on the ticket is spent: a refusal stands for good, so that a copy of the request that arrives
	// later cannot start what the caller was told is not run.
	function take(caller: Caller, req: SubmissionRequest): JobHandle {
		const record = createRecord(caller, req);
		records.set(req.ticket.text, record);
		const snapshot = host.tryGetSnapshot();
		const rules = snapshot === undefined
			? createDiagnostic(Diagnostics.Entry_is_not_ready)
			: findRules(snapshot, caller, req, host.maxTasks);
		const isRefused = 'code' in rules;
		const refusal = host.fates.tryAccept({
			ticket: req.ticket,
			entry: host.entry,
			caller: caller.name,
			team: caller.team,
			submission: req.submission,
			service: isRefused ? '' : rules.service.name,
			reference: req.reference,
			configVersion: snapshot?.version ?? 0,
			taskCount: req.payloads.length,
			acceptedAt: host.clock.wall(),
		});
		if (isRefused) {
			refuse(record, {diagnostic: rules});
		} else if (refusal === undefined) {
			admit(record, req, rules, snapshot!.version);
		} else {
			refuse(record, {diagnostic: refusal, retryAfter: fateRetryMs});
		}

		return record;
	}

	function admit(record: JobRecord, req: SubmissionRequest, rules: JobRules, configVersion: number): void {
		const queued = toQueuedJob(req, rules, host.clock.now());
		const refusal = tryGetRefusal(queued);
		if (refusal !== undefined) {
			refuse(record, refusal);
			return;
		}

		const entry: OpenJob = {
			record, queued, request: req, rules, configVersion, hasQuota: false,
		};
		open.set(req.ticket.text, entry);
		entry.timer = host.clock.after(queued.deadlineAt - host.clock.now(), () => {
			failJob(entry, {diagnostic: createDiagnostic(Diagnostics.Deadline_has_passed, queued.deadlineAt - queued.arrivedAt)});
		});
		host.quota.take(queued.team, queued.taskCount, isTaken => {
			endQuotaWait(entry, isTaken);
		});
	}

	function endQuotaWait(entry: OpenJob, isTaken: boolean): void {
		const {queued, rules} = entry;
		if (!open.has(queued.ticket)) {
			releaseQuota(queued, isTaken);
			return;
		}

		entry.hasQuota = isTaken;
		if (!isTaken) {
			close(entry);
			refuse(entry.record, {diagnostic: createDiagnostic(Diagnostics.Quota_is_exhausted, queued.team, rules.maxTeamTasks), retryAfter: quotaRetryMs});
		} else if (rules.policy.recordBeforeStart) {
			host.fates.whenSaved(queued.ticket, () => {
				enqueueIfOpen(entry);
			});
		} else {
			scheduler.enqueue(queued);
		}
	}

	function releaseQuota(queued: QueuedJob, isTaken: boolean): void {
		if (isTaken) {
			host.quota.release(queued.team, queued.taskCount);
		}
	}

	function close(entry: OpenJob): void {
		open.delete(entry.queued.ticket);
		entry.timer?.cancel();
	}

	function enqueueIfOpen(entry: OpenJob): void {
		if (open.has(entry.queued.ticket)) {
			scheduler.enqueue(entry.queued);
		}
	}

	function tryGetRefusal(queued: QueuedJob): JobFailure | undefined {
		if (host.isDraining()) {
			return {diagnostic: createDiagnostic(Diagnostics.Entry_is_draining), retryAfter: drainRetryMs};
		}

		return toFailure(scheduler.assess(queued), queued, host.clock.now());
	}

	function startTask(agent: string, task: QueuedTask): void {
		const entry = checkDefined(open.get(task.ticket), 'only open jobs have waiting tasks');
		const session = checkDefined(sessions.tryGet(agent), 'the scheduler knows open agents only');
		entry.record.job.markSent(task.index, task.attempt);
		if (task.attempt === 1) {
			getRetryBudget(entry.rules).recordFirst();
		}

		host.fates.recordSent(task.ticket, task.index, {
			attempt: task.attempt,
			agent: `${session.agent.name}/${agent}`,
			upstream: session.agent.upstream,
			sentAt: host.clock.wall(),
		});
		host.send(agent, session.prepareStart({
			task: {ticket: task.ticket, index: task.index},
			attempt: task.attempt,
			taskCount: entry.queued.taskCount,
			service: entry.queued.service,
			payload: entry.request.payloads[task.index]!,
			timeoutMs: entry.rules.policy.taskTimeout,
			configVersion: entry.configVersion,
			idempotent: entry.rules.submission.idempotent,
		}));
	}

	function endAttempt(start: SentStart, end: SentEnd): void {
		const outcome = toOutcome(end);
		const run = end.kind === 'result' && outcome !== 'refused' ? end.result.runMs : undefined;
		scheduler.recordEnd(start.agent.incarnation, start.ticket, outcome, run);
		host.fates.recordEnded(start.ticket, start.index, start.attempt, {
			endedAt: host.clock.wall(), outcome, detail: describeEnd(end), runMs: run,
		});
		host.changed(start.agent.incarnation);
		const entry = open.get(start.ticket);
		if (entry === undefined) {
			return;
		}

		const attemptEnd = toAttemptEnd(entry, start, end);
		entry.record.job.markEnded(start.index, start.attempt, attemptEnd);
		if (entry.record.job.tryGetAnswer() !== undefined) {
			finish(entry);
		} else if (attemptEnd.kind === 'refused' || attemptEnd.kind === 'retried') {
			scheduler.requeue(entry.queued, {ticket: start.ticket, index: start.index, attempt: start.attempt + 1});
		}
	}

	function toAttemptEnd(entry: OpenJob, start: SentStart, end: SentEnd): AttemptEnd {
		switch (end.kind) {
			case 'result': {
				return toResultEnd(entry, start, end.result);
			}

			case 'not-received': {
				return {kind: 'refused'};
			}

			case 'agent-gone': {
				return toUnknownEnd(entry, start, 'its agent is gone');
			}

			default: {
				return assertNever(end);
			}
		}
	}

	function toResultEnd(entry: OpenJob, start: SentStart, result: TaskResult): AttemptEnd {
		switch (result.outcome) {
			case TaskOutcome.TASK_OUTCOME_COMPLETED: {
				return {kind: 'completed', payload: result.payload};
			}

			case TaskOutcome.TASK_OUTCOME_REFUSED: {
				return {kind: 'refused'};
			}

			case TaskOutcome.TASK_OUTCOME_FAILED: {
				return {kind: 'failed', failure: {diagnostic: createDiagnostic(Diagnostics.Task_failed, start.index, start.agent.upstream, result.detail)}};
			}

			default: {
				return toUnknownEnd(entry, start, result.detail);
			}
		}
	}

	// Only a single request that is idempotent may run again after an end that is not known.
	function toUnknownEnd(entry: OpenJob, start: SentStart, detail: string): AttemptEnd {
		const mayRetry = entry.request.isRequest && entry.rules.submission.idempotent;
		if (mayRetry && getRetryBudget(entry.rules).trySpend()) {
			return {kind: 'retried'};
		}

		return {kind: 'unknown', failure: {diagnostic: createDiagnostic(Diagnostics.Task_may_have_run, start.index, start.agent.upstream, detail)}};
	}

	function recordLateEnd(agent: {readonly incarnation: string}, result: TaskResult): void {
		host.fates.recordEnded(result.task!.ticket, result.task!.index, result.attempt, {
			endedAt: host.clock.wall(),
			outcome: toOutcome({kind: 'result', result}),
			detail: `late: ${result.detail}`,
			runMs: result.runMs,
		});
		host.changed(agent.incarnation);
	}

	function failJob(entry: OpenJob, failure: JobFailure): void {
		entry.record.job.fail(failure);
		finish(entry);
	}

	function refuse(record: JobRecord, failure: JobFailure): void {
		record.job.fail(failure);
		publish(record, {state: 'refused', ran: 'not-run', ...failure});
	}

	function finish(entry: OpenJob): void {
		close(entry);
		scheduler.remove(entry.queued.ticket);
		releaseQuota(entry.queued, entry.hasQuota);
		publish(entry.record, entry.record.job.tryGetAnswer()!);
	}

	function publish(record: JobRecord, answer: Answer): void {
		host.fates.recordAnswer(record.ticket.text, answer);
		record.answer = answer;
		answered.set(record.ticket.text, host.clock.now());
		for (const listener of record.listeners) {
			listener(answer);
		}

		record.listeners.clear();
	}

	function forgetOldAnswers(): void {
		const oldest = host.clock.now() - host.answerKeepMs;
		for (const [ticket, at] of answered) {
			if (at >= oldest) {
				return;
			}

			answered.delete(ticket);
			records.delete(ticket);
		}
	}

	function getRetryBudget(rules: JobRules): RetryBudget {
		const key = rules.service.name;
		const budget = retryBudgets.get(key) ?? createRetryBudget(rules.policy.retryPercent);
		retryBudgets.set(key, budget);
		return budget;
	}
}

function createRecord(caller: Caller, req: SubmissionRequest): JobRecord {
	const record: JobRecord = {
		ticket: req.ticket,
		owner: caller.name,
		taskCount: req.payloads.length,
		job: createJob(req.payloads.length),
		digest: req.digest,
		listeners: new Set(),
		tryGetAnswer: () => record.answer,
		whenAnswered(action) {
			if (record.answer === undefined) {
				record.listeners.add(action);
			} else {
				action(record.answer);
			}

			return () => {
				record.listeners.delete(action);
			};
		},
	};
	return record;
}

function findRules(snapshot: Snapshot, caller: Caller, req: SubmissionRequest, maxTasks: number): JobRules | Diagnostic {
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

function toQueuedJob(req: SubmissionRequest, rules: JobRules, now: Milliseconds): QueuedJob {
	const longest = Math.min(rules.submission.deadline, rules.policy.deadline);
	return {
		ticket: req.ticket.text,
		service: rules.service.name,
		team: rules.submission.team,
		taskCount: req.payloads.length,
		expectedRun: rules.submission.expectedRun,
		arrivedAt: now,
		deadlineAt: now + Math.min(req.deadlineMs ?? longest, longest),
	};
}

function toFailure(admission: Admission, queued: QueuedJob, now: Milliseconds): JobFailure | undefined {
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

function toOutcome(end: SentEnd): AttemptOutcome {
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

function describeEnd(end: SentEnd): string {
	if (end.kind === 'result') {
		return end.result.outcome === TaskOutcome.TASK_OUTCOME_REFUSED ? refusalTexts[end.result.reason] : end.result.detail;
	}

	return end.kind === 'not-received' ? 'the link was cut before the start arrived' : 'the agent is gone';
}

function applyRules(scheduler: Scheduler, snapshot: Snapshot): void {
	for (const service of snapshot.services.values()) {
		const policy = checkDefined(snapshot.policies.get(service.policy), 'the policy of a service exists');
		scheduler.setRules(service.name, {placement: policy.placement, maxQueuedTasks: policy.maxQueuedTasks});
	}

	for (const team of snapshot.teams.values()) {
		scheduler.setShare(team.name, {weight: team.weight, maxRunning: team.maxTasks});
	}
}
