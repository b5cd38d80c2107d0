import type {ExecutionContext} from 'ava';
import type {Milliseconds} from '../../src/process/clock.js';
import {describe, it} from '../describe.js';
import {createCallers, type Callers, type SubmissionPlan} from './callers.js';
import {findViolations} from './checker.js';
import {createPolicy, createUpstreamObject, upstreamNames} from './config.js';
import type {RecordedEvent} from './journal.js';
import {createSimulatedCluster, entryNames, type SimulatedCluster} from './cluster.js';

/** A job of two tasks whose ticket is issued by e1 and which is submitted to e1. */
const job: SubmissionPlan = {
	taskCount: 2, isIdempotent: false, issuer: 'e1', via: 'e1', isDuplicated: false, resubmitAfter: 500,
};

/**
 * Delays between a submission and the fault. They cover the time in which its starts are sent, travel to the agents, arrive
 * there and run.
 */
const faultDelays: readonly Milliseconds[] = [0, 2, 3, 5, 8, 20];
const recoverMs: Milliseconds = 25_000;

describe('failures', () => {
	describe('at-most-once starts and consistent answers', () => {
		it('a job submitted twice at the same time, and again after its answer, starts each task once', async t => {
			const {cluster, callers} = await start(1);
			for (let i = 0; i < 20; i++) {
				callers.submit({...job, isDuplicated: true, resubmitAfter: 500 + (i * 1500)});
				await cluster.advance(100);
			}

			await cluster.advance(40_000);
			t.is(count(cluster, 'started'), 40);
			expectNoViolations(t, cluster, callers);
		});

		it('an entry killed before, while and after it sends starts causes no second start', async t => {
			await atEachDelay(t, async (cluster, callers) => {
				cluster.kill('e1', 3000);
				await cluster.advance(recoverMs);
				expectNoViolations(t, cluster, callers);
			});
		});

		it('an entry paused past its lease gives no answer that contradicts the one that the others agreed on', async t => {
			await atEachDelay(t, async (cluster, callers) => {
				cluster.freeze('e1', 9000);
				await cluster.advance(recoverMs);
				t.true(count(cluster, 'settled') > 0);
				expectNoViolations(t, cluster, callers);
			});
		});

		it('an entry that resumes during an outage of the platform gives no answer under its expired lease', async t => {
			// Results of the agents cannot reach the entry, so the jobs fail there by their deadline although the agents hold them
			// as complete.
			await atEachDelay(t, async (cluster, callers) => {
				for (const agent of cluster.upstreams.keys()) {
					cluster.network.cut(agent, 'e1', [0, 0], 16_000);
				}

				cluster.freeze('e1', 9000);
				await cluster.advance(8900);
				t.true(count(cluster, 'settled') > 0);
				cluster.platform.setFaults({down: true});
				await cluster.advance(8000);
				cluster.platform.setFaults({down: false});
				await cluster.advance(recoverMs);
				expectNoViolations(t, cluster, callers);
			}, {...job, isDuplicated: true, resubmitAfter: 4000});
		});

		it('a task is not sent again when its agent dies while the upstream continues to run it', async t => {
			await atEachDelay(t, async (cluster, callers) => {
				cluster.kill('u1', 500);
				cluster.kill('u2', 500);
				cluster.kill('u3', 500);
				await cluster.advance(recoverMs);
				expectNoViolations(t, cluster, callers);
			});
		});

		it('a link lost after a start was sent neither loses nor repeats the task', async t => {
			await atEachDelay(t, async (cluster, callers) => {
				for (const agent of cluster.upstreams.keys()) {
					cluster.network.cut(agent, 'e1', [0, 1000], 0);
				}

				await cluster.advance(recoverMs);
				t.is(countFinal(cluster, 'complete'), 3);
				expectNoViolations(t, cluster, callers);
			});
		});

		it('batches that are all delivered twice, some after a newer link has opened, cause no failure', async t => {
			const {cluster, callers} = await start(2);
			cluster.network.faults.repeatChance = 1;
			await load(cluster, callers, 50, 100);
			for (const agent of cluster.upstreams.keys()) {
				cluster.network.cut(agent, 'e1', [0, 500], 0);
			}

			await load(cluster, callers, 50, 100);
			await cluster.advance(recoverMs);
			t.is(countFinal(cluster, 'failed'), 0);
			expectNoViolations(t, cluster, callers);
		});

		it('jobs are answered while the platform is down throughout', async t => {
			const {cluster, callers} = await start(3);
			cluster.platform.setFaults({down: true});
			await load(cluster, callers, 100, 200);
			await cluster.advance(recoverMs);
			t.is(new Set(cluster.journal.events.filter(event => isFinalState(event, 'complete')).map(event => 'ticket' in event && event.ticket)).size, 100);
			expectNoViolations(t, cluster, callers);
		});
	});

	describe('truthful refusals', () => {
		it('a cancellation at any time reports not-run only for jobs that never start', async t => {
			const {cluster, callers} = await start(4);
			for (let cancelAfter = 0; cancelAfter < 100; cancelAfter++) {
				callers.submit({...job, cancelAfter: cancelAfter % 25, isDuplicated: cancelAfter % 2 === 0});
				await cluster.advance(100);
			}

			await cluster.advance(recoverMs);
			t.true(countRan(cluster, 'not-run') > 0);
			t.true(countRan(cluster, 'may-have-run') > 0);
			expectNoViolations(t, cluster, callers);
		});

		it('drains, full agents and deadlines lead to not-run only for jobs that never start', async t => {
			const {cluster, callers} = await start(5);
			for (let round = 0; round < 10; round++) {
				await load(cluster, callers, 30, 20);
				const name = upstreamNames[round % 3]!;
				cluster.operator.publish([createUpstreamObject(name, true)]);
				callers.cancelRandomShare(0.2);
				await cluster.advance(1500);
				cluster.operator.publish([createUpstreamObject(name, false)]);
			}

			await cluster.advance(recoverMs);
			t.true(countRan(cluster, 'not-run') > 0);
			expectNoViolations(t, cluster, callers);
		});
	});

	describe('membership', () => {
		it('100 graceful shutdowns of agents and entries under load leave no task, result or job behind', async t => {
			const {cluster, callers} = await start(6);
			const names = ['u1', 'e1', 'u2', 'e2', 'u3', 'e3'];
			for (let i = 0; i < 100; i++) {
				cluster.shutDown(names[i % names.length]!, 200);
				await load(cluster, callers, 10, 150);
			}

			await cluster.advance(recoverMs);
			t.is(count(cluster, 'shut-down'), 100);
			t.deepEqual(cluster.journal.events.filter(event => event.kind === 'replied' && event.body.state === 'failed'), []);
			expectNoViolations(t, cluster, callers);
		});

		it('a leaving upstream gets no new tasks from an entry that has not been notified', async t => {
			const {cluster, callers} = await start(7);
			await load(cluster, callers, 20, 50);
			cluster.network.cut('u1', 'e1', [4000, 4000], 5000);
			cluster.shutDown('u1', 9000);
			await load(cluster, callers, 100, 50);
			await cluster.advance(recoverMs);
			expectNoViolations(t, cluster, callers);
		});

		it('a leaving upstream refuses the starts that a paused entry sends when it resumes', async t => {
			const {cluster, callers} = await start(8);
			cluster.operator.publish([createPolicy('messages')]);
			await load(cluster, callers, 20, 150);
			for (let i = 0; i < 10; i++) {
				callers.submit(job);
			}

			cluster.freeze('e1', 3500);
			await cluster.advance(10);
			cluster.shutDown('u1', 9000);
			await cluster.advance(recoverMs);
			t.is(countFinal(cluster, 'failed'), 0);
			expectNoViolations(t, cluster, callers);
		});

		it('an entry that resumes long after its agents lost their links to it starts no task twice', async t => {
			await atEachDelay(t, async (cluster, callers) => {
				cluster.network.block('e2', 'platform', 20_000);
				cluster.network.block('e3', 'platform', 20_000);
				cluster.freeze('e1', 15_000);
				await cluster.advance(20_000);
				await cluster.advance(recoverMs);
				expectNoViolations(t, cluster, callers);
			});
		});
	});
});

async function start(seed: number): Promise<{cluster: SimulatedCluster; callers: Callers}> {
	const cluster = await createSimulatedCluster(seed);
	for (const upstream of cluster.upstreams.values()) {
		upstream.stragglerShare = 0;
	}

	return {cluster, callers: createCallers(cluster)};
}

/** Injects a fault at each delay after the submission of three jobs, in a cluster of its own each time. */
async function atEachDelay(t: ExecutionContext, injectFault: (cluster: SimulatedCluster, callers: Callers) => Promise<void>, plan = job): Promise<void> {
	for (const delay of faultDelays) {
		const {cluster, callers} = await start(delay + 1);
		for (let i = 0; i < 3; i++) {
			callers.submit(plan);
		}

		await cluster.advance(delay);
		t.log(`failure ${delay} ms after the submission`);
		await injectFault(cluster, callers);
	}
}

async function load(cluster: SimulatedCluster, callers: Callers, submissions: number, gap: Milliseconds): Promise<void> {
	for (let i = 0; i < submissions; i++) {
		const issuerName = entryNames[i % entryNames.length]!;
		callers.submit({
			...job, issuer: issuerName, via: undefined, taskCount: 1 + (i % 3),
		});
		await cluster.advance(gap);
	}
}

function expectNoViolations(t: ExecutionContext, cluster: SimulatedCluster, callers: Callers): void {
	callers.recordUnanswered();
	t.deepEqual(findViolations(cluster.journal.events), []);
}

function count(cluster: SimulatedCluster, kind: RecordedEvent['kind']): number {
	return cluster.journal.events.filter(event => event.kind === kind).length;
}

function countRan(cluster: SimulatedCluster, ran: string): number {
	return cluster.journal.events.filter(event => event.kind === 'replied' && event.body.ran === ran).length;
}

function isFinalState(event: RecordedEvent, state: string): boolean {
	return event.kind === 'replied' && event.body.state === state;
}

/** Counts the tickets that were answered with this state. */
function countFinal(cluster: SimulatedCluster, state: string): number {
	return new Set(cluster.journal.events.map(event => isFinalState(event, state) && 'ticket' in event ? event.ticket : '')).size - 1;
}
