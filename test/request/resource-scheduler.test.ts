import type {
	AgentInfo, QueuedJob, QueuedTask, Scheduler, TaskRequirements,
} from '../../src/connection/types.js';
import {Soundness} from '../../src/generated/kingcuplane.js';
import type {Milliseconds} from '../../src/process/clock.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {createResourceScheduler} from '../../src/request/resource-scheduler.js';
import {describe, it} from '../describe.js';

const core = 1000;

type Bench = {
	readonly clock: FakeClock;
	readonly scheduler: Scheduler;
	readonly starts: Array<QueuedTask & {readonly agent: string}>;
	readonly told: string[];
	readonly hopeless: string[];
	/** Opens an agent with so many cores, all free. */
	open(name: string, cores: number, labels?: readonly string[]): void;
	tellRoom(name: string, cores: number, receivedStarts: number, soundness?: Soundness): void;
};

function createBench(settleMs: Milliseconds = 0): Bench {
	const clock = createFakeClock(1000);
	const starts: Bench['starts'] = [];
	const told: string[] = [];
	const hopeless: string[] = [];
	const scheduler = createResourceScheduler({
		clock,
		random: () => 0,
		startupGraceMs: settleMs,
		start(agent, task) {
			starts.push({...task, agent});
		},
		onInfeasible(ticket) {
			hopeless.push(ticket);
			scheduler.remove(ticket);
		},
		onReportChanged(agent) {
			told.push(agent);
		},
	});
	const bench: Bench = {
		clock,
		scheduler,
		starts,
		told,
		hopeless,
		open(name, cores, labels = []) {
			const facts: AgentInfo = {
				incarnation: name, name, upstream: `u-${name}`, service: 's', dataCentre: 'd', rack: labels[1] ?? '', slots: 1, capacity: {cpu: cores * core, memory: 1000, accelerators: 0}, labels,
			};
			scheduler.addAgent(facts);
			bench.tellRoom(name, cores, 0);
		},
		tellRoom(name, cores, receivedStarts, soundness) {
			scheduler.setAgentStatus(name, {
				draining: false, running: 0, slots: 1, meanRun: 0, failedPerMille: 0, freeRoom: {cpu: cores * core, memory: 1000, accelerators: 0}, receivedStarts, soundness,
			});
		},
	};
	return bench;
}

// eslint-disable-next-line max-params -- five short arguments read better here than a table of names at each call
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
		need: {resources: {cpu: core, memory: 1, accelerators: 0}, ...need},
		objective: {stretch: 1.6, margin: 60},
	};
}

describe('room scheduler', () => {
	describe('placement', () => {
		it('fills an upstream up to its processors and no further', t => {
			const {scheduler, starts, open, clock} = createBench();
			open('a', 3);
			scheduler.enqueue(createJob('j', 5, 100, clock.now()));
			t.is(starts.length, 3);
		});

		it('counts starts that the agent had not received when it told its room', t => {
			const {scheduler, starts, open, tellRoom, clock} = createBench();
			open('a', 2);
			scheduler.enqueue(createJob('j', 4, 100, clock.now()));
			tellRoom('a', 2, 0);
			t.is(starts.length, 2);
			tellRoom('a', 1, 2);
			t.is(starts.length, 3);
		});

		it('sends a large task to the upstream that holds it, not behind small ones', t => {
			const {scheduler, starts, open, clock} = createBench();
			open('small', 1);
			open('large', 8);
			scheduler.enqueue(createJob('j', 1, 100, clock.now(), {resources: {cpu: 6 * core, memory: 1, accelerators: 0}}));
			t.deepEqual(starts.map(({agent}) => agent), ['large']);
		});

		it('keeps to labels, to the bound on one upstream, and prefers the rack of the data', t => {
			const {scheduler, starts, open, clock} = createBench();
			open('a', 8, ['x', 'r1']);
			open('b', 8, ['y', 'r2']);
			scheduler.enqueue(createJob('label', 1, 100, clock.now(), {label: 'y'}));
			scheduler.enqueue(createJob('apart', 2, 100, clock.now(), {maxPerUpstream: 1}));
			scheduler.enqueue(createJob('near', 2, 100, clock.now(), {rack: 'r2'}));
			t.deepEqual(starts.filter(({ticket}) => ticket === 'label').map(({agent}) => agent), ['b']);
			t.deepEqual(starts.filter(({ticket}) => ticket === 'apart').map(({agent}) => agent).toSorted(), ['a', 'b']);
			t.deepEqual(starts.filter(({ticket}) => ticket === 'near').map(({agent}) => agent), ['b', 'b']);
		});

		it('tries another agent first where a run of the task has failed', t => {
			const {scheduler, starts, open, clock} = createBench();
			open('a', 8);
			open('b', 8);
			scheduler.requeue(createJob('j', 1, 100, clock.now()), {
				ticket: 'j', index: 0, attempt: 2, failedOn: ['a'],
			});
			t.deepEqual(starts.map(({agent}) => agent), ['b']);
		});

		it('leaves out upstreams that their agents doubt, but not if most are doubted', t => {
			const {scheduler, starts, open, tellRoom, clock} = createBench();
			open('a', 8);
			open('b', 8);
			tellRoom('a', 8, 0, Soundness.SOUNDNESS_SUSPECT);
			scheduler.enqueue(createJob('j', 4, 100, clock.now()));
			t.deepEqual([...new Set(starts.map(({agent}) => agent))], ['b']);
			tellRoom('b', 0, 4, Soundness.SOUNDNESS_SUSPECT);
			scheduler.enqueue(createJob('k', 1, 100, clock.now()));
			t.is(starts.at(-1)?.agent, 'a');
		});

		it('probes with one task at a time', t => {
			const {scheduler, starts, open, tellRoom, clock} = createBench();
			open('a', 8);
			open('b', 8);
			tellRoom('a', 8, 0, Soundness.SOUNDNESS_PROBED);
			tellRoom('b', 1, 0);
			scheduler.enqueue(createJob('j', 4, 100, clock.now()));
			t.deepEqual(starts.map(({agent}) => agent).toSorted(), ['a', 'b']);
		});

		it('sends nothing more to an agent that refused until it tells its room again', t => {
			const {scheduler, starts, open, tellRoom, clock} = createBench();
			open('a', 8);
			const job = createJob('j', 1, 100, clock.now());
			scheduler.enqueue(job);
			scheduler.recordTaskEnd('a', 'j', 'refused', undefined);
			scheduler.requeue(job, {ticket: 'j', index: 0, attempt: 2});
			t.is(starts.length, 1);
			tellRoom('a', 8, 1);
			t.is(starts.length, 2);
		});
	});

	describe('a short overload', () => {
		it('serves what is begun by slack, then the newest in time, then the late by length', t => {
			const {
				scheduler, starts, open, tellRoom, clock,
			} = createBench();
			open('a', 10);
			tellRoom('a', 2, 0);
			scheduler.enqueue(createJob('begun-much-slack', 2, 800, clock.now()));
			tellRoom('a', 1, 2);
			scheduler.enqueue(createJob('begun-little-slack', 2, 50, clock.now()));
			starts.length = 0;
			scheduler.setHeld?.(true);
			scheduler.requeue(createJob('begun-much-slack', 2, 800, clock.now()), {ticket: 'begun-much-slack', index: 1, attempt: 2});
			scheduler.enqueue(createJob('long-late', 1, 400, clock.now() - 400));
			scheduler.enqueue(createJob('short-late', 1, 300, clock.now() - 300));
			scheduler.enqueue(createJob('older', 1, 50, clock.now() - 20));
			scheduler.enqueue(createJob('newer', 1, 400, clock.now()));
			tellRoom('a', 10, 3);
			scheduler.setHeld?.(false);
			t.deepEqual(starts.map(({ticket}) => ticket), ['begun-little-slack', 'begun-much-slack', 'newer', 'older', 'short-late', 'long-late']);
		});

		it('lets late jobs wait behind a short burst until their answers are of no use', t => {
			const {
				scheduler, starts, hopeless, open, tellRoom, clock,
			} = createBench();
			open('a', 8);
			tellRoom('a', 1, 0);
			scheduler.enqueue(createJob('begun', 2, 60, clock.now()));
			scheduler.enqueue(createJob('waiting', 1, 60, clock.now()));
			// Its objective is 156 ms, so it is of use for 468 ms.
			clock.advance(400);
			tellRoom('a', 0, 1);
			t.deepEqual(hopeless, []);
			clock.advance(20);
			tellRoom('a', 0, 1);
			t.deepEqual(hopeless, ['waiting']);
			t.deepEqual(starts.map(({ticket}) => ticket), ['begun']);
		});

		it('refuses behind a standing queue what cannot meet its objective and is not begun', t => {
			const {
				scheduler, starts, hopeless, open, tellRoom, clock,
			} = createBench();
			open('a', 8);
			tellRoom('a', 1, 0);
			scheduler.enqueue(createJob('begun', 2, 100, clock.now()));
			clock.advance(500);
			scheduler.enqueue(createJob('waiting', 1, 100, clock.now()));
			// Its objective is 220 ms, so it is out of reach after 120 ms.
			clock.advance(110);
			tellRoom('a', 0, 1);
			t.deepEqual(hopeless, []);
			clock.advance(20);
			tellRoom('a', 0, 1);
			t.deepEqual(hopeless, ['waiting']);
			t.deepEqual(starts.map(({ticket}) => ticket), ['begun']);
		});

		it('takes no queue for standing that was empty in between', t => {
			const {
				scheduler, hopeless, open, tellRoom, clock,
			} = createBench();
			open('a', 8);
			tellRoom('a', 0, 0);
			scheduler.enqueue(createJob('gone', 1, 60, clock.now()));
			scheduler.remove('gone');
			clock.advance(600);
			scheduler.enqueue(createJob('waiting', 1, 60, clock.now()));
			// Its objective of 156 ms is out of reach, and its answer is of use for 468 ms.
			clock.advance(200);
			tellRoom('a', 0, 0);
			t.deepEqual(hopeless, []);
		});

		it('starts what is late if there is room for it', t => {
			const {
				scheduler, starts, hopeless, open, clock,
			} = createBench();
			open('a', 8);
			scheduler.enqueue(createJob('late', 1, 100, clock.now() - 1000));
			t.is(starts.length, 1);
			t.deepEqual(hopeless, []);
		});

		it('keeps a part of each upstream from a backlog of late jobs, for those that arrive next', t => {
			const {scheduler, starts, open, clock} = createBench();
			open('a', 10);
			for (let i = 0; i < 10; i++) {
				scheduler.enqueue(createJob(`late-${i}`, 1, 400, clock.now() - 900));
			}

			t.is(starts.length, 7);
			scheduler.enqueue(createJob('fresh', 3, 400, clock.now()));
			t.is(starts.filter(({ticket}) => ticket === 'fresh').length, 3);
		});

		it('lets the rest of a late job follow what is begun of it', t => {
			const {scheduler, starts, open, clock} = createBench();
			open('a', 10);
			scheduler.enqueue(createJob('late', 10, 400, clock.now() - 900));
			t.is(starts.length, 10);
		});

		it('asks agents to tell free room at once while tasks wait, and tells them soon after that none waits', t => {
			const {
				scheduler, told, open, tellRoom, clock,
			} = createBench();
			open('a', 8);
			tellRoom('a', 0, 0);
			told.length = 0;
			scheduler.enqueue(createJob('j', 1, 100, clock.now()));
			t.deepEqual(told, ['a']);
			t.is(scheduler.getQueued('a'), 1);
			tellRoom('a', 1, 0);
			t.is(scheduler.getQueued('a'), 1);
			t.deepEqual(told, ['a']);
			clock.advance(50);
			t.deepEqual(told, ['a', 'a']);
			t.is(scheduler.getQueued('a'), 0);
			clock.advance(1000);
			t.deepEqual(told, ['a', 'a']);
		});

		it('asks an agent that comes while tasks wait', t => {
			const {scheduler, open, tellRoom, clock} = createBench();
			open('a', 8);
			tellRoom('a', 0, 0);
			scheduler.enqueue(createJob('j', 20, 100, clock.now()));
			open('b', 4);
			t.is(scheduler.getQueued('b'), 16);
		});

		it('tells nobody that none waits if the next one does soon', t => {
			const {
				scheduler, told, open, tellRoom, clock,
			} = createBench();
			open('a', 8);
			tellRoom('a', 0, 0);
			told.length = 0;
			for (let i = 1; i <= 5; i++) {
				scheduler.enqueue(createJob(`j-${i}`, 1, 100, clock.now()));
				tellRoom('a', 1, i - 1);
				tellRoom('a', 0, i);
				clock.advance(20);
			}

			t.deepEqual(told, ['a']);
		});

		it('asks some of many agents, and none that is draining', t => {
			const {scheduler, told, open, clock} = createBench();
			for (let i = 0; i < 100; i++) {
				open(`a-${i}`, 0);
			}

			scheduler.setAgentStatus('a-0', {
				draining: true, running: 0, slots: 1, meanRun: 0, failedPerMille: 0,
			});
			told.length = 0;
			scheduler.enqueue(createJob('j', 50, 100, clock.now(), {resources: {cpu: 0, memory: 1, accelerators: 0}}));
			t.is(told.length, 0);
			scheduler.enqueue(createJob('k', 50, 100, clock.now(), {resources: {cpu: 0, memory: 1, accelerators: 1}}));
			t.is(new Set(told).size, 12);
			t.false(told.includes('a-0'));
		});
	});

	describe('admission', () => {
		it('refuses at once what no upstream can hold, and what cannot be done by its deadline', t => {
			const {scheduler, open, clock} = createBench();
			t.is(scheduler.checkAdmission(createJob('j', 1, 100, clock.now())).kind, 'no-upstream');
			open('a', 2);
			t.is(scheduler.checkAdmission(createJob('j', 1, 100, clock.now(), {resources: {cpu: 3 * core, memory: 1, accelerators: 0}})).kind, 'no-upstream');
			t.is(scheduler.checkAdmission(createJob('j', 1, 2600, clock.now())).kind, 'too-late');
			t.is(scheduler.checkAdmission(createJob('j', 1, 100, clock.now())).kind, 'admitted');
		});
	});

	it('gives a waiting job up as soon as it cannot be done by its deadline any more', t => {
		const {scheduler, starts, hopeless, open, tellRoom, clock} = createBench();
		open('a', 2);
		tellRoom('a', 0, 0);
		scheduler.enqueue({...createJob('j', 1, 1000, clock.now()), objective: undefined});
		clock.advance(890);
		tellRoom('a', 0, 0);
		t.deepEqual(hopeless, []);
		clock.advance(20);
		tellRoom('a', 2, 0);
		t.deepEqual(hopeless, ['j']);
		t.is(starts.length, 0);
	});

	it('lets jobs wait for agents for a while after its start, and refuses them afterwards', t => {
		const {scheduler, starts, open, clock} = createBench(500);
		t.is(scheduler.checkAdmission(createJob('j', 1, 100, clock.now())).kind, 'admitted');
		scheduler.enqueue(createJob('j', 1, 100, clock.now()));
		clock.advance(400);
		open('a', 2);
		t.is(starts.length, 1);
		clock.advance(100);
		scheduler.removeAgent('a');
		t.is(scheduler.checkAdmission(createJob('k', 1, 100, clock.now())).kind, 'no-upstream');
	});

	it('starts nothing while held, and everything that fits afterwards', t => {
		const {scheduler, starts, open, clock} = createBench();
		open('a', 8);
		scheduler.setHeld?.(true);
		scheduler.enqueue(createJob('j', 3, 100, clock.now()));
		t.is(starts.length, 0);
		scheduler.setHeld?.(false);
		t.is(starts.length, 3);
	});
});
