/**
 * The agents that are reserved for tasks which may crash their upstream. All entries choose nearly the same ones without
 * exchanging messages. Each such task runs there without tasks of other jobs, so that a crash is certainly its own, and the
 * tasks of all other jobs run elsewhere.
 */
import {rankByRendezvousHash} from '../connection/rendezvous.js';
import type {QueuedTask, SchedulerHost, TaskRequirements} from '../connection/types.js';
import {estimateFreeResources, isEligible, type AgentView} from './resource-pool.js';

/** The reserved agents of one service. */
export type IsolationPool = {
	/** To be called when an agent was added or removed. */
	invalidate(): void;
	/** Whether a task must not run beside tasks of other jobs. */
	mustIsolate(task: QueuedTask): boolean;
	/** Returns which agents may run a task with these requirements. */
	createFilter(requirements: TaskRequirements, task: QueuedTask): (agent: AgentView) => boolean;
};

/** Creates the pool of a service over its agents, by incarnation. */
export function createIsolationPool(host: Pick<SchedulerHost, 'getIsolatedShare' | 'mustIsolate'>, service: string, agents: ReadonlyMap<string, AgentView>): IsolationPool {
	let ranked: readonly AgentView[] | undefined;

	return {
		invalidate() {
			ranked = undefined;
		},
		mustIsolate,
		createFilter(requirements, task) {
			const share = host.getIsolatedShare?.() ?? 0;
			if (share === 0) {
				return () => true;
			}

			const reserved = getReserved(requirements, share);
			return mustIsolate(task)
				? agent => (reserved.size === 0 || reserved.has(agent)) && isIdleExceptFor(agent, task.ticket)
				: agent => !reserved.has(agent);
		},
	};

	function mustIsolate(task: QueuedTask): boolean {
		return host.mustIsolate?.(task) ?? false;
	}

	function getReserved(requirements: TaskRequirements, share: number): ReadonlySet<AgentView> {
		ranked ??= rank();
		const eligible = ranked.filter(agent => !agent.isDraining && isEligible(agent, requirements));
		// A single agent has to serve all tasks.
		return new Set(eligible.length < 2 ? [] : eligible.slice(0, Math.ceil(eligible.length * share)));
	}

	function rank(): readonly AgentView[] {
		const byName = new Map([...agents.values()].map(agent => [agent.info.name, agent]));
		return rankByRendezvousHash(service, [...byName.keys()]).map(name => byName.get(name)!);
	}
}

/** Whether an agent seems to run no task, or only tasks of this job. */
function isIdleExceptFor(agent: AgentView, ticket: string): boolean {
	const jobs = agent.runs.countJobs();
	if (jobs > 0) {
		return jobs === 1 && agent.runs.count(ticket) > 0;
	}

	return estimateFreeResources(agent).cpu >= agent.capacity.cpu;
}
