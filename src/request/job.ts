/**
 * The state of one accepted submission: which tasks wait, were sent and have ended, and the answer that
 * follows from it. The answer is complete or failed, never partial, and is decided once.
 */
import {assert, assertNever} from '../process/debug.js';
import type {Milliseconds} from '../process/clock.js';
import type {Diagnostic} from '../process/diagnostics.js';
import type {Answer, ExecutionStatus} from './types.js';

/** Why a job ends without being complete. */
export type JobFailure = {
	readonly diagnostic: Diagnostic;
	readonly retryAfter?: Milliseconds;
};

/** What one attempt came to. */
export type AttemptEnd =
	| {readonly kind: 'completed'; readonly payload: Uint8Array}
	/** The upstream answered with a failure. */
	| {readonly kind: 'failed'; readonly failure: JobFailure}
	/** It may have run; its end will not be known. */
	| {readonly kind: 'unknown'; readonly failure: JobFailure}
	/** It may have run; its end will not be known, and it is tried again because it is idempotent. */
	| {readonly kind: 'retried'}
	/** It was not started and never will be under this attempt. */
	| {readonly kind: 'refused'};

/** Assembles the answer of one job. */
export type Job = {
	readonly taskCount: number;
	/** Records that an attempt was sent. */
	markSent(index: number, attempt: number): void;
	/** Records the end of an attempt; false if the attempt is not the one under way. */
	markEnded(index: number, attempt: number, end: AttemptEnd): boolean;
	/** Fails the job unless it has its answer. */
	fail(failure: JobFailure): void;
	/** The final answer, once it is decided. It never changes. */
	tryGetAnswer(): Answer | undefined;
	/** Whether any task was started, as far as is known now. */
	getExecutionStatus(): ExecutionStatus;
};

type TaskState	= | {readonly kind: 'waiting'}
	| {readonly kind: 'sent'; readonly attempt: number}
	| {readonly kind: 'completed'; readonly payload: Uint8Array}
	| {readonly kind: 'failed'}
	| {readonly kind: 'unknown'};

const waiting: TaskState = {kind: 'waiting'};

/** Creates a job whose tasks all wait. */
export function createJob(taskCount: number): Job {
	const tasks: TaskState[] = Array.from({length: taskCount}, () => waiting);
	let completed = 0;
	let mayHaveRun = false;
	let answer: Answer | undefined;

	return {
		taskCount,
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
		fail,
		tryGetAnswer: () => answer,
		getExecutionStatus: getRan,
	};

	function apply(index: number, end: AttemptEnd): void {
		switch (end.kind) {
			case 'completed': {
				tasks[index] = end;
				completed++;
				completeIfWhole();
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

	function completeIfWhole(): void {
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
		answer ??= {state: 'failed', ran: getRan(), ...failure};
	}

	function getRan(): ExecutionStatus {
		if (tasks.some(task => task.kind === 'completed' || task.kind === 'failed')) {
			return 'ran';
		}

		const isUntouched = !mayHaveRun && tasks.every(task => task.kind === 'waiting');
		return isUntouched ? 'not-run' : 'may-have-run';
	}
}
