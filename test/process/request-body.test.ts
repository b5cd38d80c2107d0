import {nextTick} from 'node:process';
import fc from 'fast-check';
import {blockBytes, createBlockPool} from '../../src/process/block-pool.js';
import {receiveBody, type BodySource, type ReceivedBody} from '../../src/process/request-body.js';
import {describe, it} from '../describe.js';

const maxBytes = 10 * blockBytes;

type TestSource = {
	complete: boolean;
	on(event: string, listener: (chunk: Uint8Array) => void): unknown;
	emit(event: string, chunk?: Uint8Array): void;
};

type Fixture = {
	readonly source: TestSource;
	readonly body: ReceivedBody;
	/** The sizes that were reserved. */
	readonly reserved: number[];
	/** An element for each report of very small chunks. */
	readonly smallChunks: readonly number[];
	send(bytes: number): void;
	end(): void;
};

function createFixture(onReserve: (bytes: number, body: () => ReceivedBody) => void = () => undefined): Fixture {
	const listeners = new Map<string, (chunk: Uint8Array) => void>();
	const source: TestSource = {
		complete: false,
		on: (event, listener) => listeners.set(event, listener),
		emit(event, chunk = new Uint8Array()) {
			listeners.get(event)?.(chunk);
		},
	};
	const reserved: number[] = [];
	const smallChunks: number[] = [];
	const body: ReceivedBody = receiveBody({
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- a body is received by events only
		source: source as unknown as BodySource,
		maxBytes,
		pool: createBlockPool(maxBytes),
		onSmallChunks() {
			smallChunks.push(reserved.length);
		},
		reservation: {
			setBodyBytes(bytes) {
				reserved.push(bytes);
				onReserve(bytes, () => body);
			},
		},
	});
	return {
		source,
		body,
		reserved,
		smallChunks,
		send(bytes) {
			source.emit('data', new Uint8Array(bytes).fill(7));
		},
		end() {
			source.complete = true;
			source.emit('end');
			source.emit('close');
		},
	};
}

async function tick(): Promise<void> {
	return new Promise(resolve => {
		nextTick(resolve);
	});
}

describe('body of a request', () => {
	it('is whole, whatever the chunks in which it arrives', async t => {
		await fc.assert(fc.asyncProperty(fc.array(fc.tuple(fc.uint8Array({minLength: 1, maxLength: 3 * blockBytes, size: 'max'}), fc.boolean()), {maxLength: 6}), async chunks => {
			const {source, body, end} = createFixture();
			const expected = chunks.flatMap(([bytes]) => [...bytes]);
			for (const [bytes, isReadAlone] of chunks) {
				source.emit('data', bytes);
				if (isReadAlone) {
					await tick();
				}
			}

			end();
			const result = await body.read();
			t.deepEqual(result.kind === 'whole' ? [...result.bytes] : result.kind, expected.length > maxBytes ? 'too-long' : expected);
		}), {numRuns: 30});
	});

	it('that arrives in one chunk is not copied', async t => {
		const {source, body, end} = createFixture();
		const chunk = new Uint8Array(100);
		source.emit('data', chunk);
		end();
		const result = await body.read();
		t.is(result.kind === 'whole' ? result.bytes : undefined, chunk);
	});

	// Guards against a process that runs out of memory: a chunk of one byte was kept as an object of its own.
	it('takes a small multiple of its size, however small its chunks are', t => {
		const {reserved, send} = createFixture();
		for (let i = 0; i < 2 * blockBytes; i++) {
			send(1);
		}

		t.is(reserved.at(-1), 2 * blockBytes);
		t.true(reserved.length < 10);
	});

	it('reports very small chunks while it is received and while it is drained, and no others', t => {
		const {body, send, smallChunks} = createFixture();
		for (let i = 0; i < 300; i++) {
			send(1);
		}

		t.is(smallChunks.length, 1);
		body.evict();
		for (let i = 0; i < 300; i++) {
			send(1);
		}

		t.is(smallChunks.length, 2);
		for (let i = 0; i < 3000; i++) {
			send(1000);
		}

		t.is(smallChunks.length, 2);
	});

	it('that is too long holds nothing any more', async t => {
		const {body, reserved, send} = createFixture();
		send(maxBytes);
		send(1);
		send(maxBytes);
		t.deepEqual(await body.read(), {kind: 'too-long'});
		t.is(reserved.at(-1), 0);
	});

	it('is not whole if the client disconnects before its end', async t => {
		const {source, body, send, reserved} = createFixture();
		const read = body.read();
		send(10);
		source.emit('close');
		t.deepEqual(await read, {kind: 'disconnected'});
		t.is(reserved.at(-1), 0);
	});

	it('that is evicted by its own growth holds nothing any more', async t => {
		const {body, send, reserved} = createFixture((bytes, getBody) => {
			if (bytes > blockBytes) {
				getBody().evict();
			}
		});
		send(100);
		send(blockBytes);
		send(blockBytes);
		t.deepEqual(await body.read(), {kind: 'evicted'});
		t.is(reserved.at(-1), 0);
	});

	it('reports once that more than a number of bytes have followed its response', t => {
		const {body, send} = createFixture();
		let reports = 0;
		send(100);
		body.drain(1000, () => {
			reports++;
		});
		send(1000);
		t.is(reports, 0);
		send(1);
		send(1000);
		t.is(reports, 1);
	});
});
