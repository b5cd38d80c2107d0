/**
 * Chooses which waiting task starts next and on which agent, at one entry: the queue says which task, the
 * pool of credits says where.
 */
import type {
	Admission, QueuedJob, QueuedTask, Scheduler, SchedulerHost, SchedulingRules, TeamShare,
} from '../connection/types.js';
import {createOutlierDetector, type OutlierDetector} from '../connection/outlier.js';
import type {Milliseconds} from '../process/clock.js';
import {assessJob} from './admission.js';
import {
	createCreditPool, getUnused, handBack, type PooledAgent,
} from './credit-pool.js';
import {createJobQueue, type JobQueue, type WaitingJob} from './job-queue.js';
import {createRunTimes} from './run-times.js';

/** Rules of a service that has none. */
const defaultRules: SchedulingRules = {placement: 'response', maxQueuedTasks: 100_000};
/** Share of a team that has none. */
const defaultShare: TeamShare = {weight: 1, maxRunning: Infinity};
/** Time that unused credits are kept before they are handed back, by placement mode. */
const idleTime: Readonly<Record<SchedulingRules['placement'], Milliseconds>> = {response: 5, messages: 100};
/** Unused credits of one agent that an entry keeps although nothing waits, by placement mode. */
const idleCredits: Readonly<Record<SchedulingRules['placement'], number>> = {response: 0, messages: 1};

/** What the scheduler keeps of one service. */
type ServiceState = {
	readonly service: string;
	rules: SchedulingRules;
	readonly queue: JobQueue;
	readonly outliers: OutlierDetector;
	running: number;
	isReturnPlanned: boolean;
};

/** A job with running tasks. */
type RunningJob = {
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
		setShare(team, share) {
			shares.set(team, share);
			dispatchAll();
		},
		openAgent(facts) {
			pool.open(facts);
			getService(facts.service).outliers.open(facts.incarnation);
			host.changed(facts.incarnation);
		},
		closeAgent(incarnation) {
			const agent = pool.close(incarnation);
			if (agent !== undefined) {
				getService(agent.facts.service).outliers.close(incarnation);
			}
		},
		setCondition(incarnation, condition) {
			const agent = pool.tryGet(incarnation);
			if (agent === undefined) {
				return;
			}

			pool.setCondition(agent, condition);
			getService(agent.facts.service).outliers.setFailedShare(incarnation, condition.failedPerMille / 1000);
			if (condition.draining && handBack(agent, 0)) {
				host.changed(incarnation);
			}
		},
		setGranted(incarnation, granted) {
			const agent = pool.tryGet(incarnation);
			if (agent === undefined || granted <= agent.granted) {
				return;
			}

			if (getUnused(agent) === 0) {
				agent.idleSince = clock.now();
			}

			agent.granted = granted;
			if (agent.isDraining) {
				handBack(agent, 0);
				host.changed(incarnation);
				return;
			}

			dispatch(getService(agent.facts.service));
		},
		assess,
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
		recordEnd,
		getQueued(incarnation) {
			const agent = pool.tryGet(incarnation);
			return agent === undefined || agent.isDraining ? 0 : getService(agent.facts.service).queue.getTaskCount();
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
			work: state.queue.getWork(),
			taskCount: job.taskCount,
			expectedRun: getExpectedRun(job),
			timeLeft: job.deadlineAt - clock.now(),
		});
	}

	/** While tasks wait, the slots that serve this entry are those that run its tasks. */
	function getExpectedSlots(state: ServiceState): number {
		const slots = getSlots(state.service);
		return state.queue.getTaskCount() === 0 ? slots : Math.min(slots, Math.max(1, state.running));
	}

	function getSlots(service: string): number {
		let sum = 0;
		for (const agent of pool.getAgents(service)) {
			sum += agent.slots;
		}

		return sum;
	}

	function recordEnd(...[incarnation, ticket, outcome, run]: Parameters<Scheduler['recordEnd']>): void {
		const job = runningJobs.get(ticket);
		if (job === undefined) {
			return;
		}

		const state = getService(job.service);
		if (outcome === 'completed' && run !== undefined) {
			runTimes.record(job.service, run);
		}

		state.outliers.record(incarnation, outcome);
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
		tellDemand(state);
	}

	function createWaitingJob(job: QueuedJob, tasks: QueuedTask[]): WaitingJob {
		const expectedRun = getExpectedRun(job);
		return {
			ticket: job.ticket,
			team: job.team,
			ideal: expectedRun * Math.ceil(job.taskCount / Math.max(1, getSlots(job.service))),
			expectedRun,
			arrivedAt: job.arrivedAt,
			tasks,
		};
	}

	function getExpectedRun(job: QueuedJob): Milliseconds {
		return runTimes.getExpected(job.service, job.expectedRun);
	}

	function dispatchAll(): void {
		for (const state of services.values()) {
			dispatch(state);
		}
	}

	function dispatch(state: ServiceState): void {
		for (;;) {
			const agent = chooseAgent(state);
			const taken = agent === undefined ? undefined : state.queue.tryTake(clock.now());
			if (agent === undefined || taken === undefined) {
				planReturn(state);
				return;
			}

			agent.started++;
			agent.idleSince = clock.now();
			startTask(state, agent, taken.job, taken.task);
		}
	}

	function startTask(state: ServiceState, agent: PooledAgent, job: WaitingJob, task: QueuedTask): void {
		const running = runningJobs.get(job.ticket) ?? {service: state.service, team: job.team, running: 0};
		runningJobs.set(job.ticket, running);
		countRunning(job.ticket, running, state, 1);
		state.outliers.noteStart(agent.facts.incarnation);
		host.start(agent.facts.incarnation, task);
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

	/** The agent with the most unused credits among those that are not ejected. */
	function chooseAgent(state: ServiceState): PooledAgent | undefined {
		let best: PooledAgent | undefined;
		for (const agent of pool.getAgents(state.service)) {
			const unused = getUnused(agent);
			if (unused > 0 && !agent.isDraining && state.outliers.isUsable(agent.facts.incarnation)
				&& (best === undefined || unused > getUnused(best))) {
				best = agent;
			}
		}

		return best;
	}

	/** Hands credits back once they have lain unused for a while. */
	function planReturn(state: ServiceState): void {
		if (state.isReturnPlanned || !hasUnused(state)) {
			return;
		}

		state.isReturnPlanned = true;
		clock.after(idleTime[state.rules.placement], () => {
			state.isReturnPlanned = false;
			dispatch(state);
			returnIdle(state);
		});
	}

	function returnIdle(state: ServiceState): void {
		const {placement} = state.rules;
		const latest = clock.now() - idleTime[placement];
		for (const agent of pool.getAgents(state.service)) {
			if (agent.idleSince <= latest && handBack(agent, idleCredits[placement])) {
				host.changed(agent.facts.incarnation);
			}
		}

		planReturn(state);
	}

	function hasUnused(state: ServiceState): boolean {
		const kept = idleCredits[state.rules.placement];
		for (const agent of pool.getAgents(state.service)) {
			if (getUnused(agent) > kept) {
				return true;
			}
		}

		return false;
	}

	function tellDemand(state: ServiceState): void {
		for (const agent of pool.getAgents(state.service)) {
			host.changed(agent.facts.incarnation);
		}
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
			running: 0,
			isReturnPlanned: false,
		};
		services.set(service, created);
		return created;
	}
}
