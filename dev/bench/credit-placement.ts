/**
 * The product's placement: real schedulers and credit granters, connected by simulated links.
 */
import {createCreditGranter} from '../../src/connection/credit-granter.js';
import type {
	CreditGranter, QueuedJob, QueuedTask, Scheduler, WaitingHead,
} from '../../src/connection/types.js';
import {every, type Milliseconds, type Timer} from '../../src/process/clock.js';
import {checkDefined} from '../../src/process/debug.js';
import {createScheduler} from '../../src/request/scheduler.js';
import type {PlacementMode} from '../../src/version/types.js';
import {createRandom} from './random.js';
import {createPipe, type Pipe} from './pipe.js';
import type {
	BenchJob, PlacementFactory, PlacementHost, UpstreamRun,
} from './types.js';

/** Interval at which a link sends a batch even if nothing is pending. */
const heartbeatInterval: Milliseconds = 500;
const service = 'service';

type Start = {
	readonly job: BenchJob;
	readonly task: QueuedTask;
	readonly runTime: Milliseconds;
};

type Result = {
	readonly start: Start;
	readonly outcome: 'completed' | 'failed' | 'refused';
	readonly runTime: Milliseconds | undefined;
};

type EntryBatch = {
	readonly starts: readonly Start[];
	readonly queued: number;
	readonly head: WaitingHead | undefined;
	readonly returned: number;
};

type AgentBatch = {
	readonly results: readonly Result[];
	readonly granted: number;
	readonly running: number;
	readonly meanRun: Milliseconds;
	readonly failedPerMille: number;
	readonly free: number;
};

type Link = {
	readonly toAgent: Pipe;
	readonly toEntry: Pipe;
	readonly starts: Start[];
	readonly results: Result[];
	isEntryHeartbeatDue: boolean;
	isAgentHeartbeatDue: boolean;
	isOpen: boolean;
};

type Entry = {
	readonly name: string;
	readonly scheduler: Scheduler;
	readonly links: Link[];
	readonly jobs: Map<string, BenchJob>;
	isLost: boolean;
};

type Agent = {
	readonly name: string;
	readonly granter: CreditGranter;
	readonly links: Link[];
	running: number;
	meanRun: Milliseconds;
	failedShare: number;
};

/** Weight of the newest result in the moving averages that an agent reports. */
const newestResultWeight = 0.1;

/** Creates the product's placement in the given mode. */
export function createCreditPlacement(mode: PlacementMode): PlacementFactory {
	return host => {
		const {clock, scenario} = host;
		const random = createRandom(scenario.seed + 1);
		const agents = Array.from({length: scenario.agents}, (_, index) => createAgent(index));
		const entries = Array.from({length: scenario.entries}, (_, index) => createEntry(index));
		for (const entry of entries) {
			for (const agent of agents) {
				connect(host, entry, agent, scenario.agents);
			}
		}

		const timers = entries.flatMap(entry => entry.links.map(link => {
			const phase = random.float() * heartbeatInterval;
			let timer: Timer | undefined;
			clock.after(phase, () => {
				timer = every(clock, heartbeatInterval, () => {
					sendHeartbeat(link);
				});
			});
			return {cancel: () => timer?.cancel()};
		}));
		if (scenario.entryLostAt !== undefined) {
			clock.after(scenario.entryLostAt, () => {
				loseEntry(entries[0]!);
			});
		}

		return {
			submit(job) {
				const entry = chooseEntry(job);
				const queued = toQueuedJob(job);
				if (entry.scheduler.checkAdmission(queued).kind === 'admitted') {
					entry.jobs.set(job.ticket, job);
					entry.scheduler.enqueue(queued);
				} else {
					host.onJobRefused(job);
				}
			},
			cancel(job) {
				for (const entry of entries) {
					entry.scheduler.remove(job.ticket);
				}
			},
			stop() {
				for (const timer of timers) {
					timer.cancel();
				}
			},
		};

		/** Returns the entry of a job; the balancer sends no job to a lost entry. */
		function chooseEntry(job: BenchJob): Entry {
			const entry = entries[job.entry]!;
			return entry.isLost ? entries[(job.entry + 1) % entries.length]! : entry;
		}

		function createAgent(index: number): Agent {
			const links: Link[] = [];
			const granter = createCreditGranter({
				clock,
				onGrantChanged(entry) {
					links[Number(entry)]?.toEntry.scheduleSend();
				},
			}, scenario.slots);
			return {
				name: String(index), granter, links, running: 0, meanRun: 0, failedShare: 0,
			};
		}

		function createEntry(index: number): Entry {
			const links: Link[] = [];
			const jobs = new Map<string, BenchJob>();
			const scheduler = createScheduler({
				clock,
				start(agent, task) {
					const job = checkDefined(jobs.get(task.ticket), 'a started job is known');
					const link = links[Number(agent)]!;
					link.starts.push({job, task, runTime: job.runTimes[task.index]!});
					link.toAgent.scheduleSend();
				},
				onReportChanged(agent) {
					links[Number(agent)]?.toAgent.scheduleSend();
				},
			});
			scheduler.setRules(service, {placement: mode, maxQueuedTasks: 1_000_000});
			return {
				name: String(index), scheduler, links, jobs, isLost: false,
			};
		}

		function sendHeartbeat(link: Link): void {
			link.isEntryHeartbeatDue = true;
			link.isAgentHeartbeatDue = true;
			link.toAgent.scheduleSend();
			link.toEntry.scheduleSend();
		}

		function loseEntry(entry: Entry): void {
			entry.isLost = true;
			for (const [index, agent] of agents.entries()) {
				const link = entry.links[index]!;
				link.isOpen = false;
				link.toAgent.close();
				link.toEntry.close();
				agent.granter.removeEntry(entry.name);
			}

			for (const job of entry.jobs.values()) {
				host.onTaskEnded(job, 'lost');
			}
		}
	};
}

function connect(host: PlacementHost, entry: Entry, agent: Agent, agentCount: number): void {
	const {clock, scenario: {latency, behaviour, slots}, messages} = host;
	const link: Link = {
		toAgent: createPipe<EntryBatch>({
			clock, latency, takeBatch: takeEntryBatch, receive: receiveAtAgent,
		}),
		toEntry: createPipe<AgentBatch>({
			clock, latency, takeBatch: takeAgentBatch, receive: receiveAtEntry,
		}),
		starts: [],
		results: [],
		isEntryHeartbeatDue: false,
		isAgentHeartbeatDue: false,
		isOpen: true,
	};
	entry.links[Number(agent.name)] = link;
	agent.links[Number(entry.name)] = link;
	entry.scheduler.addAgent({
		incarnation: agent.name, name: agent.name, upstream: agent.name, service, dataCentre: `dc${Number(agent.name) % 4}`, rack: `r${Math.floor(Number(agent.name) / 3)}`, slots,
	});
	agent.granter.addEntry(entry.name);

	function takeEntryBatch(): EntryBatch {
		const starts = link.starts.splice(0);
		if (starts.length > 0) {
			messages.starts++;
		} else if (link.isEntryHeartbeatDue) {
			messages.heartbeats++;
		} else {
			messages.loneReports++;
		}

		link.isEntryHeartbeatDue = false;
		return {
			starts, queued: entry.scheduler.getDemand(agent.name), head: entry.scheduler.tryGetHead(agent.name), returned: entry.scheduler.getReturnedCredits(agent.name),
		};
	}

	function receiveAtAgent(batch: EntryBatch): void {
		agent.granter.setReturnedCredits(entry.name, batch.returned);
		for (const start of batch.starts) {
			receiveStart(start);
		}

		agent.granter.setQueued(entry.name, batch.queued, batch.head);
	}

	function receiveStart(start: Start): void {
		if (!agent.granter.tryAcquire(entry.name)) {
			link.results.push({start, outcome: 'refused', runTime: undefined});
			link.toEntry.scheduleSend();
			return;
		}

		agent.running++;
		const run = behaviour(Number(agent.name), start.runTime);
		clock.after(run.duration, () => {
			endRun(start, run);
		});
	}

	function endRun(start: Start, {duration, isFailed}: UpstreamRun): void {
		agent.running--;
		agent.meanRun += (duration - agent.meanRun) * newestResultWeight;
		agent.failedShare += ((isFailed ? 1 : 0) - agent.failedShare) * newestResultWeight;
		agent.granter.release(entry.name);
		link.results.push({start, outcome: isFailed ? 'failed' : 'completed', runTime: duration});
		link.toEntry.scheduleSend();
	}

	function takeAgentBatch(): AgentBatch {
		const results = link.results.splice(0);
		if (results.some(result => result.outcome !== 'refused')) {
			messages.results++;
		} else if (link.isAgentHeartbeatDue) {
			messages.heartbeats++;
		} else if (results.length > 0) {
			messages.refusals++;
		} else {
			messages.loneGrants++;
		}

		link.isAgentHeartbeatDue = false;
		return {
			results,
			granted: agent.granter.getGrantedCredits(entry.name),
			running: agent.running,
			meanRun: agent.meanRun,
			failedPerMille: Math.round(agent.failedShare * 1000),
			free: agent.granter.getFreeSlots(),
		};
	}

	function receiveAtEntry(batch: AgentBatch): void {
		entry.scheduler.setAgentStatus(agent.name, {
			draining: false, running: batch.running, slots, meanRun: batch.meanRun, failedPerMille: batch.failedPerMille, free: batch.free,
		});
		for (const result of batch.results) {
			receiveResult(result);
		}

		entry.scheduler.setGrantedCredits(agent.name, batch.granted);
	}

	function receiveResult({start, outcome, runTime}: Result): void {
		const {job, task} = start;
		entry.scheduler.recordTaskEnd(agent.name, task.ticket, outcome, runTime);
		if (outcome === 'refused') {
			entry.scheduler.requeue(toQueuedJob(job), {...task, attempt: task.attempt + 1});
		} else {
			host.onTaskEnded(job, outcome);
		}
	}
}

function toQueuedJob(job: BenchJob): QueuedJob {
	return {
		ticket: job.ticket,
		service,
		team: job.team,
		taskCount: job.runTimes.length,
		expectedRun: job.declaredRun,
		arrivedAt: job.arrivedAt,
		deadlineAt: job.arrivedAt + job.deadline,
	};
}
