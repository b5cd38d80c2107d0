/**
 * The order in which the waiting tasks of one service start at one entry: shares by team first, then small
 * jobs before large ones with ageing, so that a large job is never passed over for ever.
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
	/** Work that decides the order; see the size of a waiting head. */
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
	/** Takes the task that starts next; undefined if none waits or every waiting team is at its bound. */
	tryDequeue(now: Milliseconds): DequeuedTask | undefined;
	/** The job whose task starts next. */
	tryGetHead(now: Milliseconds): WaitingJob | undefined;
	/** Waiting tasks whose team is not at its bound count as much as the others. */
	getTaskCount(): number;
	/** Expected run time of all waiting tasks together. */
	getQueuedWork(): Milliseconds;
};

/** A task taken out of the queue, with its job. */
export type DequeuedTask = {
	readonly job: WaitingJob;
	readonly task: QueuedTask;
};

/** Effects of a queue: what it must know of the teams. */
export type JobQueueHost = {
	getShare(team: string): TeamShare;
	/** Tasks of the team that run at present. */
	getRunning(team: string): number;
};

/** Work by which a team may run ahead of its share before others go first. */
const shareSlack: Milliseconds = 2000;

/** Jobs of one team by size class; within a class the oldest comes first. */
type TeamQueue = {
	readonly team: string;
	readonly classes: Map<number, Map<string, WaitingJob>>;
	/** Work taken so far divided by the weight, on the scale of all teams. */
	served: Milliseconds;
};

/** Creates an empty queue. */
export function createJobQueue(host: JobQueueHost): JobQueue {
	const jobs = new Map<string, WaitingJob>();
	const teams = new Map<string, TeamQueue>();
	/** Lowest `served` among the teams that waited at the last choice. */
	let floor = 0;
	let taskCount = 0;
	let work = 0;

	return {
		add(job) {
			jobs.set(job.ticket, job);
			addToClass(getTeamQueue(job.team), job);
			taskCount += job.tasks.length;
			work += job.tasks.length * job.expectedRun;
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
			work -= job.expectedRun;
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
		getQueuedWork: () => work,
	};

	function getTeamQueue(team: string): TeamQueue {
		const found = teams.get(team);
		if (found !== undefined) {
			return found;
		}

		const created: TeamQueue = {team, classes: new Map(), served: floor};
		teams.set(team, created);
		return created;
	}

	function remove(job: WaitingJob): void {
		jobs.delete(job.ticket);
		taskCount -= job.tasks.length;
		work -= job.tasks.length * job.expectedRun;
		const team = teams.get(job.team);
		const sizeClass = getSizeClass(job);
		const members = team?.classes.get(sizeClass);
		members?.delete(job.ticket);
		if (members?.size === 0) {
			team!.classes.delete(sizeClass);
		}

		if (team?.classes.size === 0 && team.served <= floor) {
			teams.delete(job.team);
		}
	}

	/** The team with the most urgent job among those that are not ahead of their share. */
	function chooseTeam(now: Milliseconds): TeamQueue | undefined {
		const eligible = [...teams.values()].filter(team => team.classes.size > 0 && host.getRunning(team.team) < host.getShare(team.team).maxRunning);
		if (eligible.length <= 1) {
			return eligible[0];
		}

		const least = Math.min(...eligible.map(team => team.served));
		floor = Math.max(floor, least);
		let best: TeamQueue | undefined;
		let bestUrgency = -1;
		for (const team of eligible) {
			const urgency = getJobUrgency(chooseJob(team, now)!, now);
			if (team.served <= least + shareSlack && urgency > bestUrgency) {
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

/** Jobs of one class have sizes within a factor of two. */
function getSizeClass(job: WaitingJob): number {
	return Math.floor(Math.log2(Math.max(1, job.size)));
}

/** The most urgent of the oldest jobs of each class. */
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
