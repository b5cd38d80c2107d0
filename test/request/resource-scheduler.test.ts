import {noResources} from '../../src/connection/resources.js';
import type {
	AgentInfo, QueuedJob, QueuedTask, Scheduler, TaskRequirements,
} from '../../src/connection/types.js';
import {Soundness} from '../../src/generated/kingcuplane.js';
import type {Milliseconds} from '../../src/process/clock.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {createResourceScheduler} from '../../src/request/resource-scheduler.js';
import {describe, it} from '../describe.js';

const millicoresPerCore = 1000;

type Fixture = {
	readonly clock: FakeClock;
	readonly scheduler: Scheduler;
	readonly starts: Array<QueuedTask & {readonly agent: string}>;
	readonly notified: string[];
	readonly infeasible: string[];
	/** Adds an agent with `cores` cores, all free. */
	connectAgent(name: string, cores: number, labels?: readonly string[], dataCentre?: string): void;
	/** Reports the status of an agent with `cores` free cores. */
	reportFreeCores(name: string, cores: number, receivedStarts: number, soundness?: Soundness, runTimeRatio?: number): void;
};

function createFixture(graceMs: Milliseconds = 0, onRefused?: (scheduler: Scheduler) => void): Fixture {
	const clock = createFakeClock(1000);
	const starts: Fixture['starts'] = [];
	const notified: string[] = [];
	const infeasible: string[] = [];
	const scheduler = createResourceScheduler({
		clock,
		random: () => 0,
		startupGraceMs: graceMs,
		start(agent, task) {
			starts.push({...task, agent});
		},
		onInfeasible(ticket) {
			infeasible.push(ticket);
			scheduler.remove(ticket);
			onRefused?.(scheduler);
		},
		onReportChanged(agent) {
			notified.push(agent);
		},
	});
	const fixture: Fixture = {
		clock,
		scheduler,
		starts,
		notified,
		infeasible,
		connectAgent(name, cores, labels = [], dataCentre = 'd') {
			const info: AgentInfo = {
				incarnation: name,
				name,
				upstream: `u-${name}`,
				service: 's',
				dataCentre,
				rack: labels[1] ?? '',
				slots: 1,
				capacity: {cpu: cores * millicoresPerCore, memory: 1000, accelerators: 0},
				labels,
			};
			scheduler.addAgent(info);
			fixture.reportFreeCores(name, cores, 0);
		},
		reportFreeCores(name, cores, receivedStarts, soundness, runTimeRatio = 0) {
			scheduler.setAgentStatus(name, {
				draining: false,
				running: 0,
				slots: 1,
				meanRun: 0,
				failedPerMille: 0,
				freeRoom: {cpu: cores * millicoresPerCore, memory: 1000, accelerators: 0},
				receivedStarts,
				soundness,
				runTimeRatioPerMille: runTimeRatio * 1000,
			});
		},
	};
	return fixture;
}

// eslint-disable-next-line max-params -- five short arguments read better here than an object literal at each call
function createJob(ticket: string, taskCount: number, expectedRun: Milliseconds, now: Milliseconds, need: Partial<TaskRequirements> = {}): QueuedJob {
	return {
		ticket,
		service: 's',
		submission: 'check',
		team: 't',
		taskCount,
		expectedRun,
		arrivedAt: now,
		deadlineAt: now + 1500,
		need: {resources: {cpu: millicoresPerCore, memory: 1, accelerators: 0}, ...need},
		objective: {stretch: 1.6, margin: 60},
	};
}

describe('resource scheduler', () => {
	describe('an agent that may be cut off', () => {
		it('gets no start before its next report, and its share of the work then', t => {
			const {scheduler, starts, connectAgent, reportFreeCores, clock} = createFixture();
			connectAgent('a', 4);
			connectAgent('b', 1);
			scheduler.awaitReport!('a');
			scheduler.enqueue(createJob('j', 2, 100, clock.now()));
			t.deepEqual(starts.map(({agent}) => agent), ['b']);
			reportFreeCores('a', 4, 0);
			t.deepEqual(starts.map(({agent}) => agent), ['b', 'a']);
		});
	});

	describe('evacuated data centres', () => {
		it('get no new task at once, also no task that is started again', t => {
			const {scheduler, starts, connectAgent, clock} = createFixture();
			const job = createJob('j', 1, 100, clock.now());
			connectAgent('a', 4, [], 'd1');
			scheduler.enqueue(job);
			scheduler.setEvacuatedDataCentres(['d1']);
			scheduler.recordTaskEnd('a', 'j', 'refused', undefined);
			scheduler.requeue(job, {ticket: 'j', index: 0, attempt: 2});
			connectAgent('b', 4, [], 'd1');
			t.is(starts.length, 1);
			connectAgent('c', 4, [], 'd2');
			t.deepEqual(starts.map(({agent, attempt}) => [agent, attempt]), [['a', 1], ['c', 2]]);
		});

		it('do not count for admission', t => {
			const {scheduler, connectAgent, clock} = createFixture();
			connectAgent('a', 4, ['gpu'], 'd1');
			connectAgent('b', 4, [], 'd2');
			connectAgent('c', 4, [], 'd3');
			const labelled = createJob('j', 1, 100, clock.now(), {label: 'gpu'});
			const plain = createJob('k', 1, 100, clock.now());
			scheduler.setEvacuatedDataCentres(['d1', 'd2']);
			t.is(scheduler.checkAdmission(labelled).kind, 'no-upstream');
			t.is(scheduler.checkAdmission(plain).kind, 'admitted');
			scheduler.setEvacuatedDataCentres(['d1', 'd2', 'd3']);
			t.is(scheduler.checkAdmission(plain).kind, 'no-upstream');
			scheduler.setEvacuatedDataCentres(['d2']);
			t.is(scheduler.checkAdmission(labelled).kind, 'admitted');
		});

		it('serve waiting tasks once they are restored, except on agents that drain for another reason', t => {
			const {scheduler, starts, connectAgent, clock} = createFixture();
			connectAgent('a', 4, [], 'd1');
			connectAgent('b', 4, [], 'd1');
			scheduler.setEvacuatedDataCentres(['d1']);
			scheduler.setAgentStatus('a', {
				draining: true, running: 0, slots: 1, meanRun: 0, failedPerMille: 0, freeRoom: {cpu: 4000, memory: 1000, accelerators: 0},
			});
			scheduler.enqueue(createJob('j', 2, 100, clock.now()));
			t.is(starts.length, 0);
			scheduler.setEvacuatedDataCentres([]);
			t.deepEqual(starts.map(({agent}) => agent), ['b', 'b']);
		});

		it('are replaced by others that are asked to report free resources to waiting tasks', t => {
			const {scheduler, connectAgent, reportFreeCores, clock} = createFixture();
			for (let i = 0; i < 12; i++) {
				connectAgent(`a${i}`, 1, [], 'd1');
				reportFreeCores(`a${i}`, 0, 0);
			}

			scheduler.enqueue(createJob('j', 2, 100, clock.now()));
			connectAgent('b', 1, [], 'd2');
			reportFreeCores('b', 0, 0);
			scheduler.setEvacuatedDataCentres(['d1']);
			connectAgent('c', 1, [], 'd1');
			t.deepEqual(['a0', 'a11', 'b', 'c'].map(agent => scheduler.getDemand(agent) > 0), [false, false, true, false]);
		});
	});

	describe('placement', () => {
		it('starts only as many tasks as an upstream has processors for', t => {
			const {scheduler, starts, connectAgent, clock} = createFixture();
			connectAgent('a', 3);
			scheduler.enqueue(createJob('j', 5, 100, clock.now()));
			t.is(starts.length, 3);
		});

		it('places the tasks of a job together, but leaves a quarter of the upstream to other entries while there are more upstreams', t => {
			const {scheduler, starts, connectAgent, clock} = createFixture();
			connectAgent('a', 8);
			connectAgent('b', 8);
			scheduler.enqueue(createJob('j', 10, 100, clock.now()));
			t.deepEqual(starts.map(({agent}) => agent), [...Array.from({length: 6}, () => 'a'), ...Array.from({length: 4}, () => 'b')]);
		});

		it('prefers upstreams with a fresh report to those whose free resources are known from a while ago', t => {
			const {scheduler, starts, connectAgent, reportFreeCores, clock} = createFixture();
			connectAgent('old', 16);
			connectAgent('fresh', 8);
			clock.advance(1000);
			reportFreeCores('fresh', 8, 0);
			scheduler.enqueue(createJob('j', 1, 100, clock.now()));
			t.is(starts[0]?.agent, 'fresh');
		});

		it('keeps a long job for a fast upstream, and lets a short one use the slow one meanwhile', t => {
			const {scheduler, starts, connectAgent, reportFreeCores, clock} = createFixture();
			for (const name of ['busy', 'fast', 'slow']) {
				connectAgent(name, 4);
				reportFreeCores(name, name === 'slow' ? 4 : 0, 0, Soundness.SOUNDNESS_SOUND, name === 'slow' ? 1.7 : 0.7);
			}

			scheduler.enqueue(createJob('long', 2, 700, clock.now()));
			scheduler.enqueue(createJob('short', 1, 70, clock.now()));
			t.deepEqual(starts.map(({ticket, agent}) => [ticket, agent]), [['short', 'slow']]);
			clock.advance(100);
			reportFreeCores('fast', 4, 0, Soundness.SOUNDNESS_SOUND, 0.7);
			t.deepEqual(starts.slice(1).map(({ticket, agent}) => [ticket, agent]), [['long', 'fast'], ['long', 'fast']]);
		});

		it('starts a long job on a slow upstream once it would be late at nominal speed', t => {
			const {scheduler, starts, connectAgent, reportFreeCores, clock} = createFixture();
			for (const name of ['busy', 'fast', 'slow']) {
				connectAgent(name, 4);
				reportFreeCores(name, name === 'slow' ? 4 : 0, 0, Soundness.SOUNDNESS_SOUND, name === 'slow' ? 1.7 : 0.7);
			}

			scheduler.enqueue(createJob('long', 1, 700, clock.now()));
			clock.advance(490);
			reportFreeCores('slow', 4, 0, Soundness.SOUNDNESS_SOUND, 1.7);
			t.deepEqual(starts.map(({agent}) => agent), ['slow']);
		});

		it('counts starts that the agent had not received when it reported its free resources', t => {
			const {scheduler, starts, connectAgent, reportFreeCores, clock} = createFixture();
			connectAgent('a', 2);
			scheduler.enqueue(createJob('j', 4, 100, clock.now()));
			reportFreeCores('a', 2, 0);
			t.is(starts.length, 2);
			reportFreeCores('a', 1, 2);
			t.is(starts.length, 3);
		});

		it('sends a large task to the upstream where it fits', t => {
			const {scheduler, starts, connectAgent, clock} = createFixture();
			connectAgent('small', 1);
			connectAgent('large', 8);
			scheduler.enqueue(createJob('j', 1, 100, clock.now(), {resources: {cpu: 6 * millicoresPerCore, memory: 1, accelerators: 0}}));
			t.deepEqual(starts.map(({agent}) => agent), ['large']);
		});

		it('respects labels and the limit on one upstream, and prefers the rack of the data', t => {
			const {scheduler, starts, connectAgent, clock} = createFixture();
			connectAgent('a', 8, ['x', 'r1']);
			connectAgent('b', 8, ['y', 'r2']);
			scheduler.enqueue(createJob('label', 1, 100, clock.now(), {label: 'y'}));
			scheduler.enqueue(createJob('apart', 2, 100, clock.now(), {maxPerUpstream: 1}));
			scheduler.enqueue(createJob('near', 2, 100, clock.now(), {rack: 'r2'}));
			t.deepEqual(starts.filter(({ticket}) => ticket === 'label').map(({agent}) => agent), ['b']);
			t.deepEqual(starts.filter(({ticket}) => ticket === 'apart').map(({agent}) => agent).toSorted(), ['a', 'b']);
			t.deepEqual(starts.filter(({ticket}) => ticket === 'near').map(({agent}) => agent), ['b', 'b']);
		});

		it('prefers another agent after a run of the task has failed on one', t => {
			const {scheduler, starts, connectAgent, clock} = createFixture();
			connectAgent('a', 8);
			connectAgent('b', 8);
			scheduler.requeue(createJob('j', 1, 100, clock.now()), {
				ticket: 'j', index: 0, attempt: 2, failedOn: ['a'],
			});
			t.deepEqual(starts.map(({agent}) => agent), ['b']);
		});

		it('excludes suspect upstreams, but not if most are suspect', t => {
			const {scheduler, starts, connectAgent, reportFreeCores, clock} = createFixture();
			connectAgent('a', 8);
			connectAgent('b', 8);
			reportFreeCores('a', 8, 0, Soundness.SOUNDNESS_SUSPECT);
			scheduler.enqueue(createJob('j', 4, 100, clock.now()));
			t.deepEqual([...new Set(starts.map(({agent}) => agent))], ['b']);
			reportFreeCores('b', 0, 4, Soundness.SOUNDNESS_SUSPECT);
			scheduler.enqueue(createJob('k', 1, 100, clock.now()));
			t.is(starts.at(-1)?.agent, 'a');
		});

		it('sends one task at a time to an upstream that is being probed', t => {
			const {scheduler, starts, connectAgent, reportFreeCores, clock} = createFixture();
			connectAgent('a', 8);
			connectAgent('b', 8);
			reportFreeCores('a', 8, 0, Soundness.SOUNDNESS_PROBED);
			reportFreeCores('b', 1, 0);
			scheduler.enqueue(createJob('j', 4, 100, clock.now()));
			t.deepEqual(starts.map(({agent}) => agent).toSorted(), ['a', 'b']);
		});

		it('sends nothing more to an agent that refused a start until its next report', t => {
			const {scheduler, starts, connectAgent, reportFreeCores, clock} = createFixture();
			connectAgent('a', 8);
			const job = createJob('j', 1, 100, clock.now());
			scheduler.enqueue(job);
			scheduler.recordTaskEnd('a', 'j', 'refused', undefined);
			scheduler.requeue(job, {ticket: 'j', index: 0, attempt: 2});
			t.is(starts.length, 1);
			reportFreeCores('a', 8, 1);
			t.is(starts.length, 2);
		});

		it('also sends no task that needs no resources there', t => {
			const {scheduler, starts, connectAgent, reportFreeCores, clock} = createFixture();
			connectAgent('a', 8);
			const job = createJob('j', 1, 100, clock.now(), {resources: noResources});
			scheduler.enqueue(job);
			scheduler.recordTaskEnd('a', 'j', 'refused', undefined);
			scheduler.requeue(job, {ticket: 'j', index: 0, attempt: 2});
			t.is(starts.length, 1);
			reportFreeCores('a', 0, 1);
			t.is(starts.length, 2, 'none are needed');
		});
	});

	describe('overload', () => {
		it('orders started jobs by slack, then jobs in time from the newest, then late jobs from the shortest', t => {
			const {
				scheduler, starts, connectAgent, reportFreeCores, clock,
			} = createFixture();
			connectAgent('a', 10);
			reportFreeCores('a', 2, 0);
			scheduler.enqueue(createJob('begun-much-slack', 2, 800, clock.now()));
			reportFreeCores('a', 1, 2);
			scheduler.enqueue(createJob('begun-little-slack', 2, 50, clock.now()));
			starts.length = 0;
			scheduler.setStartsHeld?.(true);
			scheduler.requeue(createJob('begun-much-slack', 2, 800, clock.now()), {ticket: 'begun-much-slack', index: 1, attempt: 2});
			scheduler.enqueue(createJob('long-late', 1, 400, clock.now() - 400));
			scheduler.enqueue(createJob('short-late', 1, 300, clock.now() - 300));
			scheduler.enqueue(createJob('older', 1, 50, clock.now() - 20));
			scheduler.enqueue(createJob('newer', 1, 400, clock.now()));
			reportFreeCores('a', 10, 3);
			scheduler.setStartsHeld?.(false);
			t.deepEqual(starts.map(({ticket}) => ticket), ['begun-little-slack', 'begun-much-slack', 'newer', 'older', 'short-late', 'long-late']);
		});

		it('lets late jobs wait in a short burst until their answers would have no utility', t => {
			const {
				scheduler, starts, infeasible, connectAgent, reportFreeCores, clock,
			} = createFixture();
			connectAgent('a', 8);
			reportFreeCores('a', 1, 0);
			scheduler.enqueue(createJob('begun', 2, 60, clock.now()));
			scheduler.enqueue(createJob('waiting', 1, 60, clock.now()));
			// Its objective is 156 ms, so its answer has some utility for 468 ms.
			clock.advance(400);
			reportFreeCores('a', 0, 1);
			t.deepEqual(infeasible, []);
			clock.advance(20);
			reportFreeCores('a', 0, 1);
			t.deepEqual(infeasible, ['waiting']);
			t.deepEqual(starts.map(({ticket}) => ticket), ['begun']);
		});

		it('fails jobs behind a persistent queue that have not started and cannot meet their objective', t => {
			const {
				scheduler, starts, infeasible, connectAgent, reportFreeCores, clock,
			} = createFixture();
			connectAgent('a', 8);
			reportFreeCores('a', 1, 0);
			scheduler.enqueue(createJob('begun', 2, 100, clock.now()));
			clock.advance(500);
			scheduler.enqueue(createJob('waiting', 1, 100, clock.now()));
			// Its objective is 220 ms, so it is out of reach after 120 ms.
			clock.advance(110);
			reportFreeCores('a', 0, 1);
			t.deepEqual(infeasible, []);
			clock.advance(20);
			reportFreeCores('a', 0, 1);
			t.deepEqual(infeasible, ['waiting']);
			t.deepEqual(starts.map(({ticket}) => ticket), ['begun']);
		});

		it('does not treat a queue as persistent that was empty in between', t => {
			const {
				scheduler, infeasible, connectAgent, reportFreeCores, clock,
			} = createFixture();
			connectAgent('a', 8);
			reportFreeCores('a', 0, 0);
			scheduler.enqueue(createJob('gone', 1, 60, clock.now()));
			scheduler.remove('gone');
			clock.advance(600);
			scheduler.enqueue(createJob('waiting', 1, 60, clock.now()));
			// Its objective of 156 ms is out of reach, but its answer has some utility for 468 ms.
			clock.advance(200);
			reportFreeCores('a', 0, 0);
			t.deepEqual(infeasible, []);
		});

		it('starts a late job if enough resources are free', t => {
			const {
				scheduler, starts, infeasible, connectAgent, clock,
			} = createFixture();
			connectAgent('a', 8);
			scheduler.enqueue(createJob('late', 1, 100, clock.now() - 1000));
			t.is(starts.length, 1);
			t.deepEqual(infeasible, []);
		});

		it('reserves a part of each upstream for jobs that arrive after a backlog of late jobs', t => {
			const {scheduler, starts, connectAgent, clock} = createFixture();
			connectAgent('a', 10);
			for (let i = 0; i < 10; i++) {
				scheduler.enqueue(createJob(`late-${i}`, 1, 400, clock.now() - 900));
			}

			t.is(starts.length, 7);
			scheduler.enqueue(createJob('fresh', 3, 400, clock.now()));
			t.is(starts.filter(({ticket}) => ticket === 'fresh').length, 3);
		});

		it('starts the remaining tasks of a late job that has started', t => {
			const {scheduler, starts, connectAgent, clock} = createFixture();
			connectAgent('a', 10);
			scheduler.enqueue(createJob('late', 10, 400, clock.now() - 900));
			t.is(starts.length, 10);
		});

		it('requests reports from agents while tasks wait, and withdraws the request shortly afterwards', t => {
			const {
				scheduler, notified, connectAgent, reportFreeCores, clock,
			} = createFixture();
			connectAgent('a', 8);
			reportFreeCores('a', 0, 0);
			notified.length = 0;
			scheduler.enqueue(createJob('j', 1, 100, clock.now()));
			t.deepEqual(notified, ['a']);
			t.is(scheduler.getDemand('a'), 1);
			reportFreeCores('a', 1, 0);
			t.is(scheduler.getDemand('a'), 1);
			t.deepEqual(notified, ['a']);
			clock.advance(50);
			t.deepEqual(notified, ['a', 'a']);
			t.is(scheduler.getDemand('a'), 0);
			clock.advance(1000);
			t.deepEqual(notified, ['a', 'a']);
		});

		it('requests reports from an agent that connects while tasks wait', t => {
			const {scheduler, connectAgent, reportFreeCores, clock} = createFixture();
			connectAgent('a', 8);
			reportFreeCores('a', 0, 0);
			scheduler.enqueue(createJob('j', 20, 100, clock.now()));
			connectAgent('b', 4);
			t.is(scheduler.getDemand('b'), 16);
		});

		it('does not withdraw the request for reports if the next task arrives soon', t => {
			const {
				scheduler, notified, connectAgent, reportFreeCores, clock,
			} = createFixture();
			connectAgent('a', 8);
			reportFreeCores('a', 0, 0);
			notified.length = 0;
			for (let i = 1; i <= 5; i++) {
				scheduler.enqueue(createJob(`j-${i}`, 1, 100, clock.now()));
				reportFreeCores('a', 1, i - 1);
				reportFreeCores('a', 0, i);
				clock.advance(20);
			}

			t.deepEqual(notified, ['a']);
		});

		it('requests reports from some of many agents, and from none that is draining', t => {
			const {scheduler, notified, connectAgent, clock} = createFixture();
			for (let i = 0; i < 100; i++) {
				connectAgent(`a-${i}`, 0);
			}

			scheduler.setAgentStatus('a-0', {
				draining: true, running: 0, slots: 1, meanRun: 0, failedPerMille: 0,
			});
			notified.length = 0;
			scheduler.enqueue(createJob('j', 50, 100, clock.now(), {resources: {cpu: 0, memory: 1, accelerators: 0}}));
			t.is(notified.length, 0);
			scheduler.enqueue(createJob('k', 50, 100, clock.now(), {resources: {cpu: 0, memory: 1, accelerators: 1}}));
			t.is(new Set(notified).size, 12);
			t.false(notified.includes('a-0'));
		});
	});

	describe('admission', () => {
		it('refuses a job that fits on no upstream or cannot be done by its deadline', t => {
			const {scheduler, connectAgent, clock} = createFixture();
			t.is(scheduler.checkAdmission(createJob('j', 1, 100, clock.now())).kind, 'no-upstream');
			connectAgent('a', 2);
			t.is(scheduler.checkAdmission(createJob('j', 1, 100, clock.now(), {resources: {cpu: 3 * millicoresPerCore, memory: 1, accelerators: 0}})).kind, 'no-upstream');
			t.is(scheduler.checkAdmission(createJob('j', 1, 2600, clock.now())).kind, 'too-late');
			t.is(scheduler.checkAdmission(createJob('j', 1, 100, clock.now())).kind, 'admitted');
		});
	});

	it('reports a waiting job as infeasible as soon as it cannot be done by its deadline', t => {
		const {scheduler, starts, infeasible, connectAgent, reportFreeCores, clock} = createFixture();
		connectAgent('a', 2);
		reportFreeCores('a', 0, 0);
		scheduler.enqueue({...createJob('j', 1, 1000, clock.now()), objective: undefined});
		clock.advance(890);
		reportFreeCores('a', 0, 0);
		t.deepEqual(infeasible, []);
		clock.advance(20);
		reportFreeCores('a', 2, 0);
		t.deepEqual(infeasible, ['j']);
		t.is(starts.length, 0);
	});

	it('admits jobs without agents during the startup grace period, and refuses them afterwards', t => {
		const {scheduler, starts, connectAgent, clock} = createFixture(500);
		t.is(scheduler.checkAdmission(createJob('j', 1, 100, clock.now())).kind, 'admitted');
		scheduler.enqueue(createJob('j', 1, 100, clock.now()));
		clock.advance(400);
		connectAgent('a', 2);
		t.is(starts.length, 1);
		clock.advance(100);
		scheduler.removeAgent('a');
		t.is(scheduler.checkAdmission(createJob('k', 1, 100, clock.now())).kind, 'no-upstream');
	});

	it('starts nothing while held, and everything that fits afterwards', t => {
		const {scheduler, starts, connectAgent, clock} = createFixture();
		connectAgent('a', 8);
		scheduler.setStartsHeld?.(true);
		scheduler.enqueue(createJob('j', 3, 100, clock.now()));
		t.is(starts.length, 0);
		scheduler.setStartsHeld?.(false);
		t.is(starts.length, 3);
	});

	it('does not refuse a job that was started because of the refusal of another one', t => {
		const {
			scheduler, starts, infeasible, connectAgent, reportFreeCores, clock,
		} = createFixture(0, () => {
			reportFreeCores('a', 4, 0);
		});
		connectAgent('a', 4);
		reportFreeCores('a', 0, 0);
		scheduler.enqueue(createJob('first', 1, 100, clock.now()));
		scheduler.enqueue(createJob('second', 1, 100, clock.now()));
		clock.advance(600);
		reportFreeCores('a', 0, 0);
		t.is(infeasible.length, 1);
		t.is(starts.length, 1);
		t.not(starts[0]?.ticket, infeasible[0]);
	});

	it('measures anew how fast the queue is worked off after starts were held', t => {
		const {
			scheduler, starts, infeasible, connectAgent, reportFreeCores, clock,
		} = createFixture();
		connectAgent('a', 1);
		scheduler.enqueue({...createJob('wide', 8, 100, clock.now()), deadlineAt: clock.now() + 60_000, objective: undefined});
		for (let i = 0; i < 6; i++) {
			clock.advance(100);
			reportFreeCores('a', 1, starts.length);
		}

		scheduler.setStartsHeld?.(true);
		clock.advance(400);
		scheduler.enqueue(createJob('new', 1, 100, clock.now()));
		scheduler.setStartsHeld?.(false);
		t.deepEqual(infeasible, []);
	});
});
