import type {Milliseconds} from '../../src/process/clock.js';
import {createClockComparison} from '../../src/process/clock-comparison.js';
import {describe, it} from '../describe.js';

type Fixture = {
	/** Receives a message that was sent `delay` ago. Both processes ran for `elapsed` before, the other one for `suspension` more. */
	receive(elapsed: Milliseconds, suspension?: Milliseconds, delay?: Milliseconds): Milliseconds;
};

function createFixture(rate = 1): Fixture {
	let now = 0;
	let other = 77_000;
	const comparison = createClockComparison({now: () => now});
	comparison.record(other);
	return {
		receive(elapsed, suspension = 0, delay = 0) {
			now += elapsed;
			other += (elapsed * rate) + suspension;
			return Math.round(comparison.record(other - delay));
		},
	};
}

// Issue 34: the time of day may be stepped back by as much as a suspension takes, so another clock has to show it.
describe('clock comparison', () => {
	it('finds no difference between clocks whose rates differ', t => {
		for (const rate of [0.98, 1.02]) {
			const {receive} = createFixture(rate);
			for (const elapsed of [60, 500, 2000, 30_000, 60]) {
				t.is(receive(elapsed), 0);
			}
		}
	});

	it('finds a suspension of this process, and finds it once', t => {
		const {receive} = createFixture();
		receive(500);
		t.is(receive(100, 3000), 2997);
		t.is(receive(100), 0);
	});

	it('finds a message that was late, but no suspension when the next ones are not', t => {
		const {receive} = createFixture();
		receive(500);
		t.is(receive(1000, 0, 800), -770);
		for (let i = 0; i < 5; i++) {
			t.is(receive(200), 0);
		}
	});

	it('finds a suspension that messages from its time show in small steps', t => {
		const {receive} = createFixture();
		receive(500);
		let found = 0;
		for (let i = 0; i < 30; i++) {
			found += receive(1, 100);
		}

		t.true(found > 2700 && found <= 3000, `${found}`);
	});

	it('finds no suspension in the drift of a clock over many messages', t => {
		for (const rate of [0.98, 1.02]) {
			const {receive} = createFixture(rate);
			for (let i = 0; i < 1000; i++) {
				t.is(receive(60), 0);
			}
		}
	});

	it('finds the whole suspension although the first messages after it are late', t => {
		const {receive} = createFixture();
		receive(500);
		const found = receive(100, 3000, 2000) + receive(100);
		t.true(found > 2900 && found <= 3000, `${found}`);
	});

	it('takes the clock of the other process as it is some seconds after that was suspended', t => {
		const {receive} = createFixture();
		receive(500);
		t.true(receive(500, -3000) < -2900);
		for (let i = 0; i < 12; i++) {
			receive(500);
		}

		t.is(receive(500), 0);
		t.true(receive(100, 1000) > 900);
	});
});
