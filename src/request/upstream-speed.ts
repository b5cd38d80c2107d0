/**
 * The speeds of the upstreams of one service, as their agents report them. Speed is taken into account only where it
 * differs: while no upstream is much slower than the median one, all count as equal.
 */
import type {AgentView} from './resource-pool.js';

/** The speeds of one service at one entry. */
export type UpstreamSpeeds = {
	/** Whether upstreams differ so much that the choice among them should take it into account. */
	isUneven(): boolean;
	/**
	 * Returns how long a run takes on the agent's upstream, over its declared run time. An upstream of unknown speed counts
	 * as the median one; all count as 1 while they do not differ.
	 */
	getRunTimeRatio(agent: AgentView): number;
	/** Returns the lowest ratio of all agents that are not draining; 1 while they do not differ. */
	getLowestRatio(): number;
	/** Causes the speeds to be compared again, after an agent was added or removed or reported another ratio. */
	invalidate(): void;
};

/** Ratio of the slow upstreams to the median one from which on upstreams count as different. */
const minUnevenness = 1.15;
/** Ratio below which upstreams that counted as different count as equal again. */
const maxEvenness = 1.1;
/** Share of the upstreams that are compared with the median one. The slowest alone may only seem slow after few runs. */
const slowShare = 0.2;
/** Ratio of the slowest upstream to the median one that is no error of the estimate. */
const minSlowest = 1.4;
/** Minimum number of upstreams of known speed that are compared. */
const minKnown = 3;

/** Creates the speeds of the agents of one service. */
export function createUpstreamSpeeds(agents: ReadonlyMap<string, AgentView>): UpstreamSpeeds {
	let isValid = false;
	let isUneven = false;
	let median = 1;
	let lowest = 1;

	return {
		isUneven() {
			update();
			return isUneven;
		},
		getRunTimeRatio(agent) {
			update();
			return isUneven ? agent.runTimeRatio ?? median : 1;
		},
		getLowestRatio() {
			update();
			return isUneven ? lowest : 1;
		},
		invalidate() {
			isValid = false;
		},
	};

	function update(): void {
		if (isValid) {
			return;
		}

		isValid = true;
		const ratios = [...agents.values()].flatMap(({runTimeRatio, isDraining}) => runTimeRatio === undefined || isDraining ? [] : [runTimeRatio]).toSorted((a, b) => a - b);
		median = ratios[Math.floor((ratios.length - 1) / 2)] ?? 1;
		lowest = ratios[0] ?? 1;
		const slow = ratios.slice(-Math.ceil(ratios.length * slowShare));
		const unevenness = slow.reduce((sum, ratio) => sum + ratio, 0) / (slow.length * median);
		isUneven = ratios.length >= minKnown && (unevenness >= (isUneven ? maxEvenness : minUnevenness) || slow.at(-1)! >= median * minSlowest);
	}
}

/** Factor by which a reported ratio must differ from the one in use to replace it. */
const minRatioChange = 1.03;

/** Applies a reported ratio, in thousandths; 0 if it is unknown. Returns whether it differs noticeably from the one in use. */
export function applyRunTimeRatio(agent: AgentView, perMille: number): boolean {
	const ratio = perMille === 0 ? undefined : perMille / 1000;
	const current = agent.runTimeRatio;
	if (ratio === current || (ratio !== undefined && current !== undefined && ratio < current * minRatioChange && ratio * minRatioChange > current)) {
		return false;
	}

	agent.runTimeRatio = ratio;
	return true;
}
