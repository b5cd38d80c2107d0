import {getIdealResponse, planJobs, type LoadShape} from '../../../dev/load/plan.js';
import {describe, it} from '../../describe.js';

const shape: LoadShape = {
	seed: 7, rate: 100, durationMs: 20_000, entries: 4, tasksMin: 1, tasksMax: 5, runMsMin: 50, runMsMean: 200, resubmitShare: 0.1, cancelShare: 0.1,
};

describe('load plan', () => {
	it('is the same for the same seed', t => {
		t.deepEqual([...planJobs(shape)], [...planJobs(shape)]);
		t.notDeepEqual([...planJobs(shape)], [...planJobs({...shape, seed: 8})]);
	});

	it('keeps the rate, the bounds and the mean run time', t => {
		const jobs = [...planJobs(shape)];
		const runMs = jobs.flatMap(job => job.runMs);
		const mean = runMs.reduce((sum, ms) => sum + ms, 0) / runMs.length;
		t.true(jobs.length > 1800 && jobs.length < 2200, `${jobs.length} jobs`);
		t.true(jobs.every(job => job.runMs.length > 0 && job.runMs.length <= 5 && job.entry < 4));
		t.true(runMs.every(ms => ms >= 50));
		t.true(mean > 190 && mean < 210, `mean ${mean}`);
	});

	it('is otherwise the same for every share of resubmissions', t => {
		const strip = (resubmitShare: number) => [...planJobs({...shape, resubmitShare})].map(({resubmission, ...rest}) => rest);
		t.deepEqual(strip(0), strip(1));
	});

	it('uses the longest task or the work spread over the slots as the ideal response', t => {
		t.is(getIdealResponse([100, 300], 8), 300);
		t.is(getIdealResponse(Array.from({length: 16}, () => 100), 8), 200);
	});
});
