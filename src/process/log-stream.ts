/**
 * Standard output as a stream that never blocks the process and takes a bounded volume: lines are written together,
 * and what exceeds the bound is dropped and counted.
 */
import fs from 'node:fs';
import {Writable} from 'node:stream';
import type {Clock, Milliseconds} from './clock.js';

const standardOutput = 1;
/** Time that lines wait to be written together. */
const gatherMs: Milliseconds = 100;
/** Bound on lines that wait, in characters: some seconds of a busy process. */
const maxWaiting = 1_000_000;
/** Bound on lines in each second; a busy entry writes about a tenth of it. */
const maxLinesPerSecond = 4000;

/** A stream of lines. */
export type LogStream = Writable & {
	/** Writes what waits before the process ends. */
	flushNow(): void;
};

/** Creates the stream over standard output, or over `file` if given. */
export function createLogStream(clock: Clock, file: number = standardOutput): LogStream {
	let waiting = '';
	let dropped = 0;
	let linesInSecond = 0;
	let second = 0;
	let isWriting = false;
	let isPlanned = false;

	const stream = new Writable({
		decodeStrings: false,
		write(line: string, _encoding, done) {
			take(line);
			done();
		},
	});
	return Object.assign(stream, {
		flushNow() {
			try {
				fs.writeSync(file, waiting);
			} catch {
				// Nobody reads the output any more, so there is nowhere to tell that the last lines are lost.
			}

			waiting = '';
		},
	});

	function take(line: string): void {
		const now = Math.floor(clock.now() / 1000);
		if (now !== second) {
			second = now;
			linesInSecond = 0;
		}

		linesInSecond++;
		if (linesInSecond > maxLinesPerSecond || waiting.length > maxWaiting) {
			dropped++;
			return;
		}

		waiting += line;
		plan();
	}

	function plan(): void {
		if (!isPlanned && !isWriting) {
			isPlanned = true;
			clock.after(gatherMs, flush);
		}
	}

	function flush(): void {
		isPlanned = false;
		const text = dropped === 0 ? waiting : `${waiting}${JSON.stringify({msg: 'log lines dropped', dropped})}\n`;
		waiting = '';
		dropped = 0;
		isWriting = true;
		fs.write(file, text, err => {
			isWriting = false;
			// Nobody reads a log whose output is closed; the process goes on without it.
			if (waiting !== '' && err === null) {
				plan();
			}
		});
	}
}
