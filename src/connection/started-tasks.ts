/**
 * The tasks that an agent has started, retained for a while after their end to answer queries about their tickets.
 */
import type {HeldTask, TaskResult, TaskStart} from '../generated/kingcuplane.js';
import type {Clock, Milliseconds} from '../process/clock.js';

/** Dependencies and limits of the retained tasks. */
export type StartedTasksHost = {
	readonly clock: Clock;
	/** Retention time for records of ended tasks. */
	readonly retentionMs: Milliseconds;
	/** Limit on the payload bytes of the retained records of ended tasks. */
	readonly maxRetainedBytes: number;
};

/** A task that was started by this agent. */
export type StartedTask = {
	readonly task: HeldTask;
	endedAt?: Milliseconds;
};

/** The tasks started by one agent. */
export type StartedTasks = {
	recordStart(start: TaskStart): StartedTask;
	recordEnd(startedTask: StartedTask, result: TaskResult): void;
	/** Returns the retained tasks of a ticket. */
	getHeldTasks(ticket: string): HeldTask[];
};

/** Creates an empty set of started tasks. */
export function createStartedTasks(host: StartedTasksHost): StartedTasks {
	const startedTasks = new Map<string, StartedTask[]>();
	const endedTasks: Array<{readonly ticket: string; readonly startedTask: StartedTask}> = [];
	let endedPayloadBytes = 0;

	return {
		recordStart(start) {
			const startedTask: StartedTask = {
				task: {
					task: start.task, taskCount: start.taskCount, running: true, result: undefined, startedAt: Math.round(host.clock.wall()), caller: start.caller,
				},
			};
			const {ticket} = start.task!;
			const list = startedTasks.get(ticket);
			if (list === undefined) {
				startedTasks.set(ticket, [startedTask]);
			} else {
				list.push(startedTask);
			}

			return startedTask;
		},
		recordEnd(startedTask, result) {
			startedTask.task.running = false;
			startedTask.task.result = result;
			startedTask.endedAt = host.clock.now();
			endedTasks.push({ticket: startedTask.task.task!.ticket, startedTask});
			endedPayloadBytes += result.payload.length;
			evictEndedTasks();
		},
		getHeldTasks: ticket => (startedTasks.get(ticket) ?? []).map(startedTask => startedTask.task),
	};

	function evictEndedTasks(): void {
		const oldest = host.clock.now() - host.retentionMs;
		while (endedTasks[0] !== undefined && (endedTasks[0].startedTask.endedAt! < oldest || endedPayloadBytes > host.maxRetainedBytes)) {
			const {ticket, startedTask} = endedTasks.shift()!;
			endedPayloadBytes -= startedTask.task.result?.payload.length ?? 0;
			const rest = startedTasks.get(ticket)?.filter(other => other !== startedTask) ?? [];
			if (rest.length === 0) {
				startedTasks.delete(ticket);
			} else {
				startedTasks.set(ticket, rest);
			}
		}
	}
}
