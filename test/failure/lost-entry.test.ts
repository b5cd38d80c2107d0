/**
 * Directed failures on the users' platform: an entry is lost together with something else that delays the end of its runs. Its
 * clients send their jobs again 1.3 s after they have noticed.
 */
import type {ExecutionContext} from 'ava';
import type {Milliseconds} from '../../src/process/clock.js';
import {describe, it} from '../describe.js';
import {findLeasedViolations} from './leased/checker.js';
import {createClients, type Clients} from './leased/clients.js';
import {
	agentNames, createLeasedCluster, entryNames, type LeasedCluster,
} from './leased/cluster.js';
import type {StreamEnd} from './stream.js';

/** Longer than all delays until a repeated job has started. */
const longRunMs: Milliseconds = 4000;
const timeLimitMs: Milliseconds = 9000;
const recoverMs: Milliseconds = 15_000;
/** Enough that each of the three entries serves some. */
const jobs = 9;
/** Around the time after which a silent link counts as lost, when the entry closes it. */
const laterSilenceMs: readonly Milliseconds[] = [0, 350, 600, 650, 690, 700];
/** Time after the start of the jobs at which agents have just heard all entries. */
const heardMs: Milliseconds = 340;
/** A pause that agents survive with their links and runs. */
const harmlessPauseMs: Milliseconds = 340;
/** When agents notice that an entry has died. */
const noticesMs = {closes: 1, 'becomes silent': 60_000};

type Fixture = {
	readonly cluster: LeasedCluster;
	/** Checks that no task has run twice at the same time, and that each has run again. */
	expectNoOverlap(t: ExecutionContext): void;
};

/** Creates a cluster to which jobs with long runs were just submitted, and whose executors answer no stop call. */
async function createFixture(seed: number): Promise<Fixture> {
	const clients: Clients = createClients(() => cluster);
	const cluster = await createLeasedCluster(seed, clients.breakConnections);
	for (const executor of cluster.executors.values()) {
		executor.sampleRun = () => ({length: longRunMs, fails: false});
		executor.unansweredCalls.stop = Infinity;
	}

	for (let i = 0; i < jobs; i++) {
		clients.submit(1, {timeLimit: timeLimitMs, expectedRun: longRunMs});
	}

	return {
		cluster,
		expectNoOverlap(t) {
			t.deepEqual(findLeasedViolations(cluster, clients.jobs, [], false), []);
			const runs = [...cluster.executors.values()].flatMap(executor => executor.runs);
			t.true(runs.length > jobs);
		},
	};
}

describe('failures', () => {
	describe('of an entry with runs', () => {
		for (const notice of ['closes', 'becomes silent'] as const) {
			// Guards against a second run of a task beside one of a dead entry whose stop calls are lost.
			it(`end its runs before its clients repeat their jobs, although stop calls are lost and its link ${notice}`, async t => {
				const {cluster, expectNoOverlap} = await createFixture(1);
				await cluster.advance(300);
				cluster.kill('e1', 3000, noticesMs[notice]);
				await cluster.advance(recoverMs);
				expectNoOverlap(t);
			});
		}

		// Guards against a second run of a task beside one whose agent has stood still, and so waited longer for a dead entry.
		it('end its runs before its clients repeat their jobs, although stop calls are lost and agents stood still for a time', async t => {
			const {cluster, expectNoOverlap} = await createFixture(1);
			await cluster.advance(heardMs);
			cluster.kill('e1', 3000, noticesMs['becomes silent']);
			await cluster.advance(300);
			for (const agent of agentNames) {
				cluster.freeze(agent, harmlessPauseMs);
			}

			await cluster.advance(recoverMs);
			expectNoOverlap(t);
		});
	});

	describe('of the links between entries and an agent', () => {
		for (const later of laterSilenceMs) {
			// Guards against a second run of a task beside one whose agent still hears the entry that has given it up.
			it(`end the agent's runs before entries start them elsewhere; it becomes silent first, and they ${later} ms later`, async t => {
				const {cluster, expectNoOverlap} = await createFixture(2);
				await cluster.advance(300);
				silenceAgent('server');
				await cluster.advance(later);
				silenceAgent('client');
				await cluster.advance(recoverMs);
				expectNoOverlap(t);

				function silenceAgent(end: StreamEnd): void {
					for (const entry of entryNames) {
						cluster.network.silence('a1', entry, end);
						cluster.network.block('a1', entry, recoverMs);
					}
				}
			});
		}
	});
});
