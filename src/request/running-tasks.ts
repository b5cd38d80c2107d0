/**
 * What runs where: the tasks that this entry has started and whose end it does not know. All limits and counts of runs are views
 * of it. A run lives from its start to its end, and not as long as the link to its agent, since an agent lets its runs go on
 * when a link is lost.
 */
import type {AgentInfo} from '../connection/types.js';

/** The running tasks of all agents, with or without a link. */
export type RunningTasks = {
	/** Records a start that is about to be sent. */
	recordStart(agent: Pick<AgentInfo, 'incarnation' | 'service'>, ticket: string): void;
	/** Records that a run has ended, or that its start was never received. Returns its service; undefined if no such run is known. */
	recordEnd(incarnation: string, ticket: string): string | undefined;
	/** Returns the view of one agent's runs, which follows all later changes. */
	getRunsOf(incarnation: string): AgentRuns;
};

/** The running tasks of one agent. */
export type AgentRuns = {
	/** Returns the number of running tasks of a job. */
	count(ticket: string): number;
	/** Returns the number of jobs that have a running task there. */
	countJobs(): number;
};

type RunsOfAgent = {
	readonly service: string;
	/** Number of running tasks of each job, by ticket. */
	readonly byTicket: Map<string, number>;
};

/** Creates the state of an entry that has started nothing. */
export function createRunningTasks(): RunningTasks {
	/** Only agents with running tasks, by incarnation. */
	const agents = new Map<string, RunsOfAgent>();

	return {
		recordStart({incarnation, service}, ticket) {
			const {byTicket} = getOrCreate(incarnation, service);
			byTicket.set(ticket, (byTicket.get(ticket) ?? 0) + 1);
		},
		recordEnd(incarnation, ticket) {
			const agent = agents.get(incarnation);
			const running = agent?.byTicket.get(ticket);
			if (agent === undefined || running === undefined) {
				return undefined;
			}

			if (running > 1) {
				agent.byTicket.set(ticket, running - 1);
			} else {
				agent.byTicket.delete(ticket);
			}

			if (agent.byTicket.size === 0) {
				agents.delete(incarnation);
			}

			return agent.service;
		},
		getRunsOf: incarnation => ({
			count: ticket => agents.get(incarnation)?.byTicket.get(ticket) ?? 0,
			countJobs: () => agents.get(incarnation)?.byTicket.size ?? 0,
		}),
	};

	function getOrCreate(incarnation: string, service: string): RunsOfAgent {
		const known = agents.get(incarnation);
		if (known !== undefined) {
			return known;
		}

		const created: RunsOfAgent = {service, byTicket: new Map()};
		agents.set(incarnation, created);
		return created;
	}
}
