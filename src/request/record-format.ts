/**
 * Formats the record of one submission as a plain-text trail for support engineers.
 */
import type {Milliseconds} from '../process/clock.js';
import {unknownName} from './record-merge.js';
import type {
	AnswerRecord, AttemptRecord, RecordReport, RecordSource, SubmissionRecord, TaskRecord,
} from './types.js';

/** A job with more tasks than this is shown as a summary and a list of only the tasks that stand out. */
const maxTasksInFull = 16;

/** Maximum number of tasks that are listed individually. */
const maxTasksListed = 40;

/** Width of the label column, in characters. */
const labelWidth = 13;

/** What the attempts of one task prove about its starts. */
type TaskStarts = {
	/** Attempts that ended as completed or failed. */
	readonly certain: number;
	/** Attempts whose outcome is not known. */
	readonly possible: number;
};

/** Number of tasks of one job, by what is known of their starts. */
type JobStarts = {
	/** Tasks that ran exactly once. */
	readonly once: number;
	/** Tasks that ran more than once. */
	readonly repeated: number;
	/** Tasks that ran once and may have run again. */
	readonly maybeRepeated: number;
	/** Tasks that may have run. */
	readonly maybe: number;
	/** Tasks that were not run. */
	readonly none: number;
};

/** Formats the complete current record, which may still change, as lines of text with the conclusion near the top. */
export function formatRecord(record: SubmissionRecord): readonly string[] {
	return formatRecordLines(record, true);
}

/** Formats a report as lines of text: the record, its sources, and what is not known. */
export function formatRecordReport(report: RecordReport): readonly string[] {
	const lines = report.fate === undefined
		? [line('Ticket', report.ticket), line('Conclusion', 'UNKNOWN: no record of this ticket was found.')]
		: formatRecordLines(report.fate, report.mayChange);
	return [
		...lines,
		...report.sources.map(source => line('Source', describeSource(source))),
		...(report.mayChange ? [line('Note', 'This record may still change; ask again later.')] : []),
		...report.unknown.map(sentence => line('Not known', sentence)),
	];
}

function formatRecordLines(record: SubmissionRecord, mayChange: boolean): readonly string[] {
	return [
		line('Ticket', record.ticket.text),
		line('Conclusion', describeConclusion(record, mayChange)),
		...formatContradiction(record),
		...formatAcceptance(record),
		...formatCancellation(record),
		...formatAnswer(record, mayChange),
		...formatDeliveries(record),
		...formatTasks(record),
	];
}

/** Returns a sentence on whether the work ran: not at all, once, more than once, or unknown. */
export function describeConclusion(record: SubmissionRecord, mayChange = true): string {
	const {answer} = record;
	if (answer === undefined) {
		return mayChange
			? `NOT FINISHED: no answer is recorded yet; ${describeProgress(record)}.`
			: `NO ANSWER RECORDED: ${describeProgress(record)}.`;
	}

	if (answer.state === 'refused') {
		return answer.ran === 'not-run'
			? 'NOT RUN: the submission was refused, and none of its tasks was started.'
			: `REFUSED, but the answer says "${answer.ran}".`;
	}

	return record.detailDropped ? describeConclusionFromAnswer(record, answer) : describeConclusionFromTasks(record, answer);
}

function describeConclusionFromAnswer(record: SubmissionRecord, answer: AnswerRecord): string {
	const suffix = 'the detail of each task was dropped to save memory';
	switch (answer.ran) {
		case 'not-run': {
			return `NOT RUN: no task was started; ${suffix}.`;
		}

		case 'ran': {
			return answer.state === 'complete'
				? `RAN: ${describeAll(record.taskCount)} completed; ${suffix}.`
				: `RAN: at least one task ran, and no start is in doubt; ${suffix}.`;
		}

		case 'may-have-run': {
			return `MAY HAVE RUN: the end of at least one start is not known; ${suffix}.`;
		}
	}
}

function describeConclusionFromTasks(record: SubmissionRecord, answer: AnswerRecord): string {
	const starts = countJobStarts(record);
	const parts = describeJobStarts(starts);
	if (starts.repeated > 0) {
		return `RAN MORE THAN ONCE: ${parts}.`;
	}

	if (starts.maybeRepeated > 0) {
		return `RAN, AND MAY HAVE RUN TWICE: ${parts}.`;
	}

	if (starts.maybe > 0) {
		return `MAY HAVE RUN: ${parts}.`;
	}

	if (starts.once === 0) {
		return `NOT RUN: ${describeAll(record.taskCount)} ${record.taskCount === 1 ? 'was' : 'were'} never started.`;
	}

	if (starts.none > 0) {
		return `RAN IN PART: ${parts}.`;
	}

	return `RAN ONCE: ${describeAll(record.taskCount)} ran exactly once, and the answer is ${answer.state}.`;
}

/**
 * Describes a job without an answer. A task without a recorded start may have been started since the record was saved.
 */
function describeProgress(record: SubmissionRecord): string {
	const starts = countJobStarts(record);
	if (starts.once === record.taskCount) {
		return `${describeAll(record.taskCount)} ran exactly once`;
	}

	const {none, ...started} = starts;
	const parts = [describeJobStarts({...started, none: 0}), describeCount(none, 'without a recorded start')];
	return parts.filter(part => part !== '').join(', ');
}

function describeJobStarts(starts: JobStarts): string {
	const parts = [
		describeCount(starts.repeated, 'ran more than once'),
		describeCount(starts.maybeRepeated, 'ran and may have run again'),
		describeCount(starts.once, 'ran once'),
		describeCount(starts.maybe, 'may have run'),
		describeCount(starts.none, 'not run'),
	];
	return parts.filter(part => part !== '').join(', ');
}

function describeCount(tasks: number, what: string): string {
	return tasks === 0 ? '' : `${tasks} ${tasks === 1 ? 'task' : 'tasks'} ${what}`;
}

function describeAll(taskCount: number): string {
	return taskCount === 1 ? 'the task' : `all ${taskCount} tasks`;
}

function countJobStarts(record: SubmissionRecord): JobStarts {
	const counts = {
		once: 0, repeated: 0, maybeRepeated: 0, maybe: 0, none: record.taskCount - record.tasks.size,
	};
	for (const task of record.tasks.values()) {
		counts[classify(countTaskStarts(task))]++;
	}

	return counts;
}

function countTaskStarts(task: TaskRecord): TaskStarts {
	return {
		certain: task.attempts.filter(({outcome}) => outcome === 'completed' || outcome === 'failed').length,
		possible: task.attempts.filter(({outcome}) => outcome === undefined || outcome === 'unknown').length,
	};
}

function classify({certain, possible}: TaskStarts): keyof JobStarts {
	if (certain > 1) {
		return 'repeated';
	}

	if (certain === 1) {
		return possible > 0 ? 'maybeRepeated' : 'once';
	}

	return possible > 0 ? 'maybe' : 'none';
}

/**
 * Reports a contradiction between the answer and the attempts. It is a defect of this system and must be visible to the
 * engineer.
 */
function formatContradiction(record: SubmissionRecord): readonly string[] {
	const {answer} = record;
	if (answer === undefined || record.detailDropped) {
		return [];
	}

	const starts = countJobStarts(record);
	const ranCount = starts.once + starts.repeated + starts.maybeRepeated;
	if (answer.ran === 'not-run' && ranCount + starts.maybe > 0) {
		return [line('FAULT', 'The answer says "not run", but the trail shows starts. Report this.')];
	}

	if (answer.state === 'complete' && ranCount < record.taskCount) {
		return [line('FAULT', 'The answer is complete, but the trail lacks the end of some tasks. Report this.')];
	}

	return [];
}

function formatAcceptance(record: SubmissionRecord): readonly string[] {
	const tasks = `${record.taskCount} ${record.taskCount === 1 ? 'task' : 'tasks'}`;
	if (record.entry === unknownName) {
		return [
			line('Accepted', `before ${formatTime(record.acceptedAt)} by the entry with incarnation ${record.ticket.incarnation}`),
			line('Submission', `${tasks}; its caller, name and configuration version were lost with the entry`),
		];
	}

	const verb = record.answer?.state === 'refused' ? 'Refused' : 'Accepted';
	const reference = record.reference === '' ? 'no reference of its own' : `reference "${record.reference}"`;
	return [
		line(verb, `${formatTime(record.acceptedAt)} by entry ${record.entry} (incarnation ${record.ticket.incarnation}) under configuration version ${record.configVersion}`),
		line('Caller', `${record.caller}, team ${record.team}, ${reference}`),
		line('Submission', `${record.submission}, service ${record.service}, ${tasks}`),
	];
}

function formatCancellation(record: SubmissionRecord): readonly string[] {
	if (record.cancelledBy === undefined) {
		return [];
	}

	const at = record.cancelledAt === undefined ? '' : `${formatTime(record.cancelledAt)} `;
	return [line('Cancelled', `${at}by ${record.cancelledBy}`)];
}

function formatAnswer(record: SubmissionRecord, mayChange: boolean): readonly string[] {
	const {answer} = record;
	if (answer === undefined) {
		return [line('Answer', mayChange ? 'none yet' : 'none recorded')];
	}

	const summary = line('Answer', `${answer.state} (${answer.ran}) at ${formatTime(answer.at)}, ${formatDuration(answer.at - record.acceptedAt)} after the request`);
	return answer.diagnostic === undefined
		? [summary]
		: [
			summary,
			line('Reason', `KC${answer.diagnostic.code} ${answer.diagnostic.message}`),
			line('Remedy', answer.diagnostic.remedy),
		];
}

function formatDeliveries(record: SubmissionRecord): readonly string[] {
	if (record.deliveries.length > 0) {
		return record.deliveries.map(({at, via}) => line('Delivered', `${formatTime(at)} through entry ${via}`));
	}

	return record.answer === undefined ? [] : [line('Delivered', 'not yet recorded')];
}

function formatTasks(record: SubmissionRecord): readonly string[] {
	if (record.detailDropped) {
		return [line('Tasks', `${record.taskCount}; detail was dropped to stay within the memory bound`)];
	}

	const tasks = [...record.tasks.values()].toSorted((a, b) => a.index - b.index);
	const unsent = record.taskCount - tasks.length;
	const listed = record.taskCount > maxTasksInFull ? tasks.filter(task => !isOrdinary(task)) : tasks;
	return [
		...formatSummary(record, tasks),
		...listed.slice(0, maxTasksListed).flatMap(task => formatTask(task, record)),
		...(listed.length > maxTasksListed ? [`  and ${listed.length - maxTasksListed} more tasks that stand out`] : []),
		...(unsent > 0 ? [`  ${describeCount(unsent, record.answer === undefined ? 'without a recorded start' : 'never sent to an agent')}`] : []),
	];
}

function formatSummary(record: SubmissionRecord, tasks: readonly TaskRecord[]): readonly string[] {
	if (record.taskCount <= maxTasksInFull) {
		return [line('Tasks', String(record.taskCount))];
	}

	const ordinary = tasks.filter(task => isOrdinary(task));
	const runs = ordinary.map(task => task.attempts[0]?.runMs ?? 0).toSorted((a, b) => a - b);
	const times = runs.length === 0
		? ''
		: `, run time ${formatDuration(runs[0]!)} to ${formatDuration(runs.at(-1)!)}, median ${formatDuration(runs[Math.floor(runs.length / 2)]!)}`;
	const upstreams = new Set(tasks.flatMap(task => task.attempts.map(attempt => attempt.upstream)));
	return [
		line('Tasks', `${record.taskCount}, sent to ${upstreams.size} upstreams`),
		`  ${describeCount(ordinary.length, `completed on the first attempt${times}`) || 'no task completed on the first attempt'}`,
	];
}

function isOrdinary(task: TaskRecord): boolean {
	return task.attempts.length === 1 && task.attempts[0]?.outcome === 'completed';
}

function formatTask(task: TaskRecord, record: SubmissionRecord): readonly string[] {
	return task.attempts.map(attempt => `  task ${task.index} attempt ${attempt.attempt}: ${formatAttempt(attempt, record)}`);
}

function formatAttempt(attempt: AttemptRecord, record: SubmissionRecord): string {
	const sent = `sent ${formatOffset(attempt.sentAt, record)} to agent ${attempt.agent} beside upstream ${attempt.upstream}`;
	const ended = attempt.endedAt === undefined ? '' : ` ${formatOffset(attempt.endedAt, record)}`;
	const run = attempt.runMs === undefined ? '' : ` (run time ${formatDuration(attempt.runMs)})`;
	const detail = attempt.detail === undefined || attempt.detail === '' ? '' : `: ${attempt.detail}`;
	return `${sent}; ${describeOutcome(attempt, record)}${ended}${run}${detail}`;
}

function describeOutcome({outcome}: AttemptRecord, record: SubmissionRecord): string {
	switch (outcome) {
		case 'completed':
		case 'failed': {
			return outcome;
		}

		case 'unknown': {
			return 'end not known, may have run';
		}

		case 'refused': {
			return 'refused by the agent, not started';
		}

		case undefined: {
			return record.answer === undefined ? 'no end recorded yet' : 'no end recorded, may have run';
		}
	}
}

function describeSource(source: RecordSource): string {
	switch (source) {
		case 'own': {
			return 'memory of the entry that was asked';
		}

		case 'home': {
			return 'memory of the entry that accepted the submission';
		}

		case 'store': {
			return 'record saved at the platform';
		}

		case 'agents': {
			return 'what the agents still hold';
		}
	}
}

function line(label: string, text: string): string {
	return `${label.padEnd(labelWidth)}${text}`;
}

function formatTime(at: Milliseconds): string {
	return new Date(at).toISOString().replace('T', ' ').replace('Z', ' UTC');
}

function formatOffset(at: Milliseconds, record: SubmissionRecord): string {
	const offset = Math.round(at - record.acceptedAt);
	return `${offset < 0 ? '' : '+'}${offset} ms`;
}

function formatDuration(duration: Milliseconds): string {
	return duration < 10_000 ? `${Math.round(duration)} ms` : `${(duration / 1000).toFixed(1)} s`;
}
