/**
 * Scenarios of the bench.
 */
import type {Milliseconds} from '../../src/process/clock.js';
import type {Scenario, UpstreamBehaviour} from './types.js';
import {createJobs, type WorkloadOptions} from './workload.js';

/** One-way latency between data centres, by deployment. */
export const latencies = {baonhan: 1, canopy: 0.5} as const;

const agents = 11;
const slots = 8;

/** Parameters in which the scenarios differ. */
export type ScenarioOptions = Omit<WorkloadOptions, 'slots'> & {
	readonly name: string;
	readonly latency?: Milliseconds;
	readonly behaviour?: UpstreamBehaviour;
	readonly entryLostAt?: Milliseconds;
};

/** Creates a scenario with 11 agents of 8 slots. */
export function createScenario(options: ScenarioOptions): Scenario {
	return {
		name: options.name,
		seed: options.seed,
		agents,
		slots,
		entries: options.entries,
		latency: options.latency ?? latencies.baonhan,
		jobs: createJobs({...options, slots: agents * slots}),
		behaviour: options.behaviour ?? allUpstreamsHealthy,
		entryLostAt: options.entryLostAt,
	};
}

/** Every upstream runs each task for its run time. */
export const allUpstreamsHealthy: UpstreamBehaviour = (_agent, runTime) => ({duration: runTime, isFailed: false});

/** The first upstream fails everything in 1 ms. */
export const firstUpstreamFails: UpstreamBehaviour = (agent, runTime) => agent === 0 ? {duration: 1, isFailed: true} : {duration: runTime, isFailed: false};

/** Half of the upstreams take three times as long. */
export const halfOfUpstreamsSlow: UpstreamBehaviour = (agent, runTime) => ({duration: agent % 2 === 0 ? runTime * 3 : runTime, isFailed: false});

/** Options of a suite of scenarios. */
export type SuiteOptions = {
	readonly seed: number;
	/** Number of jobs in a scenario of single tasks; scenarios of large jobs have a fifteenth of it. */
	readonly jobs: number;
};

/** Creates steady scenarios of single tasks by load and number of entries, and with one entry that gets 90 % of the jobs. */
export function createSteadyScenarios({seed, jobs}: SuiteOptions): readonly Scenario[] {
	const base = {seed, jobs, deadline: answerDeadline};
	return [
		...[0.5, 0.8, 0.95, 1.2].map(load => createScenario({
			...base, name: `single tasks, ${load * 100} %, 4 entries`, load, entries: 4,
		})),
		...[1, 16].flatMap(entries => [0.8, 0.95].map(load => createScenario({
			...base, name: `single tasks, ${load * 100} %, ${entries} ${entries === 1 ? 'entry' : 'entries'}`, load, entries,
		}))),
		...[0.8, 0.95].map(load => createScenario({
			...base, name: `single tasks, ${load * 100} %, 4 entries, one gets 90 %`, load, entries: 4, firstEntryShare: 0.9,
		})),
		createScenario({
			...base, name: 'single tasks, 80 %, 4 entries, Canopy', load: 0.8, entries: 4, latency: latencies.canopy,
		}),
	];
}

/** Creates scenarios with jobs of 1 to 1,100 tasks. */
export function createMixedScenarios({seed, jobs}: SuiteOptions): readonly Scenario[] {
	const base = {
		seed, jobs: Math.ceil(jobs / 15), maxTasks: maxTasksPerJob, entries: 4,
	};
	return [
		createScenario({...base, name: 'jobs of 1 to 1,100 tasks, 80 %', load: 0.8}),
		createScenario({
			...base, name: 'jobs of 1 to 1,100 tasks, 80 %, declared wrong by 10 both ways', load: 0.8, declaredError: 10,
		}),
	];
}

/** Creates scenarios with load shapes and failures. */
export function createShapeScenarios({seed, jobs}: SuiteOptions): readonly Scenario[] {
	const base = {
		seed, jobs, entries: 4, deadline: answerDeadline,
	};
	return [
		createScenario({
			...base, name: 'bursts of 10 times the mean, 50 %', load: 0.5, burstFactor: 10,
		}),
		createScenario({
			...base, name: 'stragglers, 80 %', load: 0.8, stragglerShare: 0.01,
		}),
		createScenario({
			...base, name: 'half of all jobs cancelled, 120 %', load: 1.2, cancelWave: {from: 20_000, to: 30_000},
		}),
		createScenario({
			...base, name: 'one agent of 11 fails all in 1 ms, 80 %', load: 0.8, behaviour: firstUpstreamFails,
		}),
		createScenario({
			...base, name: 'half of the upstreams slow by 3, 50 %', load: 0.5, behaviour: halfOfUpstreamsSlow,
		}),
		createScenario({
			...base, name: 'one entry of 4 lost, 95 %', load: 0.95, entryLostAt: 30_000,
		}),
	];
}

/** Time from arrival within which a job must be answered. */
const answerDeadline: Milliseconds = 10_000;
/** Maximum number of tasks in a job. */
const maxTasksPerJob = 1100;
