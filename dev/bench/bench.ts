/**
 * Runs the benchmark on a fake clock: the product's scheduling code with simulated links and upstreams. The suite `sites`
 * replays the requests of the users' sites; the other suites compare placements of tasks on the same jobs.
 */
import fs from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import sade from 'sade';
import {checkDefined} from '../../src/process/debug.js';
import {formatReport} from './report.js';
import {createMixedSizesScenarios, mixedSizes, reportMixedSizes} from './mixed-sizes.js';
import {runScenario} from './run.js';
import {formatSiteReport} from './site-report.js';
import {replaySite} from './site-replay.js';
import {createSiteScenarios, sites} from './sites.js';
import {createMixedScenarios, createShapeScenarios, createSteadyScenarios} from './scenarios.js';
import {placementNames, type BenchResult, type Scenario} from './types.js';

type Options = {
	readonly seed: number;
	readonly jobs: number;
	readonly suite: string;
	readonly site?: string;
	readonly seconds: number;
	readonly links: number;
	readonly heartbeat: number;
	readonly idle: number;
	readonly out: string;
};

/** Sites whose replay takes a few seconds only. */
const smallSites = ['baonhan', 'canopy'];

const suites = {
	steady: createSteadyScenarios,
	mixed: createMixedScenarios,
	shapes: createShapeScenarios,
} as const;

sade('bench', true)
	.describe('Measures the placement and the order of tasks on a fake clock.')
	.option('--seed', 'Seed of the workload', 1)
	.option('--jobs', 'Number of jobs in a scenario of single tasks', 30_000)
	.option('--suite', 'steady, mixed, shapes, sites or all', 'all')
	.option('--site', 'Name of the site to replay in the suite "sites"; all small sites if omitted')
	.option('--seconds', 'Duration of each run of the suite "sites"', 20)
	.option('--links', 'Entries that each agent of the suite "sites" is linked to; 0 for all', 0)
	.option('--heartbeat', 'Milliseconds between reports of an agent to an entry whose tasks it runs', 220)
	.option('--idle', 'Milliseconds between reports of an agent to other entries', 2000)
	.option('--out', 'Directory of the report', 'dist/bench')
	.action(run)
	.parse(process.argv);

function run(options: Options): void {
	if (options.suite === 'sites') {
		runSites(options);
	} else {
		runPlacements(options);
	}
}

function runSites({
	seed, site, seconds, out, links, heartbeat, idle,
}: Options): void {
	const plan = {perAgent: links === 0 ? undefined : links, heartbeatMs: heartbeat, idleHeartbeatMs: idle};
	if (site === mixedSizes.name) {
		write(out, mixedSizes.name, reportMixedSizes(createMixedSizesScenarios(seed, seconds * 1000, plan)));
		return;
	}

	const names = site === undefined ? smallSites : [site];
	const scenarios = names.flatMap(name => createSiteScenarios(checkDefined(sites[name], `${name} is a site`), seed, seconds * 1000, plan));
	const command = `npm run bench -- --suite sites${site === undefined ? '' : ` --site ${site}`} --seed ${seed} --seconds ${seconds} --links ${links} --heartbeat ${heartbeat} --idle ${idle}`;
	write(out, 'sites', formatSiteReport(scenarios.map(scenario => replaySite(scenario)), command));
}

function runPlacements(options: Options): void {
	const results: BenchResult[] = [];
	for (const scenario of createScenarios(options)) {
		for (const placement of placementNames) {
			results.push(runScenario(scenario, placement));
		}
	}

	const command = `npm run bench -- --suite ${options.suite} --seed ${options.seed} --jobs ${options.jobs}`;
	const report = formatReport(results, command);
	write(options.out, options.suite, report);
	fs.writeFileSync(path.join(options.out, `${options.suite}.json`), `${JSON.stringify(results, undefined, '\t')}\n`);
}

function write(folder: string, name: string, report: string): void {
	fs.mkdirSync(folder, {recursive: true});
	fs.writeFileSync(path.join(folder, `${name}.md`), report);
	console.log(report);
}

function createScenarios({seed, jobs, suite}: Options): readonly Scenario[] {
	const chosen = Object.entries(suites).filter(([name]) => suite === 'all' || suite === name);
	return chosen.flatMap(([, create]) => create({seed, jobs}));
}
