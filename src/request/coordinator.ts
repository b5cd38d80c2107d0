/**
 * The coordinator of submissions: the entry incarnation that issued a ticket, and only that one, accepts or
 * refuses its submission, starts the tasks through the scheduler, assembles the answer and updates the
 * submission record. Performs no I/O: messages are sent through the host.
 */
import {
	createAgentSessions, type ResumedStart, type SentStartOutcome, type SentStart,
} from '../connection/agent-sessions.js';
import type {
	AgentInfo, PlacementBasis, QueuedJob, QueuedTask,
} from '../connection/types.js';
import type {LossReport, TaskResult, TaskStop} from '../generated/kingcuplane.js';
import type {Milliseconds, Timer} from '../process/clock.js';
import {checkDefined} from '../process/debug.js';
import {createDiagnostic, Diagnostics} from '../process/diagnostics.js';
import {describeAttemptEnd, toAttemptOutcome} from './attempt-end.js';
import type {JobFailure} from './job.js';
import {createTrackedJob, type JobHandle, type TrackedJob} from './tracked-job.js';
import {createLostTasks, getUpstreamIncarnation} from './lost-tasks.js';
import {
	createInfeasibleFailure, createOpenJob, getAttemptKey, toUnsequencedStart, type OpenJob,
} from './open-job.js';
import {createRetryRules} from './retry-rules.js';
import {createScheduler} from './scheduler.js';
import {
	applyRules, resolveRules, toAdmissionFailure, toQueuedJob, type Caller, type JobRules, type SubmissionRequest,
} from './submission-rules.js';
import type {Answer} from './types.js';
import type {
	CoordinatorHost, Decision, SubmitOutcome, Coordinator,
} from './coordinator-types.js';

const memoryFullRetryMs = 5000;
const drainRetryMs = 100;
const quotaRetryMs = 1000;

/** Creates a coordinator without jobs or agents. */
export function createCoordinator(host: CoordinatorHost): Coordinator {
	const trackedJobs = new Map<string, TrackedJob>();
	const openJobs = new Map<string, OpenJob>();
	/** Times of the answers on the monotonic clock, by ticket, oldest first. */
	const answeredAt = new Map<string, Milliseconds>();
	let tasksStarted = 0;
	const jobCounts = {
		jobsSubmitted: 0, jobsCompleted: 0, jobsNotRun: 0, jobsUnfinished: 0,
	};
	const lostTasks = createLostTasks({clock: host.clock, getUpstreamCount: () => sessions.getOpenCount()});
	const retryRules = createRetryRules({clock: host.clock, lostTasks});

	const scheduler = (host.createScheduler ?? createScheduler)({
		clock: host.clock,
		start: startTask,
		onReportChanged: host.onDemandChanged,
		getIsolatedShare: () => lostTasks.getIsolation().share,
		mustIsolate,
		onInfeasible(ticket, reason, retryAfter) {
			const openJob = openJobs.get(ticket);
			if (openJob !== undefined) {
				failJob(openJob, createInfeasibleFailure(openJob, reason, retryAfter));
			}
		},
	});
	const sessions = createAgentSessions({
		clock: host.clock,
		graceMs: host.agentGraceMs,
		silentGraceMs: host.silentGraceMs,
		startValidityMs: host.startValidityMs,
		endsEarlierIncarnations: host.endsEarlierIncarnations,
		onAgentConnected: scheduler.addAgent,
		onAgentDisconnected(agent) {
			scheduler.removeAgent(agent.incarnation);
		},
		onAgentState(agent, state) {
			if (state.slots > 0) {
				lostTasks.log.recordAnswer(getUpstreamIncarnation(agent));
			}

			scheduler.setAgentStatus(agent.incarnation, {...state, meanRun: state.meanRunMs});
		},
		onCreditsGranted(agent, granted) {
			scheduler.setGrantedCredits(agent.incarnation, granted);
		},
		onStartEnded: endAttempt,
		onSessionEnded: host.onSessionEnded,
		onStartsResumed: stopAbandonedRuns,
		onLateResult: recordLateResult,
	});

	return {
		sessions,
		scheduler,
		lossLog: lostTasks.log,
		receiveLossReport,
		submit,
		tryGetJob: ticket => trackedJobs.get(ticket),
		cancel(ticket, by) {
			const openJob = openJobs.get(ticket);
			if (openJob === undefined) {
				return;
			}

			host.recorder.recordCancelled(ticket, by);
			failJob(openJob, {diagnostic: createDiagnostic(Diagnostics.Job_was_cancelled, by)});
		},
		failOpenJobs() {
			for (const openJob of openJobs.values()) {
				failJob(openJob, {diagnostic: createDiagnostic(Diagnostics.Entry_is_draining), retryAfter: drainRetryMs});
			}
		},
		applySnapshot(snapshot) {
			applyRules(scheduler, snapshot);
		},
		getOpenJobs: () => openJobs.size,
		getCounts: () => ({...jobCounts, tasksStarted}),
		getIsolation: lostTasks.getIsolation,
	};

	function submit(caller: Caller, req: SubmissionRequest): SubmitOutcome {
		deleteExpiredAnswers();
		const verified = host.issuer.verify(req.ticket, caller.name);
		if (verified.isErr()) {
			return {kind: 'invalid', diagnostic: verified.error};
		}

		const known = trackedJobs.get(req.ticket.text);
		if (known !== undefined) {
			return known.requestDigest === req.digest
				? {kind: 'accepted', job: known}
				: {kind: 'invalid', diagnostic: createDiagnostic(Diagnostics.Ticket_names_other_request, req.ticket.text)};
		}

		switch (host.issuer.claim(req.ticket)) {
			case 'claimed': {
				return {kind: 'accepted', job: acceptRequest(caller, req)};
			}

			case 'spent': {
				return {kind: 'forgotten'};
			}

			case 'expired': {
				return {kind: 'expired'};
			}
		}
	}

	// The ticket is spent at this point and a refusal is final. Otherwise a later copy of the request could
	// start work that was reported to the caller as not run.
	function acceptRequest(caller: Caller, req: SubmissionRequest): JobHandle {
		jobCounts.jobsSubmitted++;
		const trackedJob = createTrackedJob(caller, req, host.clock.now());
		trackedJobs.set(req.ticket.text, trackedJob);
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
			refuse(trackedJob, {diagnostic: rules});
		} else if (refusal === undefined) {
			admit(trackedJob, req, rules, snapshot!.version);
		} else {
			refuse(trackedJob, {diagnostic: refusal, retryAfter: memoryFullRetryMs});
		}

		return trackedJob;
	}

	function admit(trackedJob: TrackedJob, req: SubmissionRequest, rules: JobRules, configVersion: number): void {
		const queued = toQueuedJob(req, rules, host.clock.now());
		const openJob = createOpenJob({
			tracked: trackedJob, queued, request: req, rules, configVersion,
		});
		const hasRunBefore = lostTasks.log.hasJob(openJob.repeatableName);
		const refusal = tryGetRefusal(queued);
		if (refusal !== undefined && !hasRunBefore) {
			refuse(trackedJob, refusal);
			return;
		}

		openJobs.set(req.ticket.text, openJob);
		emitDecision(openJob, {
			kind: 'accepted', submission: req.submission, tasks: queued.taskCount, expectedRun: queued.expectedRun, timeLeft: queued.deadlineAt - queued.arrivedAt, configVersion,
		});
		if (hasRunBefore) {
			trackedJob.job.markRunBefore();
		}

		const failure = lostTasks.tryGetFailure(openJob) ?? refusal;
		if (failure !== undefined) {
			failJob(openJob, failure);
			return;
		}

		openJob.timer = host.clock.after(queued.deadlineAt - host.clock.now(), () => {
			failJob(openJob, {diagnostic: createDiagnostic(Diagnostics.Deadline_has_passed, queued.deadlineAt - queued.arrivedAt)});
		});
		host.quota.acquire(queued.team, queued.taskCount, isAcquired => {
			handleQuotaResult(openJob, isAcquired);
		});
	}

	function handleQuotaResult(openJob: OpenJob, isAcquired: boolean): void {
		const {queued, rules} = openJob;
		if (!openJobs.has(queued.ticket)) {
			releaseQuota(queued, isAcquired);
			return;
		}

		openJob.hasQuota = isAcquired;
		if (!isAcquired) {
			removeOpenJob(openJob);
			refuse(openJob.tracked, {diagnostic: createDiagnostic(Diagnostics.Quota_is_exhausted, queued.team, rules.maxTeamTasks), retryAfter: quotaRetryMs});
		} else if (rules.policy.recordBeforeStart) {
			host.recorder.whenSaved(queued.ticket, () => {
				enqueueIfOpen(openJob);
			});
		} else {
			scheduler.enqueue(queued);
		}
	}

	function releaseQuota(queued: QueuedJob, isAcquired: boolean): void {
		if (isAcquired) {
			host.quota.release(queued.team, queued.taskCount);
		}
	}

	function removeOpenJob(openJob: OpenJob): void {
		openJobs.delete(openJob.queued.ticket);
		openJob.timer?.cancel();
	}

	function enqueueIfOpen(openJob: OpenJob): void {
		if (openJobs.has(openJob.queued.ticket)) {
			scheduler.enqueue(openJob.queued);
		}
	}

	function tryGetRefusal(queued: QueuedJob): JobFailure | undefined {
		if (host.isDraining()) {
			return {diagnostic: createDiagnostic(Diagnostics.Entry_is_draining), retryAfter: drainRetryMs};
		}

		return toAdmissionFailure(scheduler.checkAdmission(queued), queued, host.clock.now());
	}

	function receiveLossReport(report: LossReport): boolean {
		const isNew = lostTasks.log.record(report);
		for (const openJob of isNew ? openJobs.values() : []) {
			const failure = lostTasks.tryGetFailure(openJob);
			if (failure !== undefined) {
				failJob(openJob, failure);
			}
		}

		return isNew;
	}

	function mustIsolate({ticket, index}: QueuedTask): boolean {
		return lostTasks.mustIsolate(checkDefined(openJobs.get(ticket), 'only open jobs have waiting tasks'), index);
	}

	function startTask(agent: string, task: QueuedTask, basis?: PlacementBasis): void {
		const openJob = checkDefined(openJobs.get(task.ticket), 'only open jobs have waiting tasks');
		const session = checkDefined(sessions.tryGet(agent), 'the scheduler chooses only agents with an open session');
		tasksStarted++;
		openJob.tracked.job.markSent(task.index, task.attempt);
		if (task.attempt === 1) {
			retryRules.recordFirstAttempt(openJob);
		}

		host.recorder.recordSent(task.ticket, task.index, {
			attempt: task.attempt,
			agent: `${session.agent.name}/${agent}`,
			upstream: session.agent.upstream,
			sentAt: host.clock.wall(),
		});
		const start = session.prepareStart(toUnsequencedStart(openJob, task, basis?.isolated ?? false));
		emitDecision(openJob, {
			kind: 'started',
			index: task.index,
			attempt: task.attempt,
			agent: session.agent.name,
			upstream: session.agent.upstream,
			waited: Math.round(host.clock.now() - openJob.queued.arrivedAt),
			newsAge: basis === undefined ? undefined : Math.round(basis.reportAge),
			isolated: basis?.isolated ?? false,
			runTimeRatio: basis?.runTimeRatio,
			backfilled: basis?.backfilled ?? false,
		});
		openJob.sentRuns.set(getAttemptKey(task), {agent, stop: {task: start.task, startSeq: start.seq}});
		host.sendStart(agent, start);
	}

	function emitDecision(openJob: OpenJob, event: Decision['event']): void {
		host.onDecision?.({ticket: openJob.queued.ticket, reference: openJob.request.reference, event});
	}

	function endAttempt(start: SentStart, end: SentStartOutcome): void {
		const outcome = toAttemptOutcome(end);
		const runTime = end.kind === 'result' && outcome !== 'refused' ? end.result.runMs : undefined;
		// The outcome of a run that was stopped because its job has an answer says nothing about the upstream.
		scheduler.recordTaskEnd(start.agent.incarnation, start.ticket, openJobs.has(start.ticket) ? outcome : 'refused', runTime);
		host.recorder.recordEnded(start.ticket, start.index, start.attempt, {
			endedAt: host.clock.wall(), outcome, detail: describeAttemptEnd(end), runMs: runTime,
		});
		host.acknowledge(start.agent.incarnation);
		const openJob = openJobs.get(start.ticket);
		if (openJob === undefined) {
			return;
		}

		openJob.sentRuns.delete(getAttemptKey(start));
		if (end.kind === 'agent-gone') {
			host.onLossSuspected?.(lostTasks.recordAgentGone(openJob, start));
		}

		const attemptEnd = retryRules.classifyEnd(openJob, start, end);
		openJob.tracked.job.markEnded(start.index, start.attempt, attemptEnd);
		if (attemptEnd.kind !== 'completed') {
			emitDecision(openJob, {
				kind: 'ended', index: start.index, attempt: start.attempt, agent: start.agent.name, incarnation: start.agent.incarnation, upstream: start.agent.upstream, outcome, detail: describeAttemptEnd(end), next: attemptEnd.kind, losses: lostTasks.log.count(openJob.repeatableName, start.index).possible,
			});
		}

		if (openJob.tracked.job.tryGetAnswer() !== undefined) {
			finish(openJob);
		} else if (attemptEnd.kind === 'refused' || attemptEnd.kind === 'retried') {
			if (attemptEnd.kind === 'retried') {
				openJob.avoidedAgents.set(start.index, [...openJob.avoidedAgents.get(start.index) ?? [], start.agent.name]);
			}

			scheduler.requeue(openJob.queued, {
				ticket: start.ticket, index: start.index, attempt: start.attempt + 1, failedOn: openJob.avoidedAgents.get(start.index),
			});
		}
	}

	function recordLateResult(agent: {readonly incarnation: string}, result: TaskResult): void {
		host.recorder.recordEnded(result.task!.ticket, result.task!.index, result.attempt, {
			endedAt: host.clock.wall(), outcome: toAttemptOutcome({kind: 'result', result}), detail: `late: ${result.detail}`, runMs: result.runMs,
		});
		host.acknowledge(agent.incarnation);
	}

	function failJob(openJob: OpenJob, failure: JobFailure): void {
		openJob.tracked.job.fail(failure);
		finish(openJob);
	}

	function refuse(trackedJob: TrackedJob, failure: JobFailure): void {
		trackedJob.job.fail(failure);
		publish(trackedJob, {state: 'refused', ran: 'not-run', ...failure});
	}

	function finish(openJob: OpenJob): void {
		removeOpenJob(openJob);
		scheduler.remove(openJob.queued.ticket);
		stopRuns(openJob);
		releaseQuota(openJob.queued, openJob.hasQuota);
		publish(openJob.tracked, openJob.tracked.job.tryGetAnswer()!);
	}

	/** Stops the remaining runs of an answered job, whose results are no longer needed. */
	function stopRuns(openJob: OpenJob): void {
		for (const {agent, stop} of openJob.sentRuns.values()) {
			host.sendStop(agent, stop);
		}
	}

	/** Stops the runs of jobs that were answered while there was no link to their agent. */
	function stopAbandonedRuns({incarnation}: AgentInfo, starts: readonly ResumedStart[]): void {
		for (const {ticket, index, seq} of starts) {
			if (!openJobs.has(ticket)) {
				host.sendStop(incarnation, {task: {ticket, index}, startSeq: seq});
			}
		}
	}

	function publish(trackedJob: TrackedJob, answer: Answer): void {
		countAnswer(answer);
		host.recorder.recordAnswer(trackedJob.ticket.text, answer);
		trackedJob.answer = answer;
		host.onAnswered(trackedJob, answer, host.clock.now() - trackedJob.receivedAt);
		answeredAt.set(trackedJob.ticket.text, host.clock.now());
		for (const listener of trackedJob.listeners) {
			listener(answer);
		}

		trackedJob.listeners.clear();
	}

	function countAnswer({state, ran}: Answer): void {
		if (state === 'complete') {
			jobCounts.jobsCompleted++;
		} else if (ran === 'not-run') {
			jobCounts.jobsNotRun++;
		} else {
			jobCounts.jobsUnfinished++;
		}
	}

	function deleteExpiredAnswers(): void {
		const oldest = host.clock.now() - host.answerKeepMs;
		for (const [ticket, at] of answeredAt) {
			if (at >= oldest) {
				return;
			}

			answeredAt.delete(ticket);
			trackedJobs.delete(ticket);
		}
	}
}
