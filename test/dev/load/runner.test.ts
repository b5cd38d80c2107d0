import {planJobs, type LoadShape} from '../../../dev/load/plan.js';
import {createResultCollector, type JobResult, type LoadSummary} from '../../../dev/load/results.js';
import {runLoad} from '../../../dev/load/runner.js';
import {checkStarts, hasStartFaults, type StartsReport} from '../../../dev/load/starts-check.js';
import {createFakeClock, type FakeClock} from '../../../src/process/fake-clock.js';
import {describe, it} from '../../describe.js';
import {createFakeEntries, type EntryFault} from './fake-entry.js';

const shape: LoadShape = {
	seed: 1, rate: 20, durationMs: 5000, entries: 3, tasksMin: 2, tasksMax: 4, runMsMin: 50, runMsMean: 100, resubmitShare: 0, cancelShare: 0,
};

describe('load runner', () => {
	it('sends every planned job and measures response over ideal', async t => {
		const {summary, starts} = await run({});
		const planned = [...planJobs(shape)];
		t.is(summary.jobs, planned.length);
		t.is(starts.total, planned.reduce((sum, {runMs}) => sum + runMs.length, 0));
		t.deepEqual(summary.states, {complete: planned.length});
		t.deepEqual(summary.verdicts, {right: planned.length});
		t.is(summary.slowdown.p50, 1);
		t.is(summary.slowdown.count, planned.length);
		t.false(hasStartFaults(starts, false));
	});

	it('gives the same summary for the same seed', async t => {
		const first = await run({resubmitShare: 0.2});
		t.deepEqual(await run({resubmitShare: 0.2}), first);
	});

	it('sends again under the same ticket after a lost or an undecided reply', async t => {
		const {summary, starts, submissions} = await run({}, number => ({0: 'lose', 1: 'undecided'} as const)[number % 10]);
		t.deepEqual(summary.states, {complete: summary.jobs});
		t.true(summary.resends > 0);
		t.is(submissions, summary.jobs + summary.resends);
		t.is(starts.startedTwice, 0);
	});

	it('waits for the answer of a job that is still running', async t => {
		const {summary, submissions} = await run({}, () => 'defer');
		t.deepEqual(summary.states, {complete: summary.jobs});
		t.is(submissions, summary.jobs);
	});

	it('treats a refusal as final', async t => {
		const {summary, starts} = await run({}, () => 'refuse');
		t.deepEqual(summary.states, {refused: summary.jobs});
		t.deepEqual(summary.kinds, {QueueFull: summary.jobs});
		t.is(starts.total, 0);
	});

	it('counts a job without a final answer as unanswered', async t => {
		const {summary} = await run({}, () => 'undecided');
		t.deepEqual(summary.states, {unanswered: summary.jobs});
	});

	it('sends a share of the jobs twice and checks both answers', async t => {
		const {summary} = await run({resubmitShare: 0.5});
		t.true(summary.resubmitted > summary.jobs / 4);
		t.deepEqual(summary.verdicts, {right: summary.jobs + summary.resubmitted});
	});

	const wrongAnswers: ReadonlyArray<readonly [EntryFault, string]> = [['cross', 'crossed'], ['partial', 'partial'], ['contradict', 'contradicted']];
	for (const [fault, verdict] of wrongAnswers) {
		it(`notices the fault "${fault}"`, async t => {
			const {summary} = await run({resubmitShare: 1}, number => number % 50 === 0 ? fault : undefined);
			t.true((summary.verdicts[verdict] ?? 0) > 0);
		});
	}

	it('notices tasks that start twice', async t => {
		const {starts} = await run({}, number => number === 1 ? 'run-twice' : undefined);
		t.true(starts.startedTwice >= 2);
		t.true(hasStartFaults(starts, false));
		t.false(hasStartFaults(starts, true));
	});
});

describe('starts check', () => {
	const result: JobResult = {
		ticket: 'A', taskCount: 2, answer: {state: 'refused', ran: 'not-run'}, response: 1, ideal: 1, verdicts: [], resends: 0, resubmitted: false, cancelled: false,
	};

	it('notices a task that was started although its job was refused as not run', t => {
		const counts = {total: 1, violations: 0, tasks: {'A/1': {starts: 1}}};
		t.like(checkStarts([result], [counts]), {startedThoughNotRun: 1, startedTwice: 0});
	});

	it('notices a complete job with a task that was never started, and sums the starts at all upstreams', t => {
		const complete: JobResult = {...result, answer: {state: 'complete', ran: 'ran'}};
		const counts = {total: 1, violations: 0, tasks: {'A/1': {starts: 1}}};
		t.like(checkStarts([complete], [counts, counts]), {completeThoughNotStarted: 1, startedTwice: 1, total: 2});
	});
});

type Run = {
	readonly summary: LoadSummary;
	readonly starts: StartsReport;
	readonly submissions: number;
};

async function run(changes: Partial<LoadShape>, getFault: (submission: number) => EntryFault | undefined = () => undefined): Promise<Run> {
	const clock = createFakeClock();
	const {entries, upstream, getSubmissions} = createFakeEntries(clock, shape.entries, getFault);
	const results = createResultCollector();
	await runToEnd(clock, runLoad({
		clock, entries, results, jobs: planJobs({...shape, ...changes}), submission: 'order', kind: 'job', slots: 88, answerTimeoutMs: 2000, ticketBlockSize: 20,
	}));
	const counts = {...upstream.getCounts(), tasks: Object.fromEntries(upstream.getStarts())};
	return {summary: results.summarize(), starts: checkStarts(results.getResults(), [counts]), submissions: getSubmissions()};
}

/** Steps the clock until `work` is done, and runs all pending promise reactions before each step. */
async function runToEnd(clock: FakeClock, work: Promise<void>): Promise<void> {
	const progress = {isDone: false};
	const end = work.finally(() => {
		progress.isDone = true;
	});
	while (!progress.isDone) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		clock.step();
	}

	await end;
}
