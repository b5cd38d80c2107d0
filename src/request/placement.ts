/**
 * Chooses the agent of the next start, and which unused credits go back.
 */
import type {Milliseconds} from '../process/clock.js';
import type {PlacementMode} from '../version/types.js';
import {
	getUnusedCredits, returnCredits, sumUnusedCredits, type PooledAgent,
} from './credit-pool.js';

/** Age up to which news of free slots is acted on without a credit, by placement mode. */
const freshness: Readonly<Record<PlacementMode, Milliseconds>> = {response: 200, messages: 50};

/** The agent with the most unused credits, or else one that probably has a free slot. */
export function chooseAgent(agents: Iterable<PooledAgent>, isUsable: (agent: PooledAgent) => boolean, mode: PlacementMode, now: Milliseconds): PooledAgent | undefined {
	let credited: PooledAgent | undefined;
	let believed: PooledAgent | undefined;
	for (const agent of agents) {
		if (!isUsable(agent)) {
			continue;
		}

		if (getUnusedCredits(agent) > (credited === undefined ? 0 : getUnusedCredits(credited))) {
			credited = agent;
		}

		if (agent.reportedAt >= now - freshness[mode] && agent.estimatedFreeSlots > (believed?.estimatedFreeSlots ?? 0)) {
			believed = agent;
		}
	}

	return credited ?? believed;
}

/**
 * Unused credits that are kept although nothing waits. In mode `response` every free slot goes back, where all
 * entries find it; in mode `messages` the entry keeps as many as its load is likely to vary by.
 */
export function getCreditReserve(mode: PlacementMode, running: number): number {
	return mode === 'response' ? 0 : Math.ceil(Math.sqrt(running));
}

/** Hands back `count` unused credits, from the agents that have most; gives the agents concerned. */
export function returnExcessCredits(agents: Iterable<PooledAgent>, count: number): readonly PooledAgent[] {
	const concerned: PooledAgent[] = [];
	let left = count;
	for (const agent of [...agents].toSorted((a, b) => getUnusedCredits(b) - getUnusedCredits(a))) {
		const handed = returnCredits(agent, left);
		if (handed === 0) {
			break;
		}

		left -= handed;
		concerned.push(agent);
	}

	return concerned;
}

/** Unused credits above the stock. */
export function getExcessCredits(agents: Iterable<PooledAgent>, mode: PlacementMode, running: number): number {
	return sumUnusedCredits(agents) - getCreditReserve(mode, running);
}
