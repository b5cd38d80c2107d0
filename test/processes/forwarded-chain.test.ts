/**
 * Tests that a task never runs twice at the same time when the way to a forwarded job is lost hop by hop: first its sender, then the
 * entry that serves it, while the executors don't answer stop calls.
 */
import {playChain, startChainSystem, type SenderLoss} from '../../dev/chain/chain-play.js';
import {createRandom} from '../../dev/random.js';
import type {Milliseconds} from '../../src/process/clock.js';
import {describe, itSerial} from '../describe.js';

/** Times from the loss of the sender to that of the entry that serves its job. Up to 480 ms the latter never cancels the job first. */
const gaps: readonly Milliseconds[] = [400, 450, 500];
const losses: ReadonlyArray<{readonly loss: SenderLoss; readonly text: string; readonly subnet: number}> = [
	{loss: 'reset', text: 'that lives on', subnet: 90},
	{loss: 'kill', text: 'that is killed', subnet: 91},
];

describe('the runs of a forwarded job end before its client may send it again', () => {
	for (const {loss, text, subnet} of losses) {
		// Guards against renewals of the lease that outlast the last word of the sender (issue 49).
		itSerial(`after the losses of a sender ${text} and then of the entry that serves it`, async t => {
			const system = await startChainSystem(subnet);
			t.teardown(async () => {
				if (!t.passed) {
					t.log(system.describe());
				}

				await system.stop();
			});
			const random = createRandom(subnet);
			for (const [i, gap] of gaps.entries()) {
				const {tasks} = await playChain(system, {loss, gap, disturbance: {kind: 'none'}}, i, random);
				for (const task of tasks) {
					// Repeated runs start only after that; on a busy machine the stand-in may end a run some time after its lease.
					t.true(task.endAfterRetry <= 0, `gap ${gap} ms: ${JSON.stringify(task)}`);
				}
			}
		});
	}
});
