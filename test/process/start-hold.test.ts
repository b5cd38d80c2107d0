import {createFakeClock} from '../../src/process/fake-clock.js';
import {createPauseDetector} from '../../src/process/pause-detector.js';
import {holdStartsAfterPauses, type StartHold} from '../../src/process/start-hold.js';
import {describe, it} from '../describe.js';
import {silentLog} from '../silent-log.js';

type Fixture = {
	readonly hold: StartHold;
	/** What the scheduler was told. */
	readonly switches: boolean[];
	advance(time: number): void;
	pause(time: number): void;
	stepWallClock(time: number): void;
	/** Tells that the input is read which waited at the end of the oldest pause of which that is not known yet. */
	finishReading(): void;
};

function createFixture(): Fixture {
	const clock = createFakeClock();
	let pausedTime = 0;
	let wallStep = 0;
	const switches: boolean[] = [];
	const readings: Array<() => void> = [];
	const processClock = {now: () => clock.now() + pausedTime, wall: () => clock.now() + pausedTime + wallStep, after: clock.after};
	const pauseDetector = createPauseDetector(processClock);
	return {
		hold: holdStartsAfterPauses({
			clock: processClock, pauseDetector, log: silentLog, setHeld: isHeld => switches.push(isHeld), afterInputRead: action => readings.push(action),
		}),
		switches,
		advance: clock.advance,
		pause(time) {
			pausedTime += time;
			pauseDetector.check();
		},
		stepWallClock(time) {
			wallStep += time;
			pauseDetector.check();
		},
		finishReading() {
			readings.shift()!();
		},
	};
}

describe('hold of starts after a pause', () => {
	// Issue 40: starts were held for 60 ms, while reading the requests of a pause of 4 s took longer.
	it('lasts until the input that waited is read, however long that takes', t => {
		const {hold, switches, advance, pause, finishReading} = createFixture();
		pause(4000);
		t.true(hold.areStartsHeld());
		advance(1000);
		t.true(hold.areStartsHeld());
		t.deepEqual(switches, [true]);
		finishReading();
		t.false(hold.areStartsHeld());
		t.deepEqual(switches, [true, false]);
	});

	it('lasts for a moment also if nothing waits, since senders with a full window send the rest', t => {
		const {hold, switches, advance, pause, finishReading} = createFixture();
		pause(4000);
		finishReading();
		t.true(hold.areStartsHeld());
		advance(59);
		t.deepEqual(switches, [true]);
		advance(1);
		t.false(hold.areStartsHeld());
		t.deepEqual(switches, [true, false]);
	});

	it('lasts until the input of the last pause is read', t => {
		const {switches, advance, pause, finishReading} = createFixture();
		pause(4000);
		advance(50);
		pause(1000);
		finishReading();
		advance(100);
		t.deepEqual(switches, [true, true]);
		finishReading();
		t.deepEqual(switches, [true, true, false]);
	});

	it('follows a step of the wall clock backward, which may have hidden a pause', t => {
		const {hold, stepWallClock, finishReading, advance} = createFixture();
		stepWallClock(-3000);
		t.true(hold.areStartsHeld());
		finishReading();
		advance(60);
		t.false(hold.areStartsHeld());
	});

	it('tells for how long input may have waited, until that is read', t => {
		const {hold, advance, pause, finishReading} = createFixture();
		t.is(hold.getInputDelay(), 0);
		pause(4000);
		advance(100);
		t.is(hold.getInputDelay(), 4000);
		finishReading();
		t.is(hold.getInputDelay(), 0);
	});

	it('adds up pauses that follow each other before the input is read', t => {
		const {hold, advance, pause} = createFixture();
		pause(4000);
		advance(100);
		pause(1000);
		t.is(hold.getInputDelay(), 5000);
	});
});
