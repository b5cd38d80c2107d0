/**
 * The users' sites, as their sheets describe them, and the loads that are replayed.
 */
import type {Milliseconds} from '../../src/process/clock.js';
import {createRandom, type Random} from './random.js';
import type {
	RequestKind, Site, SiteJob, SiteScenario, SiteDisturbance,
} from './site-types.js';

/** Time allowed for an answer; clients state 1,497 to 2,998 ms. */
const deadline: Milliseconds = 1500;
/** The objective of a job: this many times its longest task, and a margin. */
export const stretch = 1.6;
export const marginMs: Milliseconds = 60;
/** Declared run times are off by up to this part, both ways. */
const declaredError = 0.4;
/** Spread of run times and sizes around their means. */
const spread = 0.4;
const sizePart = {fixed: 0.3, byWork: 0.7, most: 4};

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

const grownMix = (cpu: number): readonly RequestKind[] => {
	const rates: Readonly<Record<string, {readonly perSecond: number; readonly utility: number}>> = {
		check: {perSecond: 156, utility: 0.004_85}, confirm: {perSecond: 35.5, utility: 0.0267}, ping: {perSecond: 454, utility: 0.001_67},
	};
	return smallMix(cpu).map(kind => ({...kind, ...rates[kind.name]}));
};

/** The four sites. */
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
};

/** Processors of one upstream. */
export function getUpstreamCpu(site: Site, agent: number): number {
	return agent % 3 === 2 ? site.cpu * 1.5 : site.cpu;
}

/** Work that arrives at the site's own rate over the work that all upstreams can do. */
export function getNominalLoad(site: Site): number {
	let room = 0;
	for (let agent = 0; agent < site.agents; agent++) {
		room += getUpstreamCpu(site, agent);
	}

	return site.kinds.reduce((sum, kind) => sum + (kind.perSecond * kind.meanTasks * kind.meanRun * kind.cpu / 1000), 0) / room;
}

/** Loads relative to the room, and troubles that the users' days are made of. */
export function createSiteScenarios(site: Site, seed: number, duration: Milliseconds): readonly SiteScenario[] {
	const base = {site, seed, duration};
	const getRateFactor = (load: number) => load / getNominalLoad(site);
	const trouble = (name: string, ...disturbances: readonly SiteDisturbance[]): SiteScenario => ({
		...base, name: `${site.name}, ${name}`, rateFactor: 1, disturbances,
	});
	const third = Math.ceil(site.agents / 3);
	return [
		...[0.6, 1, 1.3, 2].map(load => ({
			...base, name: `${site.name}, load ${load}`, rateFactor: getRateFactor(load), disturbances: [],
		})),
		trouble('all upstreams away for 2 s', {
			kind: 'upstreams-away', count: site.agents, from: duration / 2, to: (duration / 2) + 2000,
		}),
		trouble('a third away for 5 s and a burst', {
			kind: 'upstreams-away', count: third, from: duration / 3, to: (duration / 3) + 5000,
		}, {
			kind: 'burst', factor: 1.5, from: duration / 3, to: (duration / 3) + 4000,
		}),
		trouble('a third slow by 4', {
			kind: 'upstreams-slow', count: third, factor: 4, from: duration / 3, to: (duration / 3) + 6000,
		}),
	];
}

/** Draws the jobs of a scenario in order of arrival. */
export function createSiteJobs({site, seed, duration: length, rateFactor: rate, disturbances: troubles}: SiteScenario): readonly SiteJob[] {
	const random = createRandom(seed);
	const jobs: SiteJob[] = [];
	for (const kind of site.kinds) {
		for (let time = 0; ;) {
			time += random.exponential(1000 / (kind.perSecond * rate * getBurst(troubles, time)));
			if (time >= length) {
				break;
			}

			jobs.push(createJob(random, site, kind, {ticket: `${kind.name}-${jobs.length}`, arrivedAt: time}));
		}
	}

	return jobs.toSorted((a, b) => a.arrivedAt - b.arrivedAt);
}

function createJob(random: Random, site: Site, kind: RequestKind, facts: Pick<SiteJob, 'ticket' | 'arrivedAt'>): SiteJob {
	const around = (mean: number, max: number) => Math.min(max, mean * (1 + (spread * ((2 * random.float()) - 1))));
	const tasks = Math.max(1, Math.round(around(kind.meanTasks, kind.maxTasks)));
	const run = around(kind.meanRun, kind.maxRun);
	const runs = Array.from({length: tasks}, () => run * (0.85 + (0.3 * random.float())));
	const cpu = Math.round(around(kind.cpu, kind.cpu * 1.4));
	const work = runs.reduce((sum, one) => sum + one, 0) * cpu;
	return {
		...facts,
		kind,
		entry: random.integerBelow(site.entries),
		runTimes: runs,
		declaredRun: run * (1 + (declaredError * ((2 * random.float()) - 1))),
		need: {cpu, memory: 0, accelerators: 0},
		deadline,
		objective: (stretch * Math.max(...runs)) + marginMs,
		utility: kind.utility * Math.min(sizePart.most, sizePart.fixed + (sizePart.byWork * work / (kind.meanTasks * kind.meanRun * kind.cpu))),
	};
}

function getBurst(troubles: readonly SiteDisturbance[], time: Milliseconds): number {
	let factor = 1;
	for (const trouble of troubles) {
		factor *= trouble.kind === 'burst' && time >= trouble.from && time < trouble.to ? trouble.factor : 1;
	}

	return factor;
}
