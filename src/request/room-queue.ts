/**
 * The order among waiting jobs where the worth of an answer falls once its objective has passed. Answers the
 * pattern of a short overload: jobs that can still meet their objective go first, the one with least slack ahead;
 * the rest follow, shortest first, so that a backlog costs as few late answers as possible.
 */
import type {QueuedJob, QueuedTask} from '../connection/types.js';
import type {Milliseconds} from '../process/clock.js';

/** A job with tasks that wait for room. */
export type RoomJob = {
	readonly job: QueuedJob;
	/** Tasks that wait, in the order in which they start. */
	readonly tasks: QueuedTask[];
};

/** Time on the monotonic clock by which a job meets its objective. */
export function getObjectiveAt(job: QueuedJob): Milliseconds {
	return job.objective === undefined
		? job.deadlineAt
		: job.arrivedAt + (job.objective.stretch * job.expectedRun) + job.objective.margin;
}

/** Time that a job can still wait and meet its objective; negative if it is too late for that. */
export function getSlack(job: QueuedJob, now: Milliseconds): Milliseconds {
	return getObjectiveAt(job) - now - job.expectedRun;
}

/** Whether its answer could come before its deadline if all its tasks started now. */
export function isFeasible(job: QueuedJob, now: Milliseconds): boolean {
	return now + (job.expectedRun * leastRunShare) <= job.deadlineAt;
}

/** Declared run times are off by up to 40 %, so a job is given up only if even a run that much shorter would be late. */
const leastRunShare = 0.6;

/** Sorts jobs by who starts first. */
export function orderJobs(jobs: Iterable<RoomJob>, now: Milliseconds): RoomJob[] {
	return [...jobs].toSorted((a, b) => compareJobs(a.job, b.job, now));
}

function compareJobs(a: QueuedJob, b: QueuedJob, now: Milliseconds): number {
	const slackOfA = getSlack(a, now);
	const slackOfB = getSlack(b, now);
	if ((slackOfA >= 0) !== (slackOfB >= 0)) {
		return slackOfA >= 0 ? -1 : 1;
	}

	return slackOfA >= 0 ? slackOfA - slackOfB : a.expectedRun - b.expectedRun;
}
