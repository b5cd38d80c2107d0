/**
 * The readable trail of one submission: what became of it, for a support engineer.
 */
import type {Milliseconds} from '../process/clock.js';
import {unknownName} from './record-merge.js';
import type {
	AnswerRecord, AttemptRecord, RecordReport, RecordSource, SubmissionRecord, TaskRecord,
} from './types.js';

/** Jobs of more tasks than this show a summary and only the tasks that stand out. */
const maxTasksInFull = 16;

/** Most tasks that are listed one by one. */
const maxTasksListed = 40;

/** Width of the column of labels, in characters. */
const labelWidth = 13;

/** What the attempts of one task prove about its starts. */
type TaskStarts = {
	/** Attempts that ended as completed or failed. */
	readonly certain: number;
	/** Attempts whose end is not known. */
	readonly possible: number;
};

/** Tasks of one job by what is known of their starts. */
type JobStarts = {
	/** Tasks that ran exactly once. */
	readonly once: number;
	/** Tasks that ran more than once. */
	readonly repeated: number;
	/** Tasks that ran, and may have run again. */
	readonly maybeRepeated: number;
	/** Tasks that may have run. */
	readonly maybe: number;
	/** Tasks that were not run. */
	readonly none: number;
};

/** Writes the trail of a record that is known whole as it stands, one line each, conclusion near the top. */
export function formatRecord(fate: SubmissionRecord): readonly string[] {
	return formatTrail(fate, true);
}

/** Writes the trail of a report: the record, where it came from, and what is not known. */
export function formatRecordReport(report: RecordReport): readonly string[] {
	const trail = report.fate === undefined
		? [line('Ticket', report.ticket), line('Conclusion', 'UNKNOWN: no record of this ticket was found.')]
		: formatTrail(report.fate, report.mayChange);
	return [
		...trail,
		...report.sources.map(source => line('Source', describeSource(source))),
		...(report.mayChange ? [line('Note', 'This record may still change; ask again later.')] : []),
		...report.unknown.map(sentence => line('Not known', sentence)),
	];
}

function formatTrail(fate: SubmissionRecord, mayChange: boolean): readonly string[] {
	return [
		line('Ticket', fate.ticket.text),
		line('Conclusion', describeConclusion(fate, mayChange)),
		...formatContradiction(fate),
		...formatAcceptance(fate),
		...formatCancellation(fate),
		...formatAnswer(fate, mayChange),
		...formatDeliveries(fate),
		...formatTasks(fate),
	];
}

/** States in plain words whether the work ran: not, once, more than once, or not known. */
export function describeConclusion(fate: SubmissionRecord, mayChange = true): string {
	const {answer} = fate;
	if (answer === undefined) {
		return mayChange
			? `NOT FINISHED: no answer is recorded yet; ${describeProgress(fate)}.`
			: `NO ANSWER RECORDED: ${describeProgress(fate)}.`;
	}

	if (answer.state === 'refused') {
		return answer.ran === 'not-run'
			? 'NOT RUN: the submission was refused, and none of its tasks was started.'
			: `REFUSED, but the answer says "${answer.ran}".`;
	}

	return fate.detailDropped ? concludeFromAnswer(fate, answer) : concludeFromTasks(fate, answer);
}

function concludeFromAnswer(fate: SubmissionRecord, answer: AnswerRecord): string {
	const suffix = 'the detail of each task was dropped to save memory';
	switch (answer.ran) {
		case 'not-run': {
			return `NOT RUN: no task was started; ${suffix}.`;
		}

		case 'ran': {
			return answer.state === 'complete'
				? `RAN: ${describeAll(fate.taskCount)} completed; ${suffix}.`
				: `RAN: at least one task ran, and no start is in doubt; ${suffix}.`;
		}

		case 'may-have-run': {
			return `MAY HAVE RUN: the end of at least one start is not known; ${suffix}.`;
		}
	}
}

function concludeFromTasks(fate: SubmissionRecord, answer: AnswerRecord): string {
	const starts = countJobStarts(fate);
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
		return `NOT RUN: ${describeAll(fate.taskCount)} ${fate.taskCount === 1 ? 'was' : 'were'} never started.`;
	}

	if (starts.none > 0) {
		return `RAN IN PART: ${parts}.`;
	}

	return `RAN ONCE: ${describeAll(fate.taskCount)} ran exactly once, and the answer is ${answer.state}.`;
}

/** Without an answer, a task without a recorded start may have been started since the record was saved. */
function describeProgress(fate: SubmissionRecord): string {
	const starts = countJobStarts(fate);
	if (starts.once === fate.taskCount) {
		return `${describeAll(fate.taskCount)} ran exactly once`;
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

function countJobStarts(fate: SubmissionRecord): JobStarts {
	const counts = {
		once: 0, repeated: 0, maybeRepeated: 0, maybe: 0, none: fate.taskCount - fate.tasks.size,
	};
	for (const task of fate.tasks.values()) {
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

/** A record whose answer and attempts disagree is a fault of this system, and the engineer must see it. */
function formatContradiction(fate: SubmissionRecord): readonly string[] {
	const {answer} = fate;
	if (answer === undefined || fate.detailDropped) {
		return [];
	}

	const starts = countJobStarts(fate);
	const ranCount = starts.once + starts.repeated + starts.maybeRepeated;
	if (answer.ran === 'not-run' && ranCount + starts.maybe > 0) {
		return [line('FAULT', 'The answer says "not run", but the trail shows starts. Report this.')];
	}

	if (answer.state === 'complete' && ranCount < fate.taskCount) {
		return [line('FAULT', 'The answer is complete, but the trail lacks the end of some tasks. Report this.')];
	}

	return [];
}

function formatAcceptance(fate: SubmissionRecord): readonly string[] {
	const tasks = `${fate.taskCount} ${fate.taskCount === 1 ? 'task' : 'tasks'}`;
	if (fate.entry === unknownName) {
		return [
			line('Accepted', `before ${formatTime(fate.acceptedAt)} by the entry with incarnation ${fate.ticket.incarnation}`),
			line('Submission', `${tasks}; its caller, name and configuration version were lost with the entry`),
		];
	}

	const verb = fate.answer?.state === 'refused' ? 'Refused' : 'Accepted';
	const reference = fate.reference === '' ? 'no reference of its own' : `reference "${fate.reference}"`;
	return [
		line(verb, `${formatTime(fate.acceptedAt)} by entry ${fate.entry} (incarnation ${fate.ticket.incarnation}) under configuration version ${fate.configVersion}`),
		line('Caller', `${fate.caller}, team ${fate.team}, ${reference}`),
		line('Submission', `${fate.submission}, service ${fate.service}, ${tasks}`),
	];
}

function formatCancellation(fate: SubmissionRecord): readonly string[] {
	if (fate.cancelledBy === undefined) {
		return [];
	}

	const at = fate.cancelledAt === undefined ? '' : `${formatTime(fate.cancelledAt)} `;
	return [line('Cancelled', `${at}by ${fate.cancelledBy}`)];
}

function formatAnswer(fate: SubmissionRecord, mayChange: boolean): readonly string[] {
	const {answer} = fate;
	if (answer === undefined) {
		return [line('Answer', mayChange ? 'none yet' : 'none recorded')];
	}

	const summary = line('Answer', `${answer.state} (${answer.ran}) at ${formatTime(answer.at)}, ${formatDuration(answer.at - fate.acceptedAt)} after the request`);
	return answer.diagnostic === undefined
		? [summary]
		: [
			summary,
			line('Reason', `KC${answer.diagnostic.code} ${answer.diagnostic.message}`),
			line('Remedy', answer.diagnostic.remedy),
		];
}

function formatDeliveries(fate: SubmissionRecord): readonly string[] {
	if (fate.deliveries.length > 0) {
		return fate.deliveries.map(({at, via}) => line('Delivered', `${formatTime(at)} through entry ${via}`));
	}

	return fate.answer === undefined ? [] : [line('Delivered', 'not yet recorded')];
}

function formatTasks(fate: SubmissionRecord): readonly string[] {
	if (fate.detailDropped) {
		return [line('Tasks', `${fate.taskCount}; detail was dropped to stay within the memory bound`)];
	}

	const tasks = [...fate.tasks.values()].toSorted((a, b) => a.index - b.index);
	const unsent = fate.taskCount - tasks.length;
	const listed = fate.taskCount > maxTasksInFull ? tasks.filter(task => !isOrdinary(task)) : tasks;
	return [
		...formatSummary(fate, tasks),
		...listed.slice(0, maxTasksListed).flatMap(task => formatTask(task, fate)),
		...(listed.length > maxTasksListed ? [`  and ${listed.length - maxTasksListed} more tasks that stand out`] : []),
		...(unsent > 0 ? [`  ${describeCount(unsent, fate.answer === undefined ? 'without a recorded start' : 'never sent to an agent')}`] : []),
	];
}

function formatSummary(fate: SubmissionRecord, tasks: readonly TaskRecord[]): readonly string[] {
	if (fate.taskCount <= maxTasksInFull) {
		return [line('Tasks', String(fate.taskCount))];
	}

	const ordinary = tasks.filter(task => isOrdinary(task));
	const runs = ordinary.map(task => task.attempts[0]?.runMs ?? 0).toSorted((a, b) => a - b);
	const times = runs.length === 0
		? ''
		: `, run time ${formatDuration(runs[0]!)} to ${formatDuration(runs.at(-1)!)}, median ${formatDuration(runs[Math.floor(runs.length / 2)]!)}`;
	const upstreams = new Set(tasks.flatMap(task => task.attempts.map(attempt => attempt.upstream)));
	return [
		line('Tasks', `${fate.taskCount}, sent to ${upstreams.size} upstreams`),
		`  ${describeCount(ordinary.length, `completed on the first attempt${times}`) || 'no task completed on the first attempt'}`,
	];
}

function isOrdinary(task: TaskRecord): boolean {
	return task.attempts.length === 1 && task.attempts[0]?.outcome === 'completed';
}

function formatTask(task: TaskRecord, fate: SubmissionRecord): readonly string[] {
	return task.attempts.map(attempt => `  task ${task.index} attempt ${attempt.attempt}: ${formatAttempt(attempt, fate)}`);
}

function formatAttempt(attempt: AttemptRecord, fate: SubmissionRecord): string {
	const sent = `sent ${formatOffset(attempt.sentAt, fate)} to agent ${attempt.agent} beside upstream ${attempt.upstream}`;
	const ended = attempt.endedAt === undefined ? '' : ` ${formatOffset(attempt.endedAt, fate)}`;
	const run = attempt.runMs === undefined ? '' : ` (run time ${formatDuration(attempt.runMs)})`;
	const detail = attempt.detail === undefined || attempt.detail === '' ? '' : `: ${attempt.detail}`;
	return `${sent}; ${describeOutcome(attempt, fate)}${ended}${run}${detail}`;
}

function describeOutcome({outcome}: AttemptRecord, fate: SubmissionRecord): string {
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
			return fate.answer === undefined ? 'no end recorded yet' : 'no end recorded, may have run';
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

function formatOffset(at: Milliseconds, fate: SubmissionRecord): string {
	const offset = Math.round(at - fate.acceptedAt);
	return `${offset < 0 ? '' : '+'}${offset} ms`;
}

function formatDuration(duration: Milliseconds): string {
	return duration < 10_000 ? `${Math.round(duration)} ms` : `${(duration / 1000).toFixed(1)} s`;
}
