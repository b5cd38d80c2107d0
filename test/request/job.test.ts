import {createDiagnostic, Diagnostics} from '../../src/process/diagnostics.js';
import {createJob} from '../../src/request/job.js';
import {describe, it} from '../describe.js';

const payload = new Uint8Array([1]);
const failure = {diagnostic: createDiagnostic(Diagnostics.Deadline_has_passed, 10)};

describe('job', () => {
	it('is complete only when every task is', t => {
		const job = createJob(2);
		job.markSent(0, 1);
		job.markSent(1, 1);
		job.markEnded(1, 1, {kind: 'completed', payload});
		t.is(job.tryGetAnswer(), undefined);
		job.markEnded(0, 1, {kind: 'completed', payload});
		t.like(job.tryGetAnswer(), {state: 'complete', ran: 'ran'});
		t.is(job.tryGetAnswer()?.payloads?.length, 2);
	});

	it('has no payloads when one task fails', t => {
		const job = createJob(2);
		job.markSent(0, 1);
		job.markSent(1, 1);
		job.markEnded(0, 1, {kind: 'completed', payload});
		job.markEnded(1, 1, {kind: 'failed', failure});
		t.like(job.tryGetAnswer(), {state: 'failed', ran: 'ran', payloads: undefined});
	});

	it('keeps its first answer', t => {
		const job = createJob(1);
		job.markSent(0, 1);
		job.fail(failure);
		job.markEnded(0, 1, {kind: 'completed', payload});
		t.is(job.tryGetAnswer()?.state, 'failed');
	});

	it('ignores the end of an attempt that is not the current one', t => {
		const job = createJob(1);
		job.markSent(0, 1);
		t.true(job.markEnded(0, 1, {kind: 'refused'}));
		t.false(job.markEnded(0, 1, {kind: 'completed', payload}));
		job.markSent(0, 2);
		t.false(job.markEnded(0, 1, {kind: 'completed', payload}));
		t.is(job.tryGetAnswer(), undefined);
	});

	describe('execution status', () => {
		it('is not-run while nothing was sent, and again after a refusal', t => {
			const job = createJob(1);
			t.is(job.getExecutionStatus(), 'not-run');
			job.markSent(0, 1);
			t.is(job.getExecutionStatus(), 'may-have-run');
			job.markEnded(0, 1, {kind: 'refused'});
			t.is(job.getExecutionStatus(), 'not-run');
		});

		it('stays may-have-run after an attempt whose outcome is unknown', t => {
			const job = createJob(1);
			job.markSent(0, 1);
			job.markEnded(0, 1, {kind: 'retried'});
			job.fail(failure);
			t.is(job.tryGetAnswer()?.ran, 'may-have-run');
		});
	});
});
