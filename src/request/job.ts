/**
 * The state of one accepted submission: which tasks are waiting, sent or ended, and the answer that results.
 * The answer is complete or failed, never partial, and does not change once it is set.
 */
import {assert, assertNever} from '../process/debug.js';
import type {Milliseconds} from '../process/clock.js';
import type {Diagnostic} from '../process/diagnostics.js';
import type {Answer, ExecutionStatus} from './types.js';

/** Why a job failed or was refused. */
export type JobFailure = {
	readonly diagnostic: Diagnostic;
	readonly retryAfter?: Milliseconds;
};

/** How one attempt ended, and what follows for its task. */
export type AttemptEnd =
	| {readonly kind: 'completed'; readonly payload: Uint8Array}
	/** The upstream answered with a failure. */
	| {readonly kind: 'failed'; readonly failure: JobFailure}
	/** It may have run; its outcome will not be known. */
	| {readonly kind: 'unknown'; readonly failure: JobFailure}
	/** It may have run, and the task is tried again: it is idempotent, or its run is certain to be over. */
	| {readonly kind: 'retried'}
	/** It was not started, and this attempt never will be. */
	| {readonly kind: 'refused'};

/** Assembles the answer of one job. */
export type Job = {
	readonly taskCount: number;
	/** Whether a task has not ended and is not running. */
	isWaiting(index: number): boolean;
	/** Records that an attempt was sent. */
	markSent(index: number, attempt: number): void;
	/** Records the end of an attempt. Returns false if this is not the task's current attempt. */
	markEnded(index: number, attempt: number, end: AttemptEnd): boolean;
	/** Records that a task of the job may have run under another ticket. */
	markRunBefore(): void;
	/** Fails the job unless it already has an answer. */
	fail(failure: JobFailure): void;
	/** Returns the final answer, or undefined if there is none yet. It never changes. */
	tryGetAnswer(): Answer | undefined;
	/** Returns whether any task was started, as far as is known now. */
	getExecutionStatus(): ExecutionStatus;
};

type TaskState	= | {readonly kind: 'waiting'}
	| {readonly kind: 'sent'; readonly attempt: number}
	| {readonly kind: 'completed'; readonly payload: Uint8Array}
	| {readonly kind: 'failed'}
	| {readonly kind: 'unknown'};

const waiting: TaskState = {kind: 'waiting'};

/** Creates a job whose tasks are all waiting. */
export function createJob(taskCount: number): Job {
	const tasks: TaskState[] = Array.from({length: taskCount}, () => waiting);
	let completed = 0;
	let mayHaveRun = false;
	let answer: Answer | undefined;

	return {
		taskCount,
		isWaiting: index => tasks[index]?.kind === 'waiting',
		markSent(index, attempt) {
			assert(tasks[index]?.kind === 'waiting', `task ${index} is sent only while it waits`);
			tasks[index] = {kind: 'sent', attempt};
		},
		markEnded(index, attempt, end) {
			const state = tasks[index];
			if (state?.kind !== 'sent' || state.attempt !== attempt) {
				return false;
			}

			apply(index, end);
			return true;
		},
		markRunBefore() {
			mayHaveRun = true;
		},
		fail,
		tryGetAnswer: () => answer,
		getExecutionStatus: computeExecutionStatus,
	};

	function apply(index: number, end: AttemptEnd): void {
		switch (end.kind) {
			case 'completed': {
				tasks[index] = end;
				completed++;
				completeIfAllDone();
				break;
			}

			case 'failed':
			case 'unknown': {
				tasks[index] = {kind: end.kind};
				fail(end.failure);
				break;
			}

			case 'retried': {
				tasks[index] = waiting;
				mayHaveRun = true;
				break;
			}

			case 'refused': {
				tasks[index] = waiting;
				break;
			}

			default: {
				assertNever(end);
			}
		}
	}

	function completeIfAllDone(): void {
		if (answer !== undefined || completed < taskCount) {
			return;
		}

		const payloads = tasks.map(task => {
			assert(task.kind === 'completed', 'a complete job has only completed tasks');
			return task.payload;
		});
		answer = {state: 'complete', ran: 'ran', payloads};
	}

	function fail(failure: JobFailure): void {
		answer ??= {state: 'failed', ran: computeExecutionStatus(), ...failure};
	}

	function computeExecutionStatus(): ExecutionStatus {
		if (tasks.some(task => task.kind === 'completed' || task.kind === 'failed')) {
			return 'ran';
		}

		const hasNotRun = !mayHaveRun && tasks.every(task => task.kind === 'waiting');
		return hasNotRun ? 'not-run' : 'may-have-run';
	}
}
