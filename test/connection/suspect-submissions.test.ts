import type {CountedTask} from '../../src/connection/loss-log.js';
import {createSuspectSubmissions, type SuspectSubmissions} from '../../src/connection/suspect-submissions.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {describe, it} from '../describe.js';

const upstreamCount = 11;
const briefRun = 80;
const longRun = 1300;

function createFixture(): {readonly clock: FakeClock; readonly suspects: SuspectSubmissions} {
	const clock = createFakeClock(1000);
	return {clock, suspects: createSuspectSubmissions({clock, getUpstreamCount: () => upstreamCount})};
}

/** Returns tasks of as many jobs, all lost for the given time. */
function createTasks(submission: string, expectedRunMs: number, jobs: readonly number[], possible: number): readonly CountedTask[] {
	return jobs.map(job => ({
		task: {
			job: `${submission}-${job}`, index: 0, submission, expectedRunMs,
		},
		losses: {possible, crashed: 0, alone: 0},
	}));
}

// Pattern: some jobs of one submission object crash each upstream that starts them, beside a load of others.
describe('the submission object that is suspected to crash its upstreams', () => {
	it('is the one whose tasks are lost again although they run briefly', t => {
		const {suspects} = createFixture();
		suspects.recordLoss('u1', [...createTasks('brief', briefRun, [1, 2, 3], 1), ...createTasks('long', longRun, [1, 2, 3], 1)]);
		t.is(suspects.tryGet(), undefined);
		suspects.recordLoss('u2', [...createTasks('brief', briefRun, [1], 2), ...createTasks('long', longRun, [1], 2)]);
		t.is(suspects.tryGet(), undefined, 'one job of each');
		suspects.recordLoss('u3', [...createTasks('brief', briefRun, [2], 2), ...createTasks('long', longRun, [2], 2)]);
		t.is(suspects.tryGet(), 'brief');
	});

	it('stays suspect for a while after its last loss, since isolated tasks cause few', t => {
		const {clock, suspects} = createFixture();
		suspects.recordLoss('u1', createTasks('brief', briefRun, [1, 2, 3], 1));
		suspects.recordLoss('u2', createTasks('brief', briefRun, [1, 2], 2));
		t.is(suspects.tryGet(), 'brief');
		clock.advance(5000);
		suspects.recordLoss('u3', createTasks('brief', briefRun, [4], 1));
		clock.advance(5999);
		t.is(suspects.tryGet(), 'brief');
		clock.advance(1);
		t.is(suspects.tryGet(), undefined);
		t.false(suspects.hasSuspects());
	});

	it('is none after the first few losses of long tasks, although they come close together', t => {
		const {clock, suspects} = createFixture();
		for (let i = 1; i <= 3; i++) {
			suspects.recordLoss(`u${i}`, createTasks('long', longRun, [1, 2], i));
			clock.advance(200);
		}

		t.is(suspects.tryGet(), undefined);
	});

	it('is none while long tasks are lost again as often as the number of lost upstreams makes likely', t => {
		const {suspects} = createFixture();
		for (let i = 0; i < 6; i++) {
			suspects.recordLoss(`u${i}`, createTasks('long', longRun, [2 * i, (2 * i) + 1], 1));
		}

		suspects.recordLoss('u6', createTasks('long', longRun, [1, 2, 3], 2));
		t.true(suspects.hasSuspects());
		t.is(suspects.tryGet(), undefined);
	});

	it('is none for a single job that is lost repeatedly', t => {
		const {suspects} = createFixture();
		suspects.recordLoss('u1', createTasks('brief', briefRun, [1], 1));
		suspects.recordLoss('u2', createTasks('brief', briefRun, [1], 2));
		suspects.recordLoss('u3', createTasks('brief', briefRun, [1], 3));
		t.true(suspects.hasSuspects());
		t.is(suspects.tryGet(), undefined);
	});
});
