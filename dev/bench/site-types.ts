/**
 * Types of the replay of a site's requests: kinds of request, jobs, disturbances and results.
 */
import type {Resources} from '../../src/generated/kingcuplane.js';
import type {Milliseconds} from '../../src/process/clock.js';

/** One kind of request, as the users' data sheet of a site describes it. */
export type RequestKind = {
	readonly name: string;
	/** Jobs per second at all entries of the site. */
	readonly perSecond: number;
	/** Mean number of tasks of a job. */
	readonly meanTasks: number;
	readonly maxTasks: number;
	/** Mean run time of a task. */
	readonly meanRun: Milliseconds;
	readonly maxRun: Milliseconds;
	/** Mean processor requirement of a task, in thousandths of a processor. */
	readonly cpu: number;
	/** Utility of a job of mean size that is answered within its objective. */
	readonly utility: number;
	/** Jobs that take far longer than the others; none if undefined. */
	readonly tail?: {readonly share: number; readonly factor: number};
};

/** A deployment and its requests. */
export type Site = {
	readonly name: string;
	readonly entries: number;
	readonly agents: number;
	/** Processors of an upstream, in thousandths; every third upstream has 1.5 times as many. */
	readonly cpu: number;
	/** One-way latency between entries and agents. */
	readonly latency: Milliseconds;
	/** Run times on the upstreams, in turn, over the nominal ones; all 1 if undefined. */
	readonly speeds?: readonly number[];
	/** Whether long jobs have deadlines as far off as a late answer is useful. */
	readonly hasLooseDeadlines?: boolean;
	readonly kinds: readonly RequestKind[];
};

/** One job. */
export type SiteJob = {
	readonly ticket: string;
	readonly kind: RequestKind;
	readonly entry: number;
	readonly arrivedAt: Milliseconds;
	readonly runTimes: readonly Milliseconds[];
	/** Run time per task that the caller declares. */
	readonly declaredRun: Milliseconds;
	readonly need: Resources;
	readonly deadline: Milliseconds;
	/** Time after arrival within which an answer earns the full utility. */
	readonly objective: Milliseconds;
	/** Utility of an answer within the objective. */
	readonly utility: number;
};

/** A disturbance during a run. */
export type SiteDisturbance =
	/** `count` upstreams accept no start and lose their running tasks. */
	| {readonly kind: 'upstreams-away'; readonly count: number; readonly from: Milliseconds; readonly to: Milliseconds}
	/** `count` upstreams take `factor` times as long for each task. */
	| {readonly kind: 'upstreams-slow'; readonly count: number; readonly factor: number; readonly from: Milliseconds; readonly to: Milliseconds}
	/** The arrival rate is `factor` times as high. */
	| {readonly kind: 'burst'; readonly factor: number; readonly from: Milliseconds; readonly to: Milliseconds};

/** A load on a site, with disturbances. */
export type SiteScenario = {
	readonly name: string;
	readonly site: Site;
	readonly seed: number;
	readonly duration: Milliseconds;
	/** Arrival rate over that of the site's data sheet. */
	readonly rateFactor: number;
	readonly disturbances: readonly SiteDisturbance[];
	readonly links: LinkPlan;
	/** Whether resources are reserved for large tasks that wait; no if undefined. */
	readonly lookAhead?: boolean;
	/** Whether there is one entry without delays to the agents, which knows the run times; no if undefined. */
	readonly isAllKnowing?: boolean;
};

/** Which links are open and how often agents report on them. */
export type LinkPlan = {
	/** Number of entries that each agent is linked to, chosen by rendezvous hashing; all if undefined. */
	readonly perAgent?: number;
	/** Interval between reports while the agent runs tasks of the entry. */
	readonly heartbeatMs: Milliseconds;
	/** Interval between reports while it runs none. */
	readonly idleHeartbeatMs: Milliseconds;
};

/** The result of a group of jobs. */
export type JobGroupResult = {
	readonly jobs: number;
	readonly inTime: number;
	readonly late: number;
	readonly refused: number;
	/** Earned over possible utility. */
	readonly utility: number;
	/** Time from the arrival to the answer of the completed jobs. */
	readonly response: {readonly p50: Milliseconds; readonly p99: Milliseconds};
};

/** The result of one run. */
export type SiteResult = {
	readonly scenario: string;
	/** Arriving work over the capacity of all upstreams. */
	readonly load: number;
	readonly all: JobGroupResult;
	readonly byKind: ReadonlyMap<string, JobGroupResult>;
	/** The largest tenth of the jobs of each kind. */
	readonly largestTenth: JobGroupResult;
	/** Mean utility of the worst two windows of two seconds. */
	readonly worstWindowsUtility: number;
	/** Share of the utility of jobs that waited for over half their deadline and ended without a start. */
	readonly heldUtility: number;
	readonly starts: number;
	readonly refusedStarts: number;
	/** Number of batches on all links. */
	readonly messages: number;
	/** Time from arrival to the first start of a job. */
	readonly firstStartDelay: {readonly p50: Milliseconds; readonly p99: Milliseconds};
};
