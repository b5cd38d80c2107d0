/**
 * Replays the requests of a site through the product's own room scheduler and room keeper, joined by fake links, on a
 * fake clock.
 */
import {createResourceLimiter, type ResourceLimiter} from '../../src/connection/resource-limiter.js';
import type {QueuedJob, QueuedTask, Scheduler} from '../../src/connection/types.js';
import {every, type Milliseconds} from '../../src/process/clock.js';
import {checkDefined} from '../../src/process/debug.js';
import {createFakeClock} from '../../src/process/fake-clock.js';
import {createResourceScheduler} from '../../src/request/resource-scheduler.js';
import {createPipe, type Pipe} from './pipe.js';
import {createRandom} from './random.js';
import type {SiteResult, SiteJob, SiteScenario} from './site-types.js';
import {
	createSiteJobs, getUpstreamCpu, getNominalLoad, marginMs, stretch,
} from './sites.js';
import {summarizeSite, type SiteJobRecord} from './utility.js';

/** As on the users' platform. */
const heartbeatMs: Milliseconds = 150;
/** Time from the loss of an upstream until its tasks may start elsewhere. */
const lossMs: Milliseconds = 620;
const service = 'service';

type Start = {readonly task: QueuedTask; readonly job: SiteJob};
type Result = {readonly task: QueuedTask; readonly outcome: 'completed' | 'failed' | 'refused'};
type EntryBatch = {readonly starts: readonly Start[]; readonly queued: number};
type AgentBatch = {readonly results: readonly Result[]; readonly freeRoom: ReturnType<ResourceLimiter['getFreeResources']>; readonly receivedStarts: number};

type Link = {
	readonly toAgent: Pipe;
	readonly toEntry: Pipe;
	starts: Start[];
	results: Result[];
	receivedStarts: number;
};

type Entry = {
	readonly name: string;
	readonly scheduler: Scheduler;
	readonly links: Link[];
	readonly open: Map<string, SiteJobRecord & {readonly queued: QueuedJob; left: number}>;
};

type Agent = {
	readonly name: string;
	readonly keeper: ResourceLimiter;
	readonly links: Link[];
	isAway: boolean;
	slowness: number;
};

/** Runs a scenario to its end. */
export function replaySite(scenario: SiteScenario): SiteResult {
	const {site} = scenario;
	const clock = createFakeClock();
	const random = createRandom(scenario.seed + 1);
	const jobs = createSiteJobs(scenario);
	const records: SiteJobRecord[] = [];
	const counts = {starts: 0, refusedStarts: 0, messages: 0};
	const agents = Array.from({length: site.agents}, (_, index) => createAgent(index));
	const entries = Array.from({length: site.entries}, (_, index) => createEntry(index));
	for (const entry of entries) {
		for (const agent of agents) {
			connect(entry, agent);
		}
	}

	plan();
	const end = scenario.duration + (4 * checkDefined(jobs[0], 'a scenario has jobs').deadline);
	while (clock.now() < end && clock.step()) {
		// Each step fires one timer.
	}

	return summarizeSite(records, {scenario: scenario.name, load: getNominalLoad(site) * scenario.rateFactor, ...counts});

	function plan(): void {
		for (const job of jobs) {
			clock.after(job.arrivedAt, () => {
				submit(job);
			});
		}

		for (const trouble of scenario.disturbances) {
			if (trouble.kind === 'burst') {
				continue;
			}

			const hit = agents.slice(0, trouble.count);
			clock.after(trouble.from, () => {
				for (const agent of hit) {
					agent.slowness = trouble.kind === 'upstreams-slow' ? trouble.factor : 1;
					setAway(agent, trouble.kind === 'upstreams-away');
				}
			});
			clock.after(trouble.to, () => {
				for (const agent of hit) {
					agent.slowness = 1;
					setAway(agent, false);
				}
			});
		}
	}

	/** Without it the entry that is told first would always be the first to answer. */
	function drawDelay(): Milliseconds {
		return random.float() * site.latency;
	}

	function setAway(agent: Agent, isAway: boolean): void {
		agent.isAway = isAway;
		agent.keeper.setSlots(isAway ? 0 : 1);
		for (const link of agent.links) {
			link.toEntry.scheduleSend();
		}
	}

	function submit(job: SiteJob): void {
		const entry = entries[job.entry]!;
		const queued = toQueuedJob(job);
		const record = {
			job, queued, left: job.runTimes.length, startedAt: undefined, end: undefined,
		};
		records.push(record);
		if (entry.scheduler.checkAdmission(queued).kind !== 'admitted') {
			close(entry, record, 'refused');
			return;
		}

		entry.open.set(job.ticket, record);
		clock.after(job.deadline, () => {
			close(entry, record, 'failed');
		});
		entry.scheduler.enqueue(queued);
	}

	function close(entry: Entry, record: SiteJobRecord, kind: 'completed' | 'refused' | 'failed'): void {
		if (record.end === undefined) {
			record.end = {kind, after: clock.now() - record.job.arrivedAt};
			entry.open.delete(record.job.ticket);
			entry.scheduler.remove(record.job.ticket);
		}
	}

	function createAgent(index: number): Agent {
		const links: Link[] = [];
		const keeper = createResourceLimiter({
			clock,
			notifyEntry(entry) {
				links[Number(entry)]!.toEntry.scheduleSend();
			},
		}, {cpu: getUpstreamCpu(site, index), memory: Infinity, accelerators: 0});
		return {
			name: String(index), keeper, links, isAway: false, slowness: 1,
		};
	}

	function createEntry(index: number): Entry {
		const links: Link[] = [];
		const open: Entry['open'] = new Map();
		const scheduler = createResourceScheduler({
			clock,
			startupGraceMs: 0,
			random: random.float,
			start(agent, task) {
				const record = checkDefined(open.get(task.ticket), 'only open jobs have waiting tasks');
				record.startedAt ??= clock.now();
				counts.starts++;
				const link = links[Number(agent)]!;
				link.starts.push({task, job: record.job});
				link.toAgent.scheduleSend();
			},
			onInfeasible(ticket) {
				close(entry, open.get(ticket)!, open.get(ticket)!.startedAt === undefined ? 'refused' : 'failed');
			},
			onReportChanged(agent) {
				links[Number(agent)]?.toAgent.scheduleSend();
			},
		});
		const entry: Entry = {
			name: String(index), scheduler, links, open,
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
		};
		entry.links[Number(agent.name)] = link;
		agent.links[Number(entry.name)] = link;
		entry.scheduler.addAgent({
			incarnation: agent.name, name: agent.name, upstream: agent.name, service, dataCentre: '', rack: '', slots: 1, capacity: agent.keeper.getFreeResources(),
		});
		agent.keeper.addEntry(entry.name);
		clock.after(random.float() * heartbeatMs, () => {
			every(clock, heartbeatMs, () => {
				link.toEntry.scheduleSend();
			});
		});

		function takeEntryBatch(): EntryBatch {
			counts.messages++;
			const {starts} = link;
			link.starts = [];
			return {starts, queued: entry.scheduler.getQueued(agent.name)};
		}

		function receiveAtAgent(batch: EntryBatch): void {
			for (const start of batch.starts) {
				link.receivedStarts++;
				receiveStart(start);
			}

			agent.keeper.setQueued(entry.name, batch.queued);
		}

		function receiveStart({task, job}: Start): void {
			if (!agent.keeper.tryAcquire(entry.name, job.need)) {
				counts.refusedStarts++;
				answer({task, outcome: 'refused'});
				return;
			}

			const duration = job.runTimes[task.index]! * agent.slowness;
			const isLost = willBeLost(agent, duration);
			clock.after(isLost === undefined ? duration : isLost + lossMs, () => {
				agent.keeper.release(entry.name, job.need);
				answer({task, outcome: isLost === undefined ? 'completed' : 'failed'});
			});
		}

		function answer(result: Result): void {
			link.results.push(result);
			link.toEntry.scheduleSend();
		}

		function takeAgentBatch(): AgentBatch {
			counts.messages++;
			const {results} = link;
			link.results = [];
			return {results, freeRoom: agent.keeper.getFreeResources(), receivedStarts: link.receivedStarts};
		}

		function receiveAtEntry({results, freeRoom, receivedStarts}: AgentBatch): void {
			entry.scheduler.setAgentStatus(agent.name, {
				draining: false, running: 0, slots: 1, meanRun: 0, failedPerMille: 0, freeRoom, receivedStarts,
			});
			for (const {task, outcome} of results) {
				entry.scheduler.recordTaskEnd(agent.name, task.ticket, outcome, undefined);
				const record = entry.open.get(task.ticket);
				if (record === undefined) {
					continue;
				}

				if (outcome !== 'completed') {
					entry.scheduler.requeue(record.queued, {...task, attempt: task.attempt + 1});
				} else if (--record.left === 0) {
					close(entry, record, 'completed');
				}
			}
		}
	}

	/** Time from now at which the upstream of a run that begins now is lost before its end; undefined if it is not. */
	function willBeLost(agent: Agent, duration: Milliseconds): Milliseconds | undefined {
		const loss = scenario.disturbances.find(trouble => trouble.kind === 'upstreams-away' && Number(agent.name) < trouble.count
			&& trouble.from > clock.now() && trouble.from < clock.now() + duration);
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
