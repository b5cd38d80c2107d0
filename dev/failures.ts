/**
 * Random failure runs over the decision parts with a fake clock. For each seed whose run breaks a promise it
 * prints the fewest faults found that still break it, and the log about the first broken promise.
 * Usage: npm run failures -- --seed N --runs M [--leased]
 */
import process from 'node:process';
import sade from 'sade';
import {countLostAnswers, type Violation} from '../test/failure/checker.js';
import type {PlannedFault} from '../test/failure/faults.js';
import {formatEvent, type RecordedEvent} from '../test/failure/journal.js';
import {runLeasedFailures} from '../test/failure/leased/run.js';
import {getFaultsOfSeed, runRandomFailures, type RunReport} from '../test/failure/random-run.js';

type Options = {
	readonly seed: number;
	readonly runs: number;
	readonly whole: boolean;
	readonly leased: boolean;
};

const broken = new Map<string, number>();

sade('failures', true)
	.describe('Runs the decision parts under random failures on a fake clock.')
	.option('--seed', 'Seed of the first run', 1)
	.option('--runs', 'Number of runs, each with the next seed', 100)
	.option('--whole', 'Explain a broken promise with all faults of its run', false)
	.option('--leased', 'Run the parts as on the users\' platform, with executors under leases', false)
	.action(run)
	.parse(process.argv);

async function run(options: Options): Promise<void> {
	await (options.leased ? runLeasedSeeds(options) : runSeeds(options));
}

async function runLeasedSeeds({seed: firstSeed, runs}: Options): Promise<void> {
	let failed = 0;
	for (let seed = firstSeed; seed < firstSeed + runs; seed++) {
		const {violations, faults} = await runLeasedFailures(seed);
		if (violations.length > 0) {
			failed++;
			console.log([`seed ${seed}`, ...violations.map(({rule, subject, detail}) => `  ${rule}: ${subject}: ${detail}`), ...faults.map(fault => `  ${fault}`)].join('\n'));
		}
	}

	console.log(`${runs} runs from seed ${firstSeed}, ${failed} with broken promises`);
	process.exitCode = failed === 0 ? 0 : 1;
}

async function runSeeds({seed: firstSeed, runs, whole}: Options): Promise<void> {
	let failed = 0;
	let settled = 0;
	let lost = 0;
	let starts = 0;

	for (let seed = firstSeed; seed < firstSeed + runs; seed++) {
		const report = await runRandomFailures(seed, getFaultsOfSeed(seed));
		const answers = countLostAnswers(report.events);
		settled += answers.settled;
		lost += answers.lost;
		starts += report.events.filter(({kind}) => kind === 'started').length;
		if (report.violations.length > 0) {
			failed++;
			await explain(seed, report, whole);
		}
	}

	for (const [rule, count] of broken) {
		console.log(`${rule}: broken in ${count} runs`);
	}

	console.log(`${starts} starts; ${settled} tickets answered for dead entries, ${lost} of them against an answer that the entry had given and not saved`);
	console.log(`${runs} runs from seed ${firstSeed}, ${failed} with broken promises`);
	process.exitCode = failed === 0 ? 0 : 1;
}

async function explain(seed: number, report: RunReport, whole: boolean): Promise<void> {
	for (const rule of new Set(report.violations.map(violation => violation.rule))) {
		broken.set(rule, (broken.get(rule) ?? 0) + 1);
	}

	const {rule} = report.violations[0]!;
	const faults = whole ? getFaultsOfSeed(seed) : await shrink(seed, rule);
	const {violations, events: journal} = await runRandomFailures(seed, faults);
	console.log(`seed ${seed}`);
	for (const violation of violations) {
		console.log(`  ${violation.rule}: ${violation.subject}: ${violation.detail}`);
	}

	for (const entry of journal.filter(other => concerns(other, violations[0]!))) {
		console.log(`  ${formatEvent(entry)}`);
	}
}

/** Leaves out each fault without which the run still breaks the same promise. */
async function shrink(seed: number, rule: string): Promise<readonly PlannedFault[]> {
	let faults: readonly PlannedFault[] = getFaultsOfSeed(seed);
	for (const fault of faults) {
		const fewer = faults.filter(other => other !== fault);
		const {violations} = await runRandomFailures(seed, fewer);
		if (violations.some(violation => violation.rule === rule)) {
			faults = fewer;
		}
	}

	return faults;
}

function concerns(entry: RecordedEvent, {subject}: Violation): boolean {
	return entry.kind === 'fault' || JSON.stringify(entry).includes(subject);
}
