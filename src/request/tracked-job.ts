/**
 * A submission in memory, from its first request until its answer is deleted.
 */
import type {Milliseconds} from '../process/clock.js';
import {createJob, type Job} from './job.js';
import type {Caller, SubmissionRequest} from './submission-rules.js';
import type {Answer, ExecutionStatus, Ticket} from './types.js';

/** A submission that has a final answer or will have one. */
export type JobHandle = {
	readonly ticket: Ticket;
	readonly owner: string;
	readonly taskCount: number;
	/** Name of its submission object. */
	readonly submission: string;
	/** The caller's own name for it. */
	readonly reference: string;
	/** Returns whether any task was started, as far as is known now. */
	getExecutionStatus(): ExecutionStatus;
	tryGetAnswer(): Answer | undefined;
	/** Calls `action` with the answer, immediately if there is one. The returned function unsubscribes. */
	whenAnswered(action: (answer: Answer) => void): () => void;
};

/** The coordinator's state of a submission. */
export type TrackedJob = JobHandle & {
	readonly job: Job;
	readonly requestDigest: string;
	/** Time on the monotonic clock. */
	readonly receivedAt: Milliseconds;
	answer?: Answer;
	readonly listeners: Set<(answer: Answer) => void>;
};

/** Creates the state of a request whose ticket was just claimed. */
export function createTrackedJob(caller: Caller, req: SubmissionRequest, now: Milliseconds): TrackedJob {
	const tracked: TrackedJob = {
		ticket: req.ticket,
		owner: caller.name,
		taskCount: req.payloads.length,
		submission: req.submission,
		reference: req.reference,
		getExecutionStatus: () => tracked.job.getExecutionStatus(),
		job: createJob(req.payloads.length),
		requestDigest: req.digest,
		receivedAt: now,
		listeners: new Set(),
		tryGetAnswer: () => tracked.answer,
		whenAnswered(action) {
			if (tracked.answer === undefined) {
				tracked.listeners.add(action);
			} else {
				action(tracked.answer);
			}

			return () => {
				tracked.listeners.delete(action);
			};
		},
	};
	return tracked;
}

