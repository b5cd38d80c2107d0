/**
 * Runs the real programs as on the users' platform under random faults from outside: `npm run soak -- --seed 1 --runs 5`. Each run
 * takes a system of its own, with proxies between its processes. The exit code is 1 if a promise was broken.
 */
import process from 'node:process';
import sade from 'sade';
import {runSoak, type SoakReport} from './soak/soak-run.js';

type Options = {
	readonly seed: number;
	readonly runs: number;
	readonly seconds: number;
	readonly scale: string;
	readonly parallel: number;
	readonly logs: string;
	readonly crowds: boolean;
};

const scales: Readonly<Record<string, {readonly entries: number; readonly agents: number; readonly jobsPerSecond: number}>> = {
	small: {entries: 3, agents: 4, jobsPerSecond: 25},
	large: {entries: 12, agents: 60, jobsPerSecond: 150},
};
/** Third byte of the loopback addresses of the first run; tests use lower ones. */
const firstSubnet = 200;

sade('soak', true)
	.describe('Runs the real programs under random faults and checks what clients and executors see.')
	.option('--seed', 'Seed of the first run', 1)
	.option('--runs', 'Number of runs, each with the next seed', 1)
	.option('--seconds', 'Duration of the faults of each run', 60)
	.option('--scale', 'small: 15 processes a run; large: 130', 'small')
	.option('--parallel', 'Number of runs at a time', 1)
	.option('--crowds', 'Crowds of clients that finish nothing come beside the other faults', false)
	.option('--logs', 'Folder for the logs of runs that break a promise', 'dist/soak')
	.action(async (options: Options) => {
		const seeds = Array.from({length: options.runs}, (_, i) => options.seed + i);
		const results = new Map<number, SoakReport>();
		await Promise.all(Array.from({length: options.parallel}, async (_, worker) => {
			for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
				results.set(seed, await runSeed(options, seed, firstSubnet + worker));
			}
		}));
		const broken = [...results].filter(([, {violations}]) => violations.length > 0);
		const sum = (get: (report: SoakReport) => number) => [...results.values()].reduce((total, report) => total + get(report), 0);
		console.log(`${results.size} runs from seed ${options.seed}, ${options.seconds} s each, ${sum(({jobs}) => jobs)} jobs, ${sum(({starts}) => starts)} starts, ${sum(({faults}) => faults.length)} faults; ${broken.length} with broken promises: ${broken.map(([seed]) => seed).join(', ') || 'none'}`);
		process.exit(broken.length === 0 ? 0 : 1);
	})
	.parse(process.argv);

async function runSeed({seconds, scale, logs, crowds}: Options, seed: number, subnet: number): Promise<SoakReport> {
	const report = await runSoak({
		seed,
		seconds,
		subnet,
		...scales[scale] ?? scales.small!,
		hasCrowds: crowds,
		logFolder: `${logs}/${seed}`,
		onProgress(line) {
			console.log(`seed ${seed}: ${line}`);
		},
	});
	const lines = report.violations.map(({rule, subject, detail}) => `  ${rule}: ${subject}: ${detail}`);
	console.log([`seed ${seed}: ${report.jobs} jobs, ${report.completed} completed, ${report.refused} refused, ${report.starts} starts, ${report.faults.length} faults, ${report.violations.length} broken promises`, ...lines, ...(lines.length > 0 ? report.faults.map(fault => `    ${fault}`) : [])].join('\n'));
	return report;
}
