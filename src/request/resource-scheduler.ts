/**
 * Chooses which waiting task starts next and on which agent where tasks differ in size and upstreams are bounded by
 * their room. The room of an upstream is shared by all entries without reservation: an entry acts on what the agent
 * told last, and an agent refuses what does not fit, which costs one round trip and no run.
 */
import {createOutlierDetector, type OutlierDetector} from '../connection/outlier-detector.js';
import {noResources} from '../connection/resources.js';
import {Soundness} from '../generated/kingcuplane.js';
import type {Milliseconds, Timer} from '../process/clock.js';
import type {
	Admission, QueuedJob, QueuedTask, Scheduler, SchedulerHost, SchedulingRules, TaskRequirements,
} from '../connection/types.js';
import {clampRetryAfter, noUpstreamRetryAfter} from './admission.js';
import {
	createAgentView, estimateFreeResources, hasFreeResources, isEligible, isStartAllowed, leavesReserve, recordRunEnd, recordRefusal, recordSentStart, applyStatus, type AgentView,
} from './resource-pool.js';
import {
	getSlack, hasStarted, isFeasible, isObjectiveInfeasible, sortByPriority, type PendingJob,
} from './resource-queue.js';

/** Effects of the scheduler. */
export type ResourceSchedulerHost = SchedulerHost & {
	/** Time after the start of this process during which jobs wait for upstreams that have not announced themselves yet. */
	readonly startupGraceMs: Milliseconds;
	/** A number in [0, 1). */
	random(): number;
};

/** Tasks that need nothing, as of jobs that state no need. */
const noNeed: TaskRequirements = {resources: noResources};
/**
 * Part of the room of an upstream that is kept from jobs which can no longer meet their objective. After an outage these
 * come all at once and run for a second, and whoever arrives then would become late behind them.
 */
const lateReserve = 0.3;
/** If more of the agents doubt their upstreams, the fault lies with the work, and all are used. */
const maxSuspectPart = 0.5;
const defaultMaxQueuedTasks = 100_000;
/** A queue that has not been empty for this long is no short burst: the longest objectives are about as long. */
const standingMs: Milliseconds = 500;
/**
 * Agents that are asked to tell of free room. One of so many has some within a few milliseconds, as each runs several
 * tasks at a time; more would only cost messages.
 */
const maxAsked = 12;
/** Agents are told that no task waits any more only after this time, as at high load the next one soon does. */
const quietMs: Milliseconds = 50;

type ServiceState = {
	rules: SchedulingRules | undefined;
	readonly jobs: Map<string, PendingJob>;
	readonly agents: Map<string, AgentView>;
	readonly outliers: OutlierDetector;
	waitingTasks: number;
	/** Since when tasks have been waiting without a break. */
	waitingSince: Milliseconds | undefined;
	/** Incarnations of the agents that were told that tasks wait. */
	readonly asked: Set<string>;
	/** Runs while no task waits and these agents still believe that some do. */
	quietTimer: Timer | undefined;
};

/** Creates the scheduler of one entry. */
export function createResourceScheduler(host: ResourceSchedulerHost): Scheduler {
	const {clock} = host;
	const services = new Map<string, ServiceState>();
	const serviceOfAgent = new Map<string, ServiceState>();
	const settledAt = clock.now() + host.startupGraceMs;
	let isHeld = false;
	const jobsInFlight = new Map<string, {readonly state: ServiceState; running: number}>();

	return {
		setRules(service, rules) {
			getService(service).rules = rules;
		},
		setTeamShare: () => undefined,
		addAgent(facts) {
			const state = getService(facts.service);
			state.agents.set(facts.incarnation, createAgentView(facts));
			state.outliers.addAgent(facts.incarnation);
			serviceOfAgent.set(facts.incarnation, state);
			if (state.waitingTasks > 0 && state.asked.size < maxAsked) {
				state.asked.add(facts.incarnation);
			}

			host.onReportChanged(facts.incarnation);
		},
		removeAgent(incarnation) {
			const state = serviceOfAgent.get(incarnation);
			state?.agents.delete(incarnation);
			state?.asked.delete(incarnation);
			state?.outliers.removeAgent(incarnation);
			serviceOfAgent.delete(incarnation);
		},
		setAgentStatus(incarnation, condition) {
			const state = serviceOfAgent.get(incarnation);
			const agent = state?.agents.get(incarnation);
			if (state !== undefined && agent !== undefined) {
				applyStatus(agent, condition, clock.now());
				dispatch(state);
			}
		},
		setGrantedCredits: () => undefined,
		checkAdmission: assess,
		enqueue(job) {
			const tasks = Array.from({length: job.taskCount}, (_, index): QueuedTask => ({ticket: job.ticket, index, attempt: 1}));
			addTasks(job, tasks);
		},
		requeue(job, task) {
			addTasks(job, [task]);
		},
		remove,
		recordTaskEnd(incarnation, ticket, outcome) {
			const inFlight = jobsInFlight.get(ticket);
			if (inFlight === undefined) {
				return;
			}

			const {state} = inFlight;
			inFlight.running--;
			if (inFlight.running === 0) {
				jobsInFlight.delete(ticket);
			}

			const agent = state.agents.get(incarnation);
			if (agent !== undefined) {
				recordRunEnd(agent, ticket);
				if (outcome === 'refused') {
					recordRefusal(agent);
				}

				state.outliers.recordOutcome(incarnation, outcome);
			}

			dispatch(state);
		},
		getQueued(incarnation) {
			const state = serviceOfAgent.get(incarnation);
			// Whoever was asked goes on telling for a while, as the next task may wait soon.
			return state?.asked.has(incarnation) ? Math.max(1, state.waitingTasks) : 0;
		},
		tryGetHead: () => undefined,
		getReturned: () => 0,
		setHeld(value) {
			isHeld = value;
			if (!isHeld) {
				for (const state of services.values()) {
					dispatch(state);
				}
			}
		},
	};

	function assess(job: QueuedJob): Admission {
		const state = getService(job.service);
		const need = job.need ?? noNeed;
		const eligible = [...state.agents.values()].filter(agent => !agent.isDraining && isEligible(agent, need));
		const mayStillCome = state.agents.size === 0 && clock.now() < settledAt;
		if (eligible.length === 0 && !mayStillCome) {
			return {kind: 'no-upstream', retryAfter: noUpstreamRetryAfter};
		}

		if (state.waitingTasks + job.taskCount > (state.rules?.maxQueuedTasks ?? defaultMaxQueuedTasks)) {
			return {kind: 'queue-full', queued: state.waitingTasks, retryAfter: clampRetryAfter(job.expectedRun)};
		}

		if (!isFeasible(job, clock.now())) {
			return {kind: 'too-late', wait: 0, retryAfter: clampRetryAfter(0)};
		}

		return {kind: 'admitted', wait: 0};
	}

	function addTasks(job: QueuedJob, tasks: readonly QueuedTask[]): void {
		const state = getService(job.service);
		const waiting = state.jobs.get(job.ticket) ?? {job, tasks: []};
		waiting.tasks.push(...tasks);
		state.jobs.set(job.ticket, waiting);
		state.waitingTasks += tasks.length;
		dispatch(state);
	}

	function remove(ticket: string): readonly number[] {
		for (const state of services.values()) {
			const waiting = state.jobs.get(ticket);
			if (waiting !== undefined) {
				state.jobs.delete(ticket);
				state.waitingTasks -= waiting.tasks.length;
				noteDemand(state);
				return waiting.tasks.map(task => task.index).toSorted((a, b) => a - b);
			}
		}

		return [];
	}

	function dispatch(state: ServiceState): void {
		if (state.waitingTasks > 0 && !isHeld) {
			for (const waiting of sortByPriority(state.jobs.values(), clock.now())) {
				if (!isFeasible(waiting.job, clock.now())) {
					host.onInfeasible?.(waiting.job.ticket, 'deadline');
					continue;
				}

				startTasks(state, waiting);
				if (isObjectiveInfeasible(waiting, clock.now(), isStanding(state))) {
					host.onInfeasible?.(waiting.job.ticket, 'objective');
				}
			}
		}

		noteDemand(state);
	}

	function startTasks(state: ServiceState, waiting: PendingJob): void {
		const {job, tasks} = waiting;
		while (tasks.length > 0) {
			const agent = chooseAgent(state, waiting, tasks[0]!);
			if (agent === undefined) {
				return;
			}

			startTask(state, agent, job, tasks.shift()!);
		}

		state.jobs.delete(job.ticket);
	}

	function startTask(state: ServiceState, agent: AgentView, job: QueuedJob, task: QueuedTask): void {
		const inFlight = jobsInFlight.get(job.ticket) ?? {state, running: 0};
		inFlight.running++;
		jobsInFlight.set(job.ticket, inFlight);
		state.waitingTasks--;
		recordSentStart(agent, job.ticket, job.need ?? noNeed);
		state.outliers.recordStart(agent.info.incarnation);
		host.start(agent.info.incarnation, task, clock.now() - agent.reportedAt);
	}

	/**
	 * Of two agents drawn at random among those with room, the one with more: entries that all chose the one with
	 * most room would meet there.
	 */
	function chooseAgent(state: ServiceState, waiting: PendingJob, task: QueuedTask): AgentView | undefined {
		const candidates = getCandidates(state, waiting, task);
		if (candidates.length <= 1) {
			return candidates[0];
		}

		const first = candidates[Math.floor(host.random() * candidates.length)]!;
		const second = candidates[Math.floor(host.random() * candidates.length)]!;
		return estimateFreeResources(first).cpu >= estimateFreeResources(second).cpu ? first : second;
	}

	function getCandidates(state: ServiceState, waiting: PendingJob, task: QueuedTask): readonly AgentView[] {
		const {job} = waiting;
		const need = job.need ?? noNeed;
		const withRoom: AgentView[] = [];
		// What is begun is worth finishing.
		const reserve = getSlack(job, clock.now()) < 0 && !hasStarted(waiting) ? lateReserve : 0;
		const isDoubtUsed = countSuspects(state) <= state.agents.size * maxSuspectPart;
		for (const agent of state.agents.values()) {
			if (!agent.isDraining && (!isDoubtUsed || isStartAllowed(agent)) && state.outliers.isUsable(agent.info.incarnation) && isEligible(agent, need) && hasFreeResources(agent, job.ticket, need) && leavesReserve(agent, need, reserve)) {
				withRoom.push(agent);
			}
		}

		const fresh = prefer(withRoom, agent => !task.failedOn?.includes(agent.info.name));
		return need.rack === undefined ? fresh : prefer(fresh, agent => agent.info.rack === need.rack);
	}

	function isStanding({waitingSince}: ServiceState): boolean {
		return waitingSince !== undefined && clock.now() - waitingSince >= standingMs;
	}

	/** Agents that hear of waiting tasks tell at once when room becomes free. */
	function noteDemand(state: ServiceState): void {
		if (state.waitingTasks > 0) {
			state.waitingSince ??= clock.now();
			state.quietTimer?.cancel();
			state.quietTimer = undefined;
			if (state.asked.size === 0) {
				ask(state);
			}

			return;
		}

		state.waitingSince = undefined;
		if (state.asked.size > 0) {
			state.quietTimer ??= clock.after(quietMs, () => {
				state.quietTimer = undefined;
				const asked = [...state.asked];
				state.asked.clear();
				tellAll(asked);
			});
		}
	}

	function ask(state: ServiceState): void {
		const agents = [...state.agents].filter(([, agent]) => !agent.isDraining).map(([incarnation]) => incarnation);
		const first = Math.floor(host.random() * agents.length);
		for (let i = 0; i < Math.min(maxAsked, agents.length); i++) {
			state.asked.add(agents[(first + i) % agents.length]!);
		}

		tellAll(state.asked);
	}

	function tellAll(incarnations: Iterable<string>): void {
		for (const incarnation of incarnations) {
			host.onReportChanged(incarnation);
		}
	}

	function getService(service: string): ServiceState {
		const found = services.get(service);
		if (found !== undefined) {
			return found;
		}

		const created: ServiceState = {
			rules: undefined, jobs: new Map(), agents: new Map(), outliers: createOutlierDetector(clock), waitingTasks: 0, waitingSince: undefined, asked: new Set(), quietTimer: undefined,
		};
		services.set(service, created);
		return created;
	}
}

function countSuspects({agents}: ServiceState): number {
	let suspects = 0;
	for (const agent of agents.values()) {
		suspects += agent.health === Soundness.SOUNDNESS_SOUND ? 0 : 1;
	}

	return suspects;
}

/** The members that satisfy a wish, or all if none does. */
function prefer<T>(members: readonly T[], isPreferred: (member: T) => boolean): readonly T[] {
	const preferred = members.filter(member => isPreferred(member));
	return preferred.length > 0 ? preferred : members;
}
