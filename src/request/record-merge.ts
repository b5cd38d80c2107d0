/**
 * Merges the tasks that agents retain for a ticket into its record. The saved record of a lost coordinator lacks the
 * changes of its last seconds.
 */
import {TaskOutcome, type HeldTask, type TaskResult} from '../generated/kingcuplane.js';
import type {
	AttemptRecord, AttemptOutcome, SubmissionRecord, TaskRecord, Ticket,
} from './types.js';

/** Placeholder for a name that was lost with the coordinator. */
export const unknownName = 'unknown';

/**
 * Merges `held` into `base` and returns it. Without `base`, returns a record in which all but the tasks and the caller
 * is unknown.
 */
export function mergeHeldTasks(base: SubmissionRecord | undefined, ticket: Ticket, held: readonly HeldTask[]): SubmissionRecord {
	const record = base ?? createUnsavedRecord(ticket, held);
	for (const heldTask of held) {
		mergeTask(record, heldTask);
	}

	return record;
}

function createUnsavedRecord(ticket: Ticket, held: readonly HeldTask[]): SubmissionRecord {
	return {
		ticket,
		entry: unknownName,
		caller: held[0]?.caller ?? unknownName,
		team: unknownName,
		submission: unknownName,
		service: unknownName,
		reference: '',
		configVersion: 0,
		taskCount: Math.max(...held.map(task => task.taskCount)),
		acceptedAt: Math.min(...held.map(task => task.startedAt)),
		deliveries: [],
		tasks: new Map(),
		detailDropped: false,
	};
}

function mergeTask(record: SubmissionRecord, held: HeldTask): void {
	const index = held.task?.index ?? 0;
	const task = record.tasks.get(index) ?? {index, attempts: []};
	record.tasks.set(index, task);
	const attempt = findAttempt(task, held) ?? addAttempt(task, held);
	if (held.result !== undefined && isOutcomeUnknown(attempt)) {
		Object.assign(attempt, toAttemptChanges(held.result, held.startedAt));
	}
}

/**
 * Finds the attempt of a retained task. A running task has no attempt number: its attempt is one without a known
 * outcome.
 */
function findAttempt(task: TaskRecord, {result}: HeldTask): AttemptRecord | undefined {
	return result === undefined
		? task.attempts.find(attempt => isOutcomeUnknown(attempt))
		: task.attempts.find(({attempt}) => attempt === result.attempt);
}

function addAttempt(task: TaskRecord, held: HeldTask): AttemptRecord {
	const attempt: AttemptRecord = {
		attempt: held.result?.attempt ?? task.attempts.length + 1, agent: unknownName, upstream: unknownName, sentAt: held.startedAt,
	};
	task.attempts.push(attempt);
	return attempt;
}

function isOutcomeUnknown({outcome}: AttemptRecord): boolean {
	return outcome === undefined || outcome === 'unknown';
}

function toAttemptChanges(result: TaskResult, startedAt: number): Partial<AttemptRecord> {
	const outcome = toOutcome(result.outcome);
	const hasRun = outcome === 'completed' || outcome === 'failed';
	return {
		outcome,
		endedAt: startedAt + result.runMs,
		detail: result.detail,
		...(hasRun ? {runMs: result.runMs} : {}),
	};
}

function toOutcome(outcome: TaskOutcome): AttemptOutcome {
	switch (outcome) {
		case TaskOutcome.TASK_OUTCOME_COMPLETED: {
			return 'completed';
		}

		case TaskOutcome.TASK_OUTCOME_FAILED: {
			return 'failed';
		}

		case TaskOutcome.TASK_OUTCOME_REFUSED: {
			return 'refused';
		}

		case TaskOutcome.TASK_OUTCOME_ABORTED:
		case TaskOutcome.TASK_OUTCOME_UNKNOWN:
		case TaskOutcome.TASK_OUTCOME_UNSPECIFIED:
		case TaskOutcome.UNRECOGNIZED: {
			return 'unknown';
		}
	}
}
