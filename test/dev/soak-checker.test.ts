import type {PlatformEvent} from '../../dev/platform-system.js';
import {createSoakChecker} from '../../dev/soak/soak-checker.js';
import {describe, it} from '../describe.js';

const task = '0000000000000001.0.0.0';

function createEvent(what: PlatformEvent['what'], at: number, executor: string, run = 1): PlatformEvent {
	return {
		at, what, task, run, executor,
	};
}

describe('checker of the soak', () => {
	it('reports a task that runs on two executors at the same time', t => {
		const checker = createSoakChecker();
		const violations = checker.addEvents([createEvent('start', 1, 'a'), createEvent('start', 2, 'b'), createEvent('done', 3, 'a')]);
		t.deepEqual(violations.map(({rule}) => rule), ['no task runs twice at the same time']);
	});

	it('reports no run that starts when the one before has ended, in the same millisecond too', t => {
		const checker = createSoakChecker();
		t.deepEqual(checker.addEvents([createEvent('start', 1, 'a'), createEvent('start', 2, 'b', 2), createEvent('lapsed', 2, 'a')]), []);
	});

	// Seeds 5012 and 5013: a run that was lost in a crash in the millisecond of its start counted as going on for ever.
	it('knows the end of a run that ends in the millisecond of its start', t => {
		const checker = createSoakChecker();
		t.deepEqual(checker.addEvents([createEvent('start', 5, 'a'), createEvent('lapsed', 5, 'a')]), []);
		t.deepEqual(checker.addEvents([createEvent('start', 700, 'b', 2), createEvent('done', 800, 'b', 2)]), []);
		t.deepEqual(checker.judgeJobs([{
			name: '0000000000000001', tasks: 1, isFaulty: false, sentAt: 1, endedAt: 801, statuses: [200], body: '{"state":"completed"}',
		}]), []);
	});

	it('reports a run that goes on beside another one of the same executor that has ended', t => {
		const checker = createSoakChecker();
		const violations = checker.addEvents([createEvent('start', 1, 'a'), createEvent('start', 2, 'a', 2), createEvent('done', 3, 'a', 2), createEvent('start', 4, 'b', 3)]);
		t.is(violations.length, 2);
	});
});
