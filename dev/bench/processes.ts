/**
 * Measures the real programs on loopback: `npm run bench:processes`. 4 entries and 11 agents with 8 slots each serve an
 * open-loop load at several rates. Prints the response time over the ideal, processor time and memory by role, and the
 * calls to the platform.
 */
import process from 'node:process';
import sade from 'sade';
import {z} from 'zod';
import {checkDefined} from '../../src/process/debug.js';
import {startProgram, type Program} from '../processes.js';
import {startSystem, type System} from '../system.js';
import {readProcessUsage, type ProcessUsage} from './process-usage.js';

const slots = 88;
const meanRunMs = 450;

const objects = `
[[policy]]
name = "default"
placement = "PLACEMENT"
maxQueuedTasks = 20000
[[service]]
name = "ordering"
policy = "default"
[[team]]
name = "lunch"
maxTasks = 100000
[[submission]]
name = "confirm"
service = "ordering"
team = "lunch"
deadlineMs = 20000
`;

const percentilesSchema = z.looseObject({p50: z.number(), p99: z.number()});
const resultSchema = z.looseObject({
	jobs: z.number(), tasks: z.number(), states: z.record(z.string(), z.number()), slowdown: percentilesSchema,
});

sade('bench-processes', true)
	.option('--loads', 'Loads in percent of the slots, separated by commas', '50,80,95,120')
	.option('--seconds', 'Duration of each run', 10)
	.option('--seed', 'Seed of arrivals and run times', 1)
	.option('--placement', 'response or messages', 'response')
	.action(async (options: {readonly loads: string; readonly seconds: number; readonly seed: number; readonly placement: string}) => {
		const system = await startSystem({
			entries: 4, agents: 11, slots: 8, runTimes: 'fixed:10', seed: options.seed, service: 'ordering', objects: objects.replace('PLACEMENT', options.placement),
		});
		console.log('| Load | Jobs | Answers | Response over ideal p50 / p99 | Entries: us a task, MB | Agents: us a task, MB | Platform writes, reads a second |');
		console.log('| --- | --- | --- | --- | --- | --- | --- |');
		for (const load of options.loads.split(',').map(Number)) {
			console.log(await measure(system, load, options.seconds, options.seed));
		}

		await system.stop();
		process.exit(0);
	})
	.parse(process.argv);

async function measure(system: System, load: number, seconds: number, seed: number): Promise<string> {
	const entries = system.entries.map(entry => entry.program);
	const agents = system.agents.map(agent => agent.program);
	const before = {entries: readTotalUsage(entries), agents: readTotalUsage(agents), platform: await getPlatformCalls(system)};
	const startedAt = Date.now();
	const result = await runLoad(system, load, seconds, seed);
	const elapsed = (Date.now() - startedAt) / 1000;
	const after = {entries: readTotalUsage(entries), agents: readTotalUsage(agents), platform: await getPlatformCalls(system)};
	const perTask = (role: 'entries' | 'agents') => Math.round((after[role].cpuSeconds - before[role].cpuSeconds) * 1e6 / result.tasks);
	const megabytes = (role: 'entries' | 'agents', count: number) => Math.round(after[role].residentBytes / count / 1_048_576);
	const answers = Object.entries(result.states).map(([state, count]) => `${state} ${count}`).join(', ');
	return [
		'',
		`${load} %`,
		String(result.jobs),
		answers,
		`${result.slowdown.p50} / ${result.slowdown.p99}`,
		`${perTask('entries')}, ${megabytes('entries', entries.length)}`,
		`${perTask('agents')}, ${megabytes('agents', agents.length)}`,
		`${((after.platform.writes - before.platform.writes) / elapsed).toFixed(1)}, ${((after.platform.reads - before.platform.reads) / elapsed).toFixed(1)}`,
		'',
	].join(' | ').trim();
}

async function runLoad(system: System, load: number, seconds: number, seed: number): Promise<z.infer<typeof resultSchema>> {
	const rate = slots * 1000 / meanRunMs * load / 100;
	const program = startProgram('dev/load.js', [
		'--entries',
		system.entries.map(({url}) => url).join(','),
		'--token',
		system.tokens.caller,
		'--submission',
		'confirm',
		'--rate',
		String(rate),
		'--seconds',
		String(seconds),
		'--seed',
		String(seed),
		'--run-ms-min',
		'50',
		'--run-ms-mean',
		String(meanRunMs),
		'--slots',
		String(slots),
	]);
	await program.waitForExit();
	const line = checkDefined(program.lines.find(text => text.startsWith('{')), `a line of JSON in: ${program.lines.join('\n')}`);
	return resultSchema.parse(JSON.parse(line));
}

function readTotalUsage(programs: readonly Program[]): ProcessUsage {
	const usages = programs.map(program => readProcessUsage(program.pid));
	return {
		cpuSeconds: usages.reduce((total, usage) => total + usage.cpuSeconds, 0),
		residentBytes: usages.reduce((total, usage) => total + usage.residentBytes, 0),
	};
}

const statsSchema = z.looseObject({
	tableReads: z.number(), tableWrites: z.number(), objectReads: z.number(), objectWrites: z.number(),
});

async function getPlatformCalls(system: System): Promise<{readonly reads: number; readonly writes: number}> {
	const res = await fetch(`${system.platformUrl}/stats`);
	const stats = statsSchema.parse(await res.json());
	return {reads: stats.tableReads + stats.objectReads, writes: stats.tableWrites + stats.objectWrites};
}
