/**
 * Types of the coordinator of submissions: its host, its operations and its events.
 */
import type {AgentSessions, EndedSession} from '../connection/agent-sessions.js';
import type {Scheduler, SchedulerHost, TeamQuota} from '../connection/types.js';
import type {LossLog} from '../connection/loss-log.js';
import type {LossReport, TaskStart, TaskStop} from '../generated/kingcuplane.js';
import type {Clock, Milliseconds} from '../process/clock.js';
import type {Diagnostic} from '../process/diagnostics.js';
import type {Snapshot} from '../version/types.js';
import type {Isolation} from './lost-tasks.js';
import type {JobHandle} from './tracked-job.js';
import type {createScheduler} from './scheduler.js';
import type {Caller, SubmissionRequest} from './submission-rules.js';
import type {TicketIssuer} from './ticket.js';
import type {Answer, SubmissionRecorder} from './types.js';

/** Dependencies and settings of the coordinator. */
export type CoordinatorHost = {
	readonly clock: Clock;
	/** Name of the entry. */
	readonly entry: string;
	readonly issuer: TicketIssuer;
	readonly recorder: SubmissionRecorder;
	readonly quota: TeamQuota;
	/**
	 * Whether a hello from a new incarnation of an agent proves that all runs of its earlier incarnations have ended.
	 */
	readonly endsEarlierIncarnations?: boolean;
	/** How long an agent may stay disconnected after its link was closed before its starts are abandoned. */
	readonly agentGraceMs: Milliseconds;
	/** The same after a silence timeout of its link; `agentGraceMs` if undefined. */
	readonly silentGraceMs?: Milliseconds;
	/** Time for which a start remains valid after it was sent; unlimited if undefined. */
	readonly startValidityMs?: Milliseconds;
	/** How long an answer with its payloads is retained. */
	readonly answerKeepMs: Milliseconds;
	readonly maxTasks: number;
	/** Creates the scheduler that places tasks; the credit-based scheduler if undefined. */
	createScheduler?(host: SchedulerHost): Scheduler;
	/** Returns the active configuration. */
	tryGetSnapshot(): Snapshot | undefined;
	isDraining(): boolean;
	/** Sends a start on the link of an agent. */
	sendStart(agent: string, start: TaskStart): void;
	/** Sends a stop call to an agent for a run whose result is no longer needed. */
	sendStop(agent: string, stop: TaskStop): void;
	/** Called when the wanted or returned credits of an agent have changed and must be reported to it. */
	onDemandChanged(agent: string): void;
	/** Called when a result of an agent was handled, so that it can be acknowledged. */
	acknowledge(agent: string): void;
	/** Called when a run was lost together with the agent of its upstream, so that other entries can be told. */
	onLossSuspected?(report: LossReport): void;
	/** Called when the session of an agent has ended, before its starts are reported as ended, for the log. */
	onSessionEnded?(ended: EndedSession): void;
	/** Called with each decision about a submission, for the log. */
	onDecision?(decision: Decision): void;
	/** Called when a submission has its final answer, `elapsed` after its request was received. */
	onAnswered(job: JobHandle, answer: Answer, elapsed: Milliseconds): void;
};

/** A decision of the coordinator about a submission, and the data it was based on. */
export type Decision = {
	readonly ticket: string;
	/** The caller's own name for the submission. */
	readonly reference: string;
	readonly event:
		| {readonly kind: 'accepted'; readonly submission: string; readonly tasks: number; readonly expectedRun: Milliseconds; readonly timeLeft: Milliseconds; readonly configVersion: number}
		| {
			readonly kind: 'started'; readonly index: number; readonly attempt: number; readonly agent: string; readonly upstream: string;
			/** Time since the submission was accepted. */
			readonly waited: Milliseconds;
			/**
			 * Age of the agent's report of free resources that the choice was based on; undefined if it was based on a
			 * credit.
			 */
			readonly newsAge: Milliseconds | undefined;
			/** Whether the task must not run beside tasks of other jobs, because it may crash its upstream. */
			readonly isolated: boolean;
			/** Run time on the upstream over the declared one that was assumed; undefined if speed did not count. */
			readonly runTimeRatio?: number;
			/** Whether the task uses resources that are reserved for a later start of another job. */
			readonly backfilled: boolean;
		}
		| {
			readonly kind: 'ended'; readonly index: number; readonly attempt: number; readonly agent: string; readonly incarnation: string; readonly upstream: string;
			readonly outcome: string; readonly detail: string;
			/** What follows for the task: the kind of an `AttemptEnd`. */
			readonly next: string;
			/** Number of upstreams that have crashed, or may have crashed, while the task ran on them. */
			readonly losses: number;
		};
};

/** Result of {@link Coordinator.submit}. */
export type SubmitOutcome =
	/** The job will have an answer, or already has one if the request was repeated. */
	| {readonly kind: 'accepted'; readonly job: JobHandle}
	/** The ticket was used before, and its answer is no longer in memory but in the submission record. */
	| {readonly kind: 'forgotten'}
	/** The ticket has expired and cannot start anything. If it was used, there is a submission record. */
	| {readonly kind: 'expired'}
	/** The request cannot be served under this ticket; nothing was started or changed. */
	| {readonly kind: 'invalid'; readonly diagnostic: Diagnostic};

/** Numbers since the start of a process. */
export type JobCounts = {
	readonly jobsSubmitted: number;
	readonly jobsCompleted: number;
	/** Jobs that were refused or given up and that certainly have not run. */
	readonly jobsNotRun: number;
	/** All others that have ended: failed, cancelled, or past their deadline. */
	readonly jobsUnfinished: number;
	readonly tasksStarted: number;
};

/** The coordinator of all tickets that one entry incarnation issued. */
export type Coordinator = {
	readonly sessions: AgentSessions;
	readonly scheduler: Scheduler;
	/** What is known about runs that were lost together with their upstream. */
	readonly lossLog: Pick<LossLog, 'getReportsSince'>;
	/** Applies the report of an agent or of another entry. Returns whether it contained anything new. */
	receiveLossReport(report: LossReport): boolean;
	submit(caller: Caller, req: SubmissionRequest): SubmitOutcome;
	tryGetJob(ticket: string): JobHandle | undefined;
	/** Fails a job that has no answer yet, on behalf of `by`. Its waiting tasks are never started. */
	cancel(ticket: string, by: string): void;
	/** Fails every job that has no answer yet, because this process is shutting down. */
	failOpenJobs(): void;
	/** Applies the rules of a version to the scheduler. */
	applySnapshot(snapshot: Snapshot): void;
	/** Returns the number of accepted jobs without an answer. */
	getOpenJobs(): number;
	/** Returns how many submissions and task starts there were since the start of the process. */
	getCounts(): JobCounts;
	/** Returns which tasks are kept apart from those of other jobs at present. */
	getIsolation(): Isolation;
};
