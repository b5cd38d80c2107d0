import {createFakeClock} from '../../src/process/fake-clock.js';
import {createReadPacer} from '../../src/process/read-pacer.js';
import {describe, it} from '../describe.js';

const intervalMs = 25;

describe('pacing of reads', () => {
	it('resumes one connection at a time, in the order in which they were paused', t => {
		const clock = createFakeClock();
		const pacer = createReadPacer(clock);
		const events: string[] = [];
		const [first, second] = ['a', 'b'].map(name => ({pause: () => events.push(`pause ${name}`), resume: () => events.push(`resume ${name}`)}));
		pacer.pause(first!);
		pacer.pause(second!);
		pacer.pause(first!);
		t.deepEqual(events, ['pause a', 'pause b']);
		clock.advance(intervalMs);
		t.deepEqual(events.slice(2), ['resume a']);
		pacer.pause(first!);
		clock.advance(intervalMs);
		clock.advance(intervalMs);
		t.deepEqual(events.slice(3), ['pause a', 'resume b', 'resume a']);
		clock.advance(1000);
		t.is(events.length, 6);
	});
});
