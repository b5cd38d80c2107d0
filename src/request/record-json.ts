/**
 * The JSON format of records in HTTP replies, the command line and saved blocks.
 * Times are wall clock times in milliseconds since 1970.
 */
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {createDiagnostic, Diagnostics, type Diagnostic} from '../process/diagnostics.js';
import type {RecordReport, SubmissionRecord} from './types.js';

const time = z.number();
const count = z.int().nonnegative();
const ran = z.enum(['not-run', 'ran', 'may-have-run']);

const diagnosticSchema = z.strictObject({
	code: z.int(),
	kind: z.string(),
	message: z.string(),
	remedy: z.string(),
	file: z.string().optional(),
	line: z.int().optional(),
});

const attemptSchema = z.strictObject({
	attempt: count,
	agent: z.string(),
	upstream: z.string(),
	sentAt: time,
	endedAt: time.optional(),
	outcome: z.enum(['completed', 'failed', 'unknown', 'refused']).optional(),
	detail: z.string().optional(),
	runMs: z.number().optional(),
});

const recordSchema = z.strictObject({
	ticket: z.strictObject({
		incarnation: z.string(),
		block: count,
		sequence: count,
		text: z.string(),
	}),
	entry: z.string(),
	caller: z.string(),
	team: z.string(),
	submission: z.string(),
	service: z.string(),
	reference: z.string(),
	configVersion: count,
	taskCount: count,
	acceptedAt: time,
	cancelledBy: z.string().optional(),
	cancelledAt: time.optional(),
	answer: z.strictObject({
		state: z.enum(['complete', 'failed', 'refused']),
		ran,
		diagnostic: diagnosticSchema.optional(),
		at: time,
	}).optional(),
	deliveries: z.array(z.strictObject({at: time, via: z.string()})),
	tasks: z.array(z.strictObject({index: count, attempts: z.array(attemptSchema)})),
	detailDropped: z.boolean(),
});

const reportSchema = z.strictObject({
	ticket: z.string(),
	fate: recordSchema.optional(),
	sources: z.array(z.enum(['own', 'home', 'store', 'agents'])),
	mayChange: z.boolean(),
	unknown: z.array(z.string()),
});

/** One record in JSON. `tasks` is a list in order of index. */
export type RecordJson = z.infer<typeof recordSchema>;

/** One record report in JSON. */
export type RecordReportJson = z.infer<typeof reportSchema>;

/**
 * Converts a record to JSON. The result shares objects with the record, so it must be serialized before the record
 * changes.
 */
export function toRecordJson(record: SubmissionRecord): RecordJson {
	const tasks = [...record.tasks.values()].toSorted((a, b) => a.index - b.index);
	return {...record, deliveries: record.deliveries, tasks};
}

/** Converts a record from JSON; fails with Fate_is_malformed on anything unexpected, including unknown keys. */
export function fromRecordJson(value: unknown): Result<SubmissionRecord, Diagnostic> {
	const parsed = recordSchema.safeParse(value);
	return parsed.success ? ok(toRecord(parsed.data)) : err(createMalformedDiagnostic(parsed.error));
}

/** Converts a report to JSON. */
export function toRecordReportJson(report: RecordReport): RecordReportJson {
	return {
		...report,
		fate: report.fate === undefined ? undefined : toRecordJson(report.fate),
		sources: [...report.sources],
		unknown: [...report.unknown],
	};
}

/** Converts a report from JSON; fails with Fate_is_malformed on anything unexpected. */
export function fromRecordReportJson(value: unknown): Result<RecordReport, Diagnostic> {
	const parsed = reportSchema.safeParse(value);
	if (!parsed.success) {
		return err(createMalformedDiagnostic(parsed.error));
	}

	const {fate: record, ...rest} = parsed.data;
	return ok({...rest, fate: record === undefined ? undefined : toRecord(record)});
}

function toRecord(json: RecordJson): SubmissionRecord {
	const tasks = new Map(json.tasks.map(task => [task.index, task]));
	return {...json, tasks};
}

function createMalformedDiagnostic(error: z.ZodError): Diagnostic {
	const issue = error.issues[0];
	const issuePath = issue === undefined ? '' : issue.path.join('.');
	return createDiagnostic(Diagnostics.Fate_is_malformed, `${issuePath === '' ? 'the record' : issuePath}: ${issue?.message ?? 'unreadable'}`);
}
