import type {Clock, Milliseconds} from '../../src/process/clock.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {createPauseCheckedClock, createPauseDetector} from '../../src/process/pause-detector.js';
import {describe, it} from '../describe.js';

function createFixture(): {readonly clock: FakeClock; readonly pauses: Milliseconds[]; possiblePauses(): number; recordWitnessed(pause: Milliseconds): void; stepWallClock(time: Milliseconds): void; pauseProcess(time: Milliseconds): void; check(): void} {
	const clock = createFakeClock();
	let wallStep: Milliseconds = 0;
	let pausedTime: Milliseconds = 0;
	const processClock: Clock = {now: () => clock.now() + pausedTime, wall: () => clock.now() + pausedTime + wallStep, after: clock.after};
	const pauses: Milliseconds[] = [];
	const detector = createPauseDetector(processClock);
	let possiblePauses = 0;
	detector.onPause(pause => pauses.push(pause));
	detector.onPossiblePause(() => {
		possiblePauses++;
	});
	return {
		clock,
		pauses,
		possiblePauses: () => possiblePauses,
		recordWitnessed: detector.recordWitnessed,
		stepWallClock(time) {
			wallStep += time;
		},
		pauseProcess(time) {
			pausedTime += time;
		},
		check: detector.check,
	};
}

describe('pause detector', () => {
	it('reports nothing while timers fire in time or slightly late', t => {
		const {clock, pauses, pauseProcess} = createFixture();
		clock.advance(5000);
		pauseProcess(150);
		clock.advance(1000);
		t.deepEqual(pauses, []);
	});

	it('reports a pause during which the monotonic clock advanced, at the first check after it and only once', t => {
		const {clock, pauses, pauseProcess, check} = createFixture();
		clock.advance(1050);
		pauseProcess(4000);
		check();
		check();
		clock.advance(1000);
		t.is(pauses.length, 1);
		t.true(pauses[0]! >= 3900 && pauses[0]! <= 4000);
	});

	it('reports nothing to a listener that has unsubscribed', t => {
		const clock = createFakeClock();
		let pausedTime: Milliseconds = 0;
		const detector = createPauseDetector({now: () => clock.now() + pausedTime, wall: () => clock.now() + pausedTime, after: clock.after});
		let calls = 0;
		const unsubscribe = detector.onPause(() => {
			calls++;
		});
		unsubscribe();
		pausedTime = 1000;
		detector.check();
		t.is(calls, 0);
	});

	// Issue 34: a step backward hid a suspension.
	it('reports a possible pause after each pause and after a backward step of the wall clock', t => {
		const {clock, pauses, possiblePauses, stepWallClock} = createFixture();
		clock.advance(1000);
		stepWallClock(-2000);
		clock.advance(1000);
		t.is(possiblePauses(), 1);
		t.deepEqual(pauses, []);
		stepWallClock(2000);
		clock.advance(1000);
		t.is(possiblePauses(), 2);
	});

	it('reports a pause that another clock has shown, but only the part that was not detected here', t => {
		const {clock, pauses, stepWallClock, recordWitnessed} = createFixture();
		clock.advance(1000);
		recordWitnessed(2000);
		recordWitnessed(2100);
		t.deepEqual(pauses, [2000]);
		clock.advance(3000);
		stepWallClock(3000);
		clock.advance(400);
		recordWitnessed(3050);
		t.deepEqual(pauses, [2000, 3000]);
		clock.advance(3000);
		recordWitnessed(1000);
		t.deepEqual(pauses, [2000, 3000, 1000]);
	});

	it('reports a pause that the monotonic clock did not count, but no backward step of the wall clock', t => {
		const {clock, pauses, stepWallClock} = createFixture();
		clock.advance(1000);
		stepWallClock(-2000);
		clock.advance(1000);
		t.deepEqual(pauses, []);
		stepWallClock(3000);
		clock.advance(1000);
		t.deepEqual(pauses, [3000]);
	});

	// Issue 40: a timer that was due during a pause could start tasks before the pause was noticed, and with it that input waits.
	it('notices a pause before a timer acts that was due during it', t => {
		const clock = createFakeClock();
		let pausedTime: Milliseconds = 0;
		const processClock: Clock = {now: () => clock.now() + pausedTime, wall: () => clock.now() + pausedTime, after: clock.after};
		const events: string[] = [];
		const detector = createPauseDetector(processClock);
		detector.onPause(() => events.push('pause'));
		const checkedClock = createPauseCheckedClock(processClock, detector);
		checkedClock.after(50, () => events.push('timer'));
		checkedClock.after(50, () => events.push('cancelled timer')).cancel();
		pausedTime = 4000;
		clock.advance(1000);
		t.deepEqual(events, ['pause', 'timer']);
	});
});
