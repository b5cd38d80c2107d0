/**
 * Forwarded jobs whose chain is lost at two places while event loops on it are late, each for less than counts as a pause, and stop
 * calls have no answer. What an agent has read late must not let a run go on for longer.
 */
import type {Milliseconds} from '../../src/process/clock.js';
import {describe, it} from '../describe.js';
import {
	findOverlaps, forwardJob, loseStopCalls, senderLosses, serverLosses,
} from './forwarded-chain.js';
import {agentNames} from './leased/cluster.js';
import {createRandomSource} from './simulation.js';

const seeds = 60;
/** Processor time of each message and timer, without which an event loop cannot be late. */
const actionCostMs: Milliseconds = 0.02;
/** Less than what a process puts down to a pause. */
const stallMs: Milliseconds = 190;
const maxGapMs: Milliseconds = 600;

describe('forwarded jobs whose messages are read late', () => {
	for (const [senderLoss, loseSender] of Object.entries(senderLosses)) {
		for (const [serverLoss, loseServer] of Object.entries(serverLosses)) {
			// Issue 49: the age of a message counted from its reading, at each hop anew.
			it(`have no two runs of a task at the same time if ${senderLoss}, and up to 0.6 s later ${serverLoss}`, async t => {
				for (let seed = 1; seed <= seeds; seed++) {
					const random = createRandomSource(seed);
					const chain = await forwardJob(seed, {actionCostMs});
					const {clock} = chain.cluster.sim;
					const lostAt = random.integer(stallMs, 2 * stallMs);
					const gap = random.integer(0, maxGapMs);
					loseStopCalls(chain);
					clock.after(random.integer(0, lostAt), () => {
						chain.cluster.stall('e2', stallMs);
					});
					clock.after(random.integer(lostAt, lostAt + gap), () => {
						for (const agent of agentNames) {
							chain.cluster.stall(agent, stallMs);
						}
					});
					clock.after(lostAt, () => {
						loseSender(chain);
					});
					clock.after(lostAt + gap, () => {
						loseServer(chain);
					});
					await chain.cluster.advance(lostAt + gap);
					t.deepEqual(await findOverlaps(chain), [], `seed ${seed}, lost at ${lostAt} ms, then ${gap} ms between the losses`);
				}
			});
		}
	}
});
