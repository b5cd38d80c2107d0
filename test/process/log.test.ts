import {Buffer} from 'node:buffer';
import VError from 'verror';
import {z} from 'zod';
import {createFakeClock} from '../../src/process/fake-clock.js';
import {createLog, type Log} from '../../src/process/log.js';
import {createLogStream} from '../../src/process/log-stream.js';
import {describe, it} from '../describe.js';

const errorSchema = z.object({name: z.string(), message: z.string(), stack: z.string()});
const lineSchema = z.object({ticket: z.string().optional(), err: z.union([z.string(), errorSchema])});

function createFixture(): {readonly log: Log; readLine(): z.infer<typeof lineSchema>} {
	const chunks: Uint8Array[] = [];
	const stream = createLogStream(createFakeClock(), {
		write(bytes, done) {
			chunks.push(bytes);
			done(undefined, bytes.length);
		},
		writeNow(bytes) {
			chunks.push(bytes);
		},
	});
	return {
		log: createLog('test', 'a', {level: 'info'}, stream),
		readLine() {
			stream.flushNow();
			return lineSchema.parse(JSON.parse(Buffer.concat(chunks).toString()));
		},
	};
}

describe('log', () => {
	// Guards against lines with "err":{}, which say neither what failed nor where.
	it('writes the message, the stack and the causes of an error', t => {
		const {log, readLine} = createFixture();
		const cause = Object.assign(new TypeError('no such port'), {code: 'ERR_INVALID_URL'});
		log.error({err: new VError(cause, 'connect to %s', 'a:99999')}, 'unexpected error; the process ends');
		const err = errorSchema.parse(readLine().err);
		t.like(err, {name: 'VError', message: 'connect to a:99999: no such port'});
		const {stack} = err;
		t.regex(stack, /VError: connect to a:99999: no such port\n +at .*log\.test/v);
		t.regex(stack, /Caused by: TypeError: no such port\n +at .*log\.test/v);
	});

	// Guards against the same in the lines of a child, as jobs have them.
	it('writes the errors of a child log in the same way', t => {
		const {log, readLine} = createFixture();
		log.child({ticket: 't-1'}).warn({err: new RangeError('too deep')}, 'request failed');
		t.like(readLine(), {ticket: 't-1', err: {name: 'RangeError', message: 'too deep'}});
	});

	it('writes what was thrown as it is if it is no error', t => {
		const {log, readLine} = createFixture();
		log.error({err: 'stopped'}, 'unexpected error in a background task');
		t.is(readLine().err, 'stopped');
	});
});
