/**
 * Runs the bench: the real scheduler and granter, with fake links and upstreams, on a fake clock.
 */
import fs from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import sade from 'sade';
import {formatReport} from './report.js';
import {runScenario} from './run.js';
import {createMixedScenarios, createShapeScenarios, createSteadyScenarios} from './scenarios.js';
import {placementNames, type Figures, type Scenario} from './types.js';

type Options = {
	readonly seed: number;
	readonly jobs: number;
	readonly suite: string;
	readonly out: string;
};

const suites = {
	steady: createSteadyScenarios,
	mixed: createMixedScenarios,
	shapes: createShapeScenarios,
} as const;

sade('bench', true)
	.describe('Measure placement and order on a fake clock')
	.option('--seed', 'Seed of the workload', 1)
	.option('--jobs', 'Jobs in a scenario of single tasks', 30_000)
	.option('--suite', 'steady, mixed, shapes or all', 'all')
	.option('--out', 'Directory of the report', 'dist/bench')
	.action(run)
	.parse(process.argv);

function run(options: Options): void {
	const figures: Figures[] = [];
	for (const scenario of createScenarios(options)) {
		for (const placement of placementNames) {
			figures.push(runScenario(scenario, placement));
		}
	}

	const command = `npm run bench -- --suite ${options.suite} --seed ${options.seed} --jobs ${options.jobs}`;
	const report = formatReport(figures, command);
	fs.mkdirSync(options.out, {recursive: true});
	fs.writeFileSync(path.join(options.out, `${options.suite}.md`), report);
	fs.writeFileSync(path.join(options.out, `${options.suite}.json`), `${JSON.stringify(figures, undefined, '\t')}\n`);
	console.log(report);
}

function createScenarios({seed, jobs, suite}: Options): readonly Scenario[] {
	const chosen = Object.entries(suites).filter(([name]) => suite === 'all' || suite === name);
	return chosen.flatMap(([, create]) => create({seed, jobs}));
}
