/**
 * The credits that one entry holds, by agent. Counters restart from zero when a link opens.
 */
import type {Milliseconds} from '../process/clock.js';
import type {AgentCondition, AgentFacts} from '../connection/types.js';

/** One agent with an open link. */
export type PooledAgent = {
	readonly facts: AgentFacts;
	/** Tasks that the upstream runs at the same time, as last told. */
	slots: number;
	isDraining: boolean;
	granted: number;
	started: number;
	returned: number;
	/** Since when at least one credit has lain unused. */
	idleSince: Milliseconds;
};

/** All agents with open links. */
export type CreditPool = {
	open(facts: AgentFacts): void;
	close(incarnation: string): PooledAgent | undefined;
	tryGet(incarnation: string): PooledAgent | undefined;
	/** Agents of a service, in the order in which their links opened. */
	getAgents(service: string): ReadonlySet<PooledAgent>;
	setCondition(agent: PooledAgent, condition: AgentCondition): void;
};

const noAgents: ReadonlySet<PooledAgent> = new Set();

/** Creates a pool without agents. */
export function createCreditPool(): CreditPool {
	const agents = new Map<string, PooledAgent>();
	const byService = new Map<string, Set<PooledAgent>>();

	return {
		open(facts) {
			close(facts.incarnation);
			const agent: PooledAgent = {
				facts, slots: facts.slots, isDraining: false, granted: 0, started: 0, returned: 0, idleSince: 0,
			};
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
		setCondition(agent, condition) {
			agent.slots = condition.slots;
			agent.isDraining = condition.draining;
		},
	};

	function close(incarnation: string): PooledAgent | undefined {
		const agent = agents.get(incarnation);
		if (agent === undefined) {
			return undefined;
		}

		agents.delete(incarnation);
		const members = byService.get(agent.facts.service);
		members?.delete(agent);
		if (members?.size === 0) {
			byService.delete(agent.facts.service);
		}

		return agent;
	}
}

/** Credits that allow a start now. */
export function getUnused(agent: PooledAgent): number {
	return agent.granted - agent.started - agent.returned;
}

/** Hands back all but `keep` unused credits; false if there were no more. */
export function handBack(agent: PooledAgent, keep: number): boolean {
	const count = getUnused(agent) - keep;
	if (count <= 0) {
		return false;
	}

	agent.returned += count;
	return true;
}
