import {noResources} from '../../src/connection/resources.js';
import {unboundedQuota} from '../../src/connection/unbounded-quota.js';
import {createSnapshot} from '../../src/version/snapshot.js';
import {
	LossState, RefusalReason, TaskOutcome, type AgentState, type TaskStart,
} from '../../src/generated/kingcuplane.js';
import type {Milliseconds} from '../../src/process/clock.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {createMemoryPlatform} from '../../src/process/platform/memory.js';
import {createCoordinator} from '../../src/request/coordinator.js';
import type {Coordinator} from '../../src/request/coordinator-types.js';
import type {SubmissionRequest} from '../../src/request/submission-rules.js';
import type {JobHandle} from '../../src/request/tracked-job.js';
import {createResourceScheduler} from '../../src/request/resource-scheduler.js';
import {createTicketIssuer} from '../../src/request/ticket.js';
import type {ConfigObject} from '../../src/version/types.js';
import {describe, it} from '../describe.js';
import {openSession} from '../open-session.js';
import {createSubmissionRecords} from '../failure/submission-records.js';

const objects: readonly ConfigObject[] = [
	{
		kind: 'team', name: 't', maxTasks: 100, weight: 1,
	},
	{
		kind: 'policy', name: 'p', placement: 'response', maxQueuedTasks: 100, taskTimeout: 1000, deadline: 60_000, retryPercent: 100, recordBeforeStart: false,
	},
	{
		kind: 'service', name: 's', policy: 'p', maxTasksPerJob: 10, maxPayload: 10,
	},
	{
		kind: 'submission', name: 'check', service: 's', team: 't', idempotent: false, deadline: 60_000, expectedRun: 1,
	},
	{
		kind: 'submission', name: 'look-up', service: 's', team: 't', idempotent: true, deadline: 60_000, expectedRun: 1,
	},
];

type Fixture = {
	readonly clock: FakeClock;
	readonly coordinator: Coordinator;
	readonly starts: TaskStart[];
	readonly stops: number[];
	submit(tasks: number, expectedRun: Milliseconds, maxFailures: number): JobHandle;
	/** Submits a single idempotent request. */
	submitLookUp(): JobHandle;
	end(start: TaskStart, outcome: TaskOutcome): void;
	/** Submits a job of one task that needs no resources. */
	submitSmall(): JobHandle;
	/** Closes the link of the agent and opens it again; the agent has received that many starts, all if undefined. */
	reconnect(receivedStarts?: number): void;
	/** Lets the agent report that all its resources are free. */
	report(): void;
};

function createFixture(): Fixture {
	const clock = createFakeClock(1000);
	const incarnation = 'e1';
	const issuer = createTicketIssuer({
		clock, incarnation, key: new Uint8Array(32), blockMs: 1000, lifetimeMs: 60_000,
	});
	const starts: TaskStart[] = [];
	const stops: number[] = [];
	const snapshot = createSnapshot(1, objects);
	let results = 0;
	const coordinator = createCoordinator({
		clock,
		entry: 'e',
		issuer,
		recorder: createSubmissionRecords(clock, incarnation, createMemoryPlatform({clock}).objects).recorder,
		quota: unboundedQuota,
		createScheduler: host => createResourceScheduler({...host, random: () => 0, startupGraceMs: 0}),
		agentGraceMs: 600,
		answerKeepMs: 1000,
		maxTasks: 100,
		tryGetSnapshot: () => snapshot,
		isDraining: () => false,
		sendStart(_agent, start) {
			starts.push(start);
		},
		sendStop(_agent, {startSeq}) {
			stops.push(startSeq);
		},
		onDemandChanged: () => undefined,
		acknowledge: () => undefined,
		onAnswered: () => undefined,
	});
	coordinator.applySnapshot(snapshot);
	const capacity = {cpu: 8000, memory: 1000, accelerators: 0};
	const hello = {
		agent: 'a', incarnation: 'a1', upstream: 'u', service: 's', dataCentre: 'd', rack: '', slots: 1, entryIncarnation: incarnation, lastStartSeq: 0, lastResultSeq: 0, room: capacity, labels: [], upstreamIncarnation: '', helloNumber: 0,
	};
	let session = openSession(coordinator.sessions, hello);
	const state: AgentState = {
		draining: false, running: 0, slots: 1, meanRunMs: 0, failedPerMille: 0, configVersion: 1, free: 0, freeRoom: capacity, capacity, receivedStarts: 0, soundness: 0, clockMs: 0, runTimeRatioPerMille: 0, releases: [],
	};
	session.receiveState(state);
	const submitRequest = (req: Pick<SubmissionRequest, 'submission' | 'payloads' | 'isSingleRequest'> & Partial<SubmissionRequest>): JobHandle => {
		const [ticket] = issuer.issue('c', 1);
		const outcome = coordinator.submit({name: 'c', team: 't'}, {
			ticket: ticket!, reference: 'r', deadlineMs: 1000, digest: 'd', need: {resources: {cpu: 1000, memory: 1, accelerators: 0}}, ...req,
		});
		if (outcome.kind !== 'accepted') {
			throw new Error(outcome.kind);
		}

		return outcome.job;
	};

	return {
		clock,
		coordinator,
		starts,
		stops,
		submit: (tasks, expectedRun, maxFailures) => submitRequest({
			submission: 'check',
			payloads: Array.from({length: tasks}, () => new Uint8Array()),
			isSingleRequest: false,
			expectedRun,
			objective: {stretch: 1.6, margin: 60},
			maxFailedRuns: maxFailures,
		}),
		submitLookUp: () => submitRequest({submission: 'look-up', payloads: [new Uint8Array()], isSingleRequest: true}),
		end(start, outcome) {
			results++;
			session.receiveResult({
				task: start.task, seq: results, attempt: start.attempt, outcome, reason: RefusalReason.REFUSAL_REASON_UNSPECIFIED, payload: new Uint8Array(), runMs: 1, detail: 'x', startSeq: start.seq,
			});
		},
		submitSmall: () => submitRequest({
			submission: 'check', payloads: [new Uint8Array()], isSingleRequest: false, expectedRun: 100, need: {resources: noResources},
		}),
		reconnect(receivedStarts = starts.length) {
			session.close();
			stops.length = 0;
			session = openSession(coordinator.sessions, {...hello, lastStartSeq: receivedStarts});
			session.resumeStarts();
		},
		report() {
			session.receiveState(state);
		},
	};
}

describe('coordinator of jobs whose tasks may be started again', () => {
	it('fails a job only once a task has reached the maximum number of failed runs', t => {
		const {starts, submit, end} = createFixture();
		const job = submit(2, 100, 3);
		end(starts[0]!, TaskOutcome.TASK_OUTCOME_FAILED);
		end(starts[1]!, TaskOutcome.TASK_OUTCOME_FAILED);
		end(starts[2]!, TaskOutcome.TASK_OUTCOME_FAILED);
		t.is(job.tryGetAnswer(), undefined);
		end(starts[4]!, TaskOutcome.TASK_OUTCOME_FAILED);
		t.is(job.tryGetAnswer()?.diagnostic?.kind, 'TaskFailed');
	});

	it('reports a deadline out of reach, not a failed task, if there is no time for another run', t => {
		const {clock, starts, submit, end} = createFixture();
		const job = submit(1, 500, 3);
		clock.advance(800);
		end(starts[0]!, TaskOutcome.TASK_OUTCOME_FAILED);
		t.is(job.tryGetAnswer()?.diagnostic?.kind, 'DeadlineOutOfReach');
		t.is(job.tryGetAnswer()?.ran, 'ran');
	});

	it('starts a task again after its run was stopped early, and does not count this as a failure', t => {
		const {starts, submit, end} = createFixture();
		const job = submit(1, 100, 1);
		end(starts[0]!, TaskOutcome.TASK_OUTCOME_ABORTED);
		t.is(starts.length, 2);
		end(starts[1]!, TaskOutcome.TASK_OUTCOME_COMPLETED);
		t.is(job.tryGetAnswer()?.state, 'complete');
	});

	it('stops the remaining runs of a cancelled job', t => {
		const {coordinator, starts, stops, submit} = createFixture();
		const job = submit(3, 100, 1);
		coordinator.cancel(job.ticket.text, 'its client');
		t.deepEqual(stops, starts.map(({seq}) => seq));
	});

	// Such a run went on after its client had sent the job again to another entry, and both ran (seed 2254 of the runs with forwarding).
	it('stops the runs of a job that was cancelled while the link was lost, once the link is open again', t => {
		const {coordinator, starts, stops, submit, reconnect} = createFixture();
		const cancelled = submit(2, 100, 1);
		submit(1, 100, 1);
		coordinator.cancel(cancelled.ticket.text, 'its client');
		reconnect();
		t.deepEqual(stops, starts.slice(0, 2).map(({seq}) => seq));
	});

	// Guards against an entry that hangs: the task was started at once on the link that was being opened, counted as not received there, and so on.
	it('starts a task without needs that was lost with a link once, after the first report on the next link', t => {
		const {starts, submitSmall, reconnect, report, end} = createFixture();
		const job = submitSmall();
		reconnect(0);
		t.is(starts.length, 1);
		report();
		t.is(starts.length, 2);
		end(starts[1]!, TaskOutcome.TASK_OUTCOME_COMPLETED);
		t.is(job.tryGetAnswer()?.state, 'complete');
	});
});

// Issue 24: an entry that is handed a job again must neither start its task once more nor say that it has not run.
describe('coordinator of a job whose runs were lost under another ticket', () => {
	function reportLoss(coordinator: Coordinator, upstreamIncarnation: string): void {
		coordinator.receiveLossReport({
			upstreamIncarnation,
			revision: 1,
			state: LossState.LOSS_STATE_CRASHED,
			tasks: [{
				job: 'c/r', index: 0, submission: 'check', expectedRunMs: 100,
			}],
		});
	}

	it('reports it as failed at once if it has crashed enough upstreams', t => {
		const {coordinator, starts, submit} = createFixture();
		reportLoss(coordinator, 'u1');
		reportLoss(coordinator, 'u2');
		const job = submit(1, 100, 1);
		t.is(job.tryGetAnswer()?.diagnostic?.kind, 'TaskCrashedUpstreams');
		t.is(starts.length, 0);
	});

	it('starts it, and fails it as soon as it is known to have crashed enough upstreams', t => {
		const {coordinator, starts, submit, end} = createFixture();
		reportLoss(coordinator, 'u1');
		const job = submit(1, 100, 1);
		reportLoss(coordinator, 'u2');
		t.is(job.tryGetAnswer(), undefined, 'its run may still complete');
		end(starts[0]!, TaskOutcome.TASK_OUTCOME_ABORTED);
		t.is(job.tryGetAnswer()?.diagnostic?.kind, 'TaskCrashedUpstreams');
		t.is(starts.length, 1);
	});

	it('does not say that it has not run if it cannot be started again', t => {
		const {coordinator, submit} = createFixture();
		reportLoss(coordinator, 'u1');
		const job = submit(1, 10_000, 1);
		t.is(job.tryGetAnswer()?.diagnostic?.kind, 'DeadlineCannotBeMet');
		t.is(job.tryGetAnswer()?.ran, 'may-have-run');
	});
});

// Issue 24: a request that crashes each upstream must not go through all of them while the retry budget lasts.
describe('coordinator of single idempotent requests', () => {
	it('sends a request to at most three upstreams while its outcome stays unknown', t => {
		const {starts, submitLookUp, end} = createFixture();
		const job = submitLookUp();
		for (const start of starts) {
			end(start, TaskOutcome.TASK_OUTCOME_UNKNOWN);
		}

		t.is(starts.length, 3);
		t.is(job.tryGetAnswer()?.diagnostic?.kind, 'TaskMayHaveRun');
	});

	it('sends a request again after a single unknown outcome', t => {
		const {starts, submitLookUp, end} = createFixture();
		const job = submitLookUp();
		end(starts[0]!, TaskOutcome.TASK_OUTCOME_UNKNOWN);
		end(starts[1]!, TaskOutcome.TASK_OUTCOME_COMPLETED);
		t.is(job.tryGetAnswer()?.state, 'complete');
	});
});
