import {createAnnouncementOrder} from '../../src/process/announcement-order.js';
import type {Milliseconds} from '../../src/process/clock.js';
import {createFakeClock} from '../../src/process/fake-clock.js';
import {describe, it} from '../describe.js';

/** Interval between the heartbeats of an executor. */
const heartbeatMs: Milliseconds = 1500;

describe('the order of announcements', () => {
	it('accepts each sequence number once, and none after a higher one', t => {
		const order = createAnnouncementOrder(createFakeClock());
		t.deepEqual([1, 2, 2, 1, 5, 4, 6].map(sequence => order.accept(sequence)), [true, true, false, false, true, false, true]);
	});

	it('accepts no announcements that were delayed, in any order', t => {
		const clock = createFakeClock();
		const order = createAnnouncementOrder(clock);
		order.accept(9);
		for (const sequence of [1, 2, 3, 4]) {
			clock.advance(300);
			t.false(order.accept(sequence));
		}

		clock.advance(heartbeatMs);
		t.false(order.accept(2));
		clock.advance(heartbeatMs);
		t.false(order.accept(3));
		t.true(order.accept(10));
	});

	// Guards against an executor whose announcements are ignored for good after one of another writer with its identity.
	it('accepts an executor that goes on below a number that was not its own', t => {
		const clock = createFakeClock();
		const order = createAnnouncementOrder(clock);
		order.accept(4);
		order.accept(Number.MAX_SAFE_INTEGER);
		const accepted = [5, 6, 7, 8].map(sequence => {
			clock.advance(heartbeatMs);
			return order.accept(sequence);
		});
		t.deepEqual(accepted, [false, false, true, true]);
	});
});
