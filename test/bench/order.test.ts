import {runScenario} from '../../dev/bench/run.js';
import {createScenario} from '../../dev/bench/scenarios.js';
import {describe, it} from '../describe.js';

const jobs = 1000;
const maxTasks = 1100;

describe('order among jobs of 1 to 1,100 tasks', () => {
	const scenario = createScenario({
		name: 'test', seed: 1, jobs, load: 0.8, entries: 4, maxTasks,
	});
	const limit = runScenario(scenario, 'all-knowing');
	const response = runScenario(scenario, 'response');

	it('halves the p99 of a central first-come, first-served queue', t => {
		t.true(response.slowdown.p99 <= limit.slowdown.p99 / 2);
	});

	it('increases the mean slowdown of the largest tenth of the jobs by at most 10 %', t => {
		t.true(response.largestSlowdown.mean <= limit.largestSlowdown.mean * 1.1);
	});

	it('starves no job', t => {
		t.is(response.unanswered, 0);
		t.is(response.failed, 0);
	});

	it('halves the p99 even if declared run times are wrong by a factor of up to 10', t => {
		const wrong = runScenario(createScenario({
			name: 'test', seed: 1, jobs, load: 0.8, entries: 4, maxTasks, declaredError: 10,
		}), 'response');
		t.true(wrong.slowdown.p99 <= limit.slowdown.p99 / 2);
	});
});
