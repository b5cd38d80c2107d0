import {createFakeClock} from '../../src/process/fake-clock.js';
import {createRequestArrivals, type RequestArrivals, type RequestArrivalsHost} from '../../src/process/request-arrivals.js';
import {describe, it} from '../describe.js';

type FakeConnection = {bytesRead: number; destroyed: boolean; readableEnded: boolean};

type Fixture = {
	readonly arrivals: RequestArrivals;
	readonly connection: FakeConnection;
	readonly lines: unknown[];
	readonly observed: unknown[];
	/** Ends a poll phase, which took 5 ms. */
	poll(): void;
};

function createFixture({inputDelay}: {readonly inputDelay: number}): Fixture {
	const clock = createFakeClock();
	const lines: unknown[] = [];
	const observed: unknown[] = [];
	let waiting: Array<() => void> = [];
	return {
		arrivals: createRequestArrivals({
			clock,
			// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- a log with one overload
			log: {info: (...line: unknown[]) => lines.push(line)} as unknown as RequestArrivalsHost['log'],
			metrics: {time: (...observation: unknown[]) => observed.push(observation)},
			afterPoll: action => waiting.push(action),
			getInputDelay: () => inputDelay,
		}),
		connection: {bytesRead: 200, destroyed: false, readableEnded: false},
		lines,
		observed,
		poll() {
			clock.advance(5);
			const actions = waiting;
			waiting = [];
			for (const action of actions) {
				action();
			}
		},
	};
}

describe('arrival of a request', () => {
	it('is in time if its client waits, and is not reported', async t => {
		const {arrivals, connection, poll, lines, observed} = createFixture({inputDelay: 0});
		const isWaiting = arrivals.isClientWaiting('a1', connection);
		poll();
		t.true(await isWaiting);
		t.deepEqual([lines, observed], [[], []]);
	});

	it('is reported if this process stood still before, with the longest time that the request may have waited', async t => {
		const {arrivals, connection, poll, lines, observed} = createFixture({inputDelay: 4012.4});
		const isWaiting = arrivals.isClientWaiting('a1', connection);
		poll();
		t.true(await isWaiting);
		t.deepEqual(lines, [[{request: 'a1', waitedUpTo: 4012, polled: 5}, 'request was read late']]);
		t.deepEqual(observed, [['request.input.delay', 4012.4, {client: 'waiting'}]]);
	});

	// Issue 40: the end of a connection is read after the request, so a process that resumes took jobs of clients that had left.
	for (const inputDelay of [4000, 0]) {
		for (const end of [{readableEnded: true}, {destroyed: true}]) {
			it(`tells that the client has hung up (${Object.keys(end).join('')}), ${inputDelay > 0 ? 'after a pause' : 'also if this process was only slow'}`, async t => {
				const {arrivals, connection, poll, lines, observed} = createFixture({inputDelay});
				const isWaiting = arrivals.isClientWaiting('a1', connection);
				Object.assign(connection, end);
				poll();
				t.false(await isWaiting);
				t.deepEqual(lines, [[{request: 'a1', waitedUpTo: inputDelay, polled: 5}, 'request dropped, as its client has hung up; it has not run']]);
				t.deepEqual(observed, [['request.input.delay', inputDelay, {client: 'gone'}]]);
			});
		}
	}

	it('waits until the connection brings no more bytes, behind which its end may be', async t => {
		const {arrivals, connection, poll} = createFixture({inputDelay: 0});
		const isWaiting = arrivals.isClientWaiting('a1', connection);
		connection.bytesRead += 65_536;
		poll();
		connection.bytesRead += 10;
		poll();
		connection.readableEnded = true;
		poll();
		t.false(await isWaiting);
	});
});
