import {compareWithBaseline} from '../baseline.js';
import {describe, it} from '../describe.js';
import {describeConclusion, formatRecord, formatRecordReport} from '../../src/request/record-format.js';
import {
	fromRecordJson, fromRecordReportJson, toRecordJson, toRecordReportJson,
} from '../../src/request/record-json.js';
import type {RecordReport, SubmissionRecord} from '../../src/request/types.js';
import {
	acceptedAt, createAttempt, createCancelledRecord, createFailedRecord, createRecord, createFinishedRecord, createRefusedRecord, createTasks,
} from './records.js';

const records: ReadonlyMap<string, SubmissionRecord> = new Map([
	['finished', createFinishedRecord()],
	['refused', createRefusedRecord()],
	['cancelled', createCancelledRecord()],
	['failed', createFailedRecord()],
]);

describe('record as text', () => {
	for (const [name, record] of records) {
		it(`shows a ${name} job`, t => {
			compareWithBaseline(t, `fate/${name}.txt`, formatRecord(record));
		});

		it(`shows a ${name} job in the same way after a round trip through JSON`, t => {
			const json = sendAsText(toRecordJson(record));
			t.deepEqual(formatRecord(fromRecordJson(json)._unsafeUnwrap()), formatRecord(record));
		});
	}

	it('shows the sources of a report and what is not known', t => {
		const report: RecordReport = {
			ticket: 'kc1.42.7.0.cmVhZC10aGUtZG9j', fate: undefined, sources: ['agents'], mayChange: true, unknown: ['The entry 42 did not answer.'],
		};
		const json = sendAsText(toRecordReportJson(report));
		const read = fromRecordReportJson(json)._unsafeUnwrap();
		compareWithBaseline(t, 'fate/unknown.txt', formatRecordReport(read));
	});
});

describe('conclusion of a record', () => {
	const answer = {state: 'failed', ran: 'may-have-run', at: acceptedAt + 300} as const;

	it('reports a second start that is certain', t => {
		const tasks = createTasks({index: 0, attempts: [createAttempt(), createAttempt({attempt: 2})]});
		t.is(describeConclusion(createRecord({taskCount: 1, answer, tasks})), 'RAN MORE THAN ONCE: 1 task ran more than once.');
	});

	it('does not report a possible second start as certain', t => {
		const tasks = createTasks({index: 0, attempts: [createAttempt({outcome: 'unknown'}), createAttempt({attempt: 2})]});
		t.is(describeConclusion(createRecord({taskCount: 1, answer, tasks})), 'RAN, AND MAY HAVE RUN TWICE: 1 task ran and may have run again.');
	});

	it('treats a start without an outcome as one that may have run', t => {
		const tasks = createTasks({index: 0, attempts: [createAttempt({outcome: undefined})]});
		t.is(describeConclusion(createRecord({taskCount: 2, answer, tasks})), 'MAY HAVE RUN: 1 task may have run, 1 task not run.');
	});

	it('does not report a task without a recorded start as not run while there is no answer', t => {
		const tasks = createTasks({index: 0, attempts: [createAttempt()]});
		t.is(describeConclusion(createRecord({taskCount: 3, tasks}), false), 'NO ANSWER RECORDED: 1 task ran once, 2 tasks without a recorded start.');
	});

	it('reports an answer that contradicts the attempts', t => {
		const tasks = createTasks({index: 0, attempts: [createAttempt()]});
		const record = createRecord({taskCount: 1, answer: {...answer, ran: 'not-run'}, tasks});
		t.true(formatRecord(record).some(text => text.startsWith('FAULT')));
	});

	it('relies on the answer where detail was dropped', t => {
		t.regex(describeConclusion(createRecord({answer, detailDropped: true})), /^MAY HAVE RUN/v);
	});
});

describe('record JSON', () => {
	it('refuses an unknown key and names it', t => {
		const json = {...toRecordJson(createFinishedRecord()), extra: 1};
		const diagnostic = fromRecordJson(json)._unsafeUnwrapErr();
		t.is(diagnostic.kind, 'FateMalformed');
		t.regex(diagnostic.message, /extra/v);
	});
});

function sendAsText(value: unknown): unknown {
	const text = JSON.stringify(value);
	return JSON.parse(text);
}
