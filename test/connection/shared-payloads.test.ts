import {Buffer} from 'node:buffer';
import {resolvePayloads, sharePayloads} from '../../src/connection/shared-payloads.js';
import {EntryBatch, TaskStart} from '../../src/generated/kingcuplane.js';
import {describe, it} from '../describe.js';

const payload = Buffer.from('x'.repeat(2000));

function createStarts(payloads: readonly Uint8Array[]): readonly TaskStart[] {
	return payloads.map((content, index) => TaskStart.fromPartial({seq: index + 5, task: {ticket: 't', index}, payload: content}));
}

function transfer(starts: readonly TaskStart[]): {readonly size: number; readonly received: readonly TaskStart[]} {
	const bytes = EntryBatch.encode(EntryBatch.fromPartial({starts: sharePayloads(starts)})).finish();
	return {size: bytes.length, received: EntryBatch.decode(bytes).starts};
}

describe('a payload that several starts of a batch have in common', () => {
	it('crosses the link once and reaches each of them', t => {
		const other = Buffer.from('y');
		const {size, received} = transfer(createStarts([payload, other, payload, payload]));
		t.true(size < payload.length + 200);
		const starts = resolvePayloads(received);
		t.deepEqual(starts.map(start => Buffer.from(start.payload).equals(payload)), [true, false, true, true]);
		t.true(starts.every(start => start.payloadOf === 0));
	});

	it('leaves starts without a payload as they are', t => {
		const empty = new Uint8Array();
		t.true(sharePayloads(createStarts([empty, empty])).every(start => start.payloadOf === 0));
	});

	it('is an error if no earlier start of the batch has it', t => {
		t.throws(() => resolvePayloads([TaskStart.fromPartial({seq: 5, payloadOf: 4})]));
		t.throws(() => resolvePayloads([TaskStart.fromPartial({seq: 5, payloadOf: 5})]));
	});
});
