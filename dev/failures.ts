/**
 * Runs the coordination logic under random faults on a fake clock. For each seed whose run violates a rule, it prints
 * the smallest set of faults found that still violates the rule, and the events that concern the first violation.
 * Usage: npm run failures -- --seed N --runs M [--leased [--executors] [--restarts] [--hellos] [--announcements] [--identities] [--forwarding] [--evacuations] [--chained KINDS]]
 *    or: npm run failures -- --seed N --enumerated all [--every N] | --enumerated COMBINATION
 */
import process from 'node:process';
import sade from 'sade';
import {countLostAnswers, type Violation} from '../test/failure/checker.js';
import type {PlannedFault} from '../test/failure/faults.js';
import {formatEvent, type RecordedEvent} from '../test/failure/journal.js';
import {chainKinds, furtherChainKinds, type ChainKind} from '../test/failure/leased/chained-faults.js';
import {
	enumerateCombinations, formatCombination, parseCombination, playCombination,
} from '../test/failure/leased/enumerated-faults.js';
import {forwardingFromOne, randomForwarding} from '../test/failure/leased/entry.js';
import {runLeasedFailures} from '../test/failure/leased/run.js';
import {getFaultsOfSeed, runRandomFailures, type RunReport} from '../test/failure/random-run.js';

type Options = {
	readonly seed: number;
	readonly runs: number;
	readonly whole: boolean;
	readonly leased: boolean;
	readonly executors: boolean;
	readonly restarts: boolean;
	readonly hellos: boolean;
	readonly announcements: boolean;
	readonly identities: boolean;
	readonly forwarding: boolean;
	readonly evacuations: boolean;
	readonly chained: string;
	readonly enumerated: string;
	readonly every: number;
};

const violatedRuleCounts = new Map<string, number>();

sade('failures', true)
	.describe('Runs the coordination logic under random failures on a fake clock.')
	.option('--seed', 'Seed of the first run', 1)
	.option('--runs', 'Number of runs, each with the next seed', 100)
	.option('--whole', 'Explain a violated rule with all faults of its run instead of the smallest set', false)
	.option('--leased', 'Run the logic as on the users\' platform, with executors under leases', false)
	.option('--forwarding', 'With --leased: entries forward jobs to each other at random, and the streams between them fail, too', false)
	.option('--executors', 'With --leased: executors also crash and change their resources', false)
	.option('--restarts', 'With --leased: executors restart unnoticed under their identifiers, while something happens to their agents', false)
	.option('--hellos', 'With --leased: hellos of agents arrive late and out of order, while their executors or processes restart', false)
	.option('--identities', 'With --leased: executors leave while another writer announces something else under their identity', false)
	.option('--announcements', 'With --leased: agents receive heartbeats of other writers, and deregistrations that are not answered or not true', false)
	.option('--evacuations', 'With --leased: data centres are evacuated and taken back, while the store does not respond to some entries', false)
	.option('--chained', `With --leased: faults in groups that hit one chain of a job, beside long runs; "all" (${chainKinds.join(',')}), "further" (${furtherChainKinds.join(',')}), or some of these`, '')
	.option('--enumerated', 'Play combinations of faults of a forwarded job on a grid of times: "all", or one as it is printed', '')
	.option('--every', 'With --enumerated all: play only each N-th combination', 1)
	.action(run)
	.parse(process.argv);

async function run(options: Options): Promise<void> {
	if (options.enumerated !== '') {
		await runEnumerated(options);
	} else if (options.leased) {
		await runLeasedSeeds(options);
	} else {
		await runSeeds(options);
	}
}

async function runEnumerated({seed, enumerated, every}: Options): Promise<void> {
	const combinations = enumerated === 'all' ? enumerateCombinations().filter((_combination, index) => index % every === 0) : [parseCombination(enumerated)];
	let overlapping = 0;
	let late = 0;
	for (const combination of combinations) {
		const {overlaps, overlapMs, excessMs} = await playCombination(seed, combination);
		overlapping += overlaps.length > 0 ? 1 : 0;
		late += excessMs > 0 ? 1 : 0;
		if (overlaps.length > 0 || excessMs > 0 || combinations.length === 1) {
			console.log(`${formatCombination(combination)}: overlap ${overlapMs.toFixed(1)} ms, first attempt ends ${excessMs.toFixed(1)} ms after the repetition${overlaps.map(overlap => `\n  ${overlap}`).join('')}`);
		}
	}

	console.log(`${combinations.length} combinations with seed ${seed}: ${overlapping} with overlaps, ${late} with runs of the first attempt when the job is repeated`);
	process.exitCode = overlapping === 0 ? 0 : 1;
}

async function runLeasedSeeds({seed: firstSeed, runs, executors: hasExecutorFaults, restarts: hasRestarts, hellos: hasHeldHellos, announcements: hasAnnouncementFaults, identities: hasIdentityFaults, evacuations: hasEvacuations, forwarding, chained}: Options): Promise<void> {
	const chains = readChainKinds(chained);
	const usedForwarding = chains === undefined ? randomForwarding : forwardingFromOne;
	let failed = 0;
	for (let seed = firstSeed; seed < firstSeed + runs; seed++) {
		const {violations, faults} = await runLeasedFailures(seed, {
			hasExecutorFaults, hasRestarts, hasHeldHellos, hasAnnouncementFaults, hasIdentityFaults, hasEvacuations, chains, loadSharing: forwarding ? usedForwarding : undefined,
		});
		if (violations.length > 0) {
			failed++;
			console.log([`seed ${seed}`, ...violations.map(({rule, subject, detail}) => `  ${rule}: ${subject}: ${detail}`), ...faults.map(fault => `  ${fault}`)].join('\n'));
		}
	}

	console.log(`${runs} runs from seed ${firstSeed}, ${failed} with violations`);
	process.exitCode = failed === 0 ? 0 : 1;
}

function readChainKinds(chained: string): readonly ChainKind[] | undefined {
	const names = new Set(chained.split(',').flatMap((name): readonly string[] => name === 'all' ? chainKinds : (name === 'further' ? furtherChainKinds : [name])));
	return chained === '' ? undefined : [...chainKinds, ...furtherChainKinds].filter(kind => names.has(kind));
}

async function runSeeds({seed: firstSeed, runs, whole}: Options): Promise<void> {
	let failed = 0;
	let agreedAnswers = 0;
	let lostAnswers = 0;
	let starts = 0;

	for (let seed = firstSeed; seed < firstSeed + runs; seed++) {
		const report = await runRandomFailures(seed, getFaultsOfSeed(seed));
		const answers = countLostAnswers(report.events);
		agreedAnswers += answers.settled;
		lostAnswers += answers.lost;
		starts += report.events.filter(({kind}) => kind === 'started').length;
		if (report.violations.length > 0) {
			failed++;
			await explain(seed, report, whole);
		}
	}

	for (const [rule, count] of violatedRuleCounts) {
		console.log(`${rule}: violated in ${count} runs`);
	}

	console.log(`${starts} starts; ${agreedAnswers} tickets answered for dead entries, ${lostAnswers} of them with an answer that differs from the one that the entry had given but not saved`);
	console.log(`${runs} runs from seed ${firstSeed}, ${failed} with violations`);
	process.exitCode = failed === 0 ? 0 : 1;
}

async function explain(seed: number, report: RunReport, whole: boolean): Promise<void> {
	for (const rule of new Set(report.violations.map(violation => violation.rule))) {
		violatedRuleCounts.set(rule, (violatedRuleCounts.get(rule) ?? 0) + 1);
	}

	const {rule} = report.violations[0]!;
	const faults = whole ? getFaultsOfSeed(seed) : await shrink(seed, rule);
	const {violations, events} = await runRandomFailures(seed, faults);
	console.log(`seed ${seed}`);
	for (const violation of violations) {
		console.log(`  ${violation.rule}: ${violation.subject}: ${violation.detail}`);
	}

	for (const event of events.filter(other => concerns(other, violations[0]!))) {
		console.log(`  ${formatEvent(event)}`);
	}
}

/** Removes each fault without which the run still violates the same rule. */
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

function concerns(event: RecordedEvent, {subject}: Violation): boolean {
	return event.kind === 'fault' || JSON.stringify(event).includes(subject);
}
