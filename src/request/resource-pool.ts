/**
 * The free resources of upstreams as one entry estimates them: each agent's last report, less the starts that the
 * agent had not received when it reported.
 */
import {fits, noResources, subtractResources} from '../connection/resources.js';
import type {AgentStatus, AgentInfo, TaskRequirements} from '../connection/types.js';
import {Soundness, type Resources} from '../generated/kingcuplane.js';
import type {Milliseconds} from '../process/clock.js';
import type {AgentRuns} from './running-tasks.js';

/** An entry's state of one agent with an open link. */
export type AgentView = {
	readonly info: AgentInfo;
	/** Whether nothing may be started on the agent's upstream: its agent reports that it drains, or its data centre is evacuated. */
	isDraining: boolean;
	isReportedDraining: boolean;
	isEvacuated: boolean;
	health: Soundness;
	/** Total resources in the agent's last report. */
	capacity: Resources;
	/** Free resources in the agent's last report; undefined until it reports them, on each link, after a refusal, and while it may be cut off. Nothing is started meanwhile. */
	reportedFreeResources: Resources | undefined;
	/** What running tasks were expected to release by the agent's last report, in order of time on the monotonic clock. */
	releases: ReadonlyArray<{readonly at: Milliseconds; readonly resources: Resources}>;
	/** Time of the agent's last report, on the monotonic clock. */
	reportedAt: Milliseconds;
	/** Usual run time on the upstream over the declared one; undefined if it is not known. */
	runTimeRatio?: number;
	/** Number of starts sent since the link was opened. */
	sentStarts: number;
	/** Sent starts that the agent had not received when it made its last report, oldest first. */
	readonly unreceivedStarts: Array<{readonly number: number; readonly resources: Resources}>;
	/** What this entry has running there, also from earlier links. */
	readonly runs: AgentRuns;
};

/** Creates the state of an agent whose link was just opened. */
export function createAgentView(agentInfo: AgentInfo, runs: AgentRuns): AgentView {
	return {
		info: agentInfo,
		runs,
		isDraining: false,
		isReportedDraining: false,
		isEvacuated: false,
		health: Soundness.SOUNDNESS_SOUND,
		capacity: agentInfo.capacity ?? noResources,
		reportedFreeResources: undefined,
		releases: [],
		reportedAt: -Infinity,
		sentStarts: 0,
		unreceivedStarts: [],
	};
}

/** Applies a status report of an agent. */
export function applyStatus(agent: AgentView, status: AgentStatus, now: Milliseconds): void {
	agent.reportedAt = now;
	agent.isReportedDraining = status.draining;
	updateDraining(agent);
	agent.health = status.soundness ?? Soundness.SOUNDNESS_SOUND;
	agent.capacity = status.capacity ?? agent.capacity;
	agent.reportedFreeResources = status.freeRoom ?? noResources;
	agent.releases = (status.releases ?? []).map(({inMs, resources}) => ({at: now + inMs, resources: resources ?? noResources}));
	const received = status.receivedStarts ?? 0;
	while (agent.unreceivedStarts[0] !== undefined && agent.unreceivedStarts[0].number <= received) {
		agent.unreceivedStarts.shift();
	}
}

/** Sets whether the data centre of an agent is evacuated. */
export function setEvacuated(agent: AgentView, isEvacuated: boolean): void {
	agent.isEvacuated = isEvacuated;
	updateDraining(agent);
}

function updateDraining(agent: AgentView): void {
	agent.isDraining = agent.isReportedDraining || agent.isEvacuated;
}

/** Records a start that is about to be sent. */
export function recordSentStart(agent: AgentView, requirements: TaskRequirements): void {
	agent.sentStarts++;
	agent.unreceivedStarts.push({number: agent.sentStarts, resources: requirements.resources});
}

/** Returns the resources of the agent's upstream that are probably free. */
export function estimateFreeResources(agent: AgentView): Resources {
	let free = agent.reportedFreeResources ?? noResources;
	for (const {resources} of agent.unreceivedStarts) {
		free = subtractResources(free, resources);
	}

	return free;
}

/** Lets nothing more be sent to an agent until its next report, because it refused a start or may be cut off. */
export function clearReport(agent: AgentView): void {
	agent.reportedFreeResources = undefined;
}

/**
 * Whether the health of the agent's upstream allows another start. An upstream that is being probed gets one task at a
 * time.
 */
export function isStartAllowed(agent: AgentView): boolean {
	switch (agent.health) {
		case Soundness.SOUNDNESS_SUSPECT: {
			return false;
		}

		case Soundness.SOUNDNESS_PROBED: {
			return agent.runs.countJobs() === 0;
		}

		default: {
			return true;
		}
	}
}

/** Whether a task may run on the agent's upstream at all, by its total capacity and labels. */
export function isEligible(agent: AgentView, requirements: TaskRequirements): boolean {
	const {labels = []} = agent.info;
	return fits(requirements.resources, agent.capacity) && (requirements.label === undefined || labels.includes(requirements.label));
}

/**
 * Whether at least the share `reserve` of the processors stays free after a start of this task, for work that arrives
 * later.
 */
export function leavesReserve(agent: AgentView, requirements: TaskRequirements, reserve: number): boolean {
	const remaining = subtractResources(estimateFreeResources(agent), requirements.resources);
	return remaining.cpu >= agent.capacity.cpu * reserve;
}

/** Whether a task probably fits on the agent's upstream now. */
export function hasFreeResources(agent: AgentView, ticket: string, requirements: TaskRequirements): boolean {
	const isBelowLimit = requirements.maxPerUpstream === undefined || agent.runs.count(ticket) < requirements.maxPerUpstream;
	return isBelowLimit && agent.reportedFreeResources !== undefined && fits(requirements.resources, estimateFreeResources(agent));
}

/** Returns the number of agents whose upstream is not classified as healthy. */
export function countSuspects(agents: Iterable<AgentView>): number {
	let suspects = 0;
	for (const agent of agents) {
		suspects += agent.health === Soundness.SOUNDNESS_SOUND ? 0 : 1;
	}

	return suspects;
}

/** Returns the preferred members, or all members if none is preferred. */
export function prefer<T>(members: readonly T[], isPreferred: (member: T) => boolean): readonly T[] {
	const preferred = members.filter(member => isPreferred(member));
	return preferred.length > 0 ? preferred : members;
}
