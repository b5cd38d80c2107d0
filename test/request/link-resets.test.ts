import type {ExecutionContext} from 'ava';
import fc from 'fast-check';
import type {AgentSession} from '../../src/connection/agent-sessions.js';
import {createEntrySessions, type EntrySessions, type RunResult} from '../../src/connection/entry-sessions.js';
import {createResourceLimiter, type ResourceLimiter} from '../../src/connection/resource-limiter.js';
import {unboundedQuota} from '../../src/connection/unbounded-quota.js';
import {
	AgentBatch, AgentState, EntryBatch, RefusalReason, Soundness, TaskOutcome, type TaskStart, type TaskStop,
} from '../../src/generated/kingcuplane.js';
import type {Milliseconds} from '../../src/process/clock.js';
import {createFakeClock} from '../../src/process/fake-clock.js';
import {createMemoryPlatform} from '../../src/process/platform/memory.js';
import {createCoordinator} from '../../src/request/coordinator.js';
import {createResourceScheduler} from '../../src/request/resource-scheduler.js';
import {createTicketIssuer} from '../../src/request/ticket.js';
import {createSnapshot} from '../../src/version/snapshot.js';
import type {ConfigObject} from '../../src/version/types.js';
import {createSubmissionRecords} from '../failure/submission-records.js';
import {describe, it} from '../describe.js';
import {openSession} from '../open-session.js';

const entry = 'e1';
const agentCount = 3;
const capacity = {cpu: 4000, memory: 1000, accelerators: 0};
const jobDeadlineMs: Milliseconds = 60_000;
/** An agent stops the runs of an entry that stays away for so long, and the entry gives them up later than they can end. */
const orphanGraceMs: Milliseconds = 120;
const stopMs: Milliseconds = 50;
const agentGraceMs: Milliseconds = 600;
/** After this time nothing is suspect any more because of an earlier loss. */
const forgivenMs: Milliseconds = 20_000;
/** More than any sequence of messages needs to be delivered. */
const maxSettlingSteps = 1000;

const objects: readonly ConfigObject[] = [
	{
		kind: 'team', name: 't', maxTasks: 1000, weight: 1,
	},
	{
		kind: 'policy', name: 'p', placement: 'response', maxQueuedTasks: 1000, taskTimeout: jobDeadlineMs, deadline: jobDeadlineMs, retryPercent: 100, recordBeforeStart: false,
	},
	{
		kind: 'service', name: 's', policy: 'p', maxTasksPerJob: 100, maxPayload: 10,
	},
	{
		kind: 'submission', name: 'check', service: 's', team: 't', idempotent: false, deadline: jobDeadlineMs, expectedRun: 1,
	},
];

type JobShape = {
	readonly tasks: number;
	/** Thousandths of a processor that each task uses. */
	readonly cpu: number;
	/** Maximum number of tasks on one upstream; no limit if undefined. */
	readonly limit: number | undefined;
};

type Action =
	| {readonly kind: 'submit'; readonly job: JobShape}
	| {readonly kind: 'cancel'; readonly job: number}
	/** Delivers the oldest message on the link of an agent. */
	| {readonly kind: 'to agent' | 'to entry' | 'open'; readonly agent: number}
	| {readonly kind: 'end run'; readonly agent: number; readonly run: number}
	/** Loses the link and all messages on it. Either both ends notice, or only the agent before it connects again. */
	| {readonly kind: 'reset'; readonly agent: number; readonly isNoticedByEntry: boolean}
	| {readonly kind: 'advance'; readonly time: Milliseconds};

type Link = {
	readonly session: AgentSession;
	readonly toAgent: EntryBatch[];
	readonly toEntry: AgentBatch[];
};

type Run = {
	readonly start: TaskStart;
	end(outcome: TaskOutcome): void;
};

type Agent = {
	readonly name: string;
	readonly sessions: EntrySessions;
	readonly limiter: ResourceLimiter;
	readonly runs: Run[];
	soundness: Soundness;
	link: Link | undefined;
};

type System = {
	readonly agents: readonly Agent[];
	/** Limits that were exceeded, and starts that were lost or did not fit. */
	readonly violations: string[];
	perform(action: Action): void;
	/** Opens all links, delivers all messages and ends all runs until nothing happens any more. */
	settle(): void;
	countOpenJobs(): number;
	countOutstandingStarts(): number;
};

/** Connects the entry's side of the links with the agents' side, without a network. */
function createSystem(): System {
	const clock = createFakeClock(1000);
	const issuer = createTicketIssuer({
		clock, incarnation: entry, key: new Uint8Array(32), blockMs: 1000, lifetimeMs: jobDeadlineMs,
	});
	const snapshot = createSnapshot(1, objects);
	const limits = new Map<string, number>();
	const tickets: string[] = [];
	const violations: string[] = [];
	const coordinator = createCoordinator({
		clock,
		entry: 'e',
		issuer,
		recorder: createSubmissionRecords(clock, entry, createMemoryPlatform({clock}).objects).recorder,
		quota: unboundedQuota,
		createScheduler: host => createResourceScheduler({...host, random: () => 0, startupGraceMs: 0}),
		endsEarlierIncarnations: true,
		agentGraceMs,
		answerKeepMs: 1000,
		maxTasks: 100,
		tryGetSnapshot: () => snapshot,
		isDraining: () => false,
		sendStart(incarnation, start) {
			if (!send(incarnation, {starts: [start]})) {
				violations.push(`a task was started on ${incarnation}, to which there is no link`);
			}
		},
		sendStop(incarnation, stop: TaskStop) {
			send(incarnation, {stops: [stop]});
		},
		onDemandChanged(incarnation) {
			send(incarnation, {});
		},
		acknowledge: () => undefined,
		onAnswered: () => undefined,
	});
	coordinator.applySnapshot(snapshot);
	const agents = Array.from({length: agentCount}, (_, index) => createAgent(`a${index}`));
	for (const agent of agents) {
		open(agent);
	}

	return {
		perform,
		settle,
		agents,
		violations,
		countOpenJobs: coordinator.getOpenJobs,
		countOutstandingStarts: coordinator.sessions.getOutstandingStarts,
	};

	/** Puts a message on the newest link of an agent; returns whether there is one. */
	function send(incarnation: string, fields: Partial<EntryBatch>): boolean {
		const link = agents.find(({name}) => name === incarnation)?.link;
		link?.toAgent.push(EntryBatch.fromPartial({
			...fields, resultsAcked: link.session.getAckedResultSeq(), queued: coordinator.scheduler.getDemand(incarnation),
		}));
		return link !== undefined;
	}

	function createAgent(name: string): Agent {
		const runs: Run[] = [];
		const limiter = createResourceLimiter({
			clock, notifyEntry() {
				report(agent);
			},
		}, capacity);
		const sessions = createEntrySessions({
			clock,
			agent: {
				incarnation: name, name, upstream: `u-${name}`, service: 's', dataCentre: 'd', rack: '', slots: 1, capacity, labels: [],
			},
			retentionMs: jobDeadlineMs,
			maxRetainedBytes: 1000,
			orphanGraceMs,
			run(start, done) {
				const run: Run = {
					start, end(outcome) {
						if (runs.includes(run)) {
							runs.splice(runs.indexOf(run), 1);
							done(createResult(outcome));
							report(agent);
						}
					},
				};
				runs.push(run);
				checkLimit(agent, start);
			},
			stop(start) {
				clock.after(stopMs, () => {
					runs.find(run => run.start === start)?.end(TaskOutcome.TASK_OUTCOME_ABORTED);
				});
			},
			onOutputPending() {
				report(agent);
			},
		}, limiter);
		const agent: Agent = {
			name, sessions, limiter, runs, soundness: Soundness.SOUNDNESS_SOUND, link: undefined,
		};
		return agent;
	}

	function checkLimit(agent: Agent, {task}: TaskStart): void {
		const running = agent.runs.filter(({start}) => start.task!.ticket === task!.ticket).length;
		if (running > limits.get(task!.ticket)!) {
			violations.push(`${running} tasks of a job run on ${agent.name}, which may run ${limits.get(task!.ticket)}`);
		}
	}

	function report(agent: Agent): void {
		if (agent.link === undefined) {
			return;
		}

		const {results, receivedStarts} = agent.sessions.takePendingOutput(entry);
		for (const {outcome, reason} of results) {
			if (outcome === TaskOutcome.TASK_OUTCOME_REFUSED && reason === RefusalReason.REFUSAL_REASON_FULL) {
				violations.push(`${agent.name} had no room for a task`);
			}
		}

		agent.link.toEntry.push(AgentBatch.fromPartial({
			results: [...results],
			state: AgentState.fromPartial({
				slots: 1, freeRoom: agent.limiter.getFreeResources(entry), capacity, receivedStarts, soundness: agent.soundness,
			}),
		}));
	}

	function open(agent: Agent): void {
		if (agent.link === undefined) {
			const session = openSession(coordinator.sessions, agent.sessions.open(entry));
			agent.link = {session, toAgent: [], toEntry: []};
			session.resumeStarts();
			report(agent);
		}
	}

	function reset(agent: Agent, isNoticedByEntry: boolean): void {
		const {link} = agent;
		agent.link = undefined;
		if (link !== undefined) {
			agent.sessions.close(entry);
			if (isNoticedByEntry) {
				link.session.close();
			} else {
				open(agent);
			}
		}
	}

	function deliverToAgent(agent: Agent): void {
		const batch = agent.link?.toAgent.shift();
		if (batch !== undefined) {
			agent.sessions.receive(entry, batch);
			report(agent);
		}
	}

	function deliverToEntry({link}: Agent): void {
		const batch = link?.toEntry.shift();
		if (link !== undefined && batch !== undefined) {
			link.session.receiveState(batch.state!);
			for (const result of batch.results) {
				link.session.receiveResult(result);
			}
		}
	}

	function submit({tasks, cpu, limit}: JobShape): void {
		const [ticket] = issuer.issue('c', 1);
		limits.set(ticket!.text, limit ?? Infinity);
		tickets.push(ticket!.text);
		coordinator.submit({name: 'c', team: 't'}, {
			submission: 'check',
			payloads: Array.from({length: tasks}, () => new Uint8Array()),
			isSingleRequest: false,
			expectedRun: 100,
			maxFailedRuns: 100,
			ticket: ticket!,
			reference: ticket!.text,
			deadlineMs: jobDeadlineMs,
			digest: '',
			need: {resources: {cpu, memory: 0, accelerators: 0}, maxPerUpstream: limit},
		});
	}

	function perform(action: Action): void {
		switch (action.kind) {
			case 'submit': {
				submit(action.job);
				return;
			}

			case 'cancel': {
				coordinator.cancel(tickets[action.job % Math.max(1, tickets.length)] ?? '', 'its client');
				return;
			}

			case 'to agent': {
				deliverToAgent(agents[action.agent]!);
				return;
			}

			case 'to entry': {
				deliverToEntry(agents[action.agent]!);
				return;
			}

			case 'open': {
				open(agents[action.agent]!);
				return;
			}

			case 'end run': {
				const {runs} = agents[action.agent]!;
				runs[action.run % Math.max(1, runs.length)]?.end(TaskOutcome.TASK_OUTCOME_COMPLETED);
				return;
			}

			case 'reset': {
				reset(agents[action.agent]!, action.isNoticedByEntry);
				return;
			}

			case 'advance': {
				clock.advance(action.time);
			}
		}
	}

	function settle(): void {
		for (const agent of agents) {
			open(agent);
		}

		for (let step = 0; step < maxSettlingSteps && isBusy(); step++) {
			for (const agent of agents) {
				deliverAll(agent);
				agent.runs[0]?.end(TaskOutcome.TASK_OUTCOME_COMPLETED);
				deliverAll(agent);
			}
		}

		clock.advance(forgivenMs);
		for (const agent of agents) {
			report(agent);
			deliverAll(agent);
		}
	}

	function isBusy(): boolean {
		return agents.some(({link, runs}) => runs.length > 0 || (link?.toAgent.length ?? 0) + (link?.toEntry.length ?? 0) > 0);
	}

	function deliverAll(agent: Agent): void {
		for (let step = 0; step < maxSettlingSteps && (agent.link!.toAgent.length > 0 || agent.link!.toEntry.length > 0); step++) {
			deliverToAgent(agent);
			deliverToEntry(agent);
		}
	}
}

function createResult(outcome: TaskOutcome): RunResult {
	return {
		outcome, reason: RefusalReason.REFUSAL_REASON_UNSPECIFIED, payload: new Uint8Array(), duration: 1, detail: '',
	};
}

/** Performs the actions, lets all end, and checks that nothing is counted any more: each agent can be used up again by one task. */
function checkCounts(t: ExecutionContext, actions: readonly Action[]): void {
	const system = createSystem();
	for (const action of actions) {
		system.perform(action);
	}

	system.settle();
	t.deepEqual(system.violations, []);
	t.is(system.countOpenJobs(), 0, 'open jobs');
	t.is(system.countOutstandingStarts(), 0, 'starts without an end');
	for (const probed of system.agents) {
		// An agent that is being probed gets a task only if it runs none.
		probed.soundness = Soundness.SOUNDNESS_PROBED;
		system.settle();
		system.perform({kind: 'submit', job: {tasks: agentCount, cpu: capacity.cpu, limit: 1}});
		for (const [agent] of system.agents.entries()) {
			system.perform({kind: 'to agent', agent});
			system.perform({kind: 'to agent', agent});
		}

		t.deepEqual(system.agents.map(({runs}) => runs.length), [1, 1, 1], `${probed.name} is probed`);
		system.settle();
		probed.soundness = Soundness.SOUNDNESS_SOUND;
	}

	t.deepEqual(system.violations, []);
}

const agentIndexes = fc.nat({max: agentCount - 1});
const jobShapes = fc.record({tasks: fc.integer({min: 1, max: 8}), cpu: fc.constantFrom(0, 500, 1000, 2000), limit: fc.constantFrom(undefined, 1, 2)});
const actions: fc.Arbitrary<Action> = fc.oneof(
	{weight: 2, arbitrary: fc.record({kind: fc.constant('submit'), job: jobShapes})},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('cancel'), job: fc.nat({max: 10})})},
	{weight: 12, arbitrary: fc.record({kind: fc.constantFrom('to agent', 'to entry'), agent: agentIndexes})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('open'), agent: agentIndexes})},
	{weight: 4, arbitrary: fc.record({kind: fc.constant('end run'), agent: agentIndexes, run: fc.nat({max: 10})})},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('reset'), agent: agentIndexes, isNoticedByEntry: fc.boolean()})},
	{weight: 2, arbitrary: fc.record({kind: fc.constant('advance'), time: fc.constantFrom(1, 20, 150, 700)})},
);

/** Lets the agent report and receive what the entry sends then. */
function exchange(agent: number, times = 1): readonly Action[] {
	return Array.from({length: times}, (): readonly Action[] => [{kind: 'to entry', agent}, {kind: 'to agent', agent}]).flat();
}

const agentNumbers = Array.from({length: agentCount}, (_, agent) => agent);
/** A job that has to wait for its own tasks on each agent, with every message and end of a run as a step of its own. */
const steps: readonly Action[] = [
	{kind: 'submit', job: {tasks: 2 * agentCount, cpu: 500, limit: 1}},
	...Array.from({length: 4}, () => agentNumbers.flatMap(agent => exchange(agent))).flat(),
	...Array.from({length: 2}, () => agentNumbers.flatMap((agent): readonly Action[] => [{kind: 'end run', agent, run: 0}, ...exchange(agent, 2)])).flat(),
];

/** Ways to lose a link and open it again. */
const interruptions: Readonly<Record<string, (agent: number) => readonly Action[]>> = {
	'both ends notice': agent => [{kind: 'reset', agent, isNoticedByEntry: true}, {kind: 'open', agent}],
	'the agent connects again before the entry notices': agent => [{kind: 'reset', agent, isNoticedByEntry: false}],
	'the agent stays away until it has stopped its runs': agent => [
		{kind: 'reset', agent, isNoticedByEntry: true}, {kind: 'advance', time: orphanGraceMs + stopMs}, {kind: 'open', agent},
	],
	'the agent stays away until its runs are given up': agent => [{kind: 'reset', agent, isNoticedByEntry: true}, {kind: 'advance', time: agentGraceMs}, {kind: 'open', agent}],
};

describe('limits and counts of runs after a link was lost', () => {
	// Guards against counts that are kept with a link: tasks were started beyond the limit of an upstream after its link was reset.
	for (const [what, interrupt] of Object.entries(interruptions)) {
		it(`hold at every step of a job if ${what}`, t => {
			for (let step = 0; step <= steps.length; step++) {
				for (let agent = 0; agent < agentCount; agent++) {
					checkCounts(t, [...steps.slice(0, step), ...interrupt(agent), ...exchange(agent, 3), ...steps.slice(step)]);
				}
			}
		});
	}

	it('hold for any jobs and any order of messages, ends, cancellations and resets', t => {
		fc.assert(fc.property(fc.array(actions, {minLength: 20, maxLength: 150}), list => {
			checkCounts(t, list);
		}), {seed: 41, numRuns: 200});
	});
});
