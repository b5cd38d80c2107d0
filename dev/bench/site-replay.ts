/**
 * Replays the requests of a site through the product's resource scheduler and resource limiter, connected by simulated
 * links, on a fake clock.
 */
import {createExpectedReleases, type ExpectedReleases} from '../../src/connection/expected-releases.js';
import {createResourceLimiter, type ResourceLimiter} from '../../src/connection/resource-limiter.js';
import type {
	AgentStatus, QueuedJob, QueuedTask, Scheduler, WaitingHead,
} from '../../src/connection/types.js';
import {every, type Milliseconds} from '../../src/process/clock.js';
import {rankByRendezvousHash} from '../../src/connection/rendezvous.js';
import {checkDefined} from '../../src/process/debug.js';
import {createFakeClock} from '../../src/process/fake-clock.js';
import {createRunTimeRatio, type RunTimeRatio} from '../../src/process/run-time-ratio.js';
import {createResourceScheduler} from '../../src/request/resource-scheduler.js';
import {createPipe, type Pipe} from './pipe.js';
import {createRandom} from './random.js';
import type {SiteResult, SiteJob, SiteScenario} from './site-types.js';
import {
	createSiteJobs, getUpstreamCpu, getUpstreamSpeed, getNominalLoad, marginMs, stretch,
} from './sites.js';
import {summarizeSite, type SiteJobRecord} from './utility.js';

/** Time from the loss of an upstream until its tasks may start at another one. */
const lossRecoveryMs: Milliseconds = 620;
const service = 'service';

type Start = {readonly task: QueuedTask; readonly job: SiteJob};
type Result = {readonly task: QueuedTask; readonly outcome: 'completed' | 'failed' | 'refused'};
type EntryBatch = {readonly starts: readonly Start[]; readonly queued: number; readonly head: WaitingHead | undefined};
type AgentBatch = Pick<AgentStatus, 'freeRoom' | 'receivedStarts' | 'releases' | 'runTimeRatioPerMille'> & {readonly results: readonly Result[]};

type Link = {
	readonly toAgent: Pipe;
	readonly toEntry: Pipe;
	starts: Start[];
	results: Result[];
	receivedStarts: number;
	/** Number of tasks that the agent runs for the entry. */
	running: number;
	/** Time of the last batch of the agent. */
	sentAt: Milliseconds;
};

type Entry = {
	readonly name: string;
	readonly scheduler: Scheduler;
	readonly links: Link[];
	readonly openJobs: Map<string, SiteJobRecord & {readonly queued: QueuedJob; tasksLeft: number}>;
};

type Agent = {
	readonly name: string;
	readonly limiter: ResourceLimiter;
	readonly releases: ExpectedReleases<Start>;
	readonly links: Link[];
	isUnavailable: boolean;
	slowdownFactor: number;
	readonly runTimeRatio: RunTimeRatio;
};

/** Replays a scenario and returns its result. */
export function replaySite(scenario: SiteScenario): SiteResult {
	const site = scenario.isAllKnowing ? {...scenario.site, entries: 1, latency: 0} : scenario.site;
	const clock = createFakeClock();
	const random = createRandom(scenario.seed + 1);
	const jobs = createSiteJobs({...scenario, site}).map(job => scenario.isAllKnowing ? {...job, declaredRun: Math.max(...job.runTimes)} : job);
	const records: SiteJobRecord[] = [];
	const counts = {starts: 0, refusedStarts: 0, messages: 0};
	const agents = Array.from({length: site.agents}, (_, index) => createAgent(index));
	const entries = Array.from({length: site.entries}, (_, index) => createEntry(index));
	for (const entry of entries) {
		for (const agent of agents.filter(({name}) => isLinked(entry, name))) {
			connect(entry, agent);
		}
	}

	scheduleEvents();
	const end = scenario.duration + (4 * checkDefined(jobs[0], 'a scenario has jobs').deadline);
	while (clock.now() < end && clock.step()) {
		// Each step fires one timer.
	}

	return summarizeSite(records, {scenario: scenario.name, load: getNominalLoad(site) * scenario.rateFactor, ...counts});

	function isLinked(entry: Entry, agent: string): boolean {
		const {perAgent = site.entries} = scenario.links;
		return rankByRendezvousHash(agent, entries.map(({name}) => name)).slice(0, perAgent).includes(entry.name);
	}

	function scheduleEvents(): void {
		for (const job of jobs) {
			clock.after(job.arrivedAt, () => {
				submit(job);
			});
		}

		for (const disturbance of scenario.disturbances) {
			if (disturbance.kind === 'burst') {
				continue;
			}

			const affectedAgents = agents.slice(0, disturbance.count);
			clock.after(disturbance.from, () => {
				for (const agent of affectedAgents) {
					agent.slowdownFactor = disturbance.kind === 'upstreams-slow' ? disturbance.factor : 1;
					setUnavailable(agent, disturbance.kind === 'upstreams-away');
				}
			});
			clock.after(disturbance.to, () => {
				for (const agent of affectedAgents) {
					agent.slowdownFactor = 1;
					setUnavailable(agent, false);
				}
			});
		}
	}

	/** Returns a random delay of a batch. Without it, the entry that is notified first would always respond first. */
	function drawDelay(): Milliseconds {
		return random.float() * site.latency;
	}

	function setUnavailable(agent: Agent, isUnavailable: boolean): void {
		agent.isUnavailable = isUnavailable;
		agent.limiter.setSlots(isUnavailable ? 0 : 1);
		for (const link of agent.links.filter(Boolean)) {
			link.toEntry.scheduleSend();
		}
	}

	function submit(job: SiteJob): void {
		const entry = entries[job.entry]!;
		const queued = toQueuedJob(job);
		const record = {
			job, queued, tasksLeft: job.runTimes.length, startedAt: undefined, end: undefined,
		};
		records.push(record);
		if (entry.scheduler.checkAdmission(queued).kind !== 'admitted') {
			closeJob(entry, record, 'refused');
			return;
		}

		entry.openJobs.set(job.ticket, record);
		clock.after(job.deadline, () => {
			closeJob(entry, record, 'failed');
		});
		entry.scheduler.enqueue(queued);
	}

	function closeJob(entry: Entry, record: SiteJobRecord, kind: 'completed' | 'refused' | 'failed'): void {
		if (record.end === undefined) {
			record.end = {kind, after: clock.now() - record.job.arrivedAt};
			entry.openJobs.delete(record.job.ticket);
			entry.scheduler.remove(record.job.ticket);
		}
	}

	function createAgent(index: number): Agent {
		const links: Link[] = [];
		const limiter = createResourceLimiter({
			clock,
			notifyEntry(entry) {
				links[Number(entry)]?.toEntry.scheduleSend();
			},
		}, {cpu: getUpstreamCpu(site, index), memory: Infinity, accelerators: 0});
		return {
			name: String(index), limiter, releases: createExpectedReleases(clock), links, isUnavailable: false, slowdownFactor: 1, runTimeRatio: createRunTimeRatio(),
		};
	}

	function createEntry(index: number): Entry {
		const links: Link[] = [];
		const openJobs: Entry['openJobs'] = new Map();
		const scheduler = createResourceScheduler({
			clock,
			startupGraceMs: 0,
			random: random.float,
			start(agent, task) {
				const record = checkDefined(openJobs.get(task.ticket), 'only open jobs have waiting tasks');
				record.startedAt ??= clock.now();
				counts.starts++;
				const link = links[Number(agent)]!;
				link.starts.push({task, job: record.job});
				link.toAgent.scheduleSend();
			},
			onInfeasible(ticket) {
				closeJob(entry, openJobs.get(ticket)!, openJobs.get(ticket)!.startedAt === undefined ? 'refused' : 'failed');
			},
			onReportChanged(agent) {
				links[Number(agent)]?.toAgent.scheduleSend();
			},
		});
		scheduler.setRules(service, {placement: 'response', maxQueuedTasks: Infinity, lookAhead: scenario.lookAhead});
		const entry: Entry = {
			name: String(index), scheduler, links, openJobs,
		};
		return entry;
	}

	function connect(entry: Entry, agent: Agent): void {
		const link: Link = {
			toAgent: createPipe<EntryBatch>({
				clock, latency: site.latency, drawDelay, takeBatch: takeEntryBatch, receive: receiveAtAgent,
			}),
			toEntry: createPipe<AgentBatch>({
				clock, latency: site.latency, drawDelay, takeBatch: takeAgentBatch, receive: receiveAtEntry,
			}),
			starts: [],
			results: [],
			receivedStarts: 0,
			running: 0,
			sentAt: 0,
		};
		entry.links[Number(agent.name)] = link;
		agent.links[Number(entry.name)] = link;
		entry.scheduler.addAgent({
			incarnation: agent.name, name: agent.name, upstream: agent.name, service, dataCentre: '', rack: '', slots: 1, capacity: agent.limiter.getFreeResources(),
		});
		agent.limiter.addEntry(entry.name);
		const {heartbeatMs, idleHeartbeatMs} = scenario.links;
		clock.after(random.float() * heartbeatMs, () => {
			every(clock, heartbeatMs, () => {
				const interval = link.running > 0 ? heartbeatMs / 2 : idleHeartbeatMs;
				if (clock.now() - link.sentAt >= interval) {
					link.toEntry.scheduleSend();
				}
			});
		});
		link.toEntry.scheduleSend();

		function takeEntryBatch(): EntryBatch {
			counts.messages++;
			const {starts} = link;
			link.starts = [];
			return {starts, queued: entry.scheduler.getDemand(agent.name), head: entry.scheduler.tryGetHead(agent.name)};
		}

		function receiveAtAgent(batch: EntryBatch): void {
			for (const start of batch.starts) {
				link.receivedStarts++;
				receiveStart(start);
			}

			agent.limiter.setQueued(entry.name, batch.queued, batch.head);
		}

		function receiveStart(start: Start): void {
			const {task, job} = start;
			if (!agent.limiter.tryAcquire(entry.name, job.need)) {
				counts.refusedStarts++;
				sendResult({task, outcome: 'refused'});
				return;
			}

			link.running++;
			agent.releases.recordStart(start, job.need, job.declaredRun);
			const duration = job.runTimes[task.index]! * getUpstreamSpeed(site, Number(agent.name)) * agent.slowdownFactor;
			const timeToLoss = tryGetTimeToLoss(agent, duration);
			clock.after(timeToLoss === undefined ? duration : timeToLoss + lossRecoveryMs, () => {
				link.running--;
				agent.releases.recordEnd(start);
				if (timeToLoss === undefined) {
					agent.runTimeRatio.record(task.ticket, duration, job.declaredRun);
				}

				agent.limiter.release(entry.name, job.need);
				sendResult({task, outcome: timeToLoss === undefined ? 'completed' : 'failed'});
			});
		}

		function sendResult(result: Result): void {
			link.results.push(result);
			link.toEntry.scheduleSend();
		}

		function takeAgentBatch(): AgentBatch {
			counts.messages++;
			link.sentAt = clock.now();
			const {results} = link;
			link.results = [];
			return {
				results,
				freeRoom: agent.limiter.getFreeResources(entry.name),
				receivedStarts: link.receivedStarts,
				releases: agent.limiter.hasWaitingTasks(entry.name) ? agent.releases.getReleases() : [],
				runTimeRatioPerMille: Math.round((agent.runTimeRatio.tryGet() ?? 0) * 1000),
			};
		}

		function receiveAtEntry({results, ...status}: AgentBatch): void {
			entry.scheduler.setAgentStatus(agent.name, {
				draining: false, running: 0, slots: 1, meanRun: 0, failedPerMille: 0, ...status,
			});
			for (const {task, outcome} of results) {
				entry.scheduler.recordTaskEnd(agent.name, task.ticket, outcome, undefined);
				const record = entry.openJobs.get(task.ticket);
				if (record === undefined) {
					continue;
				}

				if (outcome !== 'completed') {
					entry.scheduler.requeue(record.queued, {...task, attempt: task.attempt + 1});
				} else if (--record.tasksLeft === 0) {
					closeJob(entry, record, 'completed');
				}
			}
		}
	}

	/** Returns the time until the upstream is lost during a run that starts now; undefined if the run ends before. */
	function tryGetTimeToLoss(agent: Agent, duration: Milliseconds): Milliseconds | undefined {
		const loss = scenario.disturbances.find(disturbance => disturbance.kind === 'upstreams-away' && Number(agent.name) < disturbance.count
			&& disturbance.from > clock.now() && disturbance.from < clock.now() + duration);
		return loss === undefined ? undefined : loss.from - clock.now();
	}
}

function toQueuedJob(job: SiteJob): QueuedJob {
	return {
		ticket: job.ticket,
		service,
		submission: job.kind.name,
		team: 'team',
		taskCount: job.runTimes.length,
		expectedRun: job.declaredRun,
		arrivedAt: job.arrivedAt,
		deadlineAt: job.arrivedAt + job.deadline,
		need: {resources: job.need},
		objective: {stretch, margin: marginMs},
	};
}
