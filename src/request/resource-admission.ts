/**
 * Decides whether a job is admitted, where resources limit the upstreams: a job that cannot be served is refused at once, with a
 * time after which resources are expected to be free.
 */
import {noResources} from '../connection/resources.js';
import type {
	Admission, QueuedJob, SchedulingRules, TaskRequirements,
} from '../connection/types.js';
import type {Milliseconds} from '../process/clock.js';
import {clampRetryAfter, noUpstreamRetryAfter} from './admission.js';
import {isEligible, type AgentView} from './resource-pool.js';
import {isFeasible} from './resource-queue.js';

/** What the admission to one service is based on. */
export type AdmissionState = {
	readonly rules: SchedulingRules | undefined;
	readonly agents: ReadonlyMap<string, AgentView>;
	readonly waitingTasks: number;
};

/** Requirements of the tasks of a job that states none. */
export const noRequirements: TaskRequirements = {resources: noResources};
const defaultMaxQueuedTasks = 100_000;

/** Checks whether a job may be accepted now; has no side effects. `startupGraceEndsAt` is the time until which agents are still expected to connect. */
export function checkResourceAdmission(state: AdmissionState, job: QueuedJob, now: Milliseconds, startupGraceEndsAt: Milliseconds): Admission {
	const requirements = job.need ?? noRequirements;
	const hasEligible = [...state.agents.values()].some(agent => !agent.isDraining && isEligible(agent, requirements));
	const areAgentsExpected = state.agents.size === 0 && now < startupGraceEndsAt;
	if (!hasEligible && !areAgentsExpected) {
		return {kind: 'no-upstream', retryAfter: noUpstreamRetryAfter};
	}

	if (state.waitingTasks + job.taskCount > (state.rules?.maxQueuedTasks ?? defaultMaxQueuedTasks)) {
		return {kind: 'queue-full', queued: state.waitingTasks, retryAfter: clampRetryAfter(job.expectedRun)};
	}

	if (!isFeasible(job, now)) {
		return {kind: 'too-late', wait: 0, retryAfter: clampRetryAfter(0)};
	}

	return {kind: 'admitted', wait: 0};
}
