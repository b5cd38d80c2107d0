import {runScenario} from '../../dev/bench/run.js';
import {createScenario, firstUpstreamFails, type ScenarioOptions} from '../../dev/bench/scenarios.js';
import type {BenchResult, PlacementName, Scenario} from '../../dev/bench/types.js';
import {describe, it} from '../describe.js';

/** Goals of the placement: p99 over that of the central first-come, first-served queue. */
const maxRatioAt80 = 1.08;
const maxRatioAt95 = 1.15;
const maxMessagesPerTask = 1.05;
/** Quantiles of fewer jobs vary too much to be compared. */
const singleJobs = 15_000;

describe('placement of single tasks', () => {
	describe('mode response stays near the all-knowing queue', () => {
		it('at 80 % load with 1 entry', t => {
			t.true(getP99Ratio({load: 0.8, entries: 1}, 'response') <= maxRatioAt80);
		});

		it('at 80 % load with 4 entries', t => {
			t.true(getP99Ratio({load: 0.8, entries: 4}, 'response') <= maxRatioAt80);
		});

		it('at 80 % load with 16 entries', t => {
			t.true(getP99Ratio({load: 0.8, entries: 16}, 'response') <= maxRatioAt80);
		});

		it('at 80 % load with one of 4 entries getting 90 %', t => {
			t.true(getP99Ratio({load: 0.8, entries: 4, firstEntryShare: 0.9}, 'response') <= maxRatioAt80);
		});

		it('at 95 % load with 4 entries', t => {
			t.true(getP99Ratio({load: 0.95, entries: 4}, 'response') <= maxRatioAt95);
		});
	});

	describe('mode messages sends few messages', () => {
		it('at 80 % load with 1 entry', t => {
			t.true(run({load: 0.8, entries: 1}, 'messages').messagesPerTask <= maxMessagesPerTask);
		});

		it('at 80 % load with 4 entries', t => {
			t.true(run({load: 0.8, entries: 4}, 'messages').messagesPerTask <= maxMessagesPerTask);
		});

		it('at 80 % load with 16 entries', t => {
			t.true(run({load: 0.8, entries: 16}, 'messages').messagesPerTask <= maxMessagesPerTask);
		});

		it('at 95 % load with 4 entries', t => {
			t.true(run({load: 0.95, entries: 4}, 'messages').messagesPerTask <= maxMessagesPerTask);
		});

		it('and is faster than two choices on load known a heartbeat ago', t => {
			const scenario = create({load: 0.8, entries: 4});
			t.true(runScenario(scenario, 'messages').slowdown.p99 < runScenario(scenario, 'two-choices').slowdown.p99 / 2);
		});
	});
});

describe('placement under failures', () => {
	it('sends an agent that fails everything in 1 ms under a hundredth of its share', t => {
		const result = run({load: 0.8, entries: 4, behaviour: firstUpstreamFails}, 'response');
		t.true(result.failed * 11 <= (result.completed + result.failed) / 100);
		t.is(result.unanswered, 0);
	});

	it('answers every job when half of all jobs are cancelled at 120 % load', t => {
		const result = run({load: 1.2, entries: 4, cancelWave: {from: 10_000, to: 20_000}}, 'messages');
		t.true(result.cancelled > 0);
		t.is(result.unanswered, 0);
	});

	it('loses only jobs of the lost entry, and no slot', t => {
		const result = run({load: 0.95, entries: 4, entryLostAt: 10_000}, 'response');
		// Lost are the jobs in the entry's queue and those on its share of the 88 slots.
		t.true(result.failed <= 88);
		t.is(result.unanswered, 0);
	});
});

function create(options: Omit<ScenarioOptions, 'name' | 'seed' | 'jobs'>): Scenario {
	return createScenario({
		name: 'test', seed: 1, jobs: singleJobs, ...options,
	});
}

function run(options: Parameters<typeof create>[0], placement: PlacementName): BenchResult {
	return runScenario(create(options), placement);
}

function getP99Ratio(options: Parameters<typeof create>[0], placement: PlacementName): number {
	const scenario = create(options);
	return runScenario(scenario, placement).slowdown.p99 / runScenario(scenario, 'all-knowing').slowdown.p99;
}
