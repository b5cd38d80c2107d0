/**
 * A stream over standard output that never blocks the process and limits its volume: lines are written in batches, and
 * lines beyond the limits are dropped and counted.
 */
import fs from 'node:fs';
import {Writable} from 'node:stream';
import type {Clock, Milliseconds} from './clock.js';

/** File descriptor of standard output. */
const standardOutput = 1;
/** Time for which lines are buffered to be written in one batch. */
const flushDelayMs: Milliseconds = 100;
/** Bound on the buffered lines, in characters: the output of a busy process in some seconds. */
const maxBufferedCharacters = 1_000_000;
/** Bound on the lines written per second; a busy entry writes about a tenth of this. */
const maxLinesPerSecond = 4000;

/** A stream of log lines. */
export type LogStream = Writable & {
	/** Writes all buffered lines synchronously, for use before the process ends. */
	flushNow(): void;
};

/** Creates the stream over standard output, or over the file descriptor `file` if given. */
export function createLogStream(clock: Clock, file: number = standardOutput): LogStream {
	let buffered = '';
	let dropped = 0;
	let linesInSecond = 0;
	let second = 0;
	let isWriting = false;
	let isFlushScheduled = false;

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
				fs.writeSync(file, buffered);
			} catch {
				// The output is closed, so the loss of the last lines cannot be reported anywhere.
			}

			buffered = '';
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

		buffered += line;
		scheduleFlush();
	}

	function scheduleFlush(): void {
		if (!isFlushScheduled && !isWriting) {
			isFlushScheduled = true;
			clock.after(flushDelayMs, flush);
		}
	}

	function flush(): void {
		isFlushScheduled = false;
		const text = dropped === 0 ? buffered : `${buffered}${JSON.stringify({msg: 'log lines dropped', dropped})}\n`;
		buffered = '';
		dropped = 0;
		isWriting = true;
		fs.write(file, text, err => {
			isWriting = false;
			// If the output is closed, the process continues without a log.
			if (buffered !== '' && err === null) {
				scheduleFlush();
			}
		});
	}
}
