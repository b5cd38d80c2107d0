import {afterBytesRead, afterInputRead} from '../../src/process/input-reading.js';
import {describe, it} from '../describe.js';

type FakeConnection = {bytesRead: number; destroyed: boolean};

type Fixture = {
	readonly connections: readonly FakeConnection[];
	/** Runs what waits for the next poll phase, which has read these numbers of bytes of the connections. */
	poll(...bytes: readonly number[]): void;
	isRead(): boolean;
};

function createFixture(connectionCount: number, afterRead = afterInputRead): Fixture {
	const connections = Array.from({length: connectionCount}, (): FakeConnection => ({bytesRead: 100, destroyed: false}));
	let waiting: Array<() => void> = [];
	let isRead = false;
	afterRead(connections, action => waiting.push(action), () => {
		isRead = true;
	});
	return {
		connections,
		isRead: () => isRead,
		poll(...bytes) {
			for (const [i, count] of bytes.entries()) {
				connections[i]!.bytesRead += count;
			}

			const actions = waiting;
			waiting = [];
			for (const action of actions) {
				action();
			}
		},
	};
}

describe('input that waits in connections', () => {
	it('is read after one poll phase that brings nothing', t => {
		const {poll, isRead} = createFixture(2);
		t.false(isRead());
		poll(0, 0);
		t.true(isRead());
	});

	it('is read after one phase without connections', t => {
		const {poll, isRead} = createFixture(0);
		poll();
		t.true(isRead());
	});

	it('is read one phase after the last bytes, which is when the end of a connection is read', t => {
		const {poll, isRead} = createFixture(2);
		poll(0, 50);
		t.false(isRead());
		poll(0, 0);
		t.true(isRead());
	});

	it('counts as read although a connection goes on to bring more, of which each phase reads all', t => {
		const {poll, isRead} = createFixture(1);
		poll(400);
		poll(400);
		t.true(isRead());
	});

	it('is not read while a phase reads as much as its buffers hold', t => {
		const {poll, isRead} = createFixture(1);
		for (let i = 0; i < 5; i++) {
			poll(65_536);
			t.false(isRead());
		}

		poll(10);
		t.false(isRead());
		poll(0);
		t.true(isRead());
	});

	it('is gone with a connection that was closed', t => {
		const {poll, isRead, connections} = createFixture(1);
		connections[0]!.destroyed = true;
		poll(70_000);
		t.true(isRead());
	});

	it('has brought all its bytes after the first phase that has emptied it', t => {
		const {poll, isRead} = createFixture(2, afterBytesRead);
		poll(0, 70_000);
		t.false(isRead());
		poll(0, 500);
		t.true(isRead());
	});
});
