/**
 * A submission under its ticket, from its first copy until its answer is forgotten.
 */
import type {Milliseconds} from '../process/clock.js';
import {createJob, type Job} from './job.js';
import type {Caller, SubmissionRequest} from './submission-rules.js';
import type {Answer, Ran, Ticket} from './types.js';

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
	getRan(): Ran;
	tryGetAnswer(): Answer | undefined;
	/** Calls `action` with the answer, at once if it stands; the returned function withdraws the call. */
	whenAnswered(action: (answer: Answer) => void): () => void;
};

/** What the home keeps of a submission. */
export type JobRecord = JobHandle & {
	readonly job: Job;
	readonly digest: string;
	/** Time on the monotonic clock. */
	readonly takenAt: Milliseconds;
	answer?: Answer;
	readonly listeners: Set<(answer: Answer) => void>;
};

/** Creates the record of a request whose ticket was just claimed. */
export function createJobRecord(caller: Caller, req: SubmissionRequest, takenAt: Milliseconds): JobRecord {
	const record: JobRecord = {
		ticket: req.ticket,
		owner: caller.name,
		taskCount: req.payloads.length,
		submission: req.submission,
		reference: req.reference,
		getRan: () => record.job.getRan(),
		job: createJob(req.payloads.length),
		digest: req.digest,
		takenAt,
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

