/**
 * Keeps a task that may crash the upstream apart from the tasks of other jobs, so that a crash neither costs them their
 * runs nor casts suspicion on them.
 */
import type {TaskStart} from '../generated/kingcuplane.js';

/** Decides which tasks may run beside each other on one upstream. */
export type IsolationGuard = {
	/** Whether a start may run beside the current runs. */
	allows(start: TaskStart): boolean;
	recordStart(start: TaskStart): void;
	recordEnd(start: TaskStart): void;
	/** Whether an isolated task runs. */
	isActive(): boolean;
};

/** Creates the guard of an upstream without runs. */
export function createIsolationGuard(): IsolationGuard {
	/** Number of runs of each job, by ticket. */
	const running = new Map<string, number>();
	let isolatedRuns = 0;

	return {
		allows({task, isolated}) {
			const isOnlyJob = running.size === 0 || (running.size === 1 && running.has(task!.ticket));
			return isOnlyJob || (!isolated && isolatedRuns === 0);
		},
		recordStart({task, isolated}) {
			running.set(task!.ticket, (running.get(task!.ticket) ?? 0) + 1);
			isolatedRuns += isolated ? 1 : 0;
		},
		recordEnd({task, isolated}) {
			const remaining = running.get(task!.ticket)! - 1;
			if (remaining === 0) {
				running.delete(task!.ticket);
			} else {
				running.set(task!.ticket, remaining);
			}

			isolatedRuns -= isolated ? 1 : 0;
		},
		isActive: () => isolatedRuns > 0,
	};
}
