/**
 * The home of submissions: everything that one entry incarnation decides about the tickets it issued.
 * It accepts or refuses them, starts their tasks through the scheduler, assembles their answers and
 * records what became of them. No I/O: messages leave through the host.
 */
import {createAgentSessions, type SentStartOutcome, type SentStart} from '../connection/agent-sessions.js';
import type {QueuedJob, QueuedTask} from '../connection/types.js';
import type {TaskResult, TaskStop} from '../generated/kingcuplane.js';
import type {Milliseconds, Timer} from '../process/clock.js';
import {checkDefined} from '../process/debug.js';
import {createDiagnostic, Diagnostics} from '../process/diagnostics.js';
import {describeAttemptEnd, toAttemptEnd, toAttemptOutcome} from './attempt-end.js';
import type {AttemptEnd, JobFailure} from './job.js';
import {createTrackedJob, type JobHandle, type TrackedJob} from './tracked-job.js';
import {createRetryBudget, type RetryBudget} from './retry-budget.js';
import {isFeasible} from './resource-queue.js';
import {createInfeasibleFailure, getAttemptKey, type OpenJob} from './open-job.js';
import {createScheduler} from './scheduler.js';
import {
	applyRules, resolveRules, toAdmissionFailure, toQueuedJob, type Caller, type JobRules, type SubmissionRequest,
} from './submission-rules.js';
import type {Answer} from './types.js';
import type {
	CoordinatorHost, Decision, SubmitOutcome, Coordinator,
} from './coordinator-types.js';

const fateRetryMs = 5000;
const drainRetryMs = 100;
const quotaRetryMs = 1000;

/** Creates a home without jobs or agents. */
export function createCoordinator(host: CoordinatorHost): Coordinator {
	const records = new Map<string, TrackedJob>();
	const open = new Map<string, OpenJob>();
	/** Times at which answers were given, oldest first. */
	const answered = new Map<string, Milliseconds>();
	const retryBudgets = new Map<string, RetryBudget>();

	const scheduler = (host.createScheduler ?? createScheduler)({
		clock: host.clock,
		start: startTask,
		onReportChanged: host.onDemandChanged,
		onInfeasible(ticket, reason) {
			const entry = open.get(ticket);
			if (entry !== undefined) {
				failJob(entry, createInfeasibleFailure(entry, reason));
			}
		},
	});
	const sessions = createAgentSessions({
		clock: host.clock,
		graceMs: host.agentGraceMs,
		silentGraceMs: host.silentGraceMs,
		endsEarlierIncarnations: host.endsEarlierIncarnations,
		onAgentConnected: scheduler.addAgent,
		onAgentDisconnected(agent) {
			scheduler.removeAgent(agent.incarnation);
		},
		onAgentState(agent, state) {
			scheduler.setAgentStatus(agent.incarnation, {...state, meanRun: state.meanRunMs});
		},
		onCreditsGranted(agent, granted) {
			scheduler.setGrantedCredits(agent.incarnation, granted);
		},
		onStartEnded: endAttempt,
		onLateResult: recordLateEnd,
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

			host.recorder.recordCancelled(ticket, by);
			failJob(entry, {diagnostic: createDiagnostic(Diagnostics.Job_was_cancelled, by)});
		},
		failOpenJobs() {
			for (const entry of open.values()) {
				failJob(entry, {diagnostic: createDiagnostic(Diagnostics.Entry_is_draining), retryAfter: drainRetryMs});
			}
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
			return known.requestDigest === req.digest
				? {kind: 'taken', job: known}
				: {kind: 'invalid', diagnostic: createDiagnostic(Diagnostics.Ticket_names_other_request, req.ticket.text)};
		}

		switch (host.issuer.claim(req.ticket)) {
			case 'claimed': {
				return {kind: 'taken', job: take(caller, req)};
			}

			case 'spent': {
				return {kind: 'forgotten'};
			}

			case 'expired': {
				return {kind: 'expired'};
			}
		}
	}

	// From here on the ticket is spent: a refusal stands for good, so that a copy of the request that arrives
	// later cannot start what the caller was told is not run.
	function take(caller: Caller, req: SubmissionRequest): JobHandle {
		const record = createTrackedJob(caller, req, host.clock.now());
		records.set(req.ticket.text, record);
		const snapshot = host.tryGetSnapshot();
		const rules = snapshot === undefined
			? createDiagnostic(Diagnostics.Entry_is_not_ready)
			: resolveRules(snapshot, caller, req, host.maxTasks);
		const isRefused = 'code' in rules;
		const refusal = host.recorder.openRecord({
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

	function admit(record: TrackedJob, req: SubmissionRequest, rules: JobRules, configVersion: number): void {
		const queued = toQueuedJob(req, rules, host.clock.now());
		const refusal = tryGetRefusal(queued);
		if (refusal !== undefined) {
			refuse(record, refusal);
			return;
		}

		const entry: OpenJob = {
			tracked: record, queued, request: req, rules, configVersion, hasQuota: false, sentRuns: new Map(), failureCounts: new Map(), avoidedAgents: new Map(),
		};
		open.set(req.ticket.text, entry);
		decide(entry, {
			kind: 'taken', submission: req.submission, tasks: queued.taskCount, expectedRun: queued.expectedRun, timeLeft: queued.deadlineAt - queued.arrivedAt, configVersion,
		});
		entry.timer = host.clock.after(queued.deadlineAt - host.clock.now(), () => {
			failJob(entry, {diagnostic: createDiagnostic(Diagnostics.Deadline_has_passed, queued.deadlineAt - queued.arrivedAt)});
		});
		host.quota.acquire(queued.team, queued.taskCount, isTaken => {
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
			refuse(entry.tracked, {diagnostic: createDiagnostic(Diagnostics.Quota_is_exhausted, queued.team, rules.maxTeamTasks), retryAfter: quotaRetryMs});
		} else if (rules.policy.recordBeforeStart) {
			host.recorder.whenSaved(queued.ticket, () => {
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

		return toAdmissionFailure(scheduler.checkAdmission(queued), queued, host.clock.now());
	}

	function startTask(agent: string, task: QueuedTask, newsAge?: Milliseconds): void {
		const entry = checkDefined(open.get(task.ticket), 'only open jobs have waiting tasks');
		const session = checkDefined(sessions.tryGet(agent), 'the scheduler knows open agents only');
		entry.tracked.job.markSent(task.index, task.attempt);
		if (task.attempt === 1) {
			getRetryBudget(entry.rules).recordFirstAttempt();
		}

		host.recorder.recordSent(task.ticket, task.index, {
			attempt: task.attempt,
			agent: `${session.agent.name}/${agent}`,
			upstream: session.agent.upstream,
			sentAt: host.clock.wall(),
		});
		const start = session.prepareStart({
			task: {ticket: task.ticket, index: task.index},
			attempt: task.attempt,
			taskCount: entry.queued.taskCount,
			service: entry.queued.service,
			payload: entry.request.payloads[task.index]!,
			timeoutMs: entry.rules.policy.taskTimeout,
			configVersion: entry.configVersion,
			idempotent: entry.rules.submission.idempotent,
			caller: entry.tracked.owner,
			reference: entry.request.reference,
			need: entry.queued.need?.resources,
			// A run that was ended as stalled may just be longer than declared, so the next one is not judged.
			expectedRunMs: entry.avoidedAgents.has(task.index) ? 0 : Math.round(entry.queued.expectedRun),
		});
		decide(entry, {
			kind: 'started', index: task.index, attempt: task.attempt, agent: session.agent.name, upstream: session.agent.upstream, waited: Math.round(host.clock.now() - entry.queued.arrivedAt), newsAge: newsAge === undefined ? undefined : Math.round(newsAge),
		});
		entry.sentRuns.set(getAttemptKey(task), {agent, stop: {task: start.task, startSeq: start.seq}});
		host.sendStart(agent, start);
	}

	function decide(entry: OpenJob, fact: Decision['fact']): void {
		host.onDecision?.({ticket: entry.queued.ticket, reference: entry.request.reference, fact});
	}

	function endAttempt(start: SentStart, end: SentStartOutcome): void {
		const outcome = toAttemptOutcome(end);
		const run = end.kind === 'result' && outcome !== 'refused' ? end.result.runMs : undefined;
		// What was stopped because its job has its answer says nothing about the upstream.
		scheduler.recordTaskEnd(start.agent.incarnation, start.ticket, open.has(start.ticket) ? outcome : 'refused', run);
		host.recorder.recordEnded(start.ticket, start.index, start.attempt, {
			endedAt: host.clock.wall(), outcome, detail: describeAttemptEnd(end), runMs: run,
		});
		host.acknowledge(start.agent.incarnation);
		const entry = open.get(start.ticket);
		if (entry === undefined) {
			return;
		}

		entry.sentRuns.delete(getAttemptKey(start));
		const attemptEnd = judgeEnd(entry, start, end);
		entry.tracked.job.markEnded(start.index, start.attempt, attemptEnd);
		if (attemptEnd.kind !== 'completed') {
			decide(entry, {
				kind: 'ended', index: start.index, attempt: start.attempt, agent: start.agent.name, upstream: start.agent.upstream, outcome, detail: describeAttemptEnd(end), next: attemptEnd.kind,
			});
		}

		if (entry.tracked.job.tryGetAnswer() !== undefined) {
			finish(entry);
		} else if (attemptEnd.kind === 'refused' || attemptEnd.kind === 'retried') {
			if (attemptEnd.kind === 'retried') {
				entry.avoidedAgents.set(start.index, [...entry.avoidedAgents.get(start.index) ?? [], start.agent.name]);
			}

			scheduler.requeue(entry.queued, {
				ticket: start.ticket, index: start.index, attempt: start.attempt + 1, failedOn: entry.avoidedAgents.get(start.index),
			});
		}
	}

	function judgeEnd(entry: OpenJob, start: SentStart, end: SentStartOutcome): AttemptEnd {
		let isLastFailure = true;
		const judged = toAttemptEnd(start, end, {
			tryRetryUnknown: () => canRestart(entry) || tryRetry(entry),
			tryRetryAborted: () => canRestart(entry),
			tryRetryFailed() {
				isLastFailure = entry.request.maxFailedRuns === undefined || !noteFailure(entry, start);
				return !isLastFailure && canRestart(entry);
			},
		});
		// Further runs were allowed, so its failure says nothing about the job: there is no time for them.
		return judged.kind === 'failed' && !isLastFailure ? {kind: 'failed', failure: createInfeasibleFailure(entry, 'deadline')} : judged;
	}

	// The last run is over for certain by then: its end was listed, or its lease has run out.
	function canRestart(entry: OpenJob): boolean {
		return entry.request.maxFailedRuns !== undefined && isFeasible(entry.queued, host.clock.now());
	}

	/** Counts a failed run; false if it was the last one allowed. */
	function noteFailure(entry: OpenJob, start: SentStart): boolean {
		const failures = (entry.failureCounts.get(start.index) ?? 0) + 1;
		entry.failureCounts.set(start.index, failures);
		return failures < entry.request.maxFailedRuns!;
	}

	// Only a single request that is idempotent may run again after an end that is not known.
	function tryRetry(entry: OpenJob): boolean {
		return entry.request.isSingleRequest && entry.rules.submission.idempotent && getRetryBudget(entry.rules).trySpend();
	}

	function recordLateEnd(agent: {readonly incarnation: string}, result: TaskResult): void {
		host.recorder.recordEnded(result.task!.ticket, result.task!.index, result.attempt, {
			endedAt: host.clock.wall(),
			outcome: toAttemptOutcome({kind: 'result', result}),
			detail: `late: ${result.detail}`,
			runMs: result.runMs,
		});
		host.acknowledge(agent.incarnation);
	}

	function failJob(entry: OpenJob, failure: JobFailure): void {
		entry.tracked.job.fail(failure);
		finish(entry);
	}

	function refuse(record: TrackedJob, failure: JobFailure): void {
		record.job.fail(failure);
		publish(record, {state: 'refused', ran: 'not-run', ...failure});
	}

	function finish(entry: OpenJob): void {
		close(entry);
		scheduler.remove(entry.queued.ticket);
		stopRuns(entry);
		releaseQuota(entry.queued, entry.hasQuota);
		publish(entry.tracked, entry.tracked.job.tryGetAnswer()!);
	}

	/** Nobody waits for what still runs of an answered job. */
	function stopRuns(entry: OpenJob): void {
		for (const {agent, stop} of entry.sentRuns.values()) {
			host.sendStop(agent, stop);
		}
	}

	function publish(record: TrackedJob, answer: Answer): void {
		host.recorder.recordAnswer(record.ticket.text, answer);
		record.answer = answer;
		host.onAnswered(record, answer, host.clock.now() - record.receivedAt);
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
