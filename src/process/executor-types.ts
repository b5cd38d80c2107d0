/**
 * Executors: upstreams that run tasks under leases and are ordered about by exactly one agent.
 */
import type {Milliseconds} from './clock.js';

/** Names one run of one task at an executor. */
export type RunId = {
	readonly task: string;
	/** Grows with each start of the task. */
	readonly run: number;
};

/** An order to start a run. */
export type StartCommand = RunId & {
	/** What the task does, as its caller described it. */
	readonly spec: string;
	/** Time on the executor's clock at which everything that runs there ends unless the lease is renewed. */
	readonly leaseExpiresAt: Milliseconds;
	/** Orders with a lower token than the executor has seen have no effect. */
	readonly fencingToken: number;
};

/** What an executor did with an order. */
export type CommandOutcome =
	/** Carried out, now or earlier. */
	| {readonly kind: 'done'}
	/** Refused: another agent, or an earlier life of this one, has used a higher fencing token. */
	| {readonly kind: 'fenced'}
	/** Refused: this run or a later one of the task has been stopped or has ended there. */
	| {readonly kind: 'superseded'}
	/** Refused: the lease in the order had run out when it arrived. */
	| {readonly kind: 'expired'}
	/** Refused: the task does not fit. */
	| {readonly kind: 'no-room'}
	/** Refused: the executor is another life than the one meant. */
	| {readonly kind: 'other-life'}
	/** Refused without effect: the executor is unhealthy or overloaded. */
	| {readonly kind: 'unavailable'}
	/** Refused: the order itself is faulty. */
	| {readonly kind: 'invalid'; readonly detail: string}
	/** It may have been carried out, and may still be carried out seconds later. */
	| {readonly kind: 'no-answer'; readonly detail: string};

/** How a run ended. */
export type RunOutcome = 'completed' | 'failed' | 'aborted';

/** A run under way. */
export type ActiveRun = RunId & {
	/** Progress in percent. */
	readonly percent: number;
};

/** A run that has ended; listed until it is acknowledged. */
export type EndedRun = RunId & {
	/** Position among the ends of this life, from 1. */
	readonly sequenceNumber: number;
	readonly outcome: RunOutcome;
	readonly detail: string;
};

/** What an executor holds. */
export type ExecutorStatus = {
	/** Which life of the executor this is; undefined if it does not tell. */
	readonly executorStartedAt: number | undefined;
	readonly running: readonly ActiveRun[];
	readonly ended: readonly EndedRun[];
};

/** A question for what an executor holds, which may renew its lease. */
export type PollRequest = {
	/** Undefined leaves the lease as it is. */
	readonly leaseExpiresAt: Milliseconds | undefined;
	readonly fencingToken: number;
	/** Ends up to this number need not be listed again. */
	readonly acknowledgedSequenceNumber: number;
	/** How long the executor waits for an end before it answers. */
	readonly waitMs: Milliseconds;
};

/** The answer to a question for what an executor holds. */
export type PollOutcome =
	| {readonly kind: 'held'; readonly status: ExecutorStatus}
	| Exclude<CommandOutcome, {readonly kind: 'done'}>;

/** An answer with the executor's clock at that time, if it told it. */
export type WithExecutorTime<T> = {
	readonly outcome: T;
	readonly executorTime: Milliseconds | undefined;
};

/** Orders to one life of one executor. No call throws, and each has its own time-out. */
export type Executor = {
	start(order: StartCommand): Promise<WithExecutorTime<CommandOutcome>>;
	stop(run: RunId, fencingToken: number): Promise<WithExecutorTime<CommandOutcome>>;
	poll(req: PollRequest): Promise<WithExecutorTime<PollOutcome>>;
	close(): Promise<void>;
};
