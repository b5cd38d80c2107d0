/**
 * Forwarded jobs whose chain is lost at two places while a process on it is suspended, for less than counts as harmful. Its clock
 * stands still meanwhile.
 */
import type {Milliseconds} from '../../src/process/clock.js';
import {describe, it} from '../describe.js';
import {
	findOverlaps, forwardJob, loseStopCalls, unnoticedMs, type Chain,
} from './forwarded-chain.js';
import {agentNames} from './leased/cluster.js';

/** Time before the first loss, as heartbeats are sent every 220 ms. */
const phasesMs: readonly Milliseconds[] = Array.from({length: 6}, (_, i) => i * 40);
const gapsMs: readonly Milliseconds[] = [250, 400, 550];
const suspensionsMs: readonly Milliseconds[] = [250, 450];

/** Suspends a process while the sender and then the server lose their power, `gap` ms later. */
const suspensions: Readonly<Record<string, (chain: Chain, duration: Milliseconds, gap: Milliseconds) => Promise<void>>> = {
	async 'an agent after it has heard the server for the last time'(chain, duration, gap) {
		losePower(chain, 'e1');
		await chain.cluster.advance(gap);
		losePower(chain, 'e2');
		await chain.cluster.advance(10);
		for (const agent of agentNames) {
			chain.cluster.freeze(agent, duration);
		}
	},
	async 'the server after it has heard the sender for the last time'(chain, duration, gap) {
		losePower(chain, 'e1');
		await chain.cluster.advance(20);
		chain.cluster.freeze('e2', duration);
		await chain.cluster.advance(duration + gap);
		losePower(chain, 'e2');
	},
	async 'the server, which the last message of the sender waits for'(chain, duration, gap) {
		chain.cluster.freeze('e2', duration);
		await chain.cluster.advance(duration - 20);
		losePower(chain, 'e1');
		await chain.cluster.advance(gap);
		losePower(chain, 'e2');
	},
};

describe('forwarded jobs', () => {
	for (const [suspended, lose] of Object.entries(suspensions)) {
		for (const duration of suspensionsMs) {
			// Issue 49: a suspension that the clock of a hop did not count made the sender's last message look younger.
			it(`have no two runs of a task at the same time if ${duration} ms suspend ${suspended}`, async t => {
				for (const areStopsLost of [false, true]) {
					for (const phase of phasesMs) {
						for (const gap of gapsMs) {
							const chain = await forwardJob(1);
							await chain.cluster.advance(phase);
							if (areStopsLost) {
								loseStopCalls(chain);
							}

							await lose(chain, duration, gap);
							t.deepEqual(await findOverlaps(chain), [], `${phase} ms, gap ${gap} ms, ${areStopsLost ? 'stops lost' : 'stops answered'}`);
						}
					}
				}
			});
		}
	}
});

function losePower({cluster}: Chain, name: string): void {
	cluster.kill(name, unnoticedMs, unnoticedMs);
}
