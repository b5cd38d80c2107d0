import {createFakeClock} from '../../src/process/fake-clock.js';
import {
	createRequestMemory, requestOverheadBytes, type MemoryReservation, type RequestMemory,
} from '../../src/process/request-memory.js';
import {describe, it} from '../describe.js';

const limitBytes = 100 * requestOverheadBytes;
const bodyBytes = 9 * requestOverheadBytes;

type Fixture = {
	readonly clock: ReturnType<typeof createFakeClock>;
	readonly memory: RequestMemory;
	/** Names of the requests that were evicted. */
	readonly evicted: string[];
	/** Adds a request with a body of this size. */
	add(name: string, bytes: number, isEvictable?: () => boolean): MemoryReservation;
};

function createFixture(): Fixture {
	const clock = createFakeClock();
	const memory = createRequestMemory({clock, limitBytes});
	const evicted: string[] = [];
	return {
		clock,
		memory,
		evicted,
		add(name, bytes, isEvictable = () => true) {
			const reservation = memory.reserve({isEvictable, evict: () => evicted.push(name)});
			reservation.setBodyBytes(bytes);
			return reservation;
		},
	};
}

describe('memory of requests', () => {
	it('evicts nothing up to its bound', t => {
		const {memory, evicted, add} = createFixture();
		for (let i = 0; i < 10; i++) {
			add(`r-${i}`, bodyBytes);
		}

		t.is(memory.getUsedBytes(), limitBytes);
		t.deepEqual(evicted, []);
	});

	// Guards against a process that runs out of memory: many clients stopped just short of the end of their bodies.
	it('stays within its bound, however many requests remain unfinished', t => {
		const {memory, evicted, add, clock} = createFixture();
		for (let i = 0; i < 1000; i++) {
			add(`r-${i}`, bodyBytes);
			clock.advance(1);
			t.true(memory.getUsedBytes() <= limitBytes);
		}

		t.true(evicted.length >= 990);
	});

	it('evicts requests that have taken much memory for long, before a small one that is slow and a new one', t => {
		const {evicted, add, clock} = createFixture();
		add('slow', 4000);
		for (let i = 0; i < 9; i++) {
			add(`large-${i}`, bodyBytes);
		}

		clock.advance(1000);
		add('new', bodyBytes);
		t.true(evicted.length > 0);
		t.true(evicted.every(name => name.startsWith('large')), evicted.join(', '));
	});

	it('evicts the new request if all others are being served', t => {
		const {evicted, add, clock} = createFixture();
		for (let i = 0; i < 10; i++) {
			add(`served-${i}`, bodyBytes, () => false);
		}

		clock.advance(1000);
		add('new', 0);
		t.deepEqual(evicted, ['new']);
	});

	it('has room again for what was released', t => {
		const {memory, evicted, add} = createFixture();
		for (let i = 0; i < 100; i++) {
			const reservation = add(`r-${i}`, bodyBytes);
			reservation.release();
			reservation.release();
		}

		t.is(memory.getUsedBytes(), 0);
		t.deepEqual(evicted, []);
	});

	it('takes nothing any more for a request that was evicted', t => {
		const {memory, add} = createFixture();
		const reservations = Array.from({length: 11}, (_, i) => add(`r-${i}`, bodyBytes));
		for (const reservation of reservations) {
			reservation.release();
			reservation.setBodyBytes(bodyBytes);
		}

		t.is(memory.getUsedBytes(), 0);
	});
});
