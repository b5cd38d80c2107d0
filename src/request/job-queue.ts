/**
 * The order in which the waiting tasks of one service start at one entry. First, capacity is shared among teams by
 * weight. Within a team, small jobs go before large ones, with ageing, so that no large job starves.
 */
import type {Milliseconds} from '../process/clock.js';
import type {QueuedTask, TeamShare} from '../connection/types.js';
import {getUrgency} from '../connection/urgency.js';

/** A job with waiting tasks. */
export type WaitingJob = {
	readonly ticket: string;
	readonly team: string;
	/** Key of its run times. */
	readonly runTimeKey: string;
	/** Amount of work, by which jobs are ordered; see `WaitingHead.size`. */
	readonly size: Milliseconds;
	/** Expected run time of one task. */
	readonly expectedRun: Milliseconds;
	readonly arrivedAt: Milliseconds;
	/** Waiting tasks; the last one starts first. */
	readonly tasks: QueuedTask[];
};

/** Waiting jobs of one service. */
export type JobQueue = {
	add(job: WaitingJob): void;
	tryGet(ticket: string): WaitingJob | undefined;
	remove(job: WaitingJob): void;
	/** Removes and returns the task that starts next; undefined if none waits or every waiting team is at its bound. */
	tryDequeue(now: Milliseconds): DequeuedTask | undefined;
	/** Returns the job whose task starts next. */
	tryGetHead(now: Milliseconds): WaitingJob | undefined;
	/** Returns the number of waiting tasks, including those of teams at their bound. */
	getTaskCount(): number;
	/** Returns the total expected run time of all waiting tasks. */
	getQueuedWork(): Milliseconds;
};

/** A task that was removed from the queue, with its job. */
export type DequeuedTask = {
	readonly job: WaitingJob;
	readonly task: QueuedTask;
};

/** Information about teams that the queue needs. */
export type JobQueueHost = {
	getShare(team: string): TeamShare;
	/** Returns the number of running tasks of the team. */
	getRunning(team: string): number;
};

/** Work by which a team may be ahead of its share before other teams take precedence. */
const maxShareLead: Milliseconds = 2000;

/** Jobs of one team by size class, each class from the oldest job to the newest. */
type TeamQueue = {
	readonly team: string;
	readonly classes: Map<number, Map<string, WaitingJob>>;
	/** Work dequeued so far divided by the weight of the team, comparable between teams. */
	served: Milliseconds;
};

/** Creates an empty queue. */
export function createJobQueue(host: JobQueueHost): JobQueue {
	const jobs = new Map<string, WaitingJob>();
	const teams = new Map<string, TeamQueue>();
	/** Lowest `served` of the waiting teams at the last choice; new teams start from it. */
	let minServed = 0;
	let taskCount = 0;
	let queuedWork = 0;

	return {
		add(job) {
			jobs.set(job.ticket, job);
			addToClass(getTeamQueue(job.team), job);
			taskCount += job.tasks.length;
			queuedWork += job.tasks.length * job.expectedRun;
		},
		tryGet: ticket => jobs.get(ticket),
		remove,
		tryDequeue(now) {
			const team = chooseTeam(now);
			if (team === undefined) {
				return undefined;
			}

			const job = chooseJob(team, now)!;
			const task = job.tasks.pop()!;
			taskCount--;
			queuedWork -= job.expectedRun;
			team.served += job.expectedRun / host.getShare(team.team).weight;
			if (job.tasks.length === 0) {
				remove(job);
			}

			return {job, task};
		},
		tryGetHead(now) {
			const team = chooseTeam(now);
			return team === undefined ? undefined : chooseJob(team, now);
		},
		getTaskCount: () => taskCount,
		getQueuedWork: () => queuedWork,
	};

	function getTeamQueue(team: string): TeamQueue {
		const found = teams.get(team);
		if (found !== undefined) {
			return found;
		}

		const created: TeamQueue = {team, classes: new Map(), served: minServed};
		teams.set(team, created);
		return created;
	}

	function remove(job: WaitingJob): void {
		jobs.delete(job.ticket);
		taskCount -= job.tasks.length;
		queuedWork -= job.tasks.length * job.expectedRun;
		const team = teams.get(job.team);
		const sizeClass = getSizeClass(job);
		const members = team?.classes.get(sizeClass);
		members?.delete(job.ticket);
		if (members?.size === 0) {
			team!.classes.delete(sizeClass);
		}

		if (team?.classes.size === 0 && team.served <= minServed) {
			teams.delete(job.team);
		}
	}

	/** Returns the team with the most urgent job among the teams that are not too far ahead of their share. */
	function chooseTeam(now: Milliseconds): TeamQueue | undefined {
		const eligible = [...teams.values()].filter(team => team.classes.size > 0 && host.getRunning(team.team) < host.getShare(team.team).maxRunning);
		if (eligible.length <= 1) {
			return eligible[0];
		}

		const lowestServed = Math.min(...eligible.map(team => team.served));
		minServed = Math.max(minServed, lowestServed);
		let best: TeamQueue | undefined;
		let bestUrgency = -1;
		for (const team of eligible) {
			const urgency = getJobUrgency(chooseJob(team, now)!, now);
			if (team.served <= lowestServed + maxShareLead && urgency > bestUrgency) {
				best = team;
				bestUrgency = urgency;
			}
		}

		return best;
	}
}

function addToClass(team: TeamQueue, job: WaitingJob): void {
	const sizeClass = getSizeClass(job);
	const members = team.classes.get(sizeClass);
	if (members === undefined) {
		team.classes.set(sizeClass, new Map([[job.ticket, job]]));
	} else {
		members.set(job.ticket, job);
	}
}

/** Returns the class of a job's size. Sizes in one class are within a factor of two. */
function getSizeClass(job: WaitingJob): number {
	return Math.floor(Math.log2(Math.max(1, job.size)));
}

/** Returns the most urgent job among the oldest ones of each class. */
function chooseJob(team: TeamQueue, now: Milliseconds): WaitingJob | undefined {
	let best: WaitingJob | undefined;
	for (const members of team.classes.values()) {
		const [oldest] = members.values();
		if (best === undefined || getJobUrgency(oldest!, now) > getJobUrgency(best, now)) {
			best = oldest;
		}
	}

	return best;
}

function getJobUrgency(job: WaitingJob, now: Milliseconds): number {
	return getUrgency(now - job.arrivedAt, job.size);
}
