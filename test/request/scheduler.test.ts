import type {AgentInfo, QueuedJob, QueuedTask} from '../../src/connection/types.js';
import {createFakeClock} from '../../src/process/fake-clock.js';
import {createScheduler} from '../../src/request/scheduler.js';
import {describe, it} from '../describe.js';

type Start = {
	readonly agent: string;
	readonly task: QueuedTask;
};

describe('scheduler', () => {
	it('starts a task for each credit, on the agent that granted it', t => {
		const {scheduler, starts} = createTestScheduler();
		scheduler.addAgent(createAgentInfo('a1'));
		scheduler.enqueue(createJob({ticket: 'j1', taskCount: 3}));
		t.is(scheduler.getDemand('a1'), 3);
		scheduler.setGrantedCredits('a1', 2);
		t.deepEqual(starts.map(start => [start.agent, start.task.index]), [['a1', 0], ['a1', 1]]);
		scheduler.setGrantedCredits('a1', 1);
		t.is(scheduler.getDemand('a1'), 1);
	});

	it('returns the credits of agents in evacuated data centres and starts nothing there until they are restored', t => {
		const {scheduler, starts} = createTestScheduler();
		scheduler.addAgent(createAgentInfo('a1'));
		const {dataCentre} = createAgentInfo('a1');
		scheduler.setGrantedCredits('a1', 2);
		scheduler.setEvacuatedDataCentres([dataCentre]);
		t.is(scheduler.getReturnedCredits('a1'), 2);
		scheduler.enqueue(createJob({ticket: 'j1', taskCount: 1}));
		scheduler.setGrantedCredits('a1', 3);
		t.deepEqual([starts.length, scheduler.getDemand('a1')], [0, 0]);
		scheduler.setEvacuatedDataCentres([]);
		t.is(scheduler.getDemand('a1'), 1);
		scheduler.setGrantedCredits('a1', 4);
		t.is(starts.length, 1);
	});

	it('starts a small job before a large one that arrived first, and the large one afterwards', t => {
		const {clock, scheduler, starts} = createTestScheduler();
		scheduler.addAgent(createAgentInfo('a1'));
		scheduler.enqueue(createJob({ticket: 'large', taskCount: 100}));
		clock.advance(10);
		scheduler.enqueue(createJob({ticket: 'small', taskCount: 1, arrivedAt: 10}));
		clock.advance(10);
		scheduler.setGrantedCredits('a1', 1);
		t.is(starts[0]?.task.ticket, 'small');
		scheduler.setGrantedCredits('a1', 2);
		t.is(starts[1]?.task.ticket, 'large');
	});

	it('respects the bound of a team and starts its next task when one ends', t => {
		const {scheduler, starts} = createTestScheduler();
		scheduler.setTeamShare('team', {weight: 1, maxRunning: 1});
		scheduler.addAgent(createAgentInfo('a1'));
		scheduler.setGrantedCredits('a1', 4);
		scheduler.enqueue(createJob({ticket: 'j1', taskCount: 2}));
		t.is(starts.length, 1);
		scheduler.recordTaskEnd('a1', 'j1', 'completed', 100);
		t.is(starts.length, 2);
	});

	it('gives each team its share by weight when slots are short', t => {
		const {clock, scheduler, starts} = createTestScheduler();
		scheduler.setTeamShare('light', {weight: 1, maxRunning: Infinity});
		scheduler.setTeamShare('heavy', {weight: 3, maxRunning: Infinity});
		scheduler.addAgent(createAgentInfo('a1'));
		scheduler.enqueue(createJob({ticket: 'l', team: 'light', taskCount: 1000}));
		scheduler.enqueue(createJob({ticket: 'h', team: 'heavy', taskCount: 1000}));
		clock.advance(1);
		scheduler.setGrantedCredits('a1', 400);
		const heavy = starts.filter(start => start.task.ticket === 'h').length;
		t.true(heavy >= 280 && heavy <= 320, `${heavy} of 400`);
	});

	it('returns credits that no task waits for', t => {
		const {clock, scheduler} = createTestScheduler();
		scheduler.addAgent(createAgentInfo('a1'));
		scheduler.setGrantedCredits('a1', 4);
		scheduler.enqueue(createJob({ticket: 'j1', taskCount: 1}));
		clock.advance(100);
		t.is(scheduler.getReturnedCredits('a1'), 3);
	});

	it('expects to use all slots at first, although a burst has used only one of them so far', t => {
		const {scheduler} = createTestScheduler();
		scheduler.addAgent(createAgentInfo('a1'));
		scheduler.setGrantedCredits('a1', 1);
		scheduler.enqueue(createJob({ticket: 'burst', taskCount: 40}));
		scheduler.recordTaskEnd('a1', 'burst', 'completed', 100);
		// 39 tasks of 100 ms take about 500 ms on 8 slots, and 3,900 ms on one.
		t.is(scheduler.checkAdmission(createJob({ticket: 'next', taskCount: 1, deadlineAt: 2000})).kind, 'admitted');
	});

	it('requeues refused tasks and removes waiting ones', t => {
		const {scheduler, starts} = createTestScheduler();
		scheduler.addAgent(createAgentInfo('a1'));
		const job = createJob({ticket: 'j1', taskCount: 3});
		scheduler.enqueue(job);
		scheduler.setGrantedCredits('a1', 1);
		scheduler.recordTaskEnd('a1', 'j1', 'refused', undefined);
		scheduler.requeue(job, {...starts[0]!.task, attempt: 2});
		t.deepEqual(scheduler.remove('j1'), [0, 1, 2]);
		t.is(scheduler.getDemand('a1'), 0);
	});

	it('refuses a job that cannot be in time by the measured run times', t => {
		const {scheduler} = createTestScheduler();
		const job = createJob({ticket: 'j1', taskCount: 1, expectedRun: 1});
		t.is(scheduler.checkAdmission(job).kind, 'no-upstream');
		scheduler.addAgent(createAgentInfo('a1'));
		for (let i = 0; i < 100; i++) {
			scheduler.setGrantedCredits('a1', i + 1);
			scheduler.enqueue(createJob({ticket: `t${i}`, taskCount: 1, expectedRun: 1}));
			scheduler.recordTaskEnd('a1', `t${i}`, 'completed', 1000);
		}

		scheduler.enqueue(createJob({ticket: 'big', taskCount: 80}));
		const admission = scheduler.checkAdmission({...job, deadlineAt: 5000});
		t.is(admission.kind, 'too-late');
		t.is(scheduler.checkAdmission({...job, deadlineAt: 500_000}).kind, 'admitted');
	});
});

function createTestScheduler() {
	const clock = createFakeClock();
	const starts: Start[] = [];
	const scheduler = createScheduler({
		clock,
		start(agent, task) {
			starts.push({agent, task});
		},
		onReportChanged: () => undefined,
	});
	return {clock, scheduler, starts};
}

function createAgentInfo(incarnation: string): AgentInfo {
	return {
		incarnation, name: incarnation, upstream: incarnation, service: 'service', dataCentre: 'dc', rack: 'r1', slots: 8,
	};
}

function createJob(job: Partial<QueuedJob>): QueuedJob {
	return {
		ticket: 'j', service: 'service', team: 'team', taskCount: 1, expectedRun: 100, arrivedAt: 0, deadlineAt: 60_000, ...job,
	};
}
