/**
 * Chooses which waiting task starts next at one entry, by its queue, and on which agent, by its credits.
 */
import type {
	Admission, QueuedJob, QueuedTask, Scheduler, SchedulerHost, SchedulingRules, TeamShare,
} from '../connection/types.js';
import {createOutlierDetector, type OutlierDetector} from '../connection/outlier-detector.js';
import type {Milliseconds} from '../process/clock.js';
import type {PlacementMode} from '../version/types.js';
import {assessJob} from './admission.js';
import {
	createCreditPool, getUnusedCredits, returnCredits, applyStatus, setEvacuated, type PooledAgent,
} from './credit-pool.js';
import {createDemand, type Demand} from './demand.js';
import {createJobQueue, type JobQueue, type WaitingJob} from './job-queue.js';
import {chooseAgent, getExcessCredits, returnExcessCredits} from './placement.js';
import {createRunTimes} from './run-times.js';

/** Rules of a service for which none are set. */
const defaultRules: SchedulingRules = {placement: 'response', maxQueuedTasks: 100_000};
/** Share of a team for which none is set. */
const defaultShare: TeamShare = {weight: 1, maxRunning: Infinity};
/** Time after which unused credits are returned, by placement mode. */
const maxIdleCreditTime: Readonly<Record<PlacementMode, Milliseconds>> = {response: 1, messages: 500};
/** Jobs count as equally large if they have more tasks than all slots can run in this number of rounds. */
const largeJobRounds = 1;
/** Weight of the newest sample in the moving mean of used slots. */
const newestWeight = 0.02;

/** The scheduler's state of one service. */
type ServiceState = {
	readonly service: string;
	rules: SchedulingRules;
	readonly queue: JobQueue;
	readonly outliers: OutlierDetector;
	readonly demand: Demand;
	running: number;
	/** Moving mean of the number of running tasks, sampled while tasks wait; undefined before the first sample. */
	usedSlots: number | undefined;
	isReturnScheduled: boolean;
	/** Whether tasks were waiting at the last update of the demand. */
	hasDemand: boolean;
};

/** A job with running tasks. */
type RunningJob = {
	/** Key of its tasks' run times. */
	readonly runTimeKey: string;
	readonly service: string;
	readonly team: string;
	running: number;
};

/** Creates the credit-based scheduler of one entry. */
export function createScheduler(host: SchedulerHost): Scheduler {
	const {clock} = host;
	const pool = createCreditPool();
	const runTimes = createRunTimes();
	const services = new Map<string, ServiceState>();
	const shares = new Map<string, TeamShare>();
	let evacuated: ReadonlySet<string> = new Set();
	const runningJobs = new Map<string, RunningJob>();
	const runningByTeam = new Map<string, number>();

	return {
		setRules(service, rules) {
			getService(service).rules = rules;
		},
		setTeamShare(team, share) {
			shares.set(team, share);
			dispatchAll();
		},
		addAgent(agentInfo) {
			pool.open(agentInfo);
			setEvacuated(pool.tryGet(agentInfo.incarnation)!, evacuated.has(agentInfo.dataCentre));
			const state = getService(agentInfo.service);
			state.outliers.addAgent(agentInfo.incarnation);
			updateDemand(state);
			host.onReportChanged(agentInfo.incarnation);
		},
		removeAgent(incarnation) {
			const agent = pool.close(incarnation);
			if (agent !== undefined) {
				const state = getService(agent.info.service);
				state.outliers.removeAgent(incarnation);
				updateDemand(state);
			}
		},
		setAgentStatus(incarnation, status) {
			const agent = pool.tryGet(incarnation);
			if (agent === undefined) {
				return;
			}

			applyStatus(agent, status, clock.now());
			const state = getService(agent.info.service);
			state.outliers.setReportedFailureRate(incarnation, status.failedPerMille / 1000);
			updateDemand(state);
			if (status.draining && returnCredits(agent, Infinity) > 0) {
				host.onReportChanged(incarnation);
			}
		},
		setEvacuatedDataCentres(dataCentres) {
			evacuated = new Set(dataCentres);
			for (const state of services.values()) {
				for (const agent of pool.getAgents(state.service)) {
					setEvacuated(agent, evacuated.has(agent.info.dataCentre));
					if (agent.isDraining && returnCredits(agent, Infinity) > 0) {
						host.onReportChanged(agent.info.incarnation);
					}
				}

				updateDemand(state);
				dispatch(state);
			}
		},
		setGrantedCredits(incarnation, granted) {
			const agent = pool.tryGet(incarnation);
			if (agent === undefined) {
				return;
			}

			agent.granted = Math.max(agent.granted, granted);
			if (agent.isDraining && returnCredits(agent, Infinity) > 0) {
				host.onReportChanged(incarnation);
			}

			dispatch(getService(agent.info.service));
		},
		checkAdmission: assess,
		enqueue(job) {
			const tasks: QueuedTask[] = [];
			for (let index = job.taskCount - 1; index >= 0; index--) {
				tasks.push({ticket: job.ticket, index, attempt: 1});
			}

			addJob(job, tasks);
		},
		requeue(job, task) {
			const waiting = getService(job.service).queue.tryGet(job.ticket);
			addJob(job, [...waiting?.tasks ?? [], task]);
		},
		remove(ticket) {
			for (const state of services.values()) {
				const job = state.queue.tryGet(ticket);
				if (job !== undefined) {
					state.queue.remove(job);
					updateDemand(state);
					return job.tasks.map(task => task.index).toSorted((a, b) => a - b);
				}
			}

			return [];
		},
		recordTaskEnd: handleTaskEnd,
		getDemand(incarnation) {
			const agent = pool.tryGet(incarnation);
			if (agent === undefined || agent.isDraining) {
				return 0;
			}

			agent.reportedWantedCredits = agent.wantedCredits;
			agent.isReportPending = false;
			return agent.wantedCredits;
		},
		tryGetHead(incarnation) {
			const agent = pool.tryGet(incarnation);
			if (agent === undefined) {
				return undefined;
			}

			const now = clock.now();
			const job = getService(agent.info.service).queue.tryGetHead(now);
			return job === undefined
				? undefined
				: {
					waited: now - job.arrivedAt, size: job.size, need: undefined, keepMs: 0,
				};
		},
		getReturnedCredits: incarnation => pool.tryGet(incarnation)?.returned ?? 0,
	};

	function assess(job: QueuedJob): Admission {
		const state = getService(job.service);
		const queued = state.queue.getTaskCount();
		return assessJob({
			rules: state.rules,
			slots: getExpectedSlots(state),
			queued,
			queuedWork: state.queue.getQueuedWork(),
			taskCount: job.taskCount,
			expectedRun: getExpectedRun(job),
			timeLeft: job.deadlineAt - clock.now(),
		});
	}

	/** Returns the slots that this entry can expect, from those used while tasks waited; all slots before the first sample. */
	function getExpectedSlots(state: ServiceState): number {
		const slots = pool.getSlots(state.service);
		return state.queue.getTaskCount() === 0 ? slots : Math.min(slots, state.usedSlots ?? slots);
	}

	function updateUsedSlots(state: ServiceState): void {
		if (state.queue.getTaskCount() > 0) {
			const before = state.usedSlots ?? pool.getSlots(state.service);
			state.usedSlots = Math.max(1, before + ((state.running - before) * newestWeight));
		}
	}

	function handleTaskEnd(...[incarnation, ticket, outcome, run]: Parameters<Scheduler['recordTaskEnd']>): void {
		const job = runningJobs.get(ticket);
		if (job === undefined) {
			return;
		}

		const state = getService(job.service);
		updateUsedSlots(state);
		if (outcome === 'completed' && run !== undefined) {
			runTimes.record(job.runTimeKey, run);
		}

		const agent = pool.tryGet(incarnation);
		if (outcome === 'refused' && agent !== undefined) {
			agent.estimatedFreeSlots = 0;
		}

		state.outliers.recordOutcome(incarnation, outcome);
		adjustRunning(ticket, job, state, -1);
		if (getRunning(job.team) + 1 === getShare(job.team).maxRunning) {
			dispatchAll();
		} else {
			dispatch(state);
		}
	}

	function addJob(job: QueuedJob, tasks: QueuedTask[]): void {
		const state = getService(job.service);
		const waiting = state.queue.tryGet(job.ticket);
		if (waiting !== undefined) {
			state.queue.remove(waiting);
		}

		state.queue.add(createWaitingJob(job, tasks));
		dispatch(state);
	}

	function createWaitingJob(job: QueuedJob, tasks: QueuedTask[]): WaitingJob {
		const expectedRun = getExpectedRun(job);
		return {
			ticket: job.ticket,
			team: job.team,
			runTimeKey: getRunTimeKey(job),
			size: getSize(job, expectedRun),
			expectedRun,
			arrivedAt: job.arrivedAt,
			tasks,
		};
	}

	/** Returns the amount of work, at most the time allowed for the answer: a job with a short deadline counts as small. */
	function getSize(job: QueuedJob, expectedRun: Milliseconds): Milliseconds {
		const slots = Math.max(1, pool.getSlots(job.service));
		const tasks = Math.min(job.taskCount, largeJobRounds * slots);
		return Math.min(tasks * expectedRun, job.deadlineAt - job.arrivedAt);
	}

	function getExpectedRun(job: QueuedJob): Milliseconds {
		return runTimes.getExpected(getRunTimeKey(job), job.expectedRun);
	}

	function dispatchAll(): void {
		for (const state of services.values()) {
			dispatch(state);
		}
	}

	function dispatch(state: ServiceState): void {
		const agents = pool.getAgents(state.service);
		// Agents are considered only if tasks wait. Most calls are caused by reports of agents while nothing waits.
		while (state.queue.getTaskCount() > 0) {
			const agent = chooseAgent(agents, candidate => isUsable(state, candidate), state.rules.placement, clock.now());
			const dequeued = agent === undefined ? undefined : state.queue.tryDequeue(clock.now());
			if (agent === undefined || dequeued === undefined) {
				break;
			}

			spendCredit(agent);
			state.demand.recordStart();
			startTask(state, agent, dequeued.job, dequeued.task);
			returnCreditsWithStart(state, agent);
		}

		updateDemand(state);
		scheduleCreditReturn(state);
	}

	function spendCredit(agent: PooledAgent): void {
		if (getUnusedCredits(agent) <= 0) {
			agent.estimatedFreeSlots--;
		}

		agent.started++;
	}

	/** Returns excess credits in the same batch as a start, which costs no extra message. */
	function returnCreditsWithStart(state: ServiceState, agent: PooledAgent): void {
		if (state.queue.getTaskCount() === 0) {
			returnCredits(agent, getExcessCredits(pool.getAgents(state.service), state.rules.placement, state.running));
		}
	}

	function startTask(state: ServiceState, agent: PooledAgent, job: WaitingJob, task: QueuedTask): void {
		const running = runningJobs.get(job.ticket) ?? {
			runTimeKey: job.runTimeKey, service: state.service, team: job.team, running: 0,
		};
		runningJobs.set(job.ticket, running);
		adjustRunning(job.ticket, running, state, 1);
		state.outliers.recordStart(agent.info.incarnation);
		host.start(agent.info.incarnation, task);
	}

	function adjustRunning(ticket: string, job: RunningJob, state: ServiceState, delta: 1 | -1): void {
		job.running += delta;
		state.running += delta;
		const runningOfTeam = getRunning(job.team) + delta;
		if (runningOfTeam === 0) {
			runningByTeam.delete(job.team);
		} else {
			runningByTeam.set(job.team, runningOfTeam);
		}

		if (job.running === 0) {
			runningJobs.delete(ticket);
		}
	}

	/** Schedules the return of excess credits that stay unused. */
	function scheduleCreditReturn(state: ServiceState): void {
		const {placement} = state.rules;
		if (state.isReturnScheduled || getExcessCredits(pool.getAgents(state.service), placement, state.running) <= 0) {
			return;
		}

		state.isReturnScheduled = true;
		clock.after(maxIdleCreditTime[placement], () => {
			state.isReturnScheduled = false;
			returnIdleCredits(state);
			dispatch(state);
		});
	}

	function returnIdleCredits(state: ServiceState): void {
		const agents = pool.getAgents(state.service);
		const excess = getExcessCredits(agents, state.rules.placement, state.running);
		for (const agent of returnExcessCredits(agents, excess)) {
			host.onReportChanged(agent.info.incarnation);
		}
	}

	/** Updates the credits wanted from each agent. None are wanted from an agent that must not be used. */
	function updateDemand(state: ServiceState): void {
		const isWaiting = state.queue.getTaskCount() > 0;
		if (!isWaiting && !state.hasDemand) {
			state.demand.rotate();
			return;
		}

		state.hasDemand = isWaiting;
		const usable: PooledAgent[] = [];
		for (const agent of pool.getAgents(state.service)) {
			agent.wantedCredits = 0;
			if (isUsable(state, agent)) {
				usable.push(agent);
			}
		}

		state.demand.update(usable, state.queue.getTaskCount(), state.running, state.rules.placement);
	}

	function isUsable(state: ServiceState, agent: PooledAgent): boolean {
		return !agent.isDraining && state.outliers.isUsable(agent.info.incarnation);
	}

	function getRunning(team: string): number {
		return runningByTeam.get(team) ?? 0;
	}

	function getShare(team: string): TeamShare {
		return shares.get(team) ?? defaultShare;
	}

	function getService(service: string): ServiceState {
		const found = services.get(service);
		if (found !== undefined) {
			return found;
		}

		const created: ServiceState = {
			service,
			rules: defaultRules,
			queue: createJobQueue({getShare, getRunning}),
			outliers: createOutlierDetector(clock),
			demand: createDemand(agent => {
				host.onReportChanged(agent.info.incarnation);
			}),
			running: 0,
			usedSlots: undefined,
			isReturnScheduled: false,
			hasDemand: false,
		};
		services.set(service, created);
		return created;
	}
}

/** Returns the key under which run times are estimated: tasks of one submission object have similar run times. */
function getRunTimeKey(job: QueuedJob): string {
	return JSON.stringify([job.service, job.submission]);
}
