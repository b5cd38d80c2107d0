import {Soundness} from '../../src/generated/kingcuplane.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {createUpstreamHealth, type UpstreamHealth as Judgement} from '../../src/process/upstream-health.js';
import {describe, it} from '../describe.js';

function createBench(): {readonly clock: FakeClock; readonly soundness: Judgement} {
	const clock = createFakeClock();
	return {clock, soundness: createUpstreamHealth(clock)};
}

function fail(soundness: Judgement, times: number): void {
	for (let i = 0; i < times; i++) {
		soundness.recordRunEnd(true);
	}
}

describe('soundness of an upstream', () => {
	it('is not doubted for single failures or single long runs', t => {
		const {clock, soundness} = createBench();
		for (let i = 0; i < 50; i++) {
			fail(soundness, 2);
			soundness.recordRunEnd(false);
			soundness.recordProjectedSlowdowns([1, 9, 1.5]);
			soundness.recordProjectedSlowdowns([12]);
			clock.advance(40);
			soundness.recordProjectedSlowdowns([1]);
		}

		t.is(soundness.getState(), Soundness.SOUNDNESS_SOUND);
	});

	it('is doubted after some failures in a row', t => {
		const {soundness} = createBench();
		fail(soundness, 3);
		t.is(soundness.getState(), Soundness.SOUNDNESS_SUSPECT);
	});

	it('is doubted when runs crawl or stand still, before they end', t => {
		const {soundness} = createBench();
		soundness.recordProjectedSlowdowns([7, 6, 6.5]);
		t.is(soundness.getState(), Soundness.SOUNDNESS_SUSPECT);
		const other = createBench().soundness;
		other.recordProjectedSlowdowns([Infinity, Infinity, Infinity]);
		t.is(other.getState(), Soundness.SOUNDNESS_SUSPECT);
	});

	it('is doubted when a single run crawls each time that it is looked at', t => {
		const {clock, soundness} = createBench();
		for (let i = 0; i < 2; i++) {
			soundness.recordProjectedSlowdowns([6]);
			soundness.recordProjectedSlowdowns([6]);
			clock.advance(100);
		}

		t.is(soundness.getState(), Soundness.SOUNDNESS_SOUND);
		soundness.recordProjectedSlowdowns([6]);
		t.is(soundness.getState(), Soundness.SOUNDNESS_SUSPECT);
	});

	it('is regained by one good run after the quarantine', t => {
		const {clock, soundness} = createBench();
		fail(soundness, 3);
		clock.advance(400);
		t.is(soundness.getState(), Soundness.SOUNDNESS_PROBED);
		soundness.recordRunEnd(false);
		t.is(soundness.getState(), Soundness.SOUNDNESS_SOUND);
	});

	it('is doubted for longer each time that a probe fails, up to a bound', t => {
		const {clock, soundness} = createBench();
		fail(soundness, 3);
		for (const length of [400, 800, 1600, 3000, 3000]) {
			clock.advance(length - 1);
			t.is(soundness.getState(), Soundness.SOUNDNESS_SUSPECT);
			clock.advance(1);
			t.is(soundness.getState(), Soundness.SOUNDNESS_PROBED);
			fail(soundness, 1);
		}
	});

	it('stays in doubt while a probe crawls', t => {
		const {clock, soundness} = createBench();
		soundness.recordProjectedSlowdowns([7, 7, 7]);
		clock.advance(400);
		soundness.recordProjectedSlowdowns([6]);
		t.is(soundness.getState(), Soundness.SOUNDNESS_SUSPECT);
	});
});
