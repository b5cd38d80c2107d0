/**
 * Chooses which waiting task starts next and on which agent, at one entry: the queue says which task, the
 * pool of credits says where.
 */
import type {
	Admission, QueuedJob, QueuedTask, Scheduler, SchedulerHost, SchedulingRules, TeamShare,
} from '../connection/types.js';
import {createOutlierDetector, type OutlierDetector} from '../connection/outlier-detector.js';
import type {Milliseconds} from '../process/clock.js';
import type {PlacementMode} from '../version/types.js';
import {assessJob} from './admission.js';
import {
	createCreditPool, getUnusedCredits, returnCredits, applyStatus, type PooledAgent,
} from './credit-pool.js';
import {createDemand, type Demand} from './demand.js';
import {createJobQueue, type JobQueue, type WaitingJob} from './job-queue.js';
import {chooseAgent, getExcessCredits, returnExcessCredits} from './placement.js';
import {createRunTimes} from './run-times.js';

/** Rules of a service that has none. */
const defaultRules: SchedulingRules = {placement: 'response', maxQueuedTasks: 100_000};
/** Share of a team that has none. */
const defaultShare: TeamShare = {weight: 1, maxRunning: Infinity};
/** Time that unused credits are kept before they are handed back, by placement mode. */
const idleTime: Readonly<Record<PlacementMode, Milliseconds>> = {response: 1, messages: 500};
/** Jobs with more work than all slots do in this many rounds count as equally large. */
const largeJobRounds = 1;

/** Weight of the newest end in the slots that an entry expects. */
const newestWeight = 0.02;

/** What the scheduler keeps of one service. */
type ServiceState = {
	readonly service: string;
	rules: SchedulingRules;
	readonly queue: JobQueue;
	readonly outliers: OutlierDetector;
	readonly demand: Demand;
	running: number;
	/** Mean of the tasks running while others waited, the newest counting most. */
	usedSlots: number | undefined;
	isReturnPlanned: boolean;
	/** Whether agents may count on waiting tasks. */
	isDemanding: boolean;
};

/** A job with running tasks. */
type RunningJob = {
	/** Key of its run times. */
	readonly kind: string;
	readonly service: string;
	readonly team: string;
	running: number;
};

/** Creates the scheduler of one entry. */
export function createScheduler(host: SchedulerHost): Scheduler {
	const {clock} = host;
	const pool = createCreditPool();
	const runTimes = createRunTimes();
	const services = new Map<string, ServiceState>();
	const shares = new Map<string, TeamShare>();
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
		addAgent(facts) {
			pool.open(facts);
			const state = getService(facts.service);
			state.outliers.addAgent(facts.incarnation);
			tellDemand(state);
			host.onReportChanged(facts.incarnation);
		},
		removeAgent(incarnation) {
			const agent = pool.close(incarnation);
			if (agent !== undefined) {
				const state = getService(agent.info.service);
				state.outliers.removeAgent(incarnation);
				tellDemand(state);
			}
		},
		setAgentStatus(incarnation, condition) {
			const agent = pool.tryGet(incarnation);
			if (agent === undefined) {
				return;
			}

			applyStatus(agent, condition, clock.now());
			const state = getService(agent.info.service);
			state.outliers.setReportedFailureRate(incarnation, condition.failedPerMille / 1000);
			tellDemand(state);
			if (condition.draining && returnCredits(agent, Infinity) > 0) {
				host.onReportChanged(incarnation);
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
					tellDemand(state);
					return job.tasks.map(task => task.index).toSorted((a, b) => a - b);
				}
			}

			return [];
		},
		recordTaskEnd: recordEnd,
		getQueued(incarnation) {
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
			return job === undefined ? undefined : {waited: now - job.arrivedAt, size: job.size};
		},
		getReturned: incarnation => pool.tryGet(incarnation)?.returned ?? 0,
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

	/** Slots that this entry was given while tasks waited; all slots until that was seen. */
	function getExpectedSlots(state: ServiceState): number {
		const slots = pool.getSlots(state.service);
		return state.queue.getTaskCount() === 0 ? slots : Math.min(slots, state.usedSlots ?? slots);
	}

	function learnSlots(state: ServiceState): void {
		if (state.queue.getTaskCount() > 0) {
			const before = state.usedSlots ?? pool.getSlots(state.service);
			state.usedSlots = Math.max(1, before + ((state.running - before) * newestWeight));
		}
	}

	function recordEnd(...[incarnation, ticket, outcome, run]: Parameters<Scheduler['recordTaskEnd']>): void {
		const job = runningJobs.get(ticket);
		if (job === undefined) {
			return;
		}

		const state = getService(job.service);
		learnSlots(state);
		if (outcome === 'completed' && run !== undefined) {
			runTimes.record(job.kind, run);
		}

		const agent = pool.tryGet(incarnation);
		if (outcome === 'refused' && agent !== undefined) {
			agent.estimatedFreeSlots = 0;
		}

		state.outliers.recordOutcome(incarnation, outcome);
		countRunning(ticket, job, state, -1);
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
			runTimeKey: getKind(job),
			size: getSize(job, expectedRun),
			expectedRun,
			arrivedAt: job.arrivedAt,
			tasks,
		};
	}

	/** A job with little time for its answer counts as small. */
	function getSize(job: QueuedJob, expectedRun: Milliseconds): Milliseconds {
		const slots = Math.max(1, pool.getSlots(job.service));
		const tasks = Math.min(job.taskCount, largeJobRounds * slots);
		return Math.min(tasks * expectedRun, job.deadlineAt - job.arrivedAt);
	}

	function getExpectedRun(job: QueuedJob): Milliseconds {
		return runTimes.getExpected(getKind(job), job.expectedRun);
	}

	function dispatchAll(): void {
		for (const state of services.values()) {
			dispatch(state);
		}
	}

	function dispatch(state: ServiceState): void {
		const agents = pool.getAgents(state.service);
		// Without waiting tasks no agent is looked at: most calls tell of agents while nothing waits.
		while (state.queue.getTaskCount() > 0) {
			const agent = chooseAgent(agents, candidate => isUsable(state, candidate), state.rules.placement, clock.now());
			const taken = agent === undefined ? undefined : state.queue.tryDequeue(clock.now());
			if (agent === undefined || taken === undefined) {
				break;
			}

			spendCredit(agent);
			state.demand.recordStart();
			startTask(state, agent, taken.job, taken.task);
			returnAlong(state, agent);
		}

		tellDemand(state);
		planReturn(state);
	}

	function spendCredit(agent: PooledAgent): void {
		if (getUnusedCredits(agent) <= 0) {
			agent.estimatedFreeSlots--;
		}

		agent.started++;
	}

	/** Hands credits back with a start, which costs no message. */
	function returnAlong(state: ServiceState, agent: PooledAgent): void {
		if (state.queue.getTaskCount() === 0) {
			returnCredits(agent, getExcessCredits(pool.getAgents(state.service), state.rules.placement, state.running));
		}
	}

	function startTask(state: ServiceState, agent: PooledAgent, job: WaitingJob, task: QueuedTask): void {
		const running = runningJobs.get(job.ticket) ?? {
			kind: job.runTimeKey, service: state.service, team: job.team, running: 0,
		};
		runningJobs.set(job.ticket, running);
		countRunning(job.ticket, running, state, 1);
		state.outliers.recordStart(agent.info.incarnation);
		host.start(agent.info.incarnation, task);
	}

	function countRunning(ticket: string, job: RunningJob, state: ServiceState, count: 1 | -1): void {
		job.running += count;
		state.running += count;
		const team = getRunning(job.team) + count;
		if (team === 0) {
			runningByTeam.delete(job.team);
		} else {
			runningByTeam.set(job.team, team);
		}

		if (job.running === 0) {
			runningJobs.delete(ticket);
		}
	}

	/** Hands credits back once they have lain unused for a while. */
	function planReturn(state: ServiceState): void {
		const {placement} = state.rules;
		if (state.isReturnPlanned || getExcessCredits(pool.getAgents(state.service), placement, state.running) <= 0) {
			return;
		}

		state.isReturnPlanned = true;
		clock.after(idleTime[placement], () => {
			state.isReturnPlanned = false;
			returnIdle(state);
			dispatch(state);
		});
	}

	function returnIdle(state: ServiceState): void {
		const agents = pool.getAgents(state.service);
		const excess = getExcessCredits(agents, state.rules.placement, state.running);
		for (const agent of returnExcessCredits(agents, excess)) {
			host.onReportChanged(agent.info.incarnation);
		}
	}

	/** Agents that may not be used are asked for nothing. */
	function tellDemand(state: ServiceState): void {
		const isWaiting = state.queue.getTaskCount() > 0;
		if (!isWaiting && !state.isDemanding) {
			state.demand.rotate();
			return;
		}

		state.isDemanding = isWaiting;
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
			isReturnPlanned: false,
			isDemanding: false,
		};
		services.set(service, created);
		return created;
	}
}

/** Tasks of one kind of submission are expected to run equally long. */
function getKind(job: QueuedJob): string {
	return JSON.stringify([job.service, job.submission]);
}
