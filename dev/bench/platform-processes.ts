/**
 * Measures the processor time of entries and agents on the users' platform, per job and per task, in the first seconds of
 * a load and after them: `npm run bench:platform`. Starts the bundled program as real processes on loopback, with
 * stand-ins for the store and the executors, and replays jobs of the users' sites in an open loop.
 */
import process from 'node:process';
import sade from 'sade';
import type {Milliseconds} from '../../src/process/clock.js';
import {
	startPlatformSystem, type PlatformInstance, type PlatformReply, type PlatformSystem,
} from '../platform-system.js';
import {readProcessUsage, type ProcessUsage} from './process-usage.js';
import type {Site, SiteJob} from './site-types.js';
import {createSiteJobs, sites} from './sites.js';

type Options = {
	readonly entries: number;
	readonly agents: number;
	readonly rate: number;
	readonly seconds: number;
	readonly seed: number;
	readonly profile: string;
	readonly program: string;
	readonly node: string;
};

/** Processor time and memory of all entries and all agents, and the jobs and tasks submitted so far. */
type Sample = {
	readonly entries: ProcessUsage;
	readonly agents: ProcessUsage;
	readonly jobs: number;
	readonly tasks: number;
	readonly at: Milliseconds;
};

const bundle = '../target/kingcuplane-platform.mjs';
/** Options of Node.js in deploy/system.toml; the code cache fits only processes with the same. */
const commonOptions = ['--single-threaded', '--min-semi-space-size=4', '--interrupt-budget=1000000'];
const deployedOptions = {entry: ['--max-old-space-size=160', ...commonOptions], agent: ['--max-old-space-size=96', ...commonOptions]};
/** Third byte of the loopback addresses; tests use lower ones. */
const subnet = 250;
/** Length of the first part of the load, in which the programs compile most of their code. */
const coldMs: Milliseconds = 10_000;
/** Time after the last submission within which all jobs have their answer. */
const answerTimeMs: Milliseconds = 3000;

sade('bench-platform', true)
	.option('--entries', 'Number of entries', 6)
	.option('--agents', 'Number of agents and executors', 18)
	.option('--rate', 'Jobs a second; a job has 3.6 tasks on average', 54)
	.option('--seconds', 'Duration of the load', 25)
	.option('--seed', 'Seed of the jobs', 1)
	.option('--program', 'Script of entries and agents, relative to the compiled project', bundle)
	.option('--node', 'Further options of Node.js for all processes, separated by spaces', '')
	.option('--profile', 'Folder for V8 processor profiles of all processes', '')
	.action(async (options: Options) => {
		const profiling = options.profile === '' ? [] : ['--cpu-prof', `--cpu-prof-dir=${options.profile}`];
		const further = [...options.node.split(' ').filter(option => option !== ''), ...profiling];
		const nodeOptions = {entry: [...deployedOptions.entry, ...further], agent: [...deployedOptions.agent, ...further]};
		const system = await startPlatformSystem({
			entries: options.entries, agents: options.agents, subnet, program: options.program, nodeOptions, executorCpu: 16_000,
		});
		const atRest = await measureRest(system);
		const {samples, replies} = await runLoad(system, options);
		printReport(options, atRest, samples, replies);
		await Promise.all([...system.entries, ...system.agents].map(async ({program}) => program.stop()));
		await system.stop();
		process.exit(0);
	})
	.parse(process.argv);

/** Returns the processor time that the processes use in a second without any job, and that of their start. */
async function measureRest(system: PlatformSystem): Promise<{readonly start: Sample; readonly rest: Sample}> {
	const start = takeSample(system, 0, 0);
	await sleep(3000);
	return {start, rest: takeSample(system, 0, 0)};
}

async function runLoad(system: PlatformSystem, {entries, rate, seconds, seed}: Options): Promise<{readonly samples: readonly Sample[]; readonly replies: readonly PlatformReply[]}> {
	const jobs = createSiteJobs({
		site: createSite(entries, rate), seed, duration: seconds * 1000, rateFactor: 1, disturbances: [],
	});
	const samples = [takeSample(system, 0, 0)];
	const pending: Array<Promise<PlatformReply>> = [];
	const startedAt = performance.now();
	let tasks = 0;
	for (const [index, job] of jobs.entries()) {
		await sleep(job.arrivedAt - (performance.now() - startedAt));
		if (samples.length === 1 && job.arrivedAt >= coldMs) {
			samples.push(takeSample(system, index, tasks));
		}

		tasks += job.runTimes.length;
		pending.push(system.submit(job.entry, toPlatformJob(job, index)));
	}

	const replies = await Promise.race([Promise.all(pending), sleep(answerTimeMs).then(() => [])]);
	return {samples: [...samples, takeSample(system, jobs.length, tasks)], replies};
}

function createSite(entries: number, rate: number): Site {
	const base = sites['baonhan-grown']!;
	const baseRate = base.kinds.reduce((sum, kind) => sum + kind.perSecond, 0);
	return {...base, entries, kinds: base.kinds.map(kind => ({...kind, perSecond: kind.perSecond * rate / baseRate}))};
}

function toPlatformJob(job: SiteJob, index: number): Parameters<PlatformSystem['submit']>[1] {
	return {
		name: index.toString(16).padStart(16, '0'),
		tasks: job.runTimes.length,
		ms: Math.round(Math.max(...job.runTimes)),
		declaredMs: Math.round(job.declaredRun),
		deadline: job.deadline,
		cpu: job.need.cpu,
	};
}

function takeSample(system: PlatformSystem, jobs: number, tasks: number): Sample {
	return {
		entries: sumUsage(system.entries), agents: sumUsage(system.agents), jobs, tasks, at: performance.now(),
	};
}

function sumUsage(instances: readonly PlatformInstance[]): ProcessUsage {
	const usages = instances.map(({program}) => readProcessUsage(program.pid));
	return {
		cpuSeconds: usages.reduce((total, usage) => total + usage.cpuSeconds, 0),
		residentBytes: usages.reduce((total, usage) => total + usage.residentBytes, 0),
	};
}

function printReport(options: Options, {start, rest}: {readonly start: Sample; readonly rest: Sample}, samples: readonly Sample[], replies: readonly PlatformReply[]): void {
	const restSeconds = (rest.at - start.at) / 1000;
	const startMs = (role: 'entries' | 'agents', count: number) => Math.round(start[role].cpuSeconds * 1000 / count);
	const restShare = (role: 'entries' | 'agents', count: number) => (100 * (rest[role].cpuSeconds - start[role].cpuSeconds) / restSeconds / count).toFixed(1);
	console.log(`start until linked: ${startMs('entries', options.entries)} ms an entry, ${startMs('agents', options.agents)} ms an agent`);
	console.log(`at rest: ${restShare('entries', options.entries)} % of a core an entry, ${restShare('agents', options.agents)} % an agent`);
	console.log('| part | jobs | tasks | entry: ms a job | agent: ms a task | entry, agent: MB |');
	console.log('| --- | --- | --- | --- | --- | --- |');
	for (const [index, after] of samples.slice(1).entries()) {
		const before = samples[index]!;
		const jobs = after.jobs - before.jobs;
		const tasks = after.tasks - before.tasks;
		console.log([
			'',
			index === 0 ? 'cold' : 'warm',
			jobs,
			tasks,
			((after.entries.cpuSeconds - before.entries.cpuSeconds) * 1000 / jobs).toFixed(2),
			((after.agents.cpuSeconds - before.agents.cpuSeconds) * 1000 / tasks).toFixed(2),
			`${toMegabytes(after.entries, options.entries)}, ${toMegabytes(after.agents, options.agents)}`,
			'',
		].join(' | ').trim());
	}

	const statuses = new Map<string, number>();
	for (const reply of replies) {
		const status = String(reply?.status ?? 'none');
		statuses.set(status, (statuses.get(status) ?? 0) + 1);
	}

	console.log(`answers by status: ${[...statuses].map(([status, count]) => `${status}: ${count}`).join(', ')}`);
}

function toMegabytes({residentBytes}: ProcessUsage, count: number): number {
	return Math.round(residentBytes / count / 1_048_576);
}

async function sleep(duration: Milliseconds): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, Math.max(0, duration));
	});
}
