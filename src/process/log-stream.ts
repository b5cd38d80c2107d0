/**
 * A stream over standard output that never blocks the process and limits its volume: lines are written in batches, and
 * lines beyond the limits are dropped and counted.
 */
import {Buffer} from 'node:buffer';
import fs from 'node:fs';
import {Writable} from 'node:stream';
import type {Clock, Milliseconds, Timer} from './clock.js';

/** File descriptor of standard output. */
const standardOutput = 1;
/** Time for which lines are buffered to be written in one batch. */
const flushDelayMs: Milliseconds = 250;
/** Buffered characters that are written at once. A pipe takes this many bytes whole, so that a slow reader sees no torn lines. */
const batchCharacters = 4096;
/** Bound on the buffered lines, in characters: the output of a busy process in some seconds. */
const maxBufferedCharacters = 1_000_000;
/** Bound on the lines written per second; a busy entry writes about a tenth of this. */
const maxLinesPerSecond = 4000;

/** A stream of log lines. */
export type LogStream = Writable & {
	/** Writes all buffered lines synchronously, for use before the process ends. */
	flushNow(): void;
};

/** What the lines are written to. */
export type LogOutput = {
	/** Writes bytes without blocking. Calls `done` with the number of those that were accepted, and an error if there is one. */
	write(bytes: Uint8Array, done: (err: NodeJS.ErrnoException | undefined, written: number) => void): void;
	/** Writes bytes and returns when all are written; throws if they cannot be. */
	writeNow(bytes: Uint8Array): void;
};

/** Creates the output of a file descriptor. */
export function createFileOutput(file: number): LogOutput {
	return {
		write(bytes, done) {
			fs.write(file, bytes, (err, written) => {
				done(err ?? undefined, written);
			});
		},
		writeNow(bytes) {
			fs.writeSync(file, bytes);
		},
	};
}

/** Creates the stream over standard output, or over another output. */
export function createLogStream(clock: Clock, output: LogOutput = createFileOutput(standardOutput)): LogStream {
	let buffered = '';
	/** Rest of a batch of which the output has accepted only a part. */
	let unwritten: Uint8Array | undefined;
	let dropped = 0;
	let linesInSecond = 0;
	let second = 0;
	let isWriting = false;
	/** Whether all buffered lines are to be written now, not only whole batches. */
	let isFlushDue = false;
	let flushTimer: Timer | undefined;

	const stream = new Writable({
		decodeStrings: false,
		write(line: string, _encoding, done) {
			append(line);
			done();
		},
	});
	return Object.assign(stream, {
		flushNow() {
			try {
				output.writeNow(Buffer.concat([unwritten ?? Buffer.alloc(0), take(buffered.length)]));
			} catch {
				// The output is closed, so the loss of the last lines cannot be reported anywhere.
			}

			unwritten = undefined;
		},
	});

	function append(line: string): void {
		const now = Math.floor(clock.now() / 1000);
		if (now !== second) {
			second = now;
			linesInSecond = 0;
		}

		linesInSecond++;
		if (linesInSecond > maxLinesPerSecond || buffered.length > maxBufferedCharacters) {
			dropped++;
			return;
		}

		if (buffered.length + line.length > batchCharacters && unwritten === undefined) {
			writeBatch();
		}

		buffered += line;
		scheduleFlush();
	}

	function scheduleFlush(): void {
		flushTimer ??= clock.after(flushDelayMs, () => {
			flushTimer = undefined;
			isFlushDue = true;
			writeBatch();
		});
	}

	function writeBatch(): void {
		if (isWriting || (unwritten === undefined && buffered === '' && dropped === 0)) {
			return;
		}

		const batch = unwritten ?? takeBatch();
		isWriting = true;
		output.write(batch, (err, written) => {
			isWriting = false;
			// A pipe that is nearly full accepts a part of a batch, and a full one nothing.
			const isAccepting = err === undefined || err.code === 'EAGAIN';
			unwritten = isAccepting && written < batch.length ? batch.subarray(written) : undefined;
			// If the output is closed, the process continues without a log.
			if (!isAccepting) {
				return;
			}

			isFlushDue &&= buffered !== '';
			if (unwritten !== undefined) {
				scheduleFlush();
			} else if (isFlushDue || buffered.length > batchCharacters) {
				writeBatch();
			}
		});
	}

	/** Takes as many whole lines as fit into a batch, or a longer one alone. */
	function takeBatch(): Uint8Array {
		const end = buffered.length <= batchCharacters ? buffered.length : buffered.lastIndexOf('\n', batchCharacters - 1) + 1;
		return take(end === 0 ? buffered.indexOf('\n') + 1 : end);
	}

	function take(length: number): Uint8Array {
		const taken = buffered.slice(0, length);
		buffered = buffered.slice(length);
		if (dropped === 0 || buffered !== '') {
			return Buffer.from(taken);
		}

		const report = `${JSON.stringify({msg: 'log lines dropped', dropped})}\n`;
		dropped = 0;
		return Buffer.from(`${taken}${report}`);
	}
}
