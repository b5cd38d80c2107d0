/**
 * Divides the credits that a service wants for its waiting tasks among its agents. Each agent is asked for a
 * share, so that no credit is granted twice for the same task.
 */
import type {PlacementMode} from '../version/types.js';
import type {PooledAgent} from './credit-pool.js';

/** Credits requested for each waiting task. More than one finds a free slot sooner but wastes the other grants. */
const creditsPerTask: Readonly<Record<PlacementMode, number>> = {response: 11, messages: 1};
/** Messages without a start that are allowed for each started task in mode `messages`. */
const messageBudgetPerStart = 0.01;
const maxMessageBudget = 20;
/** A separate report and the grant that answers it. */
const messagesPerReport = 2;

/** The credit demand of one service. */
export type Demand = {
	/** Sets the share of each agent, and schedules a report to it where this is worth a message. */
	update(agents: readonly PooledAgent[], queued: number, running: number, mode: PlacementMode): void;
	/** Called while nothing waits. The next demand starts with another agent. */
	rotate(): void;
	recordStart(): void;
};

/**
 * Creates the demand of a service without waiting tasks. `onReportChanged` is called for each agent that needs a
 * report.
 */
export function createDemand(onReportChanged: (agent: PooledAgent) => void): Demand {
	let messageBudget = 0;
	/** Rotates the order in which agents get a share. */
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
				const share = Math.floor((wanted + index) / agents.length);
				agent.wantedCredits = share;
				if (share > 0 && agent.reportedWantedCredits === 0 && !agent.isReportPending && mayReport(running, mode)) {
					agent.isReportPending = true;
					onReportChanged(agent);
				}
			}
		},
		rotate() {
			offset++;
		},
		recordStart() {
			messageBudget = Math.min(maxMessageBudget, messageBudget + messageBudgetPerStart);
		},
	};

	/**
	 * Whether a separate report may be sent. Without running tasks no other batch would carry it, so it cannot wait.
	 */
	function mayReport(running: number, mode: PlacementMode): boolean {
		if (mode === 'response' || running === 0) {
			return true;
		}

		if (messageBudget < messagesPerReport) {
			return false;
		}

		messageBudget -= messagesPerReport;
		return true;
	}
}
