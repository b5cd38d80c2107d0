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
	it('is not reported if it was read in time and its client waits', t => {
		const {arrivals, connection, poll, lines, observed} = createFixture({inputDelay: 0});
		arrivals.record('a1', connection);
		poll();
		t.deepEqual([lines, observed], [[], []]);
	});

	it('is reported if this process stood still before, with the longest time that the request may have waited', t => {
		const {arrivals, connection, poll, lines, observed} = createFixture({inputDelay: 4012.4});
		arrivals.record('a1', connection);
		poll();
		t.deepEqual(lines, [[{
			request: 'a1', client: 'waiting', waitedUpTo: 4012, polled: 5,
		}, 'request was read late']]);
		t.deepEqual(observed, [['request.input.delay', 4012.4, {client: 'waiting'}]]);
	});

	for (const end of [{readableEnded: true}, {destroyed: true}]) {
		it(`is reported if its client has hung up (${Object.keys(end).join('')})`, t => {
			const {arrivals, connection, poll, lines, observed} = createFixture({inputDelay: 0});
			arrivals.record('a1', connection);
			Object.assign(connection, end);
			poll();
			t.deepEqual(lines, [[{
				request: 'a1', client: 'gone', waitedUpTo: 0, polled: 5,
			}, 'request was read late']]);
			t.deepEqual(observed, [['request.input.delay', 0, {client: 'gone'}]]);
		});
	}
});
