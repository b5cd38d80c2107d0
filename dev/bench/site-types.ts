/**
 * What the replay of a site's requests runs: kinds of request, jobs, troubles, and the figures that come out.
 */
import type {Resources} from '../../src/generated/kingcuplane.js';
import type {Milliseconds} from '../../src/process/clock.js';

/** One kind of request, as a site's sheet describes it. */
export type RequestKind = {
	readonly name: string;
	/** Jobs a second over the whole site. */
	readonly perSecond: number;
	/** Mean number of tasks, and the most. */
	readonly meanTasks: number;
	readonly maxTasks: number;
	/** Mean run time of a task. */
	readonly meanRun: Milliseconds;
	readonly maxRun: Milliseconds;
	/** Mean need of a task, in thousandths of a processor. */
	readonly cpu: number;
	/** What a job of mean size earns when it is answered by its objective. */
	readonly utility: number;
};

/** A deployment and its requests. */
export type Site = {
	readonly name: string;
	readonly entries: number;
	readonly agents: number;
	/** Processors of an upstream; every third one has half as many again. */
	readonly cpu: number;
	/** One-way latency between entries and agents. */
	readonly latency: Milliseconds;
	readonly kinds: readonly RequestKind[];
};

/** One job. */
export type SiteJob = {
	readonly ticket: string;
	readonly kind: RequestKind;
	readonly entry: number;
	readonly arrivedAt: Milliseconds;
	readonly runTimes: readonly Milliseconds[];
	/** Run time that the caller declares for a task. */
	readonly declaredRun: Milliseconds;
	readonly need: Resources;
	readonly deadline: Milliseconds;
	/** Time after arrival by which the answer earns all. */
	readonly objective: Milliseconds;
	/** What it earns then. */
	readonly utility: number;
};

/** What goes wrong during a run. */
export type SiteDisturbance =
	/** So many upstreams take nothing and lose what runs. */
	| {readonly kind: 'upstreams-away'; readonly count: number; readonly from: Milliseconds; readonly to: Milliseconds}
	/** So many upstreams run everything this many times longer. */
	| {readonly kind: 'upstreams-slow'; readonly count: number; readonly factor: number; readonly from: Milliseconds; readonly to: Milliseconds}
	/** Jobs arrive this many times as often. */
	| {readonly kind: 'burst'; readonly factor: number; readonly from: Milliseconds; readonly to: Milliseconds};

/** What to run. */
export type SiteScenario = {
	readonly name: string;
	readonly site: Site;
	readonly seed: number;
	readonly duration: Milliseconds;
	/** Arrival rate over that of the site's sheet. */
	readonly rateFactor: number;
	readonly disturbances: readonly SiteDisturbance[];
};

/** What one group of jobs came to. */
export type JobGroupResult = {
	readonly jobs: number;
	readonly inTime: number;
	readonly late: number;
	readonly refused: number;
	/** Earned over owed. */
	readonly utility: number;
};

/** Figures of one run. */
export type SiteResult = {
	readonly scenario: string;
	/** Work that arrives over the work that all upstreams can do. */
	readonly load: number;
	readonly all: JobGroupResult;
	readonly byKind: ReadonlyMap<string, JobGroupResult>;
	/** By tenth of the jobs of each kind, the largest last. */
	readonly largestTenth: JobGroupResult;
	/** The worst two windows of two seconds. */
	readonly worstWindowsUtility: number;
	/** Part of the worth that was held for over half the time allowed and then refused. */
	readonly heldUtility: number;
	readonly starts: number;
	readonly refusedStarts: number;
	/** Batches on all links. */
	readonly messages: number;
	/** Time from arrival to the first start of a job. */
	readonly firstStartDelay: {readonly p50: Milliseconds; readonly p99: Milliseconds};
};
