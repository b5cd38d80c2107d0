/**
 * What the bench runs: jobs, ways to place them, and the figures that come out.
 */
import type {Clock, Milliseconds} from '../../src/process/clock.js';

/** One job of the workload. */
export type BenchJob = {
	readonly ticket: string;
	/** Index of the entry that gets it. */
	readonly entry: number;
	readonly team: string;
	readonly arrivedAt: Milliseconds;
	/** Run time of each task. */
	readonly runTimes: readonly Milliseconds[];
	/** Run time that the caller declares for one task. */
	readonly declaredRun: Milliseconds;
	/** Time allowed for the answer. */
	readonly deadline: Milliseconds;
	/** Time after arrival at which the caller gives up; undefined if never. */
	readonly cancelAfter: Milliseconds | undefined;
};

/** What an upstream does with one task. */
export type UpstreamBehaviour = (agent: number, run: Milliseconds) => UpstreamRun;

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
	/** Time at which entry 0 is lost; undefined if it stays. */
	readonly entryLostAt: Milliseconds | undefined;
};

/** Messages by what they carry. A batch that carries a start or a result goes anyway. */
export type MessageCounts = {
	/** Batches with starts. */
	starts: number;
	/** Batches with the result of a task that ran. */
	results: number;
	/** Batches that only tell demand or hand credits back. */
	loneReports: number;
	/** Batches that only grant credits. */
	loneGrants: number;
	/** Batches that only refuse a start. */
	refusals: number;
	/** Requests for a probe, and answers to them. */
	probes: number;
	heartbeats: number;
};

/** How a task ended. */
export type TaskEnd = 'completed' | 'failed' | 'lost';

/** Effects of a way to place tasks. */
export type PlacementHost = {
	readonly clock: Clock;
	readonly scenario: Scenario;
	readonly messages: MessageCounts;
	/** A task's result has arrived at the job's entry. */
	onTaskEnded(job: BenchJob, end: TaskEnd): void;
	/** The job was not taken. */
	onJobRefused(job: BenchJob): void;
};

/** A way to place tasks. */
export type Placement = {
	submit(job: BenchJob): void;
	/** Takes the tasks of a job out that have not started. */
	cancel(job: BenchJob): void;
	/** Stops all periodic work, so that the run can end. */
	stop(): void;
};

/** Creates a way to place tasks. */
export type PlacementFactory = (host: PlacementHost) => Placement;

/** Names of the ways to place tasks. */
export const placementNames = ['all-knowing', 'response', 'messages', 'two-choices', 'two-probes', 'round-robin', 'random'] as const;

/** Name of one way to place tasks. */
export type PlacementName = (typeof placementNames)[number];

/** Quantiles of one measure. */
export type Quantiles = {
	readonly p50: number;
	readonly p99: number;
	readonly p999: number;
	readonly mean: number;
};

/** Figures of one run. */
export type BenchResult = {
	readonly scenario: string;
	readonly placement: PlacementName;
	/** Response time over the time of the work alone. */
	readonly slowdown: Quantiles;
	/** The same for the tenth of the jobs that have the most work. */
	readonly largestSlowdown: Quantiles;
	/** Messages that place tasks, each start counted, for one placed task. */
	readonly messagesPerTask: number;
	/** Of these, the ones that carry no start that is run. */
	readonly wastedPerTask: number;
	readonly messages: MessageCounts;
	readonly completed: number;
	readonly failed: number;
	readonly refused: number;
	readonly cancelled: number;
	/** Jobs without an answer when the run ended; 0 unless something leaked. */
	readonly unanswered: number;
};

export {type PlacementMode} from '../../src/version/types.js';
