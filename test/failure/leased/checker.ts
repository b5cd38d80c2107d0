/**
 * Checks the guarantees of the system in a run with leased executors, as on the users' platform, based only on what clients
 * and executors observed.
 */
import {groupBy} from '../../../dev/group-by.js';
import type {Milliseconds} from '../../../src/process/clock.js';
import {crashedDetail, type RecordedRun} from '../../process/fake-executor.js';
import type {Violation} from '../checker.js';
import type {ClientJob} from './clients.js';
import {
	heartbeatIntervalMs, taskCpu, type LeasedCluster, type LeavingPeriod, type Overlap, type RoomChange,
} from './cluster.js';

/** A run and its executor. */
type PlacedRun = RecordedRun & {readonly executor: string};

/** Time after which a leaving executor must not get new runs. */
const leavingGraceMs: Milliseconds = 2000;
/** Time after which nothing may be started in an evacuated data centre. */
const evacuationGraceMs: Milliseconds = 5000;
/** Time after which withdrawn processors must not be used: the platform's time for contact, and a heartbeat. */
const shrinkNoticeMs: Milliseconds = 3000 + heartbeatIntervalMs;
/** Time within which all runs of a job must end after its client has stopped waiting. */
const abandonedGraceMs: Milliseconds = 3000;

/** The rule of the users' platform on tasks that crash the executors that start them. */
const crashLimit = 3;
const maxStartsAfterCrashes = 3;
/** Name of the rule on runs at the same time. */
export const overlapRule = 'no task runs twice at the same time';
/** Name of the rule on evacuated data centres. */
export const evacuationRule = 'nothing starts in an evacuated data centre';
/** Name of the rule on crashes. */
export const crashRule = 'no task is started three more times after three executors have crashed under it';

/** Returns the violations in a run whose recovery time has passed; `isCalm` if no faults were injected into it. */
export function findLeasedViolations(cluster: LeasedCluster, jobs: readonly ClientJob[], leavingPeriods: readonly LeavingPeriod[], isCalm: boolean): readonly Violation[] {
	const runs = [...cluster.executors].flatMap(([executor, {runs: seen}]) => seen.map(run => ({...run, executor})));
	const byTask = groupBy(runs, run => run.task);
	return [
		...cluster.overlaps.map(overlap => describeOverlap(overlap)),
		...[...byTask].flatMap(([task, list]) => checkTask(task, list)),
		...jobs.flatMap(job => checkJob(job, runs.filter(run => getJobName(run.task) === job.name), isCalm)),
		...[...groupBy(runs, run => run.executor)].flatMap(([executor, list]) => checkExecutor(executor, list, cluster.rooms.get(executor)!)),
		...leavingPeriods.flatMap(leavingPeriod => checkLeavingPeriod(leavingPeriod, runs)),
	];
}

function describeOverlap({
	task, at, executor, otherExecutor, otherRun,
}: Overlap): Violation {
	return {rule: overlapRule, subject: task, detail: `started at ${at.toFixed(1)} at ${executor} beside the run at ${otherExecutor}, ${describe(otherRun)}`};
}

function checkTask(task: string, runs: readonly PlacedRun[]): Violation[] {
	const sorted = runs.toSorted((a, b) => a.startedAt - b.startedAt);
	const violations: Violation[] = [];
	for (const [index, run] of sorted.entries()) {
		const next = sorted[index + 1];
		if (next !== undefined && next.startedAt < (run.endedAt ?? Infinity)) {
			violations.push({rule: overlapRule, subject: task, detail: `${run.executor} ${describe(run)}, ${next.executor} ${describe(next)}`});
		}
	}

	const crashTimes = sorted.flatMap(({endedAt, endDetail}) => endDetail === crashedDetail ? [endedAt!] : []).toSorted((a, b) => a - b);
	const startsAfter = sorted.filter(({startedAt}) => startedAt > (crashTimes[crashLimit - 1] ?? Infinity)).length;
	if (startsAfter >= maxStartsAfterCrashes) {
		violations.push({rule: crashRule, subject: task, detail: `${crashTimes.length} crashes, ${startsAfter} starts after the third`});
	}

	return violations;
}

function checkJob(job: ClientJob, runs: readonly PlacedRun[], isCalm: boolean): Violation[] {
	const violations: Violation[] = [];
	const [first] = job.replies;
	if (runs.length > 0 && job.replies.length > 0 && job.replies.every(reply => reply?.ran === 'not-run')) {
		violations.push({rule: 'not-run is true', subject: job.name, detail: `${runs.length} starts`});
	}

	if (job.replies.length === 1 && first?.state === 'complete') {
		// The limit on failed runs covers only those that an entry was informed of. In seeds 99 and 100, runs failed while
		// their agent was dead or frozen; a further run after these is allowed.
		for (const [task, list] of isCalm ? groupBy(runs, run => run.task) : []) {
			if (list.filter(({endDetail}) => endDetail === 'failed').length > 1) {
				violations.push({rule: 'no task starts after its last attempt has failed', subject: task, detail: list.map(run => `${run.executor} ${describe(run)}`).join(', ')});
			}
		}

		const done = new Set(runs.filter(({endDetail}) => endDetail === 'done').map(({task}) => task));
		if (done.size !== job.tasks) {
			violations.push({rule: 'complete is true', subject: job.name, detail: `${done.size} of ${job.tasks} tasks are done`});
		}
	}

	if (job.endedAt === undefined) {
		violations.push({rule: 'every client gets an end', subject: job.name, detail: `${job.replies.length} tries`});
	}

	for (const run of runs) {
		if ((run.endedAt ?? Infinity) > (job.endedAt ?? Infinity) + abandonedGraceMs) {
			violations.push({rule: 'nothing runs for a job that nobody waits for', subject: run.task, detail: `${describe(run)}, left at ${job.endedAt}`});
		}
	}

	return violations;
}

/**
 * Checks that no start exceeds the processors of the executor, which does not limit them itself. Processors that were
 * withdrawn count until its agent must have been notified.
 */
function checkExecutor(executor: string, runs: readonly PlacedRun[], rooms: readonly RoomChange[]): Violation[] {
	const changes = runs.flatMap(({startedAt, endedAt = Infinity}) => [{at: startedAt, by: taskCpu}, {at: endedAt, by: -taskCpu}]);
	let used = 0;
	for (const {at, by} of changes.toSorted((a, b) => a.at - b.at || a.by - b.by)) {
		used += by;
		const room = getRoomInForce(rooms, at);
		if (by > 0 && used > room) {
			return [{rule: 'no executor is overloaded', subject: executor, detail: `${used} of ${room} at ${at}`}];
		}
	}

	return [];
}

function getRoomInForce(rooms: readonly RoomChange[], at: Milliseconds): number {
	const inForce = rooms.filter((room, i) => room.at <= at && (rooms[i + 1]?.at ?? Infinity) + shrinkNoticeMs >= at);
	return Math.max(...inForce.map(({cpu}) => cpu));
}

function checkLeavingPeriod({kind, executor, from, to}: LeavingPeriod, runs: readonly PlacedRun[]): Violation[] {
	const graceMs = kind === 'leaving' ? leavingGraceMs : evacuationGraceMs;
	return runs
		.filter(run => run.executor === executor && run.startedAt > from + graceMs && run.startedAt < to)
		.map(run => ({rule: kind === 'leaving' ? 'a leaving executor gets no new work' : evacuationRule, subject: executor, detail: `${describe(run)}, ${kind} since ${from}`}));
}

function describe({startedAt, endedAt, endDetail}: RecordedRun): string {
	return `${Math.round(startedAt)} to ${Math.round(endedAt ?? Infinity)} ${endDetail ?? ''}`;
}

/** Returns the job part of a task name, which consists of job, step, occurrence and index. */
function getJobName(task: string): string {
	return task.split('.')[0]!;
}
