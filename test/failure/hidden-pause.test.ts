import type {ExecutionContext} from 'ava';
import type {Milliseconds} from '../../src/process/clock.js';
import {describe, it} from '../describe.js';
import {findLeasedViolations} from './leased/checker.js';
import {createClients} from './leased/clients.js';
import {agentNames, createLeasedCluster, type LeasedCluster} from './leased/cluster.js';

/** Delays between a submission and the suspension, in which its request and its starts are on the way. */
const delays: readonly Milliseconds[] = [0, 2, 3, 4, 6];
const suspensions: readonly Milliseconds[] = [2000, 4000];
/** Errors of the step: the time of day goes back by the length of the suspension and this. */
const stepErrors: readonly Milliseconds[] = [-150, 1500];
/** Long enough that the run elsewhere overlaps with one that begins after the suspension. */
const runMs: Milliseconds = 3000;
const recoverMs: Milliseconds = 10_000;

/** Submits a job and suspends an agent whose time of day is stepped back meanwhile. Returns what was violated. */
async function runHiddenPause(name: string, suspension: Milliseconds, delay: Milliseconds, stepError: Milliseconds): Promise<readonly string[]> {
	const clients = createClients(() => cluster);
	const cluster: LeasedCluster = await createLeasedCluster(1, clients.breakConnections);
	for (const executor of cluster.executors.values()) {
		executor.sampleRun = () => ({length: runMs, fails: false});
	}

	await cluster.advance(1000);
	clients.submit(6, {timeLimit: recoverMs});
	await cluster.advance(delay);
	clients.submit(3, {timeLimit: recoverMs});
	cluster.freeze(name, suspension);
	cluster.stepWallClock(name, -suspension - stepError);
	await cluster.advance(suspension + recoverMs);
	return findLeasedViolations(cluster, clients.jobs, [], false).map(({rule, subject, detail}) => `${name} ${suspension} ${delay} ${stepError}: ${rule}, ${subject}, ${detail}`);
}

async function expectNoViolations(t: ExecutionContext, names: readonly string[]): Promise<void> {
	const violations: string[] = [];
	for (const name of names) {
		for (const suspension of suspensions) {
			for (const delay of delays) {
				for (const stepError of stepErrors) {
					violations.push(...await runHiddenPause(name, suspension, delay, stepError));
				}
			}
		}
	}

	t.deepEqual(violations, []);
}

// Issue 34, rule TWICE: a step of the time of day hid a suspension. An agent then ran starts from its sockets that had been
// started elsewhere.
describe('a suspension that a step of the time of day hides', () => {
	it('of an agent starts nothing that was started elsewhere', async t => {
		await expectNoViolations(t, agentNames);
	});
});
