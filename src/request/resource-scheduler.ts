/**
 * Chooses which waiting task starts next and on which agent, where tasks differ in size and upstreams are limited by
 * their resources. All entries share the resources of an upstream without reservations: an entry relies on the agent's
 * last report, and the agent refuses a start that does not fit, which costs one round trip and no run.
 */
import {createOutlierDetector, type OutlierDetector} from '../connection/outlier-detector.js';
import {Soundness} from '../generated/kingcuplane.js';
import type {Milliseconds, Timer} from '../process/clock.js';
import type {
	InfeasibleReason, QueuedJob, QueuedTask, Scheduler, SchedulerHost, SchedulingRules,
} from '../connection/types.js';
import {createAgentChoice} from './agent-choice.js';
import {createBacklog, getTaskWork, type Backlog} from './backlog.js';
import {createDrainRate, type DrainRate} from './drain-rate.js';
import {createIsolationPool, type IsolationPool} from './isolation-pool.js';
import {createLookAhead, type LookAhead} from './look-ahead.js';
import {checkResourceAdmission, noRequirements} from './resource-admission.js';
import {
	createAgentView, estimateFreeResources, hasFreeResources, isEligible, isStartAllowed, leavesReserve, clearReport, prefer, countSuspects, recordSentStart, applyStatus, setEvacuated, type AgentView,
} from './resource-pool.js';
import {
	getSlack, hasStarted, isFeasible, isObjectiveInfeasible, sortByPriority, type PendingJob,
} from './resource-queue.js';
import {getReturnTime} from './return-time.js';
import {createRunningTasks} from './running-tasks.js';
import {applyRunTimeRatio, createUpstreamSpeeds, type UpstreamSpeeds} from './upstream-speed.js';

/** Dependencies of the scheduler. */
export type ResourceSchedulerHost = SchedulerHost & {
	/**
	 * Time after the start of this process during which a job is admitted although no upstream has announced itself
	 * yet.
	 */
	readonly startupGraceMs: Milliseconds;
	/** Returns a random number in [0, 1). */
	random(): number;
};

/**
 * Share of an upstream's processors that jobs which can no longer meet their objective must leave free. After an outage
 * many such jobs start at the same time and run for about a second. Without the reserve, jobs that arrive during that
 * time would become late behind them.
 */
const lateJobReserve = 0.3;
/**
 * The health of upstreams is considered while at most this share of them is suspect or being probed. If the share is
 * larger, the cause is probably the work itself, and all upstreams are used.
 */
const maxSuspectShare = 0.5;
/**
 * Time after which a queue that has not been empty counts as persistent, not as a short burst. The longest objectives
 * are about as long.
 */
const persistentQueueMs: Milliseconds = 500;
/**
 * Maximum number of agents that are requested to report free resources. Among so many agents, each running several
 * tasks at a time, one has free resources within a few milliseconds. Requests to more agents would only cost messages.
 */
const maxReportingAgents = 12;
/**
 * Share of an upstream's free processors that one job leaves to the other entries, which may have started tasks there
 * since its last report.
 */
const packingReserve = 0.25;
/** Delay before agents are notified that no task waits any more. At high load the next task usually arrives sooner. */
const demandClearDelayMs: Milliseconds = 50;

type ServiceState = {
	rules: SchedulingRules | undefined;
	readonly jobs: Map<string, PendingJob>;
	readonly agents: Map<string, AgentView>;
	readonly isolationPool: IsolationPool;
	readonly outliers: OutlierDetector;
	readonly lookAhead: LookAhead;
	readonly speeds: UpstreamSpeeds;
	readonly drainRate: DrainRate;
	waitingTasks: number;
	/** Time since which the queue has not been empty; undefined while it is empty. */
	waitingSince: Milliseconds | undefined;
	/** Incarnations of the agents that are requested to report free resources at once, because tasks wait. */
	readonly reportingAgents: Set<string>;
	/** Pending while no task waits and the agents in `reportingAgents` have not been notified of that yet. */
	demandClearTimer: Timer | undefined;
};

/** Creates the resource-based scheduler of one entry. */
export function createResourceScheduler(host: ResourceSchedulerHost): Scheduler {
	const {clock} = host;
	const services = new Map<string, ServiceState>();
	const serviceOfAgent = new Map<string, ServiceState>();
	const startupGraceEndsAt = clock.now() + host.startupGraceMs;
	const agentChoice = createAgentChoice(host);
	let isHeld = false;
	let evacuated: ReadonlySet<string> = new Set();
	const runningTasks = createRunningTasks();

	return {
		setRules(service, rules) {
			const state = getService(service);
			state.rules = rules;
			state.lookAhead.setEnabled(rules.lookAhead ?? false);
		},
		setTeamShare: () => undefined,
		addAgent(agentInfo) {
			const state = getService(agentInfo.service);
			const agent = createAgentView(agentInfo, runningTasks.getRunsOf(agentInfo.incarnation));
			setEvacuated(agent, evacuated.has(agentInfo.dataCentre));
			state.agents.set(agentInfo.incarnation, agent);
			state.outliers.addAgent(agentInfo.incarnation);
			state.isolationPool.invalidate();
			serviceOfAgent.set(agentInfo.incarnation, state);
			if (state.waitingTasks > 0 && !agent.isDraining && state.reportingAgents.size < maxReportingAgents) {
				state.reportingAgents.add(agentInfo.incarnation);
			}

			host.onReportChanged(agentInfo.incarnation);
		},
		removeAgent(incarnation) {
			const state = serviceOfAgent.get(incarnation);
			state?.agents.delete(incarnation);
			state?.reportingAgents.delete(incarnation);
			state?.outliers.removeAgent(incarnation);
			state?.isolationPool.invalidate();
			state?.speeds.invalidate();
			serviceOfAgent.delete(incarnation);
		},
		setAgentStatus(incarnation, status) {
			const state = serviceOfAgent.get(incarnation);
			const agent = state?.agents.get(incarnation);
			if (state !== undefined && agent !== undefined) {
				applyStatus(agent, status, clock.now());
				if (applyRunTimeRatio(agent, status.runTimeRatioPerMille ?? 0)) {
					state.speeds.invalidate();
				}

				dispatch(state);
			}
		},
		awaitReport(incarnation) {
			const agent = serviceOfAgent.get(incarnation)?.agents.get(incarnation);
			if (agent !== undefined) {
				clearReport(agent);
			}
		},
		setEvacuatedDataCentres,
		setGrantedCredits: () => undefined,
		checkAdmission: job => checkResourceAdmission(getService(job.service), job, clock.now(), startupGraceEndsAt),
		enqueue(job) {
			const tasks = Array.from({length: job.taskCount}, (_, index): QueuedTask => ({ticket: job.ticket, index, attempt: 1}));
			addTasks(job, tasks);
		},
		requeue(job, task) {
			addTasks(job, [task]);
		},
		remove,
		recordTaskEnd(incarnation, ticket, outcome) {
			const service = runningTasks.recordEnd(incarnation, ticket);
			if (service === undefined) {
				return;
			}

			const state = getService(service);
			const agent = state.agents.get(incarnation);
			if (agent !== undefined) {
				if (outcome === 'refused') {
					clearReport(agent);
				}

				state.outliers.recordOutcome(incarnation, outcome);
			}

			dispatch(state);
		},
		getDemand(incarnation) {
			const state = serviceOfAgent.get(incarnation);
			// At least 1 until the agent is notified that no task waits, so that it keeps reporting: the next task may
			// arrive soon.
			return state?.reportingAgents.has(incarnation) ? Math.max(1, state.waitingTasks) : 0;
		},
		tryGetHead: incarnation => serviceOfAgent.get(incarnation)?.lookAhead.tryGetClaim(incarnation),
		getReturnedCredits: () => 0,
		getLookAheadCounts() {
			const sum = {
				reserved: 0, kept: 0, expired: 0, backfilled: 0,
			};
			for (const {lookAhead} of services.values()) {
				const counts = lookAhead.getCounts();
				sum.reserved += counts.reserved;
				sum.kept += counts.kept;
				sum.expired += counts.expired;
				sum.backfilled += counts.backfilled;
			}

			return sum;
		},
		setStartsHeld(value) {
			isHeld = value;
			if (!isHeld) {
				for (const state of services.values()) {
					state.drainRate.restart();
					dispatch(state);
				}
			}
		},
	};

	function setEvacuatedDataCentres(dataCentres: readonly string[]): void {
		evacuated = new Set(dataCentres);
		for (const state of services.values()) {
			for (const agent of state.agents.values()) {
				setEvacuated(agent, evacuated.has(agent.info.dataCentre));
			}

			// The agents that can still serve waiting tasks are requested to report instead.
			const formerlyReporting = [...state.reportingAgents];
			state.reportingAgents.clear();
			dispatch(state);
			notifyAgents(formerlyReporting);
		}
	}

	function addTasks(job: QueuedJob, tasks: readonly QueuedTask[]): void {
		const state = getService(job.service);
		const pending = state.jobs.get(job.ticket) ?? {job, tasks: []};
		pending.tasks.push(...tasks);
		state.jobs.set(job.ticket, pending);
		state.waitingTasks += tasks.length;
		dispatch(state);
	}

	function remove(ticket: string): readonly number[] {
		for (const state of services.values()) {
			const pending = state.jobs.get(ticket);
			if (pending !== undefined) {
				state.jobs.delete(ticket);
				state.waitingTasks -= pending.tasks.length;
				updateDemand(state);
				return pending.tasks.map(task => task.index).toSorted((a, b) => a - b);
			}
		}

		return [];
	}

	function dispatch(state: ServiceState): void {
		if (state.waitingTasks > 0 && !isHeld) {
			state.lookAhead.beginPass(state.jobs);
			const backlog = createBacklog(isQueuePersistent(state) ? state.drainRate.tryGet() : undefined);
			const refused: Array<{readonly pending: PendingJob; readonly reason: InfeasibleReason}> = [];
			for (const pending of sortByPriority(state.jobs.values(), clock.now())) {
				const reason = startOrRefuse(state, pending, backlog);
				if (reason !== undefined) {
					refused.push({pending, reason});
				}
			}

			for (const {pending, reason} of refused) {
				// A refusal can cause another pass, which may have started or refused this job.
				if (state.jobs.get(pending.job.ticket) === pending && (reason === 'deadline' || !hasStarted(pending))) {
					host.onInfeasible?.(pending.job.ticket, reason, getReturnTime(backlog.getWait(), host.random()));
				}
			}
		}

		updateDemand(state);
	}

	/** Starts what fits now. Returns why waiting longer is pointless for the rest of the job; undefined if it is not. */
	function startOrRefuse(state: ServiceState, pending: PendingJob, backlog: Backlog): InfeasibleReason | undefined {
		const now = clock.now();
		if (!isFeasible(pending.job, now)) {
			return 'deadline';
		}

		// Starts may be held as a consequence of those that were just sent.
		if (!isHeld) {
			startTasks(state, pending);
		}

		if (pending.tasks.length === 0) {
			return undefined;
		}

		if (isObjectiveInfeasible(pending, now, isQueuePersistent(state))) {
			return 'objective';
		}

		return backlog.add(pending, now) ? 'backlog' : undefined;
	}

	function startTasks(state: ServiceState, pending: PendingJob): void {
		const {job, tasks} = pending;
		const packedAgents = new Set<AgentView>();
		while (tasks.length > 0) {
			const agent = agentChoice.choose(getCandidates(state, pending, tasks[0]!), {job, packedAgents, speeds: state.speeds});
			if (agent === undefined) {
				state.lookAhead.reserve(pending, isQueuePersistent(state));
				return;
			}

			packedAgents.add(agent);
			const task = tasks.shift()!;
			startTask(state, agent, pending, task);
			startMoreTasks(state, pending, agent, task);
		}

		state.jobs.delete(job.ticket);
	}

	/**
	 * Starts further tasks of a job on the agent that was just chosen for one of them. All these starts travel in one
	 * message, and an upstream that fails affects fewer jobs.
	 */
	function startMoreTasks(state: ServiceState, pending: PendingJob, agent: AgentView, task: QueuedTask): void {
		const {job, tasks} = pending;
		const requirements = job.need ?? noRequirements;
		const isIsolated = state.isolationPool.mustIsolate(task);
		const minRemaining = estimateFreeResources(agent).cpu * packingReserve;
		while (
			tasks[0] !== undefined && tasks[0].failedOn === undefined && state.isolationPool.mustIsolate(tasks[0]) === isIsolated && agent.health === Soundness.SOUNDNESS_SOUND
			&& hasFreeResources(agent, job.ticket, requirements) && estimateFreeResources(agent).cpu - requirements.resources.cpu >= minRemaining && state.lookAhead.mayStart(pending, agent)
		) {
			startTask(state, agent, pending, tasks.shift()!);
		}
	}

	function startTask(state: ServiceState, agent: AgentView, pending: PendingJob, task: QueuedTask): void {
		const {job} = pending;
		runningTasks.recordStart(agent.info, job.ticket);
		state.waitingTasks--;
		state.drainRate.recordStart(getTaskWork({job}));
		const isBackfilled = state.lookAhead.recordStart(pending, agent);
		recordSentStart(agent, job.need ?? noRequirements);
		state.outliers.recordStart(agent.info.incarnation);
		host.start(agent.info.incarnation, task, {
			reportAge: clock.now() - agent.reportedAt,
			isolated: state.isolationPool.mustIsolate(task),
			backfilled: isBackfilled,
			runTimeRatio: state.speeds.isUneven() ? state.speeds.getRunTimeRatio(agent) : undefined,
		});
	}

	function getCandidates(state: ServiceState, pending: PendingJob, task: QueuedTask): readonly AgentView[] {
		const {job} = pending;
		const requirements = job.need ?? noRequirements;
		const fitting: AgentView[] = [];
		// A job that has started may use the reserve: its runs so far are of no use unless the rest of it finishes.
		const reserve = getSlack(job, clock.now()) < 0 && !hasStarted(pending) ? lateJobReserve : 0;
		const isAllowed = state.isolationPool.createFilter(requirements, task);
		const isHealthUsed = countSuspects(state.agents.values()) <= state.agents.size * maxSuspectShare;
		for (const agent of state.agents.values()) {
			if (
				!agent.isDraining && isAllowed(agent) && (!isHealthUsed || isStartAllowed(agent)) && state.outliers.isUsable(agent.info.incarnation)
				&& isEligible(agent, requirements) && hasFreeResources(agent, job.ticket, requirements) && leavesReserve(agent, requirements, reserve)
				&& state.lookAhead.mayStart(pending, agent)
			) {
				fitting.push(agent);
			}
		}

		const untried = prefer(state.lookAhead.preferGaps(pending, fitting), agent => !task.failedOn?.includes(agent.info.name));
		return requirements.rack === undefined ? untried : prefer(untried, agent => agent.info.rack === requirements.rack);
	}

	function isQueuePersistent({waitingSince}: ServiceState): boolean {
		return waitingSince !== undefined && clock.now() - waitingSince >= persistentQueueMs;
	}

	/**
	 * Requests reports from agents when tasks start to wait: an agent that knows of waiting tasks reports at once when
	 * resources become free. Withdraws the request a while after the last task has left the queue.
	 */
	function updateDemand(state: ServiceState): void {
		if (state.waitingTasks > 0) {
			state.waitingSince ??= clock.now();
			state.demandClearTimer?.cancel();
			state.demandClearTimer = undefined;
			if (state.reportingAgents.size === 0) {
				requestReports(state);
			}

			return;
		}

		state.waitingSince = undefined;
		state.drainRate.restart();
		if (state.reportingAgents.size > 0) {
			state.demandClearTimer ??= clock.after(demandClearDelayMs, () => {
				state.demandClearTimer = undefined;
				const formerlyReporting = [...state.reportingAgents];
				state.reportingAgents.clear();
				notifyAgents(formerlyReporting);
			});
		}
	}

	function requestReports(state: ServiceState): void {
		const agents = [...state.agents].filter(([, agent]) => !agent.isDraining).map(([incarnation]) => incarnation);
		const first = Math.floor(host.random() * agents.length);
		for (let i = 0; i < Math.min(maxReportingAgents, agents.length); i++) {
			state.reportingAgents.add(agents[(first + i) % agents.length]!);
		}

		notifyAgents(state.reportingAgents);
	}

	function notifyAgents(incarnations: Iterable<string>): void {
		for (const incarnation of incarnations) {
			host.onReportChanged(incarnation);
		}
	}

	function getService(service: string): ServiceState {
		const found = services.get(service);
		if (found !== undefined) {
			return found;
		}

		const agents = new Map<string, AgentView>();
		const created: ServiceState = {
			rules: undefined,
			jobs: new Map(),
			agents,
			isolationPool: createIsolationPool(host, service, agents),
			outliers: createOutlierDetector(clock),
			lookAhead: createLookAhead({clock, agents, onClaimChanged: host.onReportChanged}),
			speeds: createUpstreamSpeeds(agents),
			drainRate: createDrainRate(clock),
			waitingTasks: 0,
			waitingSince: undefined,
			reportingAgents: new Set(),
			demandClearTimer: undefined,
		};
		services.set(service, created);
		return created;
	}
}
