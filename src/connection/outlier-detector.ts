/**
 * Finds agents that fail far more often than the others, so that an upstream that fails everything at once
 * does not attract work because it always has free slots.
 */
import type {Clock, Milliseconds} from '../process/clock.js';

/** Share of failures above which an agent may be ejected. */
const ejectionShare = 0.5;
/** An ejected agent fails at least this many times as often as the median of the others. */
const ejectionRatio = 3;
/** Ends that an agent must have shown before its share counts. */
const minEnds = 10;
/** Weight of the newest end in an agent's share of failures. */
const newestWeight = 0.1;
/** Largest part of the agents that is ejected at the same time. */
const maxEjectedPart = 0.5;
/** Length of a first ejection; each further one in a row is twice as long, up to the maximum. */
const firstEjection: Milliseconds = 1000;
const maxEjection: Milliseconds = 60_000;
/** Interval between single tasks sent to an agent that comes back, until its share of failures has fallen. */
const probeInterval: Milliseconds = 200;

/** Watches the agents of one service. */
export type OutlierDetector = {
	addAgent(incarnation: string): void;
	removeAgent(incarnation: string): void;
	recordOutcome(incarnation: string, outcome: 'completed' | 'failed' | 'unknown' | 'refused'): void;
	/** The share of failures that the agent itself reports, from 0 to 1. */
	setReportedFailureRate(incarnation: string, share: number): void;
	/** Whether a task may be sent to this agent now. */
	isUsable(incarnation: string): boolean;
	/** Tells that a task is being sent. */
	recordStart(incarnation: string): void;
};

type Watched = {
	/** Share of failures among the ends seen here. */
	seen: number;
	ends: number;
	reported: number;
	/** Ejections in a row. */
	ejections: number;
	ejectedUntil: Milliseconds;
	/** True from an ejection until the share of failures has fallen again. */
	isProbed: boolean;
	lastStart: Milliseconds;
};

/** Creates a detector that watches no agent yet. */
export function createOutlierDetector(clock: Clock): OutlierDetector {
	const agents = new Map<string, Watched>();

	return {
		addAgent(incarnation) {
			agents.set(incarnation, {
				seen: 0, ends: 0, reported: 0, ejections: 0, ejectedUntil: -Infinity, isProbed: false, lastStart: -Infinity,
			});
		},
		removeAgent(incarnation) {
			agents.delete(incarnation);
		},
		recordOutcome(incarnation, outcome) {
			const agent = agents.get(incarnation);
			if (agent === undefined || outcome === 'refused') {
				return;
			}

			agent.ends++;
			const failure = outcome === 'completed' ? 0 : 1;
			agent.seen += (failure - agent.seen) * Math.max(newestWeight, 1 / agent.ends);
			review(agent, failure);
		},
		setReportedFailureRate(incarnation, share) {
			const agent = agents.get(incarnation);
			if (agent !== undefined) {
				agent.reported = share;
			}
		},
		isUsable(incarnation) {
			const agent = agents.get(incarnation);
			if (agent === undefined) {
				return true;
			}

			const now = clock.now();
			return now >= agent.ejectedUntil && (!agent.isProbed || now >= agent.lastStart + probeInterval);
		},
		recordStart(incarnation) {
			const agent = agents.get(incarnation);
			if (agent !== undefined) {
				agent.lastStart = clock.now();
			}
		},
	};

	function review(agent: Watched, failure: number): void {
		if (isOutlier(agent)) {
			if (failure === 1 && clock.now() >= agent.ejectedUntil) {
				eject(agent);
			}
		} else if (agent.isProbed) {
			agent.isProbed = false;
			agent.ejections = 0;
		}
	}

	function isOutlier(agent: Watched): boolean {
		const share = getShare(agent);
		return agent.ends >= minEnds && share > ejectionShare && share > ejectionRatio * getMedianOfOthers(agent);
	}

	function eject(agent: Watched): void {
		const ejected = [...agents.values()].filter(other => other !== agent && other.isProbed).length;
		if (ejected + 1 > agents.size * maxEjectedPart) {
			return;
		}

		agent.isProbed = true;
		agent.ejectedUntil = clock.now() + Math.min(maxEjection, firstEjection * (2 ** agent.ejections));
		agent.ejections++;
	}

	function getMedianOfOthers(agent: Watched): number {
		const shares = [...agents.values()].filter(other => other !== agent).map(other => getShare(other)).toSorted((a, b) => a - b);
		return shares[Math.floor(shares.length / 2)] ?? 1;
	}
}

/** What was seen here decides; what the agent reports counts until enough was seen. */
function getShare(agent: Watched): number {
	return agent.ends >= minEnds ? agent.seen : agent.reported;
}
