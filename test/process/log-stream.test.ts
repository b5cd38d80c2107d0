import {Buffer} from 'node:buffer';
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import type {ExecutionContext} from 'ava';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {createFileOutput, createLogStream, type LogStream} from '../../src/process/log-stream.js';
import {describe, it} from '../describe.js';

function createFixture(t: ExecutionContext): {readonly clock: FakeClock; readonly stream: LogStream; read(): string} {
	const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'kingcuplane-'));
	const name = path.join(folder, 'log');
	const file = fs.openSync(name, 'w');
	t.teardown(() => {
		fs.closeSync(file);
		fs.rmSync(folder, {recursive: true});
	});
	const clock = createFakeClock();
	return {clock, stream: createLogStream(clock, createFileOutput(file)), read: () => fs.readFileSync(name, 'utf8')};
}

async function waitFor(isDone: () => boolean): Promise<void> {
	for (let i = 0; i < 200 && !isDone(); i++) {
		await new Promise(resolve => {
			setTimeout(resolve, 5);
		});
	}
}

/** Time within which buffered lines are written. */
const flushDelayMs = 250;

describe('log stream', () => {
	it('writes lines in batches, in order', async t => {
		const {clock, stream, read} = createFixture(t);
		stream.write('1\n');
		stream.write('2\n');
		t.is(read(), '');
		clock.advance(flushDelayMs);
		await waitFor(() => read() !== '');
		t.is(read(), '1\n2\n');
	});

	// Issue 68: the reader of a busy process took 8 KB of each batch and lost the rest, the lines on its load among them.
	it('writes no more than a pipe takes whole at a time while lines come quickly', t => {
		const clock = createFakeClock();
		const batches: string[] = [];
		const stream = createLogStream(clock, {
			write(bytes, done) {
				batches.push(Buffer.from(bytes).toString());
				done(undefined, bytes.length);
			},
			writeNow: () => undefined,
		});
		const lines = Array.from({length: 100}, (_, i) => `${String(i).padEnd(399, '.')}\n`);
		for (const line of lines) {
			stream.write(line);
		}

		clock.advance(flushDelayMs);
		t.is(batches.join(''), lines.join(''));
		t.deepEqual(batches.filter(batch => batch.length > 4096), []);
	});

	it('drops and counts lines beyond the limit per second', async t => {
		const {clock, stream, read} = createFixture(t);
		for (let i = 0; i < 5000; i++) {
			stream.write(`${i}\n`);
		}

		clock.advance(flushDelayMs);
		await waitFor(() => read().includes('dropped'));
		t.true(read().includes('{"msg":"log lines dropped","dropped":1000}'));
		t.is(read().trim().split('\n').length, 4001);
	});

	// Issue 27: the lines that a pipe had no room for were lost without a count.
	it('continues with the rest of a batch of which the output has accepted a part, or nothing', t => {
		const clock = createFakeClock();
		const full: NodeJS.ErrnoException = Object.assign(new Error('full'), {code: 'EAGAIN'});
		const limits = [3, 0, 100, 100];
		let text = '';
		const stream = createLogStream(clock, {
			write(bytes, done) {
				const accepted = Buffer.from(bytes).subarray(0, limits.shift());
				text += accepted.toString();
				done(accepted.length === 0 ? full : undefined, accepted.length);
			},
			writeNow: () => undefined,
		});
		stream.write('12345\n');
		clock.advance(flushDelayMs + 10);
		stream.write('6789\n');
		clock.advance(4 * flushDelayMs);
		t.is(text, '12345\n6789\n');
	});

	it('writes buffered lines at once when the process is about to end', t => {
		const {stream, read} = createFixture(t);
		stream.write('last\n');
		stream.flushNow();
		t.is(read(), 'last\n');
	});
});
