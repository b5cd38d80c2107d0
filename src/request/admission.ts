/**
 * Admission control: refuses a job on arrival if its service has no upstream, the queue is full, or its answer could
 * not be in time. A refusal contains the time after which the caller may retry.
 */
import type {Milliseconds} from '../process/clock.js';
import type {Admission, SchedulingRules} from '../connection/types.js';

/** Bounds of the time after which a refused caller may retry. */
const minRetryAfter: Milliseconds = 50;
const maxRetryAfter: Milliseconds = 30_000;
/** Time after which a caller may retry if no upstream has announced itself for the service. */
export const noUpstreamRetryAfter: Milliseconds = 2000;

/** Input of the admission check. */
export type AdmissionInput = {
	readonly rules: SchedulingRules;
	/** Slots that this entry expects to use for the service; 0 if no upstream has announced itself. */
	readonly slots: number;
	/** Number of waiting tasks. */
	readonly queued: number;
	/** Total expected run time of the waiting tasks. */
	readonly queuedWork: Milliseconds;
	readonly taskCount: number;
	/** Expected run time of one task of the job. */
	readonly expectedRun: Milliseconds;
	/** Time from now to the deadline. */
	readonly timeLeft: Milliseconds;
};

/** Decides whether a job is admitted. */
export function assessJob(input: AdmissionInput): Admission {
	if (input.slots === 0) {
		return {kind: 'no-upstream', retryAfter: noUpstreamRetryAfter};
	}

	const wait = input.queuedWork / input.slots;
	if (input.queued + input.taskCount > input.rules.maxQueuedTasks) {
		return {kind: 'queue-full', queued: input.queued, retryAfter: clampRetryAfter(wait / 2)};
	}

	const ownTime = input.expectedRun * Math.ceil(input.taskCount / input.slots);
	if (wait + ownTime > input.timeLeft) {
		return {kind: 'too-late', wait, retryAfter: clampRetryAfter(wait + ownTime - input.timeLeft)};
	}

	return {kind: 'admitted', wait};
}

/** Clamps the time until a retry to its bounds and rounds it up. */
export function clampRetryAfter(time: Milliseconds): Milliseconds {
	return Math.ceil(Math.min(maxRetryAfter, Math.max(minRetryAfter, time)));
}
