import {createSilenceMonitor, type SilenceMonitor} from '../../src/connection/silence-monitor.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {describe, it} from '../describe.js';

const timeoutMs = 700;
const idleTimeoutMs = 5000;

function createFixture(): {readonly clock: FakeClock; readonly monitor: SilenceMonitor; readonly silences: number[]} {
	const clock = createFakeClock();
	const silences: number[] = [];
	const monitor = createSilenceMonitor({
		clock, timeoutMs, idleTimeoutMs, onSilent() {
			silences.push(clock.now());
		},
	});
	return {clock, monitor, silences};
}

describe('silence monitor', () => {
	it('reports silence once, after the long timeout while no run depends on the link', t => {
		const {clock, silences} = createFixture();
		clock.advance(idleTimeoutMs - 1);
		t.deepEqual(silences, []);
		clock.advance(idleTimeoutMs * 3);
		t.deepEqual(silences, [idleTimeoutMs]);
	});

	it('counts the short timeout from the moment at which runs begin to depend on the link', t => {
		const {clock, monitor, silences} = createFixture();
		clock.advance(3000);
		monitor.setActive(true);
		clock.advance(timeoutMs - 1);
		t.deepEqual(silences, []);
		clock.advance(1);
		t.deepEqual(silences, [3000 + timeoutMs]);
	});

	it('is extended by each message', t => {
		const {clock, monitor, silences} = createFixture();
		monitor.setActive(true);
		for (let i = 0; i < 20; i++) {
			clock.advance(timeoutMs - 1);
			monitor.recordMessage();
		}

		t.deepEqual(silences, []);
		clock.advance(timeoutMs);
		t.is(silences.length, 1);
	});

	it('returns to the long timeout when no run depends on the link any more', t => {
		const {clock, monitor, silences} = createFixture();
		monitor.setActive(true);
		clock.advance(100);
		monitor.recordMessage();
		monitor.setActive(false);
		clock.advance(idleTimeoutMs - 1);
		t.deepEqual(silences, []);
		clock.advance(1);
		t.is(silences.length, 1);
	});

	it('reports nothing after it was stopped', t => {
		const {clock, monitor, silences} = createFixture();
		monitor.setActive(true);
		monitor.stop();
		clock.advance(idleTimeoutMs * 2);
		t.deepEqual(silences, []);
	});
});
