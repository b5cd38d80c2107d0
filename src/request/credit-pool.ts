/**
 * The credits that one entry holds, by agent. Each credit allows the entry to start one task on the agent's upstream.
 * Counters restart from zero when a link is opened.
 */
import type {Milliseconds} from '../process/clock.js';
import type {AgentStatus, AgentInfo} from '../connection/types.js';

/** One agent with an open link. */
export type PooledAgent = {
	readonly info: AgentInfo;
	/** Maximum number of tasks that the upstream runs at the same time, as last reported. */
	slots: number;
	/** Whether nothing may be started on the agent's upstream: its agent reports that it drains, or its data centre is evacuated. */
	isDraining: boolean;
	isReportedDraining: boolean;
	isEvacuated: boolean;
	granted: number;
	started: number;
	returned: number;
	/** Estimate of the slots that are free and not granted to any entry: a start without a credit may succeed there. */
	estimatedFreeSlots: number;
	/** Time of the agent's last status report, on the monotonic clock. */
	reportedAt: Milliseconds;
	/** Credits wanted from this agent. */
	wantedCredits: number;
	/** The value of `wantedCredits` that was last reported to the agent. */
	reportedWantedCredits: number;
	/** Whether a batch was scheduled to report `wantedCredits`. */
	isReportPending: boolean;
};

/** All agents with open links. */
export type CreditPool = {
	/** Adds an agent whose link was opened; replaces an earlier one of the same incarnation. */
	open(agentInfo: AgentInfo): void;
	/** Removes an agent whose link was closed, and returns it. */
	close(incarnation: string): PooledAgent | undefined;
	tryGet(incarnation: string): PooledAgent | undefined;
	/** Returns the agents of a service, in the order in which their links were opened. */
	getAgents(service: string): ReadonlySet<PooledAgent>;
	/** Returns the slots of all agents of a service outside of evacuated data centres. */
	getSlots(service: string): number;
};

const noAgents: ReadonlySet<PooledAgent> = new Set();

/** Creates a pool without agents. */
export function createCreditPool(): CreditPool {
	const agents = new Map<string, PooledAgent>();
	const byService = new Map<string, Set<PooledAgent>>();

	return {
		open(agentInfo) {
			close(agentInfo.incarnation);
			const agent = createAgent(agentInfo);
			agents.set(agentInfo.incarnation, agent);
			const members = byService.get(agentInfo.service);
			if (members === undefined) {
				byService.set(agentInfo.service, new Set([agent]));
			} else {
				members.add(agent);
			}
		},
		close,
		tryGet: incarnation => agents.get(incarnation),
		getAgents: service => byService.get(service) ?? noAgents,
		getSlots(service) {
			let sum = 0;
			for (const agent of byService.get(service) ?? noAgents) {
				sum += agent.isEvacuated ? 0 : agent.slots;
			}

			return sum;
		},
	};

	function close(incarnation: string): PooledAgent | undefined {
		const agent = agents.get(incarnation);
		if (agent === undefined) {
			return undefined;
		}

		agents.delete(incarnation);
		const members = byService.get(agent.info.service);
		members?.delete(agent);
		if (members?.size === 0) {
			byService.delete(agent.info.service);
		}

		return agent;
	}
}

function createAgent(agentInfo: AgentInfo): PooledAgent {
	return {
		info: agentInfo,
		slots: agentInfo.slots,
		isDraining: false,
		isReportedDraining: false,
		isEvacuated: false,
		granted: 0,
		started: 0,
		returned: 0,
		estimatedFreeSlots: 0,
		reportedAt: 0,
		wantedCredits: 0,
		reportedWantedCredits: 0,
		isReportPending: false,
	};
}

/** Applies a status report of an agent. */
export function applyStatus(agent: PooledAgent, status: AgentStatus, now: Milliseconds): void {
	agent.slots = status.slots;
	agent.isReportedDraining = status.draining;
	agent.estimatedFreeSlots = status.draining ? 0 : status.free ?? 0;
	agent.reportedAt = now;
	updateDraining(agent);
}

/** Sets whether the data centre of an agent is evacuated. */
export function setEvacuated(agent: PooledAgent, isEvacuated: boolean): void {
	agent.isEvacuated = isEvacuated;
	updateDraining(agent);
}

function updateDraining(agent: PooledAgent): void {
	agent.isDraining = agent.isReportedDraining || agent.isEvacuated;
	agent.estimatedFreeSlots = agent.isDraining ? 0 : agent.estimatedFreeSlots;
}

/** Returns the credits that allow a start now; negative while a start without a credit is in flight. */
export function getUnusedCredits(agent: PooledAgent): number {
	return agent.granted - agent.started - agent.returned;
}

/** Returns the sum of the unused credits of `agents`. */
export function sumUnusedCredits(agents: Iterable<PooledAgent>): number {
	let sum = 0;
	for (const agent of agents) {
		sum += Math.max(0, getUnusedCredits(agent));
	}

	return sum;
}

/** Returns up to `count` unused credits to the agent. The result is the number of credits that were returned. */
export function returnCredits(agent: PooledAgent, count: number): number {
	const returnedCount = Math.max(0, Math.min(count, getUnusedCredits(agent)));
	agent.returned += returnedCount;
	return returnedCount;
}
