/**
 * Links whose first messages are held up on the way for seconds, as over TCP when packets are lost, while their agents give them up and
 * open others.
 */
import type {Milliseconds} from '../../src/process/clock.js';
import {describe, it} from '../describe.js';
import {findLeasedViolations} from './leased/checker.js';
import {createClients, type Clients} from './leased/clients.js';
import {agentNames, createLeasedCluster, entryNames} from './leased/cluster.js';

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

describe('failures', () => {
	describe('of links whose first messages are held up', () => {
		// Guards against a second run of a task beside one that its agent has begun: a hello of an earlier link was held up, and the starts that were
		// sent since were taken for lost (canopy-qld, leave-beside-lost-packets, seed 860925463506).
		it(`lead to no two runs of a task, seeds 1 to ${seeds}`, async t => {
			let outlived = 0;
			for (let seed = 1; seed <= seeds; seed++) {
				const clients: Clients = createClients(() => cluster);
				const cluster = await createLeasedCluster(seed, clients.breakConnections);
				const submit = () => {
					for (let i = 0; i < jobs; i++) {
						clients.submit(1, {timeLimit: timeLimitMs, expectedRun: longRunMs});
					}
				};

				for (const executor of cluster.executors.values()) {
					executor.sampleRun = () => ({length: longRunMs, fails: false});
				}

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
				outlived += clients.jobs.filter(({replies}) => replies.at(-1)?.state === 'complete').length;
			}

			t.true(outlived > 0);
		});
	});
});
