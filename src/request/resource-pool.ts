/**
 * What one entry believes of the room at the upstreams: what agents told last, less the starts that they had not
 * received by then.
 */
import {fits, noResources, subtractResources} from '../connection/resources.js';
import type {AgentStatus, AgentInfo, TaskRequirements} from '../connection/types.js';
import {Soundness, type Resources} from '../generated/kingcuplane.js';
import type {Milliseconds} from '../process/clock.js';

/** One agent with an open link. */
export type AgentView = {
	readonly info: AgentInfo;
	isDraining: boolean;
	health: Soundness;
	/** Free room as last told. */
	reportedFreeResources: Resources;
	reportedAt: Milliseconds;
	/** Starts sent since the link opened. */
	sentStarts: number;
	/** Sent starts that the agent had not received when it last told its room, oldest first. */
	readonly unreceivedStarts: Array<{readonly number: number; readonly resources: Resources}>;
	/** Running tasks of each job, by ticket. */
	readonly runningByTicket: Map<string, number>;
};

/** Creates the view of an agent whose link has just opened. */
export function createAgentView(facts: AgentInfo): AgentView {
	return {
		info: facts, isDraining: false, health: Soundness.SOUNDNESS_SOUND, reportedFreeResources: noResources, reportedAt: -Infinity, sentStarts: 0, unreceivedStarts: [], runningByTicket: new Map(),
	};
}

/** Takes over what an agent tells of itself. */
export function applyStatus(agent: AgentView, condition: AgentStatus, now: Milliseconds): void {
	agent.reportedAt = now;
	agent.isDraining = condition.draining;
	agent.health = condition.soundness ?? Soundness.SOUNDNESS_SOUND;
	agent.reportedFreeResources = condition.freeRoom ?? noResources;
	const received = condition.receivedStarts ?? 0;
	while (agent.unreceivedStarts[0] !== undefined && agent.unreceivedStarts[0].number <= received) {
		agent.unreceivedStarts.shift();
	}
}

/** Counts a start that is about to be sent. */
export function recordSentStart(agent: AgentView, ticket: string, need: TaskRequirements): void {
	agent.sentStarts++;
	agent.unreceivedStarts.push({number: agent.sentStarts, resources: need.resources});
	agent.runningByTicket.set(ticket, (agent.runningByTicket.get(ticket) ?? 0) + 1);
}

/** Counts the end of a run. */
export function recordRunEnd(agent: AgentView, ticket: string): void {
	const left = (agent.runningByTicket.get(ticket) ?? 0) - 1;
	if (left > 0) {
		agent.runningByTicket.set(ticket, left);
	} else {
		agent.runningByTicket.delete(ticket);
	}
}

/** Room that is probably free. */
export function estimateFreeResources(agent: AgentView): Resources {
	let room = agent.reportedFreeResources;
	for (const {resources} of agent.unreceivedStarts) {
		room = subtractResources(room, resources);
	}

	return room;
}

/** An agent refused a start: nothing more is sent there until it tells its room again. */
export function recordRefusal(agent: AgentView): void {
	agent.reportedFreeResources = noResources;
}

/** Whether the agent's judgement of its upstream allows another start: one at a time where it is probed. */
export function isStartAllowed(agent: AgentView): boolean {
	switch (agent.health) {
		case Soundness.SOUNDNESS_SUSPECT: {
			return false;
		}

		case Soundness.SOUNDNESS_PROBED: {
			return agent.runningByTicket.size === 0;
		}

		default: {
			return true;
		}
	}
}

/** Whether a task may run on this upstream at all. */
export function isEligible(agent: AgentView, need: TaskRequirements): boolean {
	const {capacity: room = noResources, labels = []} = agent.info;
	return fits(need.resources, room) && (need.label === undefined || labels.includes(need.label));
}

/** Whether enough room stays free after a task for work that arrives next. */
export function leavesReserve(agent: AgentView, need: TaskRequirements, reserve: number): boolean {
	const left = subtractResources(estimateFreeResources(agent), need.resources);
	return left.cpu >= (agent.info.capacity ?? noResources).cpu * reserve;
}

/** Whether a task probably fits now. */
export function hasFreeResources(agent: AgentView, ticket: string, need: TaskRequirements): boolean {
	const isBelowLimit = need.maxPerUpstream === undefined || (agent.runningByTicket.get(ticket) ?? 0) < need.maxPerUpstream;
	return isBelowLimit && fits(need.resources, estimateFreeResources(agent));
}
