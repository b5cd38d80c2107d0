/**
 * Chooses the agent on which a task starts, among those on which it fits now.
 */
import type {QueuedJob} from '../connection/types.js';
import type {Clock, Milliseconds} from '../process/clock.js';
import {estimateFreeResources, prefer, type AgentView} from './resource-pool.js';

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
};

/** The choice of agents for one service. */
export type AgentChoice = {
	/** Chooses one of the agents on which the task fits; undefined if there are none. */
	choose(fitting: readonly AgentView[], context: ChoiceContext): AgentView | undefined;
};

/** Age up to which a report is preferred to older ones: fewer starts are then refused, and fewer links are in use. */
const freshReportMs: Milliseconds = 100;

/** Creates the choice. */
export function createAgentChoice({clock, random}: AgentChoiceHost): AgentChoice {
	return {choose};

	/**
	 * Returns the one with more free processors of two candidates that are sampled at random. If all entries chose the
	 * agent with the most free resources, their starts would collide there.
	 */
	function choose(fitting: readonly AgentView[], {packedAgents}: ChoiceContext): AgentView | undefined {
		const others = prefer(fitting, agent => !packedAgents.has(agent));
		const candidates = prefer(others, agent => clock.now() - agent.reportedAt < freshReportMs);
		if (candidates.length <= 1) {
			return candidates[0];
		}

		const first = candidates[Math.floor(random() * candidates.length)]!;
		const second = candidates[Math.floor(random() * candidates.length)]!;
		return estimateFreeResources(first).cpu >= estimateFreeResources(second).cpu ? first : second;
	}
}
