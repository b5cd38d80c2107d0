/**
 * The users' sites, as their data sheets describe them, and the scenarios that are replayed.
 */
import type {Milliseconds} from '../../src/process/clock.js';
import {createRandom, type Random} from './random.js';
import type {
	LinkPlan, RequestKind, Site, SiteJob, SiteScenario, SiteDisturbance,
} from './site-types.js';

/** Deadline of a job; clients specify 1,497 to 2,998 ms. */
const deadline: Milliseconds = 1500;
/** The objective of a job is this factor times its longest task, plus a margin. */
export const stretch = 1.6;
export const marginMs: Milliseconds = 60;
/** Maximum relative error of declared run times, in both directions. */
const declaredError = 0.4;
/** Maximum relative deviation of run times and sizes from their means. */
const relativeSpread = 0.4;
/** Utility of a job relative to its kind: a fixed part plus a part proportional to its work, up to a maximum. */
const sizeWeight = {fixed: 0.3, byWork: 0.7, maxWeight: 4};

const smallMix = (cpu: number): readonly RequestKind[] => [
	{
		name: 'check', perSecond: 34.4, meanTasks: 8, maxTasks: 32, meanRun: 60, maxRun: 240, cpu, utility: 0.0291,
	},
	{
		name: 'confirm', perSecond: 6.25, meanTasks: 4, maxTasks: 16, meanRun: 900, maxRun: 3600, cpu, utility: 0.16,
	},
	{
		name: 'ping', perSecond: 100, meanTasks: 2, maxTasks: 8, meanRun: 200, maxRun: 800, cpu, utility: 0.01,
	},
];

type Rates = Readonly<Record<string, {readonly perSecond: number; readonly utility: number}>>;

const grownRates: Rates = {
	check: {perSecond: 156, utility: 0.004_85}, confirm: {perSecond: 35.5, utility: 0.0267}, ping: {perSecond: 454, utility: 0.001_67},
};
const largeRates: Rates = {
	check: {perSecond: 234, utility: 0.003_23}, confirm: {perSecond: 53.1, utility: 0.0178}, ping: {perSecond: 681, utility: 0.001_11},
};

const grownMix = (cpu: number, rates: Rates = grownRates): readonly RequestKind[] => smallMix(cpu).map(kind => ({...kind, ...rates[kind.name]}));

type Kind = Pick<RequestKind, 'perSecond' | 'meanRun'>;

/** Requests of a site where upstreams differ in speed. */
const unevenMix = (cpu: number, rates: {readonly check: Kind; readonly confirm: Kind; readonly ping: Kind}, tail?: RequestKind['tail']): readonly RequestKind[] => [
	{
		name: 'check', meanTasks: 8, maxTasks: 32, maxRun: 540, cpu, utility: 0.004_85, tail, ...rates.check,
	},
	{
		name: 'confirm', meanTasks: 4, maxTasks: 16, maxRun: 8100, cpu, utility: 0.0267, tail, ...rates.confirm,
	},
	{
		name: 'ping', meanTasks: 2, maxTasks: 8, maxRun: 1800, cpu, utility: 0.001_67, tail, ...rates.ping,
	},
];

/** The sites by name. The `-grown` and `-large` sites have more entries, agents and requests. */
export const sites: Readonly<Record<string, Site>> = {
	baonhan: {
		name: 'baonhan', entries: 4, agents: 11, cpu: 16_000, latency: 0.9, kinds: smallMix(1600),
	},
	canopy: {
		name: 'canopy', entries: 4, agents: 11, cpu: 32_000, latency: 0.5, kinds: smallMix(3100),
	},
	'baonhan-grown': {
		name: 'baonhan-grown', entries: 11, agents: 63, cpu: 16_000, latency: 0.9, kinds: grownMix(1500),
	},
	'canopy-grown': {
		name: 'canopy-grown', entries: 14, agents: 75, cpu: 32_000, latency: 0.9, kinds: grownMix(3500),
	},
	'sawt-grown': {
		name: 'sawt-grown', entries: 11, agents: 64, cpu: 32_000, latency: 0.9, kinds: grownMix(3100),
	},
	'baonhan-large': {
		name: 'baonhan-large', entries: 35, agents: 160, cpu: 16_000, latency: 1.4, kinds: grownMix(2500, largeRates),
	},
	'omaruru-grown': {
		name: 'omaruru-grown', entries: 8, agents: 52, cpu: 64_000, latency: 0.5, speeds: [0.7, 0.7, 1.7], hasLooseDeadlines: true, kinds: unevenMix(4900, {
			check: {perSecond: 127, meanRun: 73}, confirm: {perSecond: 23.1, meanRun: 1086}, ping: {perSecond: 369, meanRun: 243},
		}, {share: 0.03, factor: 7}),
	},
	'lochan-grown': {
		name: 'lochan-grown', entries: 10, agents: 59, cpu: 32_000, latency: 1.4, speeds: [1, 1, 1.3], hasLooseDeadlines: true, kinds: unevenMix(2800, {
			check: {perSecond: 144, meanRun: 86}, confirm: {perSecond: 26.2, meanRun: 1286}, ping: {perSecond: 420, meanRun: 286},
		}),
	},
};

/** Returns the processors of one upstream, in thousandths. */
export function getUpstreamCpu(site: Site, agent: number): number {
	return agent % 3 === 2 ? site.cpu * 1.5 : site.cpu;
}

/** Returns the run times on one upstream over the nominal ones. */
export function getUpstreamSpeed({speeds = [1]}: Site, agent: number): number {
	return speeds[agent % speeds.length]!;
}

/** Returns the work that arrives at the site's own rate over the capacity of all upstreams. */
export function getNominalLoad(site: Site): number {
	let capacity = 0;
	for (let agent = 0; agent < site.agents; agent++) {
		capacity += getUpstreamCpu(site, agent) / getUpstreamSpeed(site, agent);
	}

	return site.kinds.reduce((sum, kind) => sum + (kind.perSecond * kind.meanTasks * kind.meanRun * kind.cpu / 1000), 0) / capacity;
}

/** Creates the scenarios of a site: loads relative to its capacity, and disturbances typical of the users' operation. */
export function createSiteScenarios(site: Site, seed: number, duration: Milliseconds, links: LinkPlan): readonly SiteScenario[] {
	const base = {
		site, seed, duration, links,
	};
	const getRateFactor = (load: number) => load / getNominalLoad(site);
	const createDisturbedScenario = (name: string, ...disturbances: readonly SiteDisturbance[]): SiteScenario => ({
		...base, name: `${site.name}, ${name}`, rateFactor: 1, disturbances,
	});
	const third = Math.ceil(site.agents / 3);
	return [
		...[0.6, 1, 1.3, 2].map(load => ({
			...base, name: `${site.name}, load ${load}`, rateFactor: getRateFactor(load), disturbances: [],
		})),
		createDisturbedScenario('as the sheet says'),
		createDisturbedScenario('bursts of 1.3', ...[1, 4].map((sixth): SiteDisturbance => ({
			kind: 'burst', factor: 1.3, from: duration * sixth / 6, to: duration * (sixth + 1) / 6,
		}))),
		createDisturbedScenario('all upstreams away for 2 s', {
			kind: 'upstreams-away', count: site.agents, from: duration / 2, to: (duration / 2) + 2000,
		}),
		createDisturbedScenario('a third away for 5 s and a burst', {
			kind: 'upstreams-away', count: third, from: duration / 3, to: (duration / 3) + 5000,
		}, {
			kind: 'burst', factor: 1.5, from: duration / 3, to: (duration / 3) + 4000,
		}),
		createDisturbedScenario('a third slow by 4', {
			kind: 'upstreams-slow', count: third, factor: 4, from: duration / 3, to: (duration / 3) + 6000,
		}),
	];
}

/** Generates the jobs of a scenario in order of arrival. */
export function createSiteJobs({
	site, seed, duration, rateFactor, disturbances,
}: Omit<SiteScenario, 'name' | 'links'>): readonly SiteJob[] {
	const random = createRandom(seed);
	const jobs: SiteJob[] = [];
	for (const kind of site.kinds) {
		for (let time = 0; ;) {
			time += random.exponential(1000 / (kind.perSecond * rateFactor * getBurstFactor(disturbances, time)));
			if (time >= duration) {
				break;
			}

			jobs.push(createJob(random, site, kind, {ticket: `${kind.name}-${jobs.length}`, arrivedAt: time}));
		}
	}

	return jobs.toSorted((a, b) => a.arrivedAt - b.arrivedAt);
}

function createJob(random: Random, site: Site, kind: RequestKind, identity: Pick<SiteJob, 'ticket' | 'arrivedAt'>): SiteJob {
	const sampleAround = (mean: number, max: number) => Math.min(max, mean * (1 + (relativeSpread * ((2 * random.float()) - 1))));
	const taskCount = Math.max(1, Math.round(sampleAround(kind.meanTasks, kind.maxTasks)));
	const tailFactor = kind.tail !== undefined && random.float() < kind.tail.share ? kind.tail.factor : 1;
	const jobMeanRun = Math.min(kind.maxRun, sampleAround(kind.meanRun, kind.maxRun) * tailFactor);
	const runTimes = Array.from({length: taskCount}, () => jobMeanRun * (0.85 + (0.3 * random.float())));
	const cpu = Math.round(sampleAround(kind.cpu, kind.cpu * 1.4));
	const work = runTimes.reduce((sum, runTime) => sum + runTime, 0) * cpu;
	const objective = (stretch * Math.max(...runTimes)) + marginMs;
	return {
		...identity,
		kind,
		entry: random.integerBelow(site.entries),
		runTimes,
		declaredRun: jobMeanRun * (1 + (declaredError * ((2 * random.float()) - 1))),
		need: {cpu, memory: 0, accelerators: 0},
		deadline: site.hasLooseDeadlines ? Math.max(deadline, objective * 3) : deadline,
		objective,
		utility: kind.utility * Math.min(sizeWeight.maxWeight, sizeWeight.fixed + (sizeWeight.byWork * work / (kind.meanTasks * kind.meanRun * kind.cpu))),
	};
}

function getBurstFactor(disturbances: readonly SiteDisturbance[], time: Milliseconds): number {
	let factor = 1;
	for (const disturbance of disturbances) {
		factor *= disturbance.kind === 'burst' && time >= disturbance.from && time < disturbance.to ? disturbance.factor : 1;
	}

	return factor;
}
