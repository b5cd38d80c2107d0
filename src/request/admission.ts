/**
 * Refuses a job at once when its answer could not come in time, and says when to come back.
 */
import type {Milliseconds} from '../process/clock.js';
import type {Admission, SchedulingRules} from '../connection/types.js';

/** Shortest and longest time after which a refused caller is told to come back. */
const minRetryAfter: Milliseconds = 50;
const maxRetryAfter: Milliseconds = 30_000;
/** Time after which a caller is told to come back when no upstream is announced. */
export const noUpstreamRetryAfter: Milliseconds = 2000;

/** What admission looks at. */
export type AdmissionInput = {
	readonly rules: SchedulingRules;
	/** Slots that this entry may expect to use for the service; 0 if no upstream is announced. */
	readonly slots: number;
	/** Waiting tasks, and their expected run time together. */
	readonly queued: number;
	readonly queuedWork: Milliseconds;
	readonly taskCount: number;
	/** Expected run time of one task of the job. */
	readonly expectedRun: Milliseconds;
	/** Time from now to the deadline. */
	readonly timeLeft: Milliseconds;
};

/** Decides whether a job may be taken. */
export function assessJob(facts: AdmissionInput): Admission {
	if (facts.slots === 0) {
		return {kind: 'no-upstream', retryAfter: noUpstreamRetryAfter};
	}

	const wait = facts.queuedWork / facts.slots;
	if (facts.queued + facts.taskCount > facts.rules.maxQueuedTasks) {
		return {kind: 'queue-full', queued: facts.queued, retryAfter: clampRetryAfter(wait / 2)};
	}

	const ownTime = facts.expectedRun * Math.ceil(facts.taskCount / facts.slots);
	if (wait + ownTime > facts.timeLeft) {
		return {kind: 'too-late', wait, retryAfter: clampRetryAfter(wait + ownTime - facts.timeLeft)};
	}

	return {kind: 'admitted', wait};
}

/** Keeps a time to come back within sensible bounds. */
export function clampRetryAfter(time: Milliseconds): Milliseconds {
	return Math.ceil(Math.min(maxRetryAfter, Math.max(minRetryAfter, time)));
}
