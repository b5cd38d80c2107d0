import {createRandom, drawExponential, drawInteger} from '../../dev/random.js';
import {describe, it} from '../describe.js';

describe('seeded random numbers', () => {
	it('begin differently for neighbouring seeds', t => {
		const first = Array.from({length: 100}, (_, seed) => createRandom(seed)());
		t.is(new Set(first).size, 100);
		const mean = first.reduce((sum, value) => sum + value, 0) / 100;
		t.true(mean > 0.4 && mean < 0.6, `mean ${mean}`);
	});

	it('keep the mean of the exponential distribution and the bounds of integers', t => {
		const random = createRandom(1);
		const sum = Array.from({length: 10_000}, () => drawExponential(random, 5)).reduce((total, value) => total + value, 0);
		t.true(sum > 48_000 && sum < 52_000, `sum ${sum}`);
		t.deepEqual(new Set(Array.from({length: 1000}, () => drawInteger(random, 3, 5))), new Set([3, 4, 5]));
	});
});
