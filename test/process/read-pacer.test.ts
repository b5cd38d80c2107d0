import {createFakeClock} from '../../src/process/fake-clock.js';
import {createReadPacer, type PacedConnection} from '../../src/process/read-pacer.js';
import {describe, it} from '../describe.js';

const intervalMs = 25;

function createConnection(events: string[], name: string): PacedConnection {
	return {
		pause() {
			events.push(`pause ${name}`);
		},
		resume() {
			events.push(`resume ${name}`);
		},
		refuse() {
			events.push(`refuse ${name}`);
		},
	};
}

describe('pacing of reads', () => {
	it('resumes one connection at a time, in the order in which they were paused', t => {
		const clock = createFakeClock();
		const pacer = createReadPacer(clock);
		const events: string[] = [];
		const [first, second] = ['a', 'b'].map(name => createConnection(events, name));
		pacer.pause(first!);
		pacer.pause(second!);
		pacer.pause(first!);
		t.deepEqual(events, ['pause a', 'pause b', 'pause a']);
		clock.advance(intervalMs);
		t.deepEqual(events.slice(3), ['resume a']);
		pacer.pause(first!);
		clock.advance(intervalMs);
		clock.advance(intervalMs);
		t.deepEqual(events.slice(4), ['pause a', 'resume b', 'resume a']);
		clock.advance(1000);
		t.is(events.length, 7);
	});

	// Guards against a process that reads for long what clients have sent who have left.
	it('refuses the connections that have waited longest when many wait', t => {
		const pacer = createReadPacer(createFakeClock());
		const events: string[] = [];
		for (let i = 0; i < 18; i++) {
			pacer.pause(createConnection(events, String(i)));
		}

		t.deepEqual(events.filter(event => event.startsWith('refuse')), ['refuse 0', 'refuse 1']);
	});
});
