/**
 * Chooses the agent of the next start, and the unused credits that are returned.
 */
import type {Milliseconds} from '../process/clock.js';
import type {PlacementMode} from '../version/types.js';
import {
	getUnusedCredits, returnCredits, sumUnusedCredits, type PooledAgent,
} from './credit-pool.js';

/** Age up to which a report of free slots allows a start without a credit, by placement mode. */
const maxReportAge: Readonly<Record<PlacementMode, Milliseconds>> = {response: 200, messages: 50};

/** Returns the agent with the most unused credits, or else the one with the most slots that are probably free. */
export function chooseAgent(agents: Iterable<PooledAgent>, isUsable: (agent: PooledAgent) => boolean, mode: PlacementMode, now: Milliseconds): PooledAgent | undefined {
	let credited: PooledAgent | undefined;
	let probablyFree: PooledAgent | undefined;
	for (const agent of agents) {
		if (!isUsable(agent)) {
			continue;
		}

		if (getUnusedCredits(agent) > (credited === undefined ? 0 : getUnusedCredits(credited))) {
			credited = agent;
		}

		if (agent.reportedAt >= now - maxReportAge[mode] && agent.estimatedFreeSlots > (probablyFree?.estimatedFreeSlots ?? 0)) {
			probablyFree = agent;
		}
	}

	return credited ?? probablyFree;
}

/**
 * Returns the number of unused credits that are retained although nothing waits. In mode `response` every free slot
 * is returned to its agent, where all entries can use it. In mode `messages` the reserve covers the likely variation
 * of the entry's load.
 */
export function getCreditReserve(mode: PlacementMode, running: number): number {
	return mode === 'response' ? 0 : Math.ceil(Math.sqrt(running));
}

/** Returns `count` unused credits, to the agents that have granted most of them. The result lists these agents. */
export function returnExcessCredits(agents: Iterable<PooledAgent>, count: number): readonly PooledAgent[] {
	const changedAgents: PooledAgent[] = [];
	let remaining = count;
	for (const agent of [...agents].toSorted((a, b) => getUnusedCredits(b) - getUnusedCredits(a))) {
		const returnedCount = returnCredits(agent, remaining);
		if (returnedCount === 0) {
			break;
		}

		remaining -= returnedCount;
		changedAgents.push(agent);
	}

	return changedAgents;
}

/** Returns the number of unused credits above the reserve. */
export function getExcessCredits(agents: Iterable<PooledAgent>, mode: PlacementMode, running: number): number {
	return sumUnusedCredits(agents) - getCreditReserve(mode, running);
}
