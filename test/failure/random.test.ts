import {describe, it} from '../describe.js';
import {runFailures} from './run.js';

const seeds = [1, 2, 3];

describe('random failure runs', () => {
	for (const seed of seeds) {
		it(`break no promise without faults, seed ${seed}`, async t => {
			const {violations} = await runFailures(seed, []);
			t.deepEqual(violations, []);
		});
	}
});
