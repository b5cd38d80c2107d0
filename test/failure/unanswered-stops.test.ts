/**
 * Forwarded jobs whose chain of entry, serving entry and agent is lost at two places while stop calls have no answer, so that the
 * lease alone ends their runs. The client repeats its job 1.3 s after the first loss.
 */
import type {Milliseconds} from '../../src/process/clock.js';
import {describe, it} from '../describe.js';
import {
	findOverlaps, forwardJob, gapsMs, loseStopCalls, senderLosses, serverLosses,
} from './forwarded-chain.js';

/** Time before the first loss, as heartbeats are sent every 220 ms. */
const phasesMs: readonly Milliseconds[] = Array.from({length: 6}, (_, i) => i * 40);

describe('forwarded jobs whose stops have no answer', () => {
	// Issue 49: the age of the sender's last message only set a timer for a stop, and the lease was renewed for 0.5 s after that stop.
	for (const [senderLoss, loseSender] of Object.entries(senderLosses)) {
		for (const [serverLoss, loseServer] of Object.entries(serverLosses)) {
			it(`have no two runs of a task at the same time if ${senderLoss}, and up to 0.7 s later ${serverLoss}`, async t => {
				for (const phase of phasesMs) {
					for (const gap of gapsMs) {
						const chain = await forwardJob(1);
						await chain.cluster.advance(phase);
						loseStopCalls(chain);
						loseSender(chain);
						await chain.cluster.advance(gap);
						loseServer(chain);
						t.deepEqual(await findOverlaps(chain), [], `${phase} ms, then ${gap} ms between the losses`);
					}
				}
			});
		}
	}
});
