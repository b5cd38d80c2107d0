/**
 * The order among waiting jobs where the worth of an answer falls once its objective has passed. Answers the pattern of
 * an overload, in which not all jobs can meet their objectives: what is begun goes first, as a job of many tasks ends
 * with its last one; of the others the newest, so that those served are served in time instead of all being late.
 */
import type {QueuedJob, QueuedTask} from '../connection/types.js';
import type {Milliseconds} from '../process/clock.js';

/** A job with tasks that wait for room. */
export type PendingJob = {
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

/** Whether a task of this job runs or has run. */
export function hasStarted({job, tasks}: PendingJob): boolean {
	return tasks.length < job.taskCount || tasks.some(task => task.failedOn !== undefined);
}

/**
 * Whether it makes no sense to wait any longer for the first task: the answer could not come before it is of no use, or,
 * behind a standing queue, not by the objective. Whoever meets its objective is served first, so under a lasting
 * overload nothing is left for the others, and they had better hear of it at once.
 */
export function isObjectiveInfeasible(waiting: PendingJob, now: Milliseconds, isStanding: boolean): boolean {
	const {job} = waiting;
	const allowed = (getObjectiveAt(job) - job.arrivedAt) * (isStanding ? 1 : lateFactor);
	return job.objective !== undefined && !hasStarted(waiting) && now + job.expectedRun > job.arrivedAt + allowed;
}

/** An answer that takes up to three times its objective is late but of use, by the users' rules. */
const lateFactor = 3;

/** Sorts jobs by who starts first. */
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
