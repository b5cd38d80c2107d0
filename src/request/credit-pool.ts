/**
 * The credits that one entry holds, by agent. Counters restart from zero when a link opens.
 */
import type {Milliseconds} from '../process/clock.js';
import type {AgentStatus, AgentInfo} from '../connection/types.js';

/** One agent with an open link. */
export type PooledAgent = {
	readonly info: AgentInfo;
	/** Tasks that the upstream runs at the same time, as last told. */
	slots: number;
	isDraining: boolean;
	granted: number;
	started: number;
	returned: number;
	/** Slots that are probably free and granted to nobody: a start without a credit may succeed there. */
	estimatedFreeSlots: number;
	/** When the agent last told its condition. */
	reportedAt: Milliseconds;
	/** Credits wanted from this agent, and how many it was last told. */
	wantedCredits: number;
	reportedWantedCredits: number;
	/** Whether a batch is due because of the credits wanted. */
	isReportPending: boolean;
};

/** All agents with open links. */
export type CreditPool = {
	open(facts: AgentInfo): void;
	close(incarnation: string): PooledAgent | undefined;
	tryGet(incarnation: string): PooledAgent | undefined;
	/** Agents of a service, in the order in which their links opened. */
	getAgents(service: string): ReadonlySet<PooledAgent>;
	getSlots(service: string): number;
};

const noAgents: ReadonlySet<PooledAgent> = new Set();

/** Creates a pool without agents. */
export function createCreditPool(): CreditPool {
	const agents = new Map<string, PooledAgent>();
	const byService = new Map<string, Set<PooledAgent>>();

	return {
		open(facts) {
			close(facts.incarnation);
			const agent = createAgent(facts);
			agents.set(facts.incarnation, agent);
			const members = byService.get(facts.service);
			if (members === undefined) {
				byService.set(facts.service, new Set([agent]));
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
				sum += agent.slots;
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

function createAgent(facts: AgentInfo): PooledAgent {
	return {
		info: facts,
		slots: facts.slots,
		isDraining: false,
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

/** Takes over what an agent tells of itself. */
export function applyStatus(agent: PooledAgent, condition: AgentStatus, now: Milliseconds): void {
	agent.slots = condition.slots;
	agent.isDraining = condition.draining;
	agent.estimatedFreeSlots = condition.draining ? 0 : condition.free ?? 0;
	agent.reportedAt = now;
}

/** Credits that allow a start now; negative while a start without a credit is on its way. */
export function getUnusedCredits(agent: PooledAgent): number {
	return agent.granted - agent.started - agent.returned;
}

/** Unused credits of several agents. */
export function sumUnusedCredits(agents: Iterable<PooledAgent>): number {
	let sum = 0;
	for (const agent of agents) {
		sum += Math.max(0, getUnusedCredits(agent));
	}

	return sum;
}

/** Hands back up to `count` unused credits; gives the number handed back. */
export function returnCredits(agent: PooledAgent, count: number): number {
	const handed = Math.max(0, Math.min(count, getUnusedCredits(agent)));
	agent.returned += handed;
	return handed;
}
