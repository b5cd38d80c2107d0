import {createRandom, type Random} from '../../dev/bench/random.js';
import {createRunTimeRatio, type RunTimeRatio} from '../../src/process/run-time-ratio.js';
import {describe, it} from '../describe.js';

/** Records jobs whose declared run times are off by up to 40 %. */
function recordJobs(ratio: RunTimeRatio, random: Random, {jobs, speed, tasks = 1, tailShare = 0}: {jobs: number; speed: number; tasks?: number; tailShare?: number}): void {
	for (let job = 0; job < jobs; job++) {
		const declared = 200 * (0.6 + (0.8 * random.float()));
		for (let task = 0; task < tasks; task++) {
			const tail = random.float() < tailShare ? 7 : 1;
			ratio.record(`${job}-${jobs}-${speed}`, 200 * speed * tail * (0.85 + (0.3 * random.float())), declared);
		}
	}
}

describe('run time ratio', () => {
	it('is unknown until enough jobs have run, however many tasks they have', t => {
		const ratio = createRunTimeRatio();
		recordJobs(ratio, createRandom(1), {jobs: 1, speed: 1.7, tasks: 32});
		t.is(ratio.tryGet(), undefined);
		recordJobs(ratio, createRandom(1), {jobs: 25, speed: 1.7});
		t.not(ratio.tryGet(), undefined);
	});

	for (const speed of [0.7, 1, 1.3, 1.7]) {
		it(`tells an upstream at ${speed} of the declared times despite errors of 40 %, tails and jobs of several tasks`, t => {
			for (let seed = 1; seed <= 20; seed++) {
				const ratio = createRunTimeRatio();
				recordJobs(ratio, createRandom(seed), {
					jobs: 200, speed, tasks: 4, tailShare: 0.03,
				});
				const deviation = ratio.tryGet()! / speed;
				t.true(deviation > 0.88 && deviation < 1.14, `seed ${seed}: ${deviation}`);
			}
		});
	}

	it('hardly moves while the upstream is five times as slow for some seconds', t => {
		const ratio = createRunTimeRatio();
		recordJobs(ratio, createRandom(1), {jobs: 200, speed: 1});
		const before = ratio.tryGet()!;
		recordJobs(ratio, createRandom(2), {jobs: 20, speed: 5});
		t.true(ratio.tryGet()! < before * 1.15);
		recordJobs(ratio, createRandom(3), {jobs: 100, speed: 1});
		t.true(ratio.tryGet()! < before * 1.1);
	});

	it('follows an upstream that stays slow', t => {
		const ratio = createRunTimeRatio();
		recordJobs(ratio, createRandom(1), {jobs: 200, speed: 0.7});
		recordJobs(ratio, createRandom(2), {jobs: 400, speed: 1.7});
		t.true(Math.abs(ratio.tryGet()! - 1.7) < 0.2);
	});

	it('ignores runs without a declared time and very short ones', t => {
		const ratio = createRunTimeRatio();
		for (let job = 0; job < 100; job++) {
			ratio.record(String(job), 30, job % 2 === 0 ? 0 : 5);
		}

		t.is(ratio.tryGet(), undefined);
	});
});
