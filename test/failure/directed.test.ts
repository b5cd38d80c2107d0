import type {ExecutionContext} from 'ava';
import type {Milliseconds} from '../../src/process/clock.js';
import {describe, it} from '../describe.js';
import {createCallers, type Callers, type SubmissionPlan} from './callers.js';
import {findViolations} from './checker.js';
import {createPolicy, createUpstreamObject, upstreamNames} from './config.js';
import type {RecordedEvent} from './journal.js';
import {createSimulatedCluster, entryNames, type SimulatedCluster} from './cluster.js';

/** A job of two charges, accepted by e1 and sent through e1. */
const job: SubmissionPlan = {
	taskCount: 2, isIdempotent: false, issuer: 'e1', via: 'e1', isDuplicated: false, resubmitAfter: 500,
};

/** Time within which a start is under way to its agent, reaches it, and has begun. */
const startMoments: readonly Milliseconds[] = [0, 2, 3, 5, 8, 20];
const settleMs: Milliseconds = 25_000;

describe('failures', () => {
	describe('identity', () => {
		it('a job sent to every entry at once, and late, starts each task once', async t => {
			const {world, callers} = await start(1);
			for (let i = 0; i < 20; i++) {
				callers.submit({...job, isDuplicated: true, resubmitAfter: 500 + (i * 1500)});
				await world.advance(100);
			}

			await world.advance(40_000);
			t.is(count(world, 'started'), 40);
			expectKept(t, world, callers);
		});

		it('an entry killed before, while and after it sends starts causes no second start', async t => {
			await atMoments(t, async (world, callers) => {
				world.kill('e1', 3000);
				await world.advance(settleMs);
				expectKept(t, world, callers);
			});
		});

		it('an entry frozen past its lease gives no answer against the one given for it', async t => {
			await atMoments(t, async (world, callers) => {
				world.freeze('e1', 9000);
				await world.advance(settleMs);
				t.true(count(world, 'settled') > 0);
				expectKept(t, world, callers);
			});
		});

		it('an entry that wakes during an outage of the platform gives no answer on its lapsed lease', async t => {
			// Its agents' results do not reach it, so its own deadline ends the jobs that the agents hold as complete.
			await atMoments(t, async (world, callers) => {
				for (const agent of world.upstreams.keys()) {
					world.network.cut(agent, 'e1', [0, 0], 16_000);
				}

				world.freeze('e1', 9000);
				await world.advance(8900);
				t.true(count(world, 'settled') > 0);
				world.platform.setFaults({down: true});
				await world.advance(8000);
				world.platform.setFaults({down: false});
				await world.advance(settleMs);
				expectKept(t, world, callers);
			}, {...job, isDuplicated: true, resubmitAfter: 4000});
		});

		it('a task is not sent again when its agent dies, although the upstream goes on', async t => {
			await atMoments(t, async (world, callers) => {
				world.kill('u1', 500);
				world.kill('u2', 500);
				world.kill('u3', 500);
				await world.advance(settleMs);
				expectKept(t, world, callers);
			});
		});

		it('a cut after the start left neither loses nor repeats the task', async t => {
			await atMoments(t, async (world, callers) => {
				for (const agent of world.upstreams.keys()) {
					world.network.cut(agent, 'e1', [0, 1000], 0);
				}

				await world.advance(settleMs);
				t.is(countFinal(world, 'complete'), 3);
				expectKept(t, world, callers);
			});
		});

		it('every batch delivered twice, and some after a newer link opened, changes nothing', async t => {
			const {world, callers} = await start(2);
			world.network.faults.repeatChance = 1;
			await load(world, callers, 50, 100);
			for (const agent of world.upstreams.keys()) {
				world.network.cut(agent, 'e1', [0, 500], 0);
			}

			await load(world, callers, 50, 100);
			await world.advance(settleMs);
			t.is(countFinal(world, 'failed'), 0);
			expectKept(t, world, callers);
		});

		it('jobs are answered while the platform is down throughout', async t => {
			const {world, callers} = await start(3);
			world.platform.setFaults({down: true});
			await load(world, callers, 100, 200);
			await world.advance(settleMs);
			t.is(new Set(world.journal.events.filter(entry => isFinalState(entry, 'complete')).map(entry => 'ticket' in entry && entry.ticket)).size, 100);
			expectKept(t, world, callers);
		});
	});

	describe('true refusals', () => {
		it('a cancellation at any moment says not-run only of jobs that never start', async t => {
			const {world, callers} = await start(4);
			for (let cancelAfter = 0; cancelAfter < 100; cancelAfter++) {
				callers.submit({...job, cancelAfter: cancelAfter % 25, isDuplicated: cancelAfter % 2 === 0});
				await world.advance(100);
			}

			await world.advance(settleMs);
			t.true(countRan(world, 'not-run') > 0);
			t.true(countRan(world, 'may-have-run') > 0);
			expectKept(t, world, callers);
		});

		it('drains, full agents and deadlines say not-run only of jobs that never start', async t => {
			const {world, callers} = await start(5);
			for (let round = 0; round < 10; round++) {
				await load(world, callers, 30, 20);
				const name = upstreamNames[round % 3]!;
				world.operator.publish([createUpstreamObject(name, true)]);
				callers.cancelRandomShare(0.2);
				await world.advance(1500);
				world.operator.publish([createUpstreamObject(name, false)]);
			}

			await world.advance(settleMs);
			t.true(countRan(world, 'not-run') > 0);
			expectKept(t, world, callers);
		});
	});

	describe('membership', () => {
		it('100 graceful shutdowns of agents and entries under load cut nothing off', async t => {
			const {world, callers} = await start(6);
			const names = ['u1', 'e1', 'u2', 'e2', 'u3', 'e3'];
			for (let i = 0; i < 100; i++) {
				world.shutDown(names[i % names.length]!, 200);
				await load(world, callers, 10, 150);
			}

			await world.advance(settleMs);
			t.is(count(world, 'shut-down'), 100);
			t.deepEqual(world.journal.events.filter(entry => entry.kind === 'replied' && entry.body.state === 'failed'), []);
			expectKept(t, world, callers);
		});

		it('an upstream that leaves gets no new work from an entry that does not hear of it', async t => {
			const {world, callers} = await start(7);
			await load(world, callers, 20, 50);
			world.network.cut('u1', 'e1', [4000, 4000], 5000);
			world.shutDown('u1', 9000);
			await load(world, callers, 100, 50);
			await world.advance(settleMs);
			expectKept(t, world, callers);
		});

		it('an upstream that leaves refuses what a paused entry sends when it wakes', async t => {
			const {world, callers} = await start(8);
			world.operator.publish([createPolicy('messages')]);
			await load(world, callers, 20, 150);
			for (let i = 0; i < 10; i++) {
				callers.submit(job);
			}

			world.freeze('e1', 3500);
			await world.advance(10);
			world.shutDown('u1', 9000);
			await world.advance(settleMs);
			t.is(countFinal(world, 'failed'), 0);
			expectKept(t, world, callers);
		});

		it('a paused entry whose agents dropped its session long ago starts nothing twice', async t => {
			await atMoments(t, async (world, callers) => {
				world.network.block('e2', 'platform', 20_000);
				world.network.block('e3', 'platform', 20_000);
				world.freeze('e1', 15_000);
				await world.advance(20_000);
				await world.advance(settleMs);
				expectKept(t, world, callers);
			});
		});
	});
});

async function start(seed: number): Promise<{world: SimulatedCluster; callers: Callers}> {
	const world = await createSimulatedCluster(seed);
	for (const upstream of world.upstreams.values()) {
		upstream.stragglerShare = 0;
	}

	return {world, callers: createCallers(world)};
}

/** Runs a failure at each moment of the way of a start, for three jobs. */
async function atMoments(t: ExecutionContext, fail: (world: SimulatedCluster, callers: Callers) => Promise<void>, plan = job): Promise<void> {
	for (const moment of startMoments) {
		const {world, callers} = await start(moment + 1);
		for (let i = 0; i < 3; i++) {
			callers.submit(plan);
		}

		await world.advance(moment);
		t.log(`failure ${moment} ms after the submission`);
		await fail(world, callers);
	}
}

async function load(world: SimulatedCluster, callers: Callers, submissions: number, gap: Milliseconds): Promise<void> {
	for (let i = 0; i < submissions; i++) {
		const home = entryNames[i % entryNames.length]!;
		callers.submit({
			...job, issuer: home, via: undefined, taskCount: 1 + (i % 3),
		});
		await world.advance(gap);
	}
}

function expectKept(t: ExecutionContext, world: SimulatedCluster, callers: Callers): void {
	callers.recordUnanswered();
	t.deepEqual(findViolations(world.journal.events), []);
}

function count(world: SimulatedCluster, kind: RecordedEvent['kind']): number {
	return world.journal.events.filter(entry => entry.kind === kind).length;
}

function countRan(world: SimulatedCluster, ran: string): number {
	return world.journal.events.filter(entry => entry.kind === 'replied' && entry.body.ran === ran).length;
}

function isFinalState(entry: RecordedEvent, state: string): boolean {
	return entry.kind === 'replied' && entry.body.state === state;
}

/** Tickets that were told of this state. */
function countFinal(world: SimulatedCluster, state: string): number {
	return new Set(world.journal.events.map(entry => isFinalState(entry, state) && 'ticket' in entry ? entry.ticket : '')).size - 1;
}
