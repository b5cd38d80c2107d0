import {Buffer} from 'node:buffer';
import {createPayloadCompressor} from '../../src/connection/payload-compressor.js';
import {resolvePayloads, sharePayloads, type PayloadCompressor} from '../../src/connection/shared-payloads.js';
import {EntryBatch, TaskStart} from '../../src/generated/kingcuplane.js';
import {describe, it} from '../describe.js';

const payload = Buffer.from('x'.repeat(2000));

const asTheyAre: PayloadCompressor = () => undefined;

function createStarts(payloads: readonly Uint8Array[]): readonly TaskStart[] {
	return payloads.map((content, index) => TaskStart.fromPartial({seq: index + 5, task: {ticket: 't', index}, payload: content}));
}

function transfer(starts: readonly TaskStart[], tryCompress = asTheyAre): {readonly size: number; readonly received: readonly TaskStart[]} {
	const bytes = EntryBatch.encode(EntryBatch.fromPartial({starts: sharePayloads(starts, tryCompress)})).finish();
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

	it('is compressed while the link is busy, if that makes it smaller', t => {
		let isBusy = false;
		const tryCompress = createPayloadCompressor(() => isBusy);
		const small = Buffer.from('y');
		const starts = createStarts([payload, small, payload]);
		t.true(transfer(starts, tryCompress).size > payload.length);
		isBusy = true;
		const {size, received} = transfer(starts, tryCompress);
		t.true(size < 300);
		t.deepEqual(resolvePayloads(received).map(start => Buffer.from(start.payload).toString()), starts.map(start => Buffer.from(start.payload).toString()));
		t.throws(() => resolvePayloads([{...received[0]!, payload: Buffer.from('damaged')}]));
	});

	it('leaves starts without a payload as they are', t => {
		const empty = new Uint8Array();
		t.true(sharePayloads(createStarts([empty, empty]), asTheyAre).every(start => start.payloadOf === 0));
	});

	it('is sent without the names of its job, which each start has again on arrival', t => {
		const names = {
			service: 'the service', caller: 'the caller', reference: 'the reference', submission: 'the submission',
		};
		const ofOneJob = createStarts([payload, payload]).map(start => ({...start, ...names}));
		const ofAnother = {...ofOneJob[1]!, seq: 9, task: {ticket: 'another job', index: 0}};
		const starts = [...ofOneJob, ofAnother];
		const {size, received} = transfer(starts);
		t.true(size < payload.length + 230);
		t.deepEqual(resolvePayloads(received).map(({task, service, caller, reference, submission}) => [task, {
			service, caller, reference, submission,
		}]), starts.map(({task}) => [task, names]));
	});

	it('is an error if no earlier start of the batch has it', t => {
		t.throws(() => resolvePayloads([TaskStart.fromPartial({seq: 5, payloadOf: 4})]));
		t.throws(() => resolvePayloads([TaskStart.fromPartial({seq: 5, payloadOf: 5})]));
	});
});
