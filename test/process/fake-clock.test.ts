import {createFakeClock} from '../../src/process/fake-clock.js';
import {every} from '../../src/process/clock.js';
import {describe, it} from '../describe.js';

describe('fake clock', () => {
	describe('advance', () => {
		it('fires timers in order of time, then of creation', t => {
			const clock = createFakeClock();
			const fired: string[] = [];
			clock.after(20, () => fired.push('c'));
			clock.after(10, () => fired.push('a'));
			clock.after(10, () => fired.push('b'));
			clock.advance(20);
			t.deepEqual(fired, ['a', 'b', 'c']);
		});

		it('fires a repeating timer until it is cancelled', t => {
			const clock = createFakeClock();
			let count = 0;
			const timer = every(clock, 10, () => {
				count++;
			});
			clock.advance(35);
			timer.cancel();
			clock.advance(35);
			t.is(count, 3);
		});
	});
});
