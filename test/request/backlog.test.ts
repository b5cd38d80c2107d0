import type {QueuedTask} from '../../src/connection/types.js';
import type {Milliseconds} from '../../src/process/clock.js';
import {createFakeClock} from '../../src/process/fake-clock.js';
import {createBacklog} from '../../src/request/backlog.js';
import {createDrainRate} from '../../src/request/drain-rate.js';
import type {PendingJob} from '../../src/request/resource-queue.js';
import {getReturnTime} from '../../src/request/return-time.js';
import {describe, it} from '../describe.js';

const cpu = 1000;
const run: Milliseconds = 100;

/** Creates a job of one task of 100 ms; its objective leaves it 120 ms to wait. */
function createPending(ticket: string, taskCount = 1): PendingJob {
	return {
		job: {
			ticket, service: 's', team: 't', taskCount, expectedRun: run, arrivedAt: 0, deadlineAt: 1500, need: {resources: {cpu, memory: 0, accelerators: 0}}, objective: {stretch: 1.6, margin: 60},
		},
		tasks: Array.from({length: taskCount}, (_, index): QueuedTask => ({ticket, index, attempt: 1})),
	};
}

describe('backlog', () => {
	describe('in a lasting overload', () => {
		// One task of 100 ms on one core each 10 ms.
		const rate = cpu * run / 10;

		it('finds the jobs that are not reached within what their objectives leave, with a margin for wrong run times', t => {
			const backlog = createBacklog(rate);
			const unreachable = Array.from({length: 30}, (_, i) => createPending(`j${i}`)).filter(pending => backlog.add(pending, 0));
			t.deepEqual(unreachable.slice(0, 2).map(({job}) => job.ticket), ['j19', 'j20']);
			t.is(unreachable.length, 11);
		});

		it('does not count the refused ones as work for those behind them', t => {
			const backlog = createBacklog(rate);
			for (let i = 0; i < 100; i++) {
				backlog.add(createPending(`j${i}`), 0);
			}

			t.is(backlog.getWait(), 190);
		});

		it('keeps a job that has started, whatever precedes it', t => {
			const backlog = createBacklog(rate);
			backlog.add(createPending('wide', 100), 0);
			const started = createPending('started', 2);
			started.tasks.shift();
			t.false(backlog.add(started, 0));
			t.true(backlog.add(createPending('new'), 0));
		});
	});

	it('refuses nothing while the rate is not known', t => {
		const backlog = createBacklog(undefined);
		t.false(Array.from({length: 1000}, (_, i) => createPending(`j${i}`)).some(pending => backlog.add(pending, 0)));
		t.is(backlog.getWait(), 0);
	});
});

describe('drain rate', () => {
	it('is known once the queue has lasted for half a second, and follows the starts', t => {
		const clock = createFakeClock();
		const rate = createDrainRate(clock);
		for (let i = 0; i < 60; i++) {
			rate.recordStart(500);
			clock.advance(10);
		}

		t.true(Math.abs(rate.tryGet()! - 50) < 6);
	});

	it('is not known after a short burst, and starts anew after an empty queue', t => {
		const clock = createFakeClock();
		const rate = createDrainRate(clock);
		rate.recordStart(500);
		clock.advance(400);
		t.is(rate.tryGet(), undefined);
		clock.advance(200);
		t.not(rate.tryGet(), undefined);
		rate.restart();
		t.is(rate.tryGet(), undefined);
	});

	it('is not known from the first starts after a time in which nothing started', t => {
		const clock = createFakeClock();
		const rate = createDrainRate(clock);
		rate.recordStart(500);
		clock.advance(2000);
		rate.recordStart(500);
		t.is(rate.tryGet(), undefined);
		clock.advance(500);
		t.is(rate.tryGet(), 1);
	});

	it('is 0 while nothing starts, so nobody is refused for a wait that cannot be foreseen', t => {
		const clock = createFakeClock();
		const rate = createDrainRate(clock);
		rate.recordStart(500);
		clock.advance(5000);
		t.is(rate.tryGet(), 0);
		t.is(createBacklog(rate.tryGet()).getWait(), 0);
	});
});

describe('return time', () => {
	it('spreads the callers of a burst over as much time as the queue takes, after that time', t => {
		t.is(getReturnTime(1000, 0), 1500);
		t.is(getReturnTime(1000, 0.999), 2499);
	});

	it('is at least half a second and at most five', t => {
		t.is(getReturnTime(0, 0), 500);
		t.is(getReturnTime(60_000, 1), 5000);
	});

	it('is spread for long queues too', t => {
		t.is(getReturnTime(60_000, 0), 2750);
		t.is(getReturnTime(60_000, 0.5), 3875);
	});
});
