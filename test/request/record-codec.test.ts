import {Buffer} from 'node:buffer';
import {gunzipSync, gzipSync} from 'node:zlib';
import fc from 'fast-check';
import {describe, it} from '../describe.js';
import {createOddTexts, oddInputRuns} from '../odd-input.js';
import {decodeBlock, encodeBlock, findRecord} from '../../src/request/record-codec.js';
import {toRecordJson} from '../../src/request/record-json.js';
import type {SubmissionRecord} from '../../src/request/types.js';
import {
	createAttempt, createCancelledRecord, createFailedRecord, createRecord, createFinishedRecord, createRefusedRecord, createTasks, createTicket,
} from './records.js';

const records: readonly SubmissionRecord[] = [createFinishedRecord(), createRefusedRecord(), createCancelledRecord(), createFailedRecord()]
	.map((record, sequence) => ({...record, ticket: createTicket(sequence)}));
const block = {incarnation: '42', block: 7, fates: records};

describe('record codec', () => {
	it('decodes what was encoded', t => {
		const read = decodeBlock(encodeBlock(block))._unsafeUnwrap();
		t.deepEqual(read.fates.map(record => toPlain(record)), records.map(record => toPlain(record)));
	});

	it('finds a record by its sequence number, and none for an unknown number', t => {
		const bytes = encodeBlock(block);
		t.is(findRecord(bytes, 2)._unsafeUnwrap()?.cancelledBy, 'ordering-app');
		t.is(findRecord(bytes, 4)._unsafeUnwrap(), undefined);
	});

	it('preserves any text of callers and agents', t => {
		fc.assert(fc.property(fc.string({unit: 'binary'}), fc.string({unit: 'grapheme'}), (reference, detail) => {
			const record = createRecord({reference, tasks: createTasks({index: 0, attempts: [createAttempt({detail})]})});
			const read = decodeBlock(encodeBlock({...block, fates: [record]}))._unsafeUnwrap().fates[0];
			t.is(read?.reference, reference);
			t.is(read?.tasks.get(0)?.attempts[0]?.detail, detail);
		}), {seed: 4, numRuns: 200});
	});

	it('refuses or reads a block, whatever one of its lines contains', t => {
		const [header = '', ...lines] = Buffer.from(gunzipSync(encodeBlock(block))).toString('utf8').split('\n');
		const [first = ''] = lines;
		const odd = fc.oneof(
			createOddTexts(JSON.parse(header)).map(text => [text, ...lines]),
			createOddTexts(JSON.parse(first.slice(first.indexOf(' ')))).map(text => [header, `0 ${text.replaceAll('\n', ' ')}`, ...lines.slice(1)]),
		);
		fc.assert(fc.property(odd, changed => {
			const bytes = gzipSync(changed.join('\n'));
			const read = [decodeBlock(bytes).isOk(), findRecord(bytes, 0).isOk()];
			t.is(read.length, 2);
			// The other records can be read unless the header is bad.
			t.true(changed[0] !== header || findRecord(bytes, 2)._unsafeUnwrap()?.cancelledBy === 'ordering-app');
		}), oddInputRuns);
	});

	it('refuses a truncated block', t => {
		const bytes = encodeBlock(block);
		for (let cut = 0; cut < bytes.length; cut += 7) {
			t.is(decodeBlock(bytes.subarray(0, cut)).isErr(), true, `cut at ${cut}`);
		}
	});

	for (const [name, edit] of [
		['another version', (text: string) => text.replace('"version":1', '"version":2')],
		['a missing record', (text: string) => text.slice(0, text.lastIndexOf('\n'))],
		['a record of another block', (text: string) => text.replace('"block":7,"sequence":1', '"block":8,"sequence":1')],
		['an unknown key', (text: string) => text.replace('"entry":', '"entrance":1,"entry":')],
	] as const) {
		it(`refuses ${name}`, t => {
			const text = Buffer.from(gunzipSync(encodeBlock(block))).toString('utf8');
			const edited = edit(text);
			t.not(edited, text);
			t.is(decodeBlock(gzipSync(edited))._unsafeUnwrapErr().kind, 'FateMalformed');
		});
	}
});

function toPlain(record: SubmissionRecord): unknown {
	const text = JSON.stringify(toRecordJson(record));
	return JSON.parse(text);
}
