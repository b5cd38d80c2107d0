/**
 * Divides the waiting tasks of a service among its agents, so that each is asked for a part of the credits
 * that are wanted and no credit is granted twice for the same task.
 */
import type {PlacementMode} from '../version/types.js';
import type {PooledAgent} from './credit-pool.js';

/** Credits asked for each waiting task. More than one finds a free slot sooner and wastes the other grants. */
const creditsPerTask: Readonly<Record<PlacementMode, number>> = {response: 11, messages: 1};
/** Messages that place nothing, allowed for each started task in mode `messages`. */
const budgetPerStart = 0.01;
const maxBudget = 20;
/** A report on its own, and the grant that answers it. */
const reportCost = 2;

/** Demand of one service. */
export type Demand = {
	/** Sets the part of each agent; tells through `changed` where it is worth a message. */
	update(agents: readonly PooledAgent[], queued: number, running: number, mode: PlacementMode): void;
	/** Nothing waits: another agent is asked first next time. */
	rotate(): void;
	recordStart(): void;
};

/** Creates the demand of a service without waiting tasks. `changed` is called for each agent to be told. */
export function createDemand(changed: (agent: PooledAgent) => void): Demand {
	let budget = 0;
	/** Rotates the agents that are asked first. */
	let offset = 0;

	return {
		update(agents, queued, running, mode) {
			const wanted = queued * Math.min(agents.length, creditsPerTask[mode]);
			if (wanted === 0) {
				offset++;
			}

			let index = offset % Math.max(1, agents.length);
			for (const agent of agents) {
				index = (index + 1) % agents.length;
				const part = Math.floor((wanted + index) / agents.length);
				agent.wantedCredits = part;
				if (part > 0 && agent.reportedWantedCredits === 0 && !agent.isReportPending && mayReport(running, mode)) {
					agent.isReportPending = true;
					changed(agent);
				}
			}
		},
		rotate() {
			offset++;
		},
		recordStart() {
			budget = Math.min(maxBudget, budget + budgetPerStart);
		},
	};

	/** Without a running task no batch would go anyway, so the report cannot wait. */
	function mayReport(running: number, mode: PlacementMode): boolean {
		if (mode === 'response' || running === 0) {
			return true;
		}

		if (budget < reportCost) {
			return false;
		}

		budget -= reportCost;
		return true;
	}
}
