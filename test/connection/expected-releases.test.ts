import {createExpectedReleases} from '../../src/connection/expected-releases.js';
import {createFakeClock} from '../../src/process/fake-clock.js';
import {describe, it} from '../describe.js';

const createResources = (cpu: number) => ({cpu, memory: 1, accelerators: 0});

describe('expected releases', () => {
	it('reports runs that end at about the same time together, in order of time', t => {
		const releases = createExpectedReleases<string>(createFakeClock(0));
		releases.recordStart('late', createResources(4), 200);
		releases.recordStart('soon', createResources(1), 20);
		releases.recordStart('soon too', createResources(2), 40);
		t.deepEqual(releases.getReleases(), [
			{inMs: 40, resources: {cpu: 3, memory: 2, accelerators: 0}},
			{inMs: 200, resources: createResources(4)},
		]);
	});

	it('reports no run that ends in the far future, has ended or declared no run time', t => {
		const releases = createExpectedReleases<string>(createFakeClock(0));
		releases.recordStart('long', createResources(1), 5000);
		releases.recordStart('ended', createResources(1), 20);
		releases.recordEnd('ended');
		releases.recordStart('unknown', createResources(1), 0);
		t.deepEqual(releases.getReleases(), []);
	});

	it('prefers progress to the declared run time', t => {
		const clock = createFakeClock(0);
		const releases = createExpectedReleases<string>(clock);
		releases.recordStart('run', createResources(1), 100);
		clock.advance(50);
		releases.recordProgress('run', 50, 25);
		t.deepEqual(releases.getReleases().map(({inMs}) => inMs), [150]);
	});

	it('expects an overdue run to take longer the longer it has lasted', t => {
		const clock = createFakeClock(0);
		const releases = createExpectedReleases<string>(clock);
		releases.recordStart('run', createResources(1), 100);
		clock.advance(200);
		t.deepEqual(releases.getReleases().map(({inMs}) => inMs), [30]);
	});
});
