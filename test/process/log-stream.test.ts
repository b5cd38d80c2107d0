import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import type {ExecutionContext} from 'ava';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {createLogStream, type LogStream} from '../../src/process/log-stream.js';
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
	return {clock, stream: createLogStream(clock, file), read: () => fs.readFileSync(name, 'utf8')};
}

async function waitFor(isDone: () => boolean): Promise<void> {
	for (let i = 0; i < 200 && !isDone(); i++) {
		await new Promise(resolve => {
			setTimeout(resolve, 5);
		});
	}
}

describe('log stream', () => {
	it('writes lines in batches, in order', async t => {
		const {clock, stream, read} = createFixture(t);
		stream.write('1\n');
		stream.write('2\n');
		t.is(read(), '');
		clock.advance(100);
		await waitFor(() => read() !== '');
		t.is(read(), '1\n2\n');
	});

	it('drops and counts lines beyond the limit per second', async t => {
		const {clock, stream, read} = createFixture(t);
		for (let i = 0; i < 5000; i++) {
			stream.write(`${i}\n`);
		}

		clock.advance(100);
		await waitFor(() => read().includes('dropped'));
		t.true(read().includes('{"msg":"log lines dropped","dropped":1000}'));
		t.is(read().trim().split('\n').length, 4001);
	});

	it('writes buffered lines at once when the process is about to end', t => {
		const {stream, read} = createFixture(t);
		stream.write('last\n');
		stream.flushNow();
		t.is(read(), 'last\n');
	});
});
