import {Soundness} from '../../src/generated/kingcuplane.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {createUpstreamHealth, type UpstreamHealth} from '../../src/process/upstream-health.js';
import {describe, it} from '../describe.js';

function createFixture(): {readonly clock: FakeClock; readonly health: UpstreamHealth} {
	const clock = createFakeClock();
	return {clock, health: createUpstreamHealth(clock)};
}

function recordFailures(health: UpstreamHealth, times: number): void {
	for (let i = 0; i < times; i++) {
		health.recordRunEnd(true);
	}
}

describe('upstream health', () => {
	it('stays healthy despite single failures and single long runs', t => {
		const {clock, health} = createFixture();
		for (let i = 0; i < 50; i++) {
			recordFailures(health, 2);
			health.recordRunEnd(false);
			health.recordProjectedSlowdowns([1, 9, 1.5]);
			health.recordProjectedSlowdowns([12]);
			clock.advance(40);
			health.recordProjectedSlowdowns([1]);
		}

		t.is(health.getState(), Soundness.SOUNDNESS_SOUND);
	});

	it('becomes suspect after several failures in a row', t => {
		const {health} = createFixture();
		recordFailures(health, 3);
		t.is(health.getState(), Soundness.SOUNDNESS_SUSPECT);
	});

	it('becomes suspect when runs are very slow or make no progress, before they end', t => {
		const {health} = createFixture();
		health.recordProjectedSlowdowns([7, 6, 6.5]);
		t.is(health.getState(), Soundness.SOUNDNESS_SUSPECT);
		const other = createFixture().health;
		other.recordProjectedSlowdowns([Infinity, Infinity, Infinity]);
		t.is(other.getState(), Soundness.SOUNDNESS_SUSPECT);
	});

	it('becomes suspect when a single run is slow in several reports in a row', t => {
		const {clock, health} = createFixture();
		for (let i = 0; i < 2; i++) {
			health.recordProjectedSlowdowns([6]);
			health.recordProjectedSlowdowns([6]);
			clock.advance(100);
		}

		t.is(health.getState(), Soundness.SOUNDNESS_SOUND);
		health.recordProjectedSlowdowns([6]);
		t.is(health.getState(), Soundness.SOUNDNESS_SUSPECT);
	});

	it('is not suspect for being slow by nature, but for becoming much slower than that', t => {
		const health = createUpstreamHealth(createFakeClock(), () => 1.7);
		health.recordProjectedSlowdowns([5, 6, 6.5]);
		t.is(health.getState(), Soundness.SOUNDNESS_SOUND);
		health.recordProjectedSlowdowns([7, 8, 9]);
		t.is(health.getState(), Soundness.SOUNDNESS_SUSPECT);
	});

	it('is suspect if runs take many times their declared time, even if they always do', t => {
		const health = createUpstreamHealth(createFakeClock(), () => 12);
		health.recordProjectedSlowdowns([11, 12, 13]);
		t.is(health.getState(), Soundness.SOUNDNESS_SUSPECT);
	});

	it('is not suspect at the usual run times if it is fast by nature', t => {
		const health = createUpstreamHealth(createFakeClock(), () => 0.7);
		health.recordProjectedSlowdowns([3, 3.5, 3.9]);
		t.is(health.getState(), Soundness.SOUNDNESS_SOUND);
	});

	it('is restored by one completed run after the quarantine', t => {
		const {clock, health} = createFixture();
		recordFailures(health, 3);
		clock.advance(400);
		t.is(health.getState(), Soundness.SOUNDNESS_PROBED);
		health.recordRunEnd(false);
		t.is(health.getState(), Soundness.SOUNDNESS_SOUND);
	});

	it('stays suspect for longer each time that a probe fails, up to a bound', t => {
		const {clock, health} = createFixture();
		recordFailures(health, 3);
		for (const length of [400, 800, 1600, 3000, 3000]) {
			clock.advance(length - 1);
			t.is(health.getState(), Soundness.SOUNDNESS_SUSPECT);
			clock.advance(1);
			t.is(health.getState(), Soundness.SOUNDNESS_PROBED);
			recordFailures(health, 1);
		}
	});

	it('becomes suspect again when a probe is slow', t => {
		const {clock, health} = createFixture();
		health.recordProjectedSlowdowns([7, 7, 7]);
		clock.advance(400);
		health.recordProjectedSlowdowns([6]);
		t.is(health.getState(), Soundness.SOUNDNESS_SUSPECT);
	});
});
