/**
 * What one entry believes of the room at the upstreams: what agents told last, less the starts that they had not
 * received by then.
 */
import {fits, noResources, subtractResources} from '../connection/resources.js';
import type {AgentCondition, AgentFacts, TaskNeed} from '../connection/types.js';
import {Soundness, type Resources} from '../generated/kingcuplane.js';
import type {Milliseconds} from '../process/clock.js';

/** One agent with an open link. */
export type RoomAgent = {
	readonly facts: AgentFacts;
	isDraining: boolean;
	soundness: Soundness;
	/** Free room as last told. */
	told: Resources;
	toldAt: Milliseconds;
	/** Starts sent since the link opened. */
	sent: number;
	/** Sent starts that the agent had not received when it last told its room, oldest first. */
	readonly pending: Array<{readonly number: number; readonly resources: Resources}>;
	/** Running tasks of each job, by ticket. */
	readonly running: Map<string, number>;
};

/** Creates the view of an agent whose link has just opened. */
export function createRoomAgent(facts: AgentFacts): RoomAgent {
	return {
		facts, isDraining: false, soundness: Soundness.SOUNDNESS_SOUND, told: noResources, toldAt: -Infinity, sent: 0, pending: [], running: new Map(),
	};
}

/** Takes over what an agent tells of itself. */
export function setRoomCondition(agent: RoomAgent, condition: AgentCondition, now: Milliseconds): void {
	agent.toldAt = now;
	agent.isDraining = condition.draining;
	agent.soundness = condition.soundness ?? Soundness.SOUNDNESS_SOUND;
	agent.told = condition.freeRoom ?? noResources;
	const received = condition.receivedStarts ?? 0;
	while (agent.pending[0] !== undefined && agent.pending[0].number <= received) {
		agent.pending.shift();
	}
}

/** Counts a start that is about to be sent. */
export function noteSent(agent: RoomAgent, ticket: string, need: TaskNeed): void {
	agent.sent++;
	agent.pending.push({number: agent.sent, resources: need.resources});
	agent.running.set(ticket, (agent.running.get(ticket) ?? 0) + 1);
}

/** Counts the end of a run. */
export function noteEnd(agent: RoomAgent, ticket: string): void {
	const left = (agent.running.get(ticket) ?? 0) - 1;
	if (left > 0) {
		agent.running.set(ticket, left);
	} else {
		agent.running.delete(ticket);
	}
}

/** Room that is probably free. */
export function getBelievedRoom(agent: RoomAgent): Resources {
	let room = agent.told;
	for (const {resources} of agent.pending) {
		room = subtractResources(room, resources);
	}

	return room;
}

/** An agent refused a start: nothing more is sent there until it tells its room again. */
export function noteRefusal(agent: RoomAgent): void {
	agent.told = noResources;
}

/** Whether the agent's judgement of its upstream allows another start: one at a time where it is probed. */
export function isTrusted(agent: RoomAgent): boolean {
	switch (agent.soundness) {
		case Soundness.SOUNDNESS_SUSPECT: {
			return false;
		}

		case Soundness.SOUNDNESS_PROBED: {
			return agent.running.size === 0;
		}

		default: {
			return true;
		}
	}
}

/** Whether a task may run on this upstream at all. */
export function isEligible(agent: RoomAgent, need: TaskNeed): boolean {
	const {room = noResources, labels = []} = agent.facts;
	return fits(need.resources, room) && (need.label === undefined || labels.includes(need.label));
}

/** Whether enough room stays free after a task for work that arrives next. */
export function leavesReserve(agent: RoomAgent, need: TaskNeed, reserve: number): boolean {
	const left = subtractResources(getBelievedRoom(agent), need.resources);
	return left.cpu >= (agent.facts.room ?? noResources).cpu * reserve;
}

/** Whether a task probably fits now. */
export function hasRoom(agent: RoomAgent, ticket: string, need: TaskNeed): boolean {
	const isBelowLimit = need.maxPerUpstream === undefined || (agent.running.get(ticket) ?? 0) < need.maxPerUpstream;
	return isBelowLimit && fits(need.resources, getBelievedRoom(agent));
}
