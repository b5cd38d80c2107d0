/**
 * What the home of submissions needs, does and tells.
 */
import type {AgentSessions} from '../connection/agent-sessions.js';
import type {Scheduler, SchedulerHost, TeamQuota} from '../connection/types.js';
import type {TaskStart, TaskStop} from '../generated/kingcuplane.js';
import type {Clock, Milliseconds} from '../process/clock.js';
import type {Diagnostic} from '../process/diagnostics.js';
import type {Snapshot} from '../version/types.js';
import type {JobHandle} from './tracked-job.js';
import type {createScheduler} from './scheduler.js';
import type {Caller, SubmissionRequest} from './submission-rules.js';
import type {TicketIssuer} from './ticket.js';
import type {Answer, SubmissionRecorder} from './types.js';

/** Effects and surroundings of the home. */
export type CoordinatorHost = {
	readonly clock: Clock;
	/** Name of the entry. */
	readonly entry: string;
	readonly issuer: TicketIssuer;
	readonly recorder: SubmissionRecorder;
	readonly quota: TeamQuota;
	/** Whether an agent that comes back as another incarnation vouches that its earlier runs are over. */
	readonly endsEarlierIncarnations?: boolean;
	/** How long an agent may stay away after its link was closed before its starts are given up. */
	readonly agentGraceMs: Milliseconds;
	/** The same after its link went silent; as `agentGraceMs` if undefined. */
	readonly silentGraceMs?: Milliseconds;
	/** How long the payloads of an answer are kept. */
	readonly answerKeepMs: Milliseconds;
	readonly maxTasks: number;
	/** Chooses where tasks run; by credits if undefined. */
	createScheduler?(host: SchedulerHost): Scheduler;
	/** The configuration in force. */
	tryGetSnapshot(): Snapshot | undefined;
	isDraining(): boolean;
	/** Puts a start on the link of an agent. */
	sendStart(agent: string, start: TaskStart): void;
	/** Asks an agent to end a run whose answer nobody waits for. */
	sendStop(agent: string, stop: TaskStop): void;
	/** Wanted or returned credits are to be told to this agent. */
	onDemandChanged(agent: string): void;
	/** A result of this agent was handled. */
	acknowledge(agent: string): void;
	/** A decision about a submission, for the log. */
	onDecision?(decision: Decision): void;
	/** A submission has its final answer, `elapsed` after it was taken. */
	onAnswered(job: JobHandle, answer: Answer, elapsed: Milliseconds): void;
};

/** A decision about a submission and what it was based on. Source: the home. */
export type Decision = {
	readonly ticket: string;
	/** The caller's own name for the submission. */
	readonly reference: string;
	readonly fact:
		| {readonly kind: 'taken'; readonly submission: string; readonly tasks: number; readonly expectedRun: Milliseconds; readonly timeLeft: Milliseconds; readonly configVersion: number}
		| {
			readonly kind: 'started'; readonly index: number; readonly attempt: number; readonly agent: string; readonly upstream: string;
			/** Time since the submission was taken. */
			readonly waited: Milliseconds;
			/** Age of the news of free room that led to this agent; undefined if a credit did. */
			readonly newsAge: Milliseconds | undefined;
		}
		| {
			readonly kind: 'ended'; readonly index: number; readonly attempt: number; readonly agent: string; readonly upstream: string;
			readonly outcome: string; readonly detail: string;
			/** What follows for the task. */
			readonly next: string;
		};
};

/** How the home takes a request. */
export type SubmitOutcome =
	/** The answer follows, or stands already for a repeated request. */
	| {readonly kind: 'taken'; readonly job: JobHandle}
	/** The ticket was used before and its answer is no longer in memory; the record tells. */
	| {readonly kind: 'forgotten'}
	/** The ticket's lifetime is over: it starts nothing any more. If it was used, there is a record. */
	| {readonly kind: 'expired'}
	/** The request cannot be served under this ticket; nothing was started or changed. */
	| {readonly kind: 'invalid'; readonly diagnostic: Diagnostic};

/** The home of one entry incarnation. */
export type Coordinator = {
	readonly sessions: AgentSessions;
	readonly scheduler: Scheduler;
	submit(caller: Caller, req: SubmissionRequest): SubmitOutcome;
	tryGetJob(ticket: string): JobHandle | undefined;
	/** Ends a job that has no answer yet; waiting tasks are never started. */
	cancel(ticket: string, by: string): void;
	/** Ends every job that has no answer yet, because this process is about to end. */
	failOpenJobs(): void;
	/** Applies the rules of a version to the scheduler. */
	applySnapshot(snapshot: Snapshot): void;
	/** Jobs without an answer. */
	getOpenJobs(): number;
};
