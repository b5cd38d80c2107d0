/**
 * Keeps resources for waiting jobs that fit nowhere now, on the agents where they will fit first, and lets shorter tasks
 * use these resources until then.
 */
import type {Clock} from '../process/clock.js';
import type {AgentView} from './resource-pool.js';
import type {PendingJob} from './resource-queue.js';

/** Dependencies of the look-ahead. */
export type LookAheadHost = {
	readonly clock: Clock;
	/** All agents of the service, by incarnation. */
	readonly agents: ReadonlyMap<string, AgentView>;
};

/** The reservations of one service at one entry. */
export type LookAhead = {
	/** Begins a pass over the queue; the reservations of earlier passes are void. */
	beginPass(): void;
	/** Reserves resources for a job whose remaining tasks fit nowhere now. */
	reserve(pending: PendingJob): void;
	/** Whether a task of this job may start on the agent now without delaying a job for which resources are reserved there. */
	mayStart(pending: PendingJob, agent: AgentView): boolean;
};

/** Creates a look-ahead that reserves nothing. */
export function createLookAhead(_host: LookAheadHost): LookAhead {
	return {
		beginPass: () => undefined,
		reserve: () => undefined,
		mayStart: () => true,
	};
}
