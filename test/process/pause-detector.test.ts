import type {Clock, Milliseconds} from '../../src/process/clock.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {createPauseDetector} from '../../src/process/pause-detector.js';
import {describe, it} from '../describe.js';

function createBench(): {readonly clock: FakeClock; readonly pauses: Milliseconds[]; step(time: Milliseconds): void; freeze(time: Milliseconds): void; check(): void} {
	const clock = createFakeClock();
	let step: Milliseconds = 0;
	let frozen: Milliseconds = 0;
	const stepped: Clock = {now: () => clock.now() + frozen, wall: () => clock.now() + frozen + step, after: clock.after};
	const pauses: Milliseconds[] = [];
	const watch = createPauseDetector(stepped);
	watch.onPause(pause => pauses.push(pause));
	return {
		clock,
		pauses,
		step(time) {
			step += time;
		},
		freeze(time) {
			frozen += time;
		},
		check: watch.check,
	};
}

describe('pause watch', () => {
	it('is silent while timers come in time or a little late', t => {
		const {clock, pauses, freeze} = createBench();
		clock.advance(5000);
		freeze(150);
		clock.advance(1000);
		t.deepEqual(pauses, []);
	});

	it('tells a pause in which the steady clock ran on, once, to whoever looks first', t => {
		const {clock, pauses, freeze, check} = createBench();
		clock.advance(1050);
		freeze(4000);
		check();
		check();
		clock.advance(1000);
		t.is(pauses.length, 1);
		t.true(pauses[0]! >= 3900 && pauses[0]! <= 4000);
	});

	it('tells nothing to who has left', t => {
		const clock = createFakeClock();
		let frozen: Milliseconds = 0;
		const watch = createPauseDetector({now: () => clock.now() + frozen, wall: () => clock.now() + frozen, after: clock.after});
		let told = 0;
		const leave = watch.onPause(() => {
			told++;
		});
		leave();
		frozen = 1000;
		watch.check();
		t.is(told, 0);
	});

	it('tells a pause that the steady clock did not count, but no step backwards', t => {
		const {clock, pauses, step} = createBench();
		clock.advance(1000);
		step(-2000);
		clock.advance(1000);
		t.deepEqual(pauses, []);
		step(3000);
		clock.advance(1000);
		t.deepEqual(pauses, [3000]);
	});
});
