/**
 * The order of waiting jobs where the utility of an answer falls once its objective has passed. It is designed for an
 * overload, in which not all jobs can meet their objectives. Jobs that can still meet them go first. Among these,
 * started jobs precede the others, because a job of many tasks is complete only with its last task. Of the others the
 * newest go first, so that the jobs that are served meet their objectives, instead of all jobs being late. Jobs that
 * have become late follow, the shortest first.
 */
import type {QueuedJob, QueuedTask} from '../connection/types.js';
import type {Milliseconds} from '../process/clock.js';

/** A job with tasks that wait for resources. */
export type PendingJob = {
	readonly job: QueuedJob;
	/** Waiting tasks, in the order in which they start. */
	readonly tasks: QueuedTask[];
};

/** Returns the time on the monotonic clock by which a job must end to meet its objective. */
export function getObjectiveAt(job: QueuedJob): Milliseconds {
	return job.objective === undefined
		? job.deadlineAt
		: job.arrivedAt + (job.objective.stretch * job.expectedRun) + job.objective.margin;
}

/** Returns how long a job can still wait and meet its objective; negative if it cannot meet it any more. */
export function getSlack(job: QueuedJob, now: Milliseconds): Milliseconds {
	return getObjectiveAt(job) - now - job.expectedRun;
}

/** Whether the answer of a job could be in time for its deadline if all its tasks started now. */
export function isFeasible(job: QueuedJob, now: Milliseconds): boolean {
	return now + (job.expectedRun * minRunShare) <= job.deadlineAt;
}

/**
 * Declared run times are off by up to 40 %, so a job is infeasible only if even a run that much shorter would be late.
 */
const minRunShare = 0.6;

/** Whether any task of this job is running or has run. */
export function hasStarted({job, tasks}: PendingJob): boolean {
	return tasks.length < job.taskCount || tasks.some(task => task.failedOn !== undefined);
}

/**
 * Whether a job that has not started is no longer worth starting: its answer would have no utility or, behind a
 * persistent queue, would miss the objective. Jobs that can meet their objectives are served first, so under a lasting
 * overload no capacity is left for the others, and it is better to fail them at once.
 */
export function isObjectiveInfeasible(pending: PendingJob, now: Milliseconds, isQueuePersistent: boolean): boolean {
	const {job} = pending;
	const allowedTime = (getObjectiveAt(job) - job.arrivedAt) * (isQueuePersistent ? 1 : maxLateFactor);
	return job.objective !== undefined && !hasStarted(pending) && now + job.expectedRun > job.arrivedAt + allowedTime;
}

/** By the users' rules, an answer that takes up to three times its objective is late but still useful. */
const maxLateFactor = 3;

/** Sorts jobs in the order in which they start. */
export function sortByPriority(jobs: Iterable<PendingJob>, now: Milliseconds): PendingJob[] {
	return [...jobs].toSorted((a, b) => compareJobs(a, b, now));
}

function compareJobs(a: PendingJob, b: PendingJob, now: Milliseconds): number {
	const slackOfA = getSlack(a.job, now);
	const slackOfB = getSlack(b.job, now);
	if ((slackOfA >= 0) !== (slackOfB >= 0)) {
		return slackOfA >= 0 ? -1 : 1;
	}

	if (slackOfA < 0) {
		return a.job.expectedRun - b.job.expectedRun;
	}

	if (hasStarted(a) !== hasStarted(b)) {
		return hasStarted(a) ? -1 : 1;
	}

	return hasStarted(a) ? slackOfA - slackOfB : b.job.arrivedAt - a.job.arrivedAt;
}
