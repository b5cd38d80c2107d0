/**
 * A submission under its ticket, from its first copy until its answer is forgotten.
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
	/** Whether any task was started, as far as is known now. */
	getExecutionStatus(): ExecutionStatus;
	tryGetAnswer(): Answer | undefined;
	/** Calls `action` with the answer, at once if it stands; the returned function withdraws the call. */
	whenAnswered(action: (answer: Answer) => void): () => void;
};

/** What the home keeps of a submission. */
export type TrackedJob = JobHandle & {
	readonly job: Job;
	readonly requestDigest: string;
	/** Time on the monotonic clock. */
	readonly receivedAt: Milliseconds;
	answer?: Answer;
	readonly listeners: Set<(answer: Answer) => void>;
};

/** Creates the record of a request whose ticket was just claimed. */
export function createTrackedJob(caller: Caller, req: SubmissionRequest, takenAt: Milliseconds): TrackedJob {
	const record: TrackedJob = {
		ticket: req.ticket,
		owner: caller.name,
		taskCount: req.payloads.length,
		submission: req.submission,
		reference: req.reference,
		getExecutionStatus: () => record.job.getExecutionStatus(),
		job: createJob(req.payloads.length),
		requestDigest: req.digest,
		receivedAt: takenAt,
		listeners: new Set(),
		tryGetAnswer: () => record.answer,
		whenAnswered(action) {
			if (record.answer === undefined) {
				record.listeners.add(action);
			} else {
				action(record.answer);
			}

			return () => {
				record.listeners.delete(action);
			};
		},
	};
	return record;
}

