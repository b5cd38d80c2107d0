/**
 * Detects agents whose tasks fail far more often than those of the others. An upstream that fails every task immediately
 * always has free slots and would otherwise attract work.
 */
import type {Clock, Milliseconds} from '../process/clock.js';

/** Failure rate above which an agent may be ejected. */
const ejectionFailureRate = 0.5;
/** An agent is ejected only if its failure rate exceeds the median of the others by this factor. */
const ejectionRatio = 3;
/** Number of outcomes after which the observed failure rate of an agent is used. */
const minOutcomes = 10;
/** Weight of the newest outcome in the observed failure rate, a moving average. */
const newestWeight = 0.1;
/** Maximum share of the agents that are ejected at the same time. */
const maxEjectedShare = 0.5;
/** Duration of the first ejection; it doubles with each consecutive one, up to the maximum. */
const firstEjectionDuration: Milliseconds = 1000;
const maxEjectionDuration: Milliseconds = 60_000;
/** Interval between single tasks sent to an agent after an ejection, until its failure rate has fallen. */
const probeInterval: Milliseconds = 200;

/** Detects outliers among the agents of one service. */
export type OutlierDetector = {
	/** Adds an agent whose link was opened. What is known about it from earlier links still holds. */
	addAgent(incarnation: string): void;
	/** Records that the link of an agent was lost. */
	removeAgent(incarnation: string): void;
	recordOutcome(incarnation: string, outcome: 'completed' | 'failed' | 'unknown' | 'refused'): void;
	/** Sets the failure rate that the agent itself reports, from 0 to 1. */
	setReportedFailureRate(incarnation: string, failureRate: number): void;
	/** Whether a task may be sent to this agent now. */
	isUsable(incarnation: string): boolean;
	/** Records that a task is being sent to this agent. */
	recordStart(incarnation: string): void;
};

type AgentStatistics = {
	/** Failure rate among the outcomes recorded here, from 0 to 1. */
	observedFailureRate: number;
	outcomeCount: number;
	reportedFailureRate: number;
	consecutiveEjections: number;
	ejectedUntil: Milliseconds;
	/** True from an ejection until the failure rate has fallen again. */
	isProbed: boolean;
	lastStartAt: Milliseconds;
	/** Since when there is no link to the agent; undefined while there is one. */
	unlinkedSince: Milliseconds | undefined;
};

/** Creates a detector without agents. */
export function createOutlierDetector(clock: Clock): OutlierDetector {
	const agents = new Map<string, AgentStatistics>();

	return {
		addAgent(incarnation) {
			deleteAbsentAgents();
			const agent = agents.get(incarnation) ?? createStatistics();
			agent.unlinkedSince = undefined;
			agents.set(incarnation, agent);
		},
		removeAgent(incarnation) {
			deleteAbsentAgents();
			const agent = agents.get(incarnation);
			if (agent !== undefined) {
				agent.unlinkedSince ??= clock.now();
			}
		},
		recordOutcome(incarnation, outcome) {
			const agent = agents.get(incarnation);
			// The end of a run whose agent is gone says nothing about its tasks.
			if (agent === undefined || agent.unlinkedSince !== undefined || outcome === 'refused') {
				return;
			}

			agent.outcomeCount++;
			const failure = outcome === 'completed' ? 0 : 1;
			agent.observedFailureRate += (failure - agent.observedFailureRate) * Math.max(newestWeight, 1 / agent.outcomeCount);
			updateEjection(agent, failure);
		},
		setReportedFailureRate(incarnation, failureRate) {
			const agent = agents.get(incarnation);
			if (agent !== undefined) {
				agent.reportedFailureRate = failureRate;
			}
		},
		isUsable(incarnation) {
			const agent = agents.get(incarnation);
			if (agent === undefined) {
				return true;
			}

			const now = clock.now();
			return now >= agent.ejectedUntil && (!agent.isProbed || now >= agent.lastStartAt + probeInterval);
		},
		recordStart(incarnation) {
			const agent = agents.get(incarnation);
			if (agent !== undefined) {
				agent.lastStartAt = clock.now();
			}
		},
	};

	function deleteAbsentAgents(): void {
		const oldest = clock.now() - maxEjectionDuration;
		for (const [incarnation, {unlinkedSince = Infinity}] of agents) {
			if (unlinkedSince < oldest) {
				agents.delete(incarnation);
			}
		}
	}

	function updateEjection(agent: AgentStatistics, failure: number): void {
		if (isOutlier(agent)) {
			if (failure === 1 && clock.now() >= agent.ejectedUntil) {
				eject(agent);
			}
		} else if (agent.isProbed) {
			agent.isProbed = false;
			agent.consecutiveEjections = 0;
		}
	}

	function isOutlier(agent: AgentStatistics): boolean {
		const failureRate = getFailureRate(agent);
		return agent.outcomeCount >= minOutcomes && failureRate > ejectionFailureRate && failureRate > ejectionRatio * getMedianOfOthers(agent);
	}

	function eject(agent: AgentStatistics): void {
		const others = getLinkedOthers(agent);
		const ejected = others.filter(other => other.isProbed).length;
		if (ejected + 1 > (others.length + 1) * maxEjectedShare) {
			return;
		}

		agent.isProbed = true;
		agent.ejectedUntil = clock.now() + Math.min(maxEjectionDuration, firstEjectionDuration * (2 ** agent.consecutiveEjections));
		agent.consecutiveEjections++;
	}

	function getMedianOfOthers(agent: AgentStatistics): number {
		const failureRates = getLinkedOthers(agent).map(other => getFailureRate(other)).toSorted((a, b) => a - b);
		return failureRates[Math.floor(failureRates.length / 2)] ?? 1;
	}

	function getLinkedOthers(agent: AgentStatistics): readonly AgentStatistics[] {
		return [...agents.values()].filter(other => other !== agent && other.unlinkedSince === undefined);
	}
}

function createStatistics(): AgentStatistics {
	return {
		observedFailureRate: 0, outcomeCount: 0, reportedFailureRate: 0, consecutiveEjections: 0, ejectedUntil: -Infinity, isProbed: false, lastStartAt: -Infinity, unlinkedSince: undefined,
	};
}

/** Returns the observed failure rate, or the reported one until enough outcomes were recorded. */
function getFailureRate(agent: AgentStatistics): number {
	return agent.outcomeCount >= minOutcomes ? agent.observedFailureRate : agent.reportedFailureRate;
}
