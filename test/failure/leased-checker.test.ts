/**
 * Checks the check on runs at the same time, with runs that last no or little time.
 */
import type {Milliseconds} from '../../src/process/clock.js';
import {describe, it} from '../describe.js';
import {findLeasedViolations, overlapRule} from './leased/checker.js';
import {createLeasedCluster, type LeasedCluster} from './leased/cluster.js';

const shortestMs: Milliseconds = 0.5;

describe('check on runs at the same time', () => {
	// Issue 34: the runs were compared by their times only after the whole run, where those of one instant have no order.
	it('sees a start at the instant at which another run ends after it', async t => {
		const cluster = await createLeasedCluster(1, () => undefined);
		void start(cluster, 'a1', 0);
		void start(cluster, 'a2', 0);
		await cluster.advance(10);
		t.is(countOverlaps(cluster), 1);
	});

	it('sees an overlap of less than a millisecond', async t => {
		const cluster = await createLeasedCluster(1, () => undefined);
		void start(cluster, 'a1', 2 * shortestMs);
		await cluster.advance(shortestMs);
		void start(cluster, 'a2', 0);
		await cluster.advance(10);
		t.true(countOverlaps(cluster) > 0);
	});

	it('allows a start after the other run has ended', async t => {
		const cluster = await createLeasedCluster(1, () => undefined);
		void start(cluster, 'a1', 0);
		await cluster.advance(shortestMs);
		void start(cluster, 'a2', 0);
		await cluster.advance(10);
		t.is(countOverlaps(cluster), 0);
	});
});

async function start({executors}: LeasedCluster, name: string, length: Milliseconds): Promise<unknown> {
	const executor = executors.get(name)!;
	executor.sampleRun = () => ({length, fails: false});
	return executor.start({
		task: '0.0.0.0', run: 1, spec: '', leaseExpiresAt: Number.MAX_SAFE_INTEGER, fencingToken: Number.MAX_SAFE_INTEGER,
	});
}

function countOverlaps(cluster: LeasedCluster): number {
	return findLeasedViolations(cluster, [], [], false).filter(({rule}) => rule === overlapRule).length;
}
