/**
 * Types of the bench: jobs, placements and results.
 */
import type {Clock, Milliseconds} from '../../src/process/clock.js';

/** One job of the workload. */
export type BenchJob = {
	readonly ticket: string;
	/** Index of the entry that receives the job. */
	readonly entry: number;
	readonly team: string;
	readonly arrivedAt: Milliseconds;
	/** Run time of each task. */
	readonly runTimes: readonly Milliseconds[];
	/** Run time per task that the caller declares. */
	readonly declaredRun: Milliseconds;
	/** Time after arrival within which the job must be answered. */
	readonly deadline: Milliseconds;
	/** Time after arrival at which the caller cancels the job; undefined if never. */
	readonly cancelAfter: Milliseconds | undefined;
};

/** Returns how an upstream runs a task whose normal run time is `runTime`. */
export type UpstreamBehaviour = (agent: number, runTime: Milliseconds) => UpstreamRun;

/** Time that a task takes at an upstream, and whether it fails. */
export type UpstreamRun = {
	readonly duration: Milliseconds;
	readonly isFailed: boolean;
};

/** Cluster and load of one run. */
export type Scenario = {
	readonly name: string;
	readonly seed: number;
	readonly agents: number;
	readonly slots: number;
	readonly entries: number;
	/** One-way latency between entries and agents. */
	readonly latency: Milliseconds;
	readonly jobs: readonly BenchJob[];
	readonly behaviour: UpstreamBehaviour;
	/** Time at which entry 0 is lost; undefined if never. */
	readonly entryLostAt: Milliseconds | undefined;
};

/**
 * Number of messages by content. A batch with a start or a result is sent in any case, so it counts as that whatever
 * else it carries.
 */
export type MessageCounts = {
	/** Batches with starts. */
	starts: number;
	/** Batches with the result of a task that ran. */
	results: number;
	/** Batches that only report demand or return credits. */
	loneReports: number;
	/** Batches that only grant credits. */
	loneGrants: number;
	/** Batches that only refuse a start. */
	refusals: number;
	/** Probe requests and responses. */
	probes: number;
	heartbeats: number;
};

/** How a task ended. */
export type TaskEnd = 'completed' | 'failed' | 'lost';

/** The environment of a placement: clock, scenario, message counters and callbacks. */
export type PlacementHost = {
	readonly clock: Clock;
	readonly scenario: Scenario;
	readonly messages: MessageCounts;
	/** Called when the result of a task has arrived at the entry of its job. */
	onTaskEnded(job: BenchJob, end: TaskEnd): void;
	/** Called when the job was refused at submission. */
	onJobRefused(job: BenchJob): void;
};

/** A policy that assigns tasks to upstreams. */
export type Placement = {
	submit(job: BenchJob): void;
	/** Removes the tasks of a job that have not started. */
	cancel(job: BenchJob): void;
	/** Cancels all periodic timers, so that the run can end. */
	stop(): void;
};

/** Creates a placement. */
export type PlacementFactory = (host: PlacementHost) => Placement;

/** Names of the placements. */
export const placementNames = ['all-knowing', 'response', 'messages', 'two-choices', 'two-probes', 'round-robin', 'random'] as const;

/** Name of one placement. */
export type PlacementName = (typeof placementNames)[number];

/** Quantiles and mean of one measure. */
export type Quantiles = {
	readonly p50: number;
	readonly p99: number;
	readonly p999: number;
	readonly mean: number;
};

/** The result of one run. */
export type BenchResult = {
	readonly scenario: string;
	readonly placement: PlacementName;
	/** Response time over that of the job with all slots to itself. */
	readonly slowdown: Quantiles;
	/** Slowdown of the tenth of the jobs with the most work. */
	readonly largestSlowdown: Quantiles;
	/** Messages that place tasks, including starts, per placed task. */
	readonly messagesPerTask: number;
	/** Messages that place tasks but carry no start that is run, per placed task. */
	readonly wastedPerTask: number;
	readonly messages: MessageCounts;
	readonly completed: number;
	readonly failed: number;
	readonly refused: number;
	readonly cancelled: number;
	/** Jobs without an answer at the end of the run; 0 unless a task or a slot was leaked. */
	readonly unanswered: number;
};

export {type PlacementMode} from '../../src/version/types.js';
