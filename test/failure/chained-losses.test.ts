/**
 * Forwarded jobs whose chain of entry, serving entry and agent is lost at two places, one shortly after the other. The client
 * repeats its job 1.3 s after the first loss, when all earlier runs must have ended.
 */
import type {Milliseconds} from '../../src/process/clock.js';
import {describe, it} from '../describe.js';
import {
	findOverlaps, forwardJob, gapsMs, longRunMs, senderLosses, serverLosses, unnoticedMs,
} from './forwarded-chain.js';

const plantedDefectSeeds = 5;
/** With the time since the last heartbeat, less than the silence timeout. */
const harmlessFreezeMs: Milliseconds = 350;
const harmlessServerFreezeMs: Milliseconds = 450;
/** Time before the first loss, as heartbeats are sent every 220 ms. */
const phasesMs: readonly Milliseconds[] = Array.from({length: 11}, (_, i) => i * 20);

describe('forwarded jobs', () => {
	// Issue 34: the silence timeouts of the serving entry and of its agents added up to more than the client waits.
	for (const [senderLoss, loseSender] of Object.entries(senderLosses)) {
		for (const [serverLoss, loseServer] of Object.entries(serverLosses)) {
			it(`have no two runs of a task at the same time if ${senderLoss}, and up to 0.7 s later ${serverLoss}`, async t => {
				for (const phase of phasesMs) {
					for (const gap of gapsMs) {
						const chain = await forwardJob(1);
						await chain.cluster.advance(phase);
						loseSender(chain);
						await chain.cluster.advance(gap);
						loseServer(chain);
						t.deepEqual(await findOverlaps(chain), [], `${phase} ms, then ${gap} ms between the losses`);
					}
				}
			});
		}
	}

	// The silence of a sender is passed on to agents from 0.25 s on; it must not cost a run if the sender is heard again in time.
	it('keep their runs if the sender stands still for less than the time that counts as harmless', async t => {
		for (const phase of phasesMs) {
			const chain = await forwardJob(1);
			await chain.cluster.advance(phase);
			chain.cluster.freeze('e1', harmlessFreezeMs);
			await chain.cluster.advance(longRunMs);
			const runs = [...chain.cluster.executors.values()].flatMap(executor => executor.runs);
			t.deepEqual(runs.map(({endDetail}) => endDetail), ['done', 'done', 'done', 'done'], `${phase} ms`);
		}
	});

	// The age of the sender's last message at the agents grows while the server stands still; that must not cost a run either.
	it('keep their runs if the server stands still for less than the time that counts as harmless', async t => {
		for (const phase of phasesMs) {
			const chain = await forwardJob(1);
			await chain.cluster.advance(phase);
			chain.cluster.freeze('e2', harmlessServerFreezeMs);
			await chain.cluster.advance(longRunMs + harmlessServerFreezeMs);
			const runs = [...chain.cluster.executors.values()].flatMap(executor => executor.runs);
			t.deepEqual(runs.map(({endDetail}) => endDetail), ['done', 'done', 'done', 'done'], `${phase} ms`);
		}
	});

	// The search by random faults found this planted defect by luck only.
	it('have two runs of a task at the same time if their server keeps serving them after the sender was lost, which the check sees', async t => {
		for (let seed = 1; seed <= plantedDefectSeeds; seed++) {
			const chain = await forwardJob(seed, {defects: {areForwardedJobsKept: true}});
			chain.cluster.kill('e1', unnoticedMs, 0);
			const overlaps = await findOverlaps(chain);
			t.true(overlaps.length > 0, `seed ${seed}`);
		}
	});
});
