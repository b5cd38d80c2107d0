import {createPeerStream, type PeerStream} from '../../src/connection/peer-stream.js';
import type {PeerBatch} from '../../src/generated/kingcuplane.js';
import {platformTiming} from '../../src/platform/timing.js';
import type {Milliseconds} from '../../src/process/clock.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {describe, it} from '../describe.js';

type End = {
	readonly clock: FakeClock;
	readonly stream: PeerStream;
	/** Sends a batch and returns it. */
	send(): PeerBatch;
};

/** Creates an end of a stream in a process whose clock shows `now`. */
function createEnd(now: Milliseconds): End {
	const clock = createFakeClock(now);
	const deferred: Array<() => void> = [];
	const batches: PeerBatch[] = [];
	const stream = createPeerStream({
		clock,
		timing: platformTiming,
		defer(action) {
			deferred.push(action);
		},
		tryGetLoad: () => undefined,
		write(batch) {
			batches.push(batch);
		},
		onSilent: () => undefined,
	});
	return {
		clock,
		stream,
		send() {
			stream.send({});
			for (const action of deferred.splice(0)) {
				action();
			}

			return batches.at(-1)!;
		},
	};
}

function advance(ends: readonly End[], duration: Milliseconds): void {
	for (const {clock} of ends) {
		clock.advance(duration);
	}
}

describe('the silence of the other end of a stream', () => {
	// Issue 49: a message that was read late counted from its reading.
	it('counts from when its last batch was sent, by the clocks that both have shown', t => {
		const a = createEnd(1000);
		const b = createEnd(500_000);
		a.stream.recordMessage(b.send());
		advance([a, b], 100);
		const batch = a.send();
		advance([a, b], 190);
		b.stream.recordMessage(batch);
		t.is(b.stream.getSilence(), 190);
	});

	it('counts the time that the clock was under way, and is not longer after a batch that was sent earlier, nor negative', t => {
		const a = createEnd(1000);
		const b = createEnd(500_000);
		const shown = b.send();
		advance([a, b], 300);
		a.stream.recordMessage(shown);
		const batch = a.send();
		b.stream.recordMessage(batch);
		t.is(b.stream.getSilence(), 300);
		b.stream.recordMessage({...batch, sentAtMs: 600_000});
		t.is(b.stream.getSilence(), 0);
		b.stream.recordMessage(batch);
		t.is(b.stream.getSilence(), 0);
	});

	// Guards against one message of a faulty writer after which no silence is noticed.
	it('counts from the reading if the time in a batch is not a number', t => {
		const a = createEnd(1000);
		const b = createEnd(500_000);
		b.stream.recordMessage({...a.send(), clockMs: Number.NaN, sentAtMs: Number.NaN});
		advance([a, b], 50);
		t.is(b.stream.getSilence(), 50);
		t.is(b.send().sentAtMs, 0);
	});

	it('counts from the reading while the clock of this end is not known to the other one, or was shown too long ago', t => {
		const a = createEnd(1000);
		const b = createEnd(500_000);
		const batch = a.send();
		advance([a, b], 190);
		b.stream.recordMessage(batch);
		t.is(b.stream.getSilence(), 0);
		a.stream.recordMessage(b.send());
		advance([a, b], 3001);
		t.is(a.send().sentAtMs, 0);
	});
});
