/**
 * Submission records for the tests of this folder.
 */
import {createDiagnostic, Diagnostics} from '../../src/process/diagnostics.js';
import type {
	AttemptRecord, SubmissionInfo, SubmissionRecord, TaskRecord, Ticket,
} from '../../src/request/types.js';

/** Wall time at which the submissions of {@link createSubmissionInfo} are accepted. */
export const acceptedAt = Date.UTC(2026, 2, 4, 3, 30, 0, 125);

export function createTicket(sequence: number, block = 7, incarnation = '42'): Ticket {
	return {
		incarnation, block, sequence, text: ['kc1', incarnation, block.toString(36), sequence.toString(36), 'cmVhZC10aGUtZG9j'].join('.'),
	};
}

export function createSubmissionInfo(changes: Partial<SubmissionInfo> = {}): SubmissionInfo {
	return {
		ticket: createTicket(0),
		entry: 'makati-1',
		caller: 'ordering-app',
		team: 'lunch',
		submission: 'confirm-order',
		service: 'ordering',
		reference: 'order 4711',
		configVersion: 12,
		taskCount: 3,
		acceptedAt,
		...changes,
	};
}

export function createRecord(changes: Partial<SubmissionRecord> = {}): SubmissionRecord {
	return {
		...createSubmissionInfo(), deliveries: [], tasks: new Map(), detailDropped: false, ...changes,
	};
}

export function createAttempt(changes: Partial<AttemptRecord> = {}): AttemptRecord {
	return {
		attempt: 1, agent: 'kitchen-3/9', upstream: 'kitchen-3', sentAt: acceptedAt + 2, endedAt: acceptedAt + 214, outcome: 'completed', runMs: 210, ...changes,
	};
}

export function createTasks(...tasks: TaskRecord[]): Map<number, TaskRecord> {
	return new Map(tasks.map(task => [task.index, task]));
}

export function createFinishedRecord(): SubmissionRecord {
	return createRecord({
		answer: {state: 'complete', ran: 'ran', at: acceptedAt + 330},
		deliveries: [{at: acceptedAt + 331, via: 'bgc-1'}],
		tasks: createTasks(
			{index: 0, attempts: [createAttempt()]},
			{
				index: 1,
				attempts: [
					createAttempt({
						endedAt: acceptedAt + 4, outcome: 'refused', detail: 'draining', runMs: undefined,
					}),
					createAttempt({
						attempt: 2, agent: 'kitchen-4/2', upstream: 'kitchen-4', sentAt: acceptedAt + 5, endedAt: acceptedAt + 329, runMs: 322,
					}),
				],
			},
			{index: 2, attempts: [createAttempt()]},
		),
	});
}

export function createRefusedRecord(): SubmissionRecord {
	return createRecord({
		answer: {
			state: 'refused', ran: 'not-run', at: acceptedAt, diagnostic: createDiagnostic(Diagnostics.Queue_is_full, 'ordering', 2000),
		},
		deliveries: [{at: acceptedAt + 1, via: 'makati-1'}],
	});
}

export function createCancelledRecord(): SubmissionRecord {
	return createRecord({
		cancelledBy: 'ordering-app',
		cancelledAt: acceptedAt + 100,
		answer: {
			state: 'failed', ran: 'ran', at: acceptedAt + 101, diagnostic: createDiagnostic(Diagnostics.Job_was_cancelled, 'ordering-app'),
		},
		deliveries: [{at: acceptedAt + 102, via: 'makati-1'}],
		tasks: createTasks({index: 0, attempts: [createAttempt({endedAt: acceptedAt + 60, runMs: 55})]}),
	});
}

/** Creates the record of a large job that failed because the link to an agent was lost while it ran a task. */
export function createFailedRecord(): SubmissionRecord {
	const tasks = Array.from({length: 100}, (_, index): TaskRecord => ({
		index, attempts: [createAttempt({upstream: `kitchen-${index % 11}`, agent: `kitchen-${index % 11}/9`, runMs: 100 + index})],
	}));
	tasks[17] = {index: 17, attempts: [createAttempt({outcome: 'unknown', detail: 'the link to the agent was lost', runMs: undefined})]};
	tasks[40] = {index: 40, attempts: [createAttempt({outcome: 'failed', detail: 'status 500'})]};
	return createRecord({
		taskCount: 120,
		answer: {
			state: 'failed', ran: 'may-have-run', at: acceptedAt + 12_300, diagnostic: createDiagnostic(Diagnostics.Task_may_have_run, 17, 'kitchen-6', 'the link to the agent was lost'),
		},
		tasks: createTasks(...tasks),
	});
}
