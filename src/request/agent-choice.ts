/**
 * Chooses the agent on which a task starts, among those on which it fits now. Where upstreams differ in speed, a task
 * starts where its job probably still meets its objective, and waits a while if that is nowhere.
 */
import type {QueuedJob} from '../connection/types.js';
import type {Clock, Milliseconds} from '../process/clock.js';
import {estimateFreeResources, prefer, type AgentView} from './resource-pool.js';
import {getObjectiveAt} from './resource-queue.js';
import type {UpstreamSpeeds} from './upstream-speed.js';

/** Dependencies of the choice. */
export type AgentChoiceHost = {
	readonly clock: Clock;
	/** Returns a random number in [0, 1). */
	random(): number;
};

/** The task for which an agent is chosen. */
export type ChoiceContext = {
	readonly job: QueuedJob;
	/** Agents on which tasks of the job were placed in the same dispatch. */
	readonly packedAgents: ReadonlySet<AgentView>;
	readonly speeds: UpstreamSpeeds;
};

/** The choice of agents for one service. */
export type AgentChoice = {
	/** Chooses one of the agents on which the task fits; undefined if there are none, or if waiting for another is better. */
	choose(fitting: readonly AgentView[], context: ChoiceContext): AgentView | undefined;
};

/**
 * Ages up to which reports are preferred to older ones, the youngest first. The older a report, the more of what was free
 * has been used by other entries, and the more starts are refused.
 */
const freshReportAgesMs: readonly Milliseconds[] = [20, 100];
/** Maximum relative error of declared run times. */
const declaredError = 0.4;
/** Time that a start and a result travel. */
const travelMs: Milliseconds = 8;
/** Uncertainty of the time that a start and a result travel. */
const travelErrorMs: Milliseconds = 12;
/** Difference of risks, from 0 to 1, up to which upstreams count as equally good for a job. */
const negligibleRisk = 0.05;
/** Risk from which on a job rather waits for a faster upstream. */
const maxRisk = 0.5;
/** Time within which a faster upstream probably has free resources. A job that cannot wait that long does not wait at all. */
const minWaitMs: Milliseconds = 20;

/** Creates the choice. */
export function createAgentChoice({clock, random}: AgentChoiceHost): AgentChoice {
	return {
		choose(fitting, {job, packedAgents, speeds}) {
			const punctual = speeds.isUneven() && job.objective !== undefined ? getPunctual(fitting, job, speeds) : fitting;
			return chooseFree(punctual, packedAgents);
		},
	};

	/** Returns the agents on which the risk that the job misses its objective is lowest; none if waiting is better. */
	function getPunctual(fitting: readonly AgentView[], job: QueuedJob, speeds: UpstreamSpeeds): readonly AgentView[] {
		const timeLeft = getObjectiveAt(job) - clock.now();
		const risks = new Map(fitting.map(agent => [agent, getRisk(job, timeLeft, speeds.getRunTimeRatio(agent))]));
		const lowestRisk = Math.min(...risks.values());
		// Once the job would be late even on an upstream of nominal speed, it starts wherever there are free resources.
		if (lowestRisk > maxRisk && timeLeft > job.expectedRun && getRisk(job, timeLeft - minWaitMs, speeds.getLowestRatio()) < maxRisk) {
			return [];
		}

		return fitting.filter(agent => risks.get(agent)! <= lowestRisk + negligibleRisk);
	}

	/**
	 * Returns the one with more free processors of two candidates that are sampled at random. If all entries chose the
	 * agent with the most free resources, their starts would collide there.
	 */
	function chooseFree(agents: readonly AgentView[], packedAgents: ReadonlySet<AgentView>): AgentView | undefined {
		const others = prefer(agents, agent => !packedAgents.has(agent));
		const candidates = preferFreshReports(others);
		if (candidates.length <= 1) {
			return candidates[0];
		}

		const first = candidates[Math.floor(random() * candidates.length)]!;
		const second = candidates[Math.floor(random() * candidates.length)]!;
		return estimateFreeResources(first).cpu >= estimateFreeResources(second).cpu ? first : second;
	}

	function preferFreshReports(agents: readonly AgentView[]): readonly AgentView[] {
		const now = clock.now();
		for (const age of freshReportAgesMs) {
			const fresh = agents.filter(agent => now - agent.reportedAt < age);
			if (fresh.length > 0) {
				return fresh;
			}
		}

		return agents;
	}
}

/**
 * Returns the risk that a job misses its objective if it starts now on an upstream whose runs take `ratio` times the
 * nominal run time. The objective grows with the nominal run time, so an error of the declared one affects only the
 * difference of the two.
 */
function getRisk({expectedRun, objective}: QueuedJob, timeLeft: Milliseconds, ratio: number): number {
	const slack = timeLeft - (expectedRun * ratio) - travelMs;
	const error = (Math.abs(objective!.stretch - ratio) * expectedRun * declaredError) + travelErrorMs;
	return Math.max(0, Math.min(1, (error - slack) / (2 * error)));
}
