import type {Milliseconds} from '../../src/process/clock.js';
import {describe, it} from '../describe.js';
import {findLeasedViolations} from './leased/checker.js';
import {createClients, type ClientJob, type Clients} from './leased/clients.js';
import {createLeasedCluster, entryNames, type LeasedCluster} from './leased/cluster.js';

const timeLimit: Milliseconds = 20_000;
const seeds = [1, 2, 3, 4, 5];

type CrashRun = {
	readonly cluster: LeasedCluster;
	readonly clients: Clients;
	readonly crashing: ClientJob;
};

/** Starts a cluster with one job that crashes its executors. */
async function startRun(seed: number): Promise<CrashRun> {
	const clients: Clients = createClients(() => cluster);
	const cluster = await createLeasedCluster(seed, clients.breakConnections);
	const crashing = clients.submit(4, {timeLimit, isCrashing: true});
	return {cluster, clients, crashing};
}

function submitOtherJobs({cluster, clients}: CrashRun): void {
	for (let at = 0; at < timeLimit / 2; at += 100) {
		cluster.sim.clock.after(at, () => {
			clients.submit(1, {timeLimit});
		});
	}
}

function countCrashes({cluster, crashing}: CrashRun): number {
	const runs = [...cluster.executors.values()].flatMap(executor => executor.runs);
	return runs.filter(({task, endDetail}) => task === `${crashing.name}.0.0.0` && endDetail === 'crashed').length;
}

// Issue 24, rule BUDGET: a lost run was restarted as long as there was time, one executor after the other.
describe('a task that crashes the executors that start it', () => {
	for (const seed of seeds) {
		it(`is not started again and again while its client waits, seed ${seed}`, async t => {
			const run = await startRun(seed);
			submitOtherJobs(run);
			await run.cluster.advance(timeLimit + 5000);
			t.deepEqual(findLeasedViolations(run.cluster, run.clients.jobs, [], false), []);
		});

		// An entry that is handed the job after another one has died must know of the crashes.
		it(`is not started again and again after its entries were killed, seed ${seed}`, async t => {
			const run = await startRun(seed);
			for (let elapsed = 0, killed = 0; elapsed < timeLimit; elapsed += 100) {
				await run.cluster.advance(100);
				if (countCrashes(run) > killed) {
					killed++;
					for (const entry of entryNames) {
						run.cluster.kill(entry, 300);
					}
				}
			}

			await run.cluster.advance(5000);
			t.deepEqual(findLeasedViolations(run.cluster, run.clients.jobs, [], false), []);
		});
	}
});
