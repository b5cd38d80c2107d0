/**
 * Adds what agents hold of a ticket to its record, for the last seconds before its home was lost.
 */
import {TaskOutcome, type HeldTask, type TaskResult} from '../generated/kingcuplane.js';
import type {
	AttemptRecord, AttemptOutcome, SubmissionRecord, TaskRecord, Ticket,
} from './types.js';

/** Stands for a name that was lost with the home. */
export const unknownName = 'unknown';

/** Adds what `held` tells to `base` and gives it back. Without a base, all but the tasks and the caller is unknown. */
export function mergeHeldTasks(base: SubmissionRecord | undefined, ticket: Ticket, held: readonly HeldTask[]): SubmissionRecord {
	const fate = base ?? createLostFate(ticket, held);
	for (const heldTask of held) {
		mergeTask(fate, heldTask);
	}

	return fate;
}

function createLostFate(ticket: Ticket, held: readonly HeldTask[]): SubmissionRecord {
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

function mergeTask(fate: SubmissionRecord, held: HeldTask): void {
	const index = held.task?.index ?? 0;
	const task = fate.tasks.get(index) ?? {index, attempts: []};
	fate.tasks.set(index, task);
	const attempt = findAttempt(task, held) ?? addAttempt(task, held);
	if (held.result !== undefined && isOpen(attempt)) {
		Object.assign(attempt, toEnd(held.result, held.startedAt));
	}
}

/** A running task does not tell its attempt: it is the one whose end is not recorded. */
function findAttempt(task: TaskRecord, {result}: HeldTask): AttemptRecord | undefined {
	return result === undefined
		? task.attempts.find(attempt => isOpen(attempt))
		: task.attempts.find(({attempt}) => attempt === result.attempt);
}

function addAttempt(task: TaskRecord, held: HeldTask): AttemptRecord {
	const attempt: AttemptRecord = {
		attempt: held.result?.attempt ?? task.attempts.length + 1, agent: unknownName, upstream: unknownName, sentAt: held.startedAt,
	};
	task.attempts.push(attempt);
	return attempt;
}

function isOpen({outcome}: AttemptRecord): boolean {
	return outcome === undefined || outcome === 'unknown';
}

function toEnd(result: TaskResult, startedAt: number): Partial<AttemptRecord> {
	const outcome = toOutcome(result.outcome);
	const isRun = outcome === 'completed' || outcome === 'failed';
	return {
		outcome,
		endedAt: startedAt + result.runMs,
		detail: result.detail,
		...(isRun ? {runMs: result.runMs} : {}),
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
