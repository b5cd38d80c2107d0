import type {Clock, Milliseconds} from '../../src/process/clock.js';
import {createFakeClock} from '../../src/process/fake-clock.js';
import {createLoadMonitor, type LoadMonitor} from '../../src/process/load-monitor.js';
import {describe, it} from '../describe.js';

/** A process whose event loop is busy for a share of the time, and may stall. */
function createFixture(): {readonly monitor: LoadMonitor; run(duration: Milliseconds, busyShare: number): void; stall(duration: Milliseconds): void} {
	const clock = createFakeClock();
	let activeTime: Milliseconds = 0;
	let stalledTime: Milliseconds = 0;
	const processClock: Clock = {now: () => clock.now() + stalledTime, wall: clock.wall, after: clock.after};
	const monitor = createLoadMonitor({clock: processClock, readActiveTime: () => activeTime});
	return {
		monitor,
		run(duration, busyShare) {
			for (let time = 0; time < duration; time += 10) {
				activeTime += 10 * busyShare;
				clock.advance(10);
			}
		},
		stall(duration) {
			stalledTime += duration;
			activeTime += duration;
		},
	};
}

describe('load monitor', () => {
	it('knows which share of a processor the process gets while it is busy', t => {
		const clock = createFakeClock();
		let processorTime: Milliseconds = 0;
		const monitor = createLoadMonitor({clock, readActiveTime: () => clock.now() / 2, readProcessorTime: () => processorTime});
		t.is(monitor.tryGetProcessorShare!(), undefined);
		for (let i = 0; i < 100; i++) {
			processorTime += 50 * 0.5 * 0.3;
			clock.advance(50);
		}

		t.true(Math.abs(monitor.tryGetProcessorShare!()! - 0.3) < 0.01);
	});

	it('follows the share of time in which the event loop is busy within half a second', t => {
		const {monitor, run} = createFixture();
		run(500, 0.3);
		t.true(Math.abs(monitor.getLoad().utilization - 0.3) < 0.05);
		run(500, 0.9);
		t.true(Math.abs(monitor.getLoad().utilization - 0.9) < 0.1);
	});

	it('counts a turn that takes long before it has ended', t => {
		const {monitor, run, stall} = createFixture();
		run(500, 0.1);
		t.true(monitor.getLoad().delay < 5);
		stall(300);
		t.true(monitor.getLoad().delay >= 250);
	});

	it('weighs a late sample by the time that it covers', t => {
		const {monitor, run, stall} = createFixture();
		run(500, 0.1);
		stall(1000);
		run(50, 0.1);
		t.true(monitor.getLoad().utilization > 0.9);
	});

	it('gives the longest delay since it was last asked', t => {
		const {monitor, run, stall} = createFixture();
		run(100, 0);
		stall(200);
		run(1000, 0);
		t.true(monitor.takeMaxDelay() >= 150);
		run(1000, 0);
		t.true(monitor.takeMaxDelay() < 5);
	});
});
