import {createOutlierDetector, type OutlierDetector} from '../../src/connection/outlier-detector.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {describe, it} from '../describe.js';

const agents = ['failing', 'b', 'c', 'd'];
/** More outcomes than are needed to judge an agent. */
const outcomes = 20;
/** Longest time for which an agent is ejected. */
const maxEjectionDuration = 60_000;

/** Creates a detector with four linked agents, one of which fails all its tasks and is ejected. */
function createFixture(): {readonly clock: FakeClock; readonly detector: OutlierDetector} {
	const clock = createFakeClock(1000);
	const detector = createOutlierDetector(clock);
	for (const agent of agents) {
		detector.addAgent(agent);
	}

	for (let i = 0; i < outcomes; i++) {
		for (const agent of agents) {
			detector.recordOutcome(agent, agent === 'failing' ? 'failed' : 'completed');
		}
	}

	return {clock, detector};
}

describe('agent whose tasks fail', () => {
	it('is not used for a while', t => {
		const {clock, detector} = createFixture();
		t.deepEqual(agents.filter(agent => detector.isUsable(agent)), ['b', 'c', 'd']);
		clock.advance(1000);
		t.true(detector.isUsable('failing'));
	});

	// Guards against statistics that are kept with a link: an agent that fails all its tasks attracted work again after each reset.
	it('is not used at once because its link was lost and opened again', t => {
		const {clock, detector} = createFixture();
		detector.removeAgent('failing');
		clock.advance(100);
		detector.addAgent('failing');
		t.false(detector.isUsable('failing'));
		clock.advance(900);
		t.true(detector.isUsable('failing'));
		detector.recordStart('failing');
		t.false(detector.isUsable('failing'), 'only single tasks are sent to it');
	});

	it('does not count among the others while it has no link', t => {
		const {detector} = createFixture();
		detector.removeAgent('failing');
		for (let i = 0; i < outcomes; i++) {
			detector.recordOutcome('failing', 'failed');
			detector.recordOutcome('b', 'failed');
		}

		t.false(detector.isUsable('b'), 'one in three may be ejected beside it');
	});

	it('is judged anew after it has stayed away for longer than it could be ejected', t => {
		const {clock, detector} = createFixture();
		detector.removeAgent('failing');
		clock.advance(maxEjectionDuration + 1);
		detector.addAgent('failing');
		detector.recordStart('failing');
		t.true(detector.isUsable('failing'));
	});
});
