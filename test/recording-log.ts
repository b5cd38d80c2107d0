/**
 * A log whose lines tests read.
 */
import {Writable} from 'node:stream';
import {createLog, type Log} from '../src/process/log.js';

/** A log and its lines so far, parsed. */
export type RecordingLog = {
	readonly log: Log;
	readonly lines: readonly unknown[];
};

/** Creates a log without lines, which records those of a level and above. */
export function createRecordingLog(level: 'info' | 'warn' = 'warn'): RecordingLog {
	const lines: unknown[] = [];
	const stream = new Writable({
		decodeStrings: false,
		write(line: string, _encoding, done) {
			lines.push(JSON.parse(line));
			done();
		},
	});
	return {log: createLog('test', 'test', {level}, stream), lines};
}
