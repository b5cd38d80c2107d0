import type {ExpectedRelease} from '../../src/generated/kingcuplane.js';
import type {QueuedJob, Scheduler} from '../../src/connection/types.js';
import type {Milliseconds} from '../../src/process/clock.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {createResourceScheduler} from '../../src/request/resource-scheduler.js';
import {describe, it} from '../describe.js';

type Fixture = {
	readonly clock: FakeClock;
	readonly scheduler: Scheduler;
	/** "ticket@agent" of each start, with a star if it was backfilled. */
	readonly starts: string[];
	report(agent: string, freeCpu: number, releases?: ReadonlyArray<readonly [Milliseconds, number]>): void;
	enqueue(ticket: string, cpu: number, expectedRun: Milliseconds): void;
};

/** Creates a scheduler with the agent `a` of 16 cores, which has started small tasks before. */
function createFixture(lookAhead: boolean): Fixture {
	const clock = createFakeClock(1000);
	const starts: string[] = [];
	let sentStarts = 0;
	const scheduler = createResourceScheduler({
		clock,
		random: () => 0,
		startupGraceMs: 0,
		start(agent, {ticket}, basis) {
			sentStarts++;
			starts.push(`${ticket}@${agent}${basis!.backfilled ? '*' : ''}`);
		},
		onInfeasible: ticket => scheduler.remove(ticket),
		onReportChanged: () => undefined,
	});
	scheduler.setRules('s', {placement: 'response', maxQueuedTasks: 100, lookAhead});
	scheduler.addAgent({
		incarnation: 'a', name: 'a', upstream: 'u', service: 's', dataCentre: 'd', rack: '', slots: 1, capacity: createResources(16),
	});
	const fixture: Fixture = {
		clock,
		scheduler,
		starts,
		report(agent, freeCpu, releases = []) {
			scheduler.setAgentStatus(agent, {
				draining: false, running: 0, slots: 1, meanRun: 0, failedPerMille: 0, freeRoom: createResources(freeCpu), receivedStarts: sentStarts,
				releases: releases.map(([inMs, cpu]): ExpectedRelease => ({inMs, resources: createResources(cpu)})),
			});
		},
		enqueue(ticket, cpu, expectedRun) {
			scheduler.enqueue(createJob(ticket, cpu, expectedRun, clock.now()));
		},
	};
	fixture.report('a', 16);
	fixture.enqueue('first', 1, 100);
	starts.length = 0;
	return fixture;
}

function createResources(cores: number) {
	return {cpu: cores * 1000, memory: 100 * cores, accelerators: 0};
}

function createJob(ticket: string, cpu: number, expectedRun: Milliseconds, now: Milliseconds): QueuedJob {
	return {
		ticket, service: 's', team: 't', taskCount: 1, expectedRun, arrivedAt: now, deadlineAt: now + 1500,
		need: {resources: createResources(cpu)}, objective: {stretch: 1.6, margin: 60},
	};
}

describe('look-ahead', () => {
	it('keeps what is free for a large task until enough will be free', t => {
		const {enqueue, report, starts} = createFixture(true);
		report('a', 4, [[50, 5]]);
		enqueue('large', 9, 200);
		enqueue('small', 1, 200);
		t.deepEqual(starts, []);
		report('a', 10);
		t.deepEqual(starts, ['large@a', 'small@a']);
	});

	it('reserves nothing unless the rules say so', t => {
		const {enqueue, report, starts, scheduler} = createFixture(false);
		report('a', 4, [[50, 6]]);
		enqueue('large', 9, 200);
		enqueue('small', 1, 200);
		t.deepEqual(starts, ['small@a']);
		t.is(scheduler.tryGetHead('a'), undefined);
	});

	it('starts a task on reserved resources that will have ended before they are needed', t => {
		const {enqueue, report, starts} = createFixture(true);
		report('a', 4, [[100, 6]]);
		enqueue('large', 9, 200);
		enqueue('short', 1, 60);
		t.deepEqual(starts, ['short@a*']);
	});

	it('starts a task beside a reservation if enough will be free for both', t => {
		const {enqueue, report, starts} = createFixture(true);
		report('a', 4, [[100, 12]]);
		enqueue('large', 9, 200);
		enqueue('small', 1, 400);
		t.deepEqual(starts, ['small@a*']);
	});

	it('reserves nothing that would be free too late for the objective', t => {
		const {enqueue, report, starts} = createFixture(true);
		report('a', 4, [[300, 6]]);
		enqueue('large', 9, 200);
		enqueue('small', 1, 200);
		t.deepEqual(starts, ['small@a']);
	});

	it('ends a reservation once its job could no longer start in time, was removed or the rules change', t => {
		const {enqueue, report, starts, clock, scheduler} = createFixture(true);
		report('a', 4, [[50, 6]]);
		enqueue('large', 9, 200);
		t.like(scheduler.tryGetHead('a'), {need: createResources(9)});
		clock.advance(250);
		report('a', 4, [[50, 6]]);
		t.is(scheduler.tryGetHead('a'), undefined);
		enqueue('other', 9, 200);
		t.not(scheduler.tryGetHead('a'), undefined);
		scheduler.remove('other');
		enqueue('small', 1, 200);
		t.deepEqual(starts, ['small@a']);
		enqueue('third', 9, 200);
		scheduler.setRules('s', {placement: 'response', maxQueuedTasks: 100, lookAhead: false});
		t.is(scheduler.tryGetHead('a'), undefined);
	});

	it('ends a reservation on an agent whose link was lost', t => {
		const {enqueue, report, scheduler} = createFixture(true);
		report('a', 4, [[50, 6]]);
		enqueue('large', 9, 200);
		scheduler.removeAgent('a');
		t.is(scheduler.tryGetHead('a'), undefined);
	});
});
