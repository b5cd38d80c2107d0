/**
 * What a process knows about runs that were lost together with their upstream. A task may crash each upstream that starts
 * it, so the losses of a task are counted over all upstreams, and across entries: agents report the losses of their upstream
 * to all linked entries, which pass them on to their peers.
 *
 * An upstream that does not answer may have crashed or may only be cut off. It counts as a possible crash until it answers.
 */
import {
	LossState, type LossReport, type LostTask, type TaskStart,
} from '../generated/kingcuplane.js';
import type {Clock, Milliseconds} from '../process/clock.js';

/** The upstreams that were lost while a task ran on them. */
export type LossCount = {
	/** Those that have crashed or may have crashed. */
	readonly possible: number;
	/** Those that have certainly crashed. */
	readonly crashed: number;
	/** Those among `possible` on which no task of another job was running. */
	readonly alone: number;
};

/** Losses by incarnation of the upstream. */
export type LossLog = {
	/** Applies a report. Returns whether it contained anything new. */
	record(report: LossReport): boolean;
	/** Applies and returns a report of this process, which replaces or extends its earlier ones on this incarnation. */
	report(upstreamIncarnation: string, state: LossState, tasks: readonly LostTask[]): LossReport;
	/**
	 * Records that a run was lost together with the agent of its upstream, and returns the report, which other entries may
	 * record.
	 */
	suspect(upstreamIncarnation: string, task: LostTask): LossReport;
	/** Records that an upstream answers its agent, so that it has not crashed. */
	recordAnswer(upstreamIncarnation: string): void;
	/** Returns the reports that have changed since `position`; 0 returns all. */
	getReportsSince(position: number): {readonly reports: readonly LossReport[]; readonly position: number};
	/** Whether a run of this job was lost. */
	hasJob(job: string): boolean;
	count(job: string, index: number): LossCount;
};

/** A lost task, and how often it was lost. */
export type CountedTask = {
	readonly task: LostTask;
	readonly losses: LossCount;
};

/** Dependencies of the log. */
export type LossLogHost = {
	readonly clock: Clock;
	/** Called with the tasks that were newly lost with an upstream. */
	onLoss?(upstreamIncarnation: string, tasks: readonly CountedTask[]): void;
};

type UpstreamLoss = {
	readonly upstreamIncarnation: string;
	revision: number;
	state: LossState;
	readonly tasks: Map<string, LostTask>;
	/** Number of jobs among the tasks. */
	jobCount: number;
	/** Whether the agent of the upstream has listed all its tasks; an entry knows only its own. */
	isComplete: boolean;
	changedAt: Milliseconds;
	/** Position of the last change in the sequence of all changes. */
	position: number;
};

/** Retention time of a report; longer than clients keep submitting a job again. */
const retentionMs: Milliseconds = 120_000;
/** Revision of the reports of entries, which are not ordered with those of the agent. */
const entryRevision = 0;
/** Number of possible crashes after which a task is not started again. */
const maxPossibleCrashes = 3;
/** The same number if one of the upstreams was running no other job. */
const maxProvenCrashes = 2;

/** Whether a task must not be started again, because it probably crashes its upstreams. */
export function isLossLimitReached({possible, alone}: LossCount): boolean {
	return possible >= maxPossibleCrashes || (possible >= maxProvenCrashes && alone > 0);
}

/** Whether it is certain that a task ran on crashing upstreams more than once. */
export function isCrashProven({crashed}: LossCount): boolean {
	return crashed >= maxProvenCrashes;
}

/** Creates an empty log. */
export function createLossLog({clock, onLoss}: LossLogHost): LossLog {
	const losses = new Map<string, UpstreamLoss>();
	const lossesByJob = new Map<string, Set<UpstreamLoss>>();
	let lastPosition = 0;

	return {
		record,
		report(upstreamIncarnation, state, tasks) {
			const revision = Math.max(Math.floor(clock.wall()), (losses.get(upstreamIncarnation)?.revision ?? 0) + 1);
			const report: LossReport = {
				upstreamIncarnation, revision, state, tasks: [...tasks],
			};
			record(report);
			return report;
		},
		suspect(upstreamIncarnation, task) {
			const report: LossReport = {
				upstreamIncarnation, revision: entryRevision, state: LossState.LOSS_STATE_SUSPECTED, tasks: [task],
			};
			record(report);
			return report;
		},
		recordAnswer(upstreamIncarnation) {
			const loss = losses.get(upstreamIncarnation);
			if (loss?.state === LossState.LOSS_STATE_SUSPECTED) {
				clearTasks(loss);
				loss.state = LossState.LOSS_STATE_ALIVE;
			}
		},
		getReportsSince(position) {
			// Called with each batch of a link; mostly nothing has changed.
			const changed = position === lastPosition ? [] : [...losses.values()].filter(loss => loss.position > position);
			return {reports: changed.map(loss => toReport(loss)), position: lastPosition};
		},
		hasJob(job) {
			deleteExpired();
			return lossesByJob.has(job);
		},
		count,
	};

	function record(report: LossReport): boolean {
		deleteExpired();
		const loss = losses.get(report.upstreamIncarnation) ?? addLoss(report.upstreamIncarnation);
		const isChanged = report.state === LossState.LOSS_STATE_ALIVE ? recordAlive(loss, report) : recordLost(loss, report);
		if (isChanged) {
			loss.changedAt = clock.now();
			lastPosition++;
			loss.position = lastPosition;
		}

		return isChanged;
	}

	function addLoss(upstreamIncarnation: string): UpstreamLoss {
		const loss: UpstreamLoss = {
			upstreamIncarnation, revision: 0, state: LossState.LOSS_STATE_SUSPECTED, tasks: new Map(), jobCount: 0, isComplete: false, changedAt: clock.now(), position: 0,
		};
		losses.set(upstreamIncarnation, loss);
		return loss;
	}

	function recordAlive(loss: UpstreamLoss, {revision}: LossReport): boolean {
		if (revision <= loss.revision) {
			return false;
		}

		clearTasks(loss);
		loss.revision = revision;
		loss.state = LossState.LOSS_STATE_ALIVE;
		return true;
	}

	function recordLost(loss: UpstreamLoss, {revision, state, tasks}: LossReport): boolean {
		if (loss.state === LossState.LOSS_STATE_ALIVE && revision !== entryRevision && revision < loss.revision) {
			return false;
		}

		const newTasks = tasks.filter(task => !loss.tasks.has(getTaskKey(task)));
		// A crash is final for an incarnation.
		const newState = loss.state === LossState.LOSS_STATE_CRASHED ? loss.state : state;
		const isChanged = newTasks.length > 0 || newState !== loss.state || revision > loss.revision;
		loss.revision = Math.max(loss.revision, revision);
		loss.state = newState;
		loss.isComplete ||= revision !== entryRevision;
		for (const task of newTasks) {
			loss.tasks.set(getTaskKey(task), task);
			addToJob(task.job, loss);
		}

		loss.jobCount = new Set([...loss.tasks.values()].map(task => task.job)).size;
		if (newTasks.length > 0) {
			onLoss?.(loss.upstreamIncarnation, newTasks.map(task => ({task, losses: count(task.job, task.index)})));
		}

		return isChanged;
	}

	function count(job: string, index: number): LossCount {
		const key = getTaskKey({job, index});
		let possible = 0;
		let crashed = 0;
		let alone = 0;
		for (const loss of lossesByJob.get(job) ?? []) {
			if (loss.tasks.has(key)) {
				possible++;
				crashed += loss.state === LossState.LOSS_STATE_CRASHED ? 1 : 0;
				alone += loss.isComplete && loss.jobCount === 1 ? 1 : 0;
			}
		}

		return {possible, crashed, alone};
	}

	function addToJob(job: string, loss: UpstreamLoss): void {
		const ofJob = lossesByJob.get(job) ?? new Set();
		ofJob.add(loss);
		lossesByJob.set(job, ofJob);
	}

	function clearTasks(loss: UpstreamLoss): void {
		for (const {job} of loss.tasks.values()) {
			const ofJob = lossesByJob.get(job);
			ofJob?.delete(loss);
			if (ofJob?.size === 0) {
				lossesByJob.delete(job);
			}
		}

		loss.tasks.clear();
		loss.jobCount = 0;
		loss.isComplete = false;
	}

	function deleteExpired(): void {
		const oldest = clock.now() - retentionMs;
		for (const loss of losses.values()) {
			if (loss.changedAt < oldest) {
				clearTasks(loss);
				losses.delete(loss.upstreamIncarnation);
			}
		}
	}
}

function toReport({upstreamIncarnation, revision, state, tasks}: UpstreamLoss): LossReport {
	return {
		upstreamIncarnation, revision, state, tasks: [...tasks.values()],
	};
}

function getTaskKey({job, index}: Pick<LostTask, 'job' | 'index'>): string {
	return `${job}.${index}`;
}

/** Returns the task of a start whose run was lost. */
export function toLostTask({
	task, caller, reference, submission, expectedRunMs,
}: TaskStart): LostTask {
	return {
		job: getRepeatableJobName({ticket: task!.ticket, caller, reference}), index: task!.index, submission, expectedRunMs,
	};
}

/** Returns the name of a task's job that stays the same if its caller submits the job again, to any entry. */
export function getRepeatableJobName({ticket, caller, reference}: {readonly ticket: string; readonly caller: string; readonly reference: string}): string {
	return reference === '' ? ticket : `${caller}/${reference}`;
}
