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

const fates: ReadonlyMap<string, SubmissionRecord> = new Map([
	['finished', createFinishedRecord()],
	['refused', createRefusedRecord()],
	['cancelled', createCancelledRecord()],
	['failed', createFailedRecord()],
]);

describe('fate trail', () => {
	for (const [name, fate] of fates) {
		it(`tells the story of a ${name} job`, t => {
			compareWithBaseline(t, `fate/${name}.txt`, formatRecord(fate));
		});

		it(`is the same after the JSON form of a ${name} job`, t => {
			const json = sendAsText(toRecordJson(fate));
			t.deepEqual(formatRecord(fromRecordJson(json)._unsafeUnwrap()), formatRecord(fate));
		});
	}

	it('says where a report came from and what is not known', t => {
		const report: RecordReport = {
			ticket: 'kc1.42.7.0.cmVhZC10aGUtZG9j', fate: undefined, sources: ['agents'], mayChange: true, unknown: ['The entry 42 did not answer.'],
		};
		const json = sendAsText(toRecordReportJson(report));
		const read = fromRecordReportJson(json)._unsafeUnwrap();
		compareWithBaseline(t, 'fate/unknown.txt', formatRecordReport(read));
	});
});

describe('fate conclusion', () => {
	const answer = {state: 'failed', ran: 'may-have-run', at: acceptedAt + 300} as const;

	it('counts a second certain start', t => {
		const tasks = createTasks({index: 0, attempts: [createAttempt(), createAttempt({attempt: 2})]});
		t.is(describeConclusion(createRecord({taskCount: 1, answer, tasks})), 'RAN MORE THAN ONCE: 1 task ran more than once.');
	});

	it('does not call a doubtful second start certain', t => {
		const tasks = createTasks({index: 0, attempts: [createAttempt({outcome: 'unknown'}), createAttempt({attempt: 2})]});
		t.is(describeConclusion(createRecord({taskCount: 1, answer, tasks})), 'RAN, AND MAY HAVE RUN TWICE: 1 task ran and may have run again.');
	});

	it('takes a start without an end for one that may have run', t => {
		const tasks = createTasks({index: 0, attempts: [createAttempt({outcome: undefined})]});
		t.is(describeConclusion(createRecord({taskCount: 2, answer, tasks})), 'MAY HAVE RUN: 1 task may have run, 1 task not run.');
	});

	it('does not call a task without a recorded start not started while no answer stands', t => {
		const tasks = createTasks({index: 0, attempts: [createAttempt()]});
		t.is(describeConclusion(createRecord({taskCount: 3, tasks}), false), 'NO ANSWER RECORDED: 1 task ran once, 2 tasks without a recorded start.');
	});

	it('shows an answer that the trail contradicts', t => {
		const tasks = createTasks({index: 0, attempts: [createAttempt()]});
		const fate = createRecord({taskCount: 1, answer: {...answer, ran: 'not-run'}, tasks});
		t.true(formatRecord(fate).some(text => text.startsWith('FAULT')));
	});

	it('relies on the answer where detail was dropped', t => {
		t.regex(describeConclusion(createRecord({answer, detailDropped: true})), /^MAY HAVE RUN/v);
	});
});

describe('fate JSON', () => {
	it('refuses unknown keys and names the place', t => {
		const json = {...toRecordJson(createFinishedRecord()), extra: 1};
		const fault = fromRecordJson(json)._unsafeUnwrapErr();
		t.is(fault.kind, 'FateMalformed');
		t.regex(fault.message, /extra/v);
	});
});

function sendAsText(value: unknown): unknown {
	const text = JSON.stringify(value);
	return JSON.parse(text);
}
