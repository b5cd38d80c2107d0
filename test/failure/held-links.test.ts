/**
 * Links whose first messages are held up on the way for seconds, as over TCP when packets are lost, while their agents give them up and
 * open others.
 */
import type {Milliseconds} from '../../src/process/clock.js';
import {describe, it} from '../describe.js';
import {findLeasedViolations} from './leased/checker.js';
import {createClients, type Clients} from './leased/clients.js';
import {
	agentNames, createLeasedCluster, entryNames, type LeasedCluster,
} from './leased/cluster.js';

const seeds = 12;
const longRunMs: Milliseconds = 4000;
const timeLimitMs: Milliseconds = 12_000;
const recoverMs: Milliseconds = 20_000;
/** Time within which an agent has noticed a silence and opened the next link, and not yet the one after that. */
const reopeningMs: Milliseconds = 1200;
/** Time after which an agent without runs has given up a link on which it hears nothing, and opened another one. */
const givenUpMs: Milliseconds = 6500;
const holdMs: Milliseconds = 8000;
const jobs = 9;
/** Delays of a hello: two retransmissions, and more than the age up to which an entry once trusted any hello. */
const helloDelaysMs: readonly Milliseconds[] = [600, 900, 950, 1500];
/** Time from the opening of a link until its agent has answered the welcome. */
const answeredMs: Milliseconds = 20;
/** Time within which the next incarnation of an agent is linked, and time until the one after that. */
const linkedMs: Milliseconds = 250;
const downMs: Milliseconds = 30;
const arrivalMs: Milliseconds = 50;

/** What brings about another incarnation of an agent, and how often. */
const successions: Readonly<Record<string, {readonly count: number; succeed(cluster: LeasedCluster, agent: string): void}>> = {
	'when the executor has restarted': {
		count: 1, succeed: restartExecutor,
	},
	'when the process of the agent was killed and started again': {
		count: 1, succeed: restartAgent,
	},
	'when the process of the agent and the executor have restarted': {
		count: 1,
		succeed(cluster, agent) {
			restartExecutor(cluster, agent);
			restartAgent(cluster, agent);
		},
	},
	'when the executor has restarted twice': {
		count: 2, succeed: restartExecutor,
	},
	'when the process of the agent was killed twice': {
		count: 2, succeed: restartAgent,
	},
};

describe('failures', () => {
	describe('of links whose first messages are held up', () => {
		// Guards against a second run of a task beside one that its agent has begun: a hello of an earlier link was held up, and the starts that were
		// sent since were taken for lost (canopy-qld, leave-beside-lost-packets, seed 860925463506).
		it(`lead to no two runs of a task, seeds 1 to ${seeds}`, async t => {
			let outlived = 0;
			for (let seed = 1; seed <= seeds; seed++) {
				const clients: Clients = createClients(() => cluster);
				const cluster = await createLongRunCluster(seed, clients);
				const submit = () => {
					for (let i = 0; i < jobs; i++) {
						clients.submit(1, {timeLimit: timeLimitMs, expectedRun: longRunMs});
					}
				};

				submit();
				await cluster.advance(300);
				for (const agent of agentNames) {
					for (const entry of entryNames) {
						cluster.network.silence(agent, entry, 'client');
						cluster.network.holdNew(agent, entry, reopeningMs, holdMs);
					}
				}

				await cluster.advance(givenUpMs);
				submit();
				await cluster.advance(recoverMs);
				t.deepEqual(findLeasedViolations(cluster, clients.jobs, [], false), [], `seed ${seed}`);
				outlived += countCompleted(clients);
			}

			t.true(outlived > 0);
		});

		// Guards against a second run of a task beside one that the present incarnation of an agent has begun: the hello of an earlier incarnation
		// arrived after its own and was taken for a later one, which ended the starts of the present one (review/11).
		describe('lead to no two runs of a task if another incarnation of the agent has said hello', () => {
			for (const [name, {count, succeed}] of Object.entries(successions)) {
				it(`${name}, seeds 1 to ${seeds}`, async t => {
					let completed = 0;
					for (let seed = 1; seed <= seeds; seed++) {
						const clients: Clients = createClients(() => cluster);
						const cluster = await createLongRunCluster(seed, clients);
						const [agent] = agentNames;
						const delay = helloDelaysMs[seed % helloDelaysMs.length]!;
						await holdNextHellos(cluster, agent, delay);
						for (let i = 0; i < count; i++) {
							succeed(cluster, agent);
							await cluster.advance(linkedMs);
						}

						for (let at = 0; at < delay; at += arrivalMs) {
							clients.submit(1, {timeLimit: timeLimitMs, expectedRun: longRunMs});
							await cluster.advance(arrivalMs);
						}

						await cluster.advance(recoverMs);
						t.deepEqual(findLeasedViolations(cluster, clients.jobs, [], false), [], `seed ${seed}, hello late by ${delay} ms`);
						completed += countCompleted(clients);
					}

					t.true(completed > 0);
				});
			}
		});
	});
});

async function createLongRunCluster(seed: number, clients: Clients): Promise<LeasedCluster> {
	const cluster = await createLeasedCluster(seed, clients.breakConnections);
	for (const executor of cluster.executors.values()) {
		executor.sampleRun = () => ({length: longRunMs, fails: false});
	}

	return cluster;
}

/** Lets the agent open its links anew. Resolves once its first messages on them are on the way, which takes `delay`. */
async function holdNextHellos({network, advance}: LeasedCluster, agent: string, delay: Milliseconds): Promise<void> {
	let opened = 0;
	const countOpened = () => {
		opened++;
	};

	for (const entry of entryNames) {
		network.giveUp(agent, entry);
		network.holdNext(agent, entry, delay, countOpened);
	}

	while (opened < entryNames.length) {
		await advance(1);
	}

	await advance(answeredMs);
}

function restartExecutor(cluster: LeasedCluster, agent: string): void {
	cluster.restartExecutor(agent, downMs, 1);
}

function restartAgent(cluster: LeasedCluster, agent: string): void {
	cluster.kill(agent, downMs, 0);
}

function countCompleted({jobs: submitted}: Clients): number {
	return submitted.filter(({replies}) => replies.at(-1)?.state === 'complete').length;
}
