/**
 * Measures how memory and processor time of the coordination logic grow: `npm run capacity`. Each slope is fitted to
 * four sizes; docs/CAPACITY.md multiplies the slopes by the sizes of the target.
 */
import process from 'node:process';
import {createCreditGranter} from '../../src/connection/credit-granter.js';
import {createEntrySessions, type EntrySessions} from '../../src/connection/entry-sessions.js';
import type {AgentInfo, CreditGranter} from '../../src/connection/types.js';
import {unboundedQuota} from '../../src/connection/unbounded-quota.js';
import {
	AgentBatch, EntryBatch, RefusalReason, TaskOutcome, type TaskStart,
} from '../../src/generated/kingcuplane.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {createSystemClock} from '../../src/process/clock.js';
import {createCoordinator} from '../../src/request/coordinator.js';
import type {Coordinator} from '../../src/request/coordinator-types.js';
import {createTicketIssuer, type TicketIssuer} from '../../src/request/ticket.js';
import type {SubmissionRecorder} from '../../src/request/types.js';
import {encodeSnapshot, decodeSnapshot} from '../../src/version/snapshot-codec.js';
import {createSnapshot} from '../../src/version/snapshot.js';
import type {ConfigObject, Snapshot} from '../../src/version/types.js';

/** The measurement at one size. */
type Point = {
	readonly size: number;
	readonly bytes: number;
	readonly micros: number;
};

const repetitionsPerSize = 4;
const measuredCompletions = 500;
const taskPayload = new Uint8Array(200);
const realClock = createSystemClock();

type Measurement = {
	/** The object under measurement, referenced until the heap size is read. */
	readonly retained: unknown;
	readonly micros: number;
};

function measure(name: string, unit: string, sizes: readonly number[], build: (size: number) => Measurement): void {
	build(sizes[0]!);
	const points = sizes.map(size => measureOne(size, build));
	const bytes = getSlope(points.map(point => [point.size, point.bytes]));
	const micros = getSlope(points.map(point => [point.size, point.micros]));
	const cells = points.map(point => `${point.size}: ${Math.round(point.bytes / 1024)} kB, ${(point.micros / 1000).toFixed(1)} ms`);
	console.log(`| ${name} | ${unit} | ${cells.join('; ')} | ${Math.round(bytes)} | ${micros.toFixed(2)} |`);
}

function measureOne(size: number, build: (size: number) => Measurement): Point {
	const results = Array.from({length: repetitionsPerSize}, () => {
		const before = getHeap();
		const {retained, micros} = build(size);
		const bytes = getHeap() - before;
		// Reading `retained` after the heap size prevents its collection before that.
		return {size, bytes: retained === undefined ? 0 : bytes, micros};
	});
	const byBytes = results.map(result => result.bytes).toSorted((a, b) => a - b);
	const byMicros = results.map(result => result.micros).toSorted((a, b) => a - b);
	return {size, bytes: byBytes[1]!, micros: byMicros[1]!};
}

function getHeap(): number {
	if (globalThis.gc === undefined) {
		throw new Error('run with --expose-gc');
	}

	globalThis.gc();
	const {heapUsed, arrayBuffers} = process.memoryUsage();
	return heapUsed + arrayBuffers;
}

/** Returns the slope of the least-squares line through the points. */
function getSlope(points: ReadonlyArray<readonly [number, number]>): number {
	const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
	const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
	const covariance = points.reduce((sum, [x, y]) => sum + ((x - meanX) * (y - meanY)), 0);
	const variance = points.reduce((sum, [x]) => sum + ((x - meanX) ** 2), 0);
	return covariance / variance;
}

function measureMicros(action: () => void): number {
	const start = realClock.now();
	action();
	return (realClock.now() - start) * 1000;
}

type EntryFixture = {
	readonly clock: FakeClock;
	readonly coordinator: Coordinator;
	readonly issuer: TicketIssuer;
	readonly starts: Array<{readonly agent: string; readonly start: TaskStart}>;
};

const noopRecorder: SubmissionRecorder = {
	openRecord: () => undefined,
	recordSent: () => undefined,
	recordEnded: () => undefined,
	recordCancelled: () => undefined,
	recordAnswer: () => undefined,
	recordDelivery: () => undefined,
	tryGet: () => undefined,
	whenSaved(_ticket, action) {
		action();
	},
	flush: async () => undefined,
	getUnsavedCount: () => 0,
};

function createEntryFixture(teams = 1): EntryFixture {
	const clock = createFakeClock();
	const issuer = createTicketIssuer({
		clock, incarnation: 'bench', key: new Uint8Array(32), blockMs: 1000, lifetimeMs: 600_000,
	});
	const starts: Array<{agent: string; start: TaskStart}> = [];
	const snapshot = createTestSnapshot(teams);
	const coordinator = createCoordinator({
		clock,
		entry: 'bench',
		issuer,
		recorder: noopRecorder,
		quota: unboundedQuota,
		agentGraceMs: 3000,
		answerKeepMs: 1,
		maxTasks: 1100,
		tryGetSnapshot: () => snapshot,
		isDraining: () => false,
		sendStart(agent, start) {
			starts.push({agent, start});
		},
		sendStop: () => undefined,
		onDemandChanged: () => undefined,
		acknowledge: () => undefined,
		onAnswered: () => undefined,
	});
	coordinator.applySnapshot(snapshot);
	return {
		clock, coordinator, issuer, starts,
	};
}

function createTestSnapshot(teams: number): Snapshot {
	const objects: ConfigObject[] = [
		{
			kind: 'policy', name: 'default', placement: 'response', maxQueuedTasks: 10_000_000, taskTimeout: 30_000, deadline: 600_000, retryPercent: 0, recordBeforeStart: false,
		},
		{
			kind: 'service', name: 'ordering', policy: 'default', maxTasksPerJob: 1100, maxPayload: 65_536,
		},
	];
	for (let i = 0; i < teams; i++) {
		objects.push({
			kind: 'team', name: `team-${i}`, maxTasks: 1_000_000, weight: 1,
		}, {
			kind: 'submission', name: `confirm-${i}`, service: 'ordering', team: `team-${i}`, idempotent: false, deadline: 600_000, expectedRun: 100,
		});
	}

	return createSnapshot(1, objects);
}

function addAgents(fixture: EntryFixture, count: number, slots: number): void {
	for (let i = 0; i < count; i++) {
		const {sessions} = fixture.coordinator;
		const session = sessions.open({
			agent: `agent-${i}`,
			incarnation: `incarnation-${i}`,
			upstream: `ordering-${i}`,
			service: 'ordering',
			dataCentre: 'makati',
			rack: 'r1',
			slots,
			entryIncarnation: 'bench',
			lastStartSeq: 0,
			lastResultSeq: 0,
			room: undefined,
			labels: [], upstreamIncarnation: '', helloNumber: 1,
		}, sessions.recordWelcome())._unsafeUnwrap();
		session.receiveState({
			draining: false, running: 0, slots, meanRunMs: 100, failedPerMille: 0, configVersion: 1, free: 0, freeRoom: undefined, capacity: undefined, receivedStarts: 0, soundness: 0, clockMs: 0, runTimeRatioPerMille: 0, releases: [],
		});
		session.receiveGrantedCredits(slots);
	}
}

function submitJobs(fixture: EntryFixture, jobs: number, tasks: number, team = 0): void {
	for (const ticket of fixture.issuer.issue('caller', jobs)) {
		fixture.coordinator.submit({name: 'caller', team: `team-${team}`}, {
			ticket, submission: `confirm-${team}`, reference: '', payloads: Array.from({length: tasks}, () => new Uint8Array(taskPayload)), digest: ticket.text, isSingleRequest: false,
		});
	}
}

function completeTask(fixture: EntryFixture, agent: string, start: TaskStart): void {
	fixture.coordinator.sessions.tryGet(agent)!.receiveResult({
		task: start.task,
		seq: start.seq,
		attempt: 1,
		outcome: TaskOutcome.TASK_OUTCOME_COMPLETED,
		reason: RefusalReason.REFUSAL_REASON_UNSPECIFIED,
		payload: taskPayload,
		runMs: 100,
		detail: '',
		startSeq: start.seq,
	});
}

/** Completes the tasks of all starts sent so far and returns their number. */
function completeTasks(fixture: EntryFixture): number {
	const batch = fixture.starts.splice(0);
	for (const {agent, start} of batch) {
		completeTask(fixture, agent, start);
	}

	return batch.length;
}

console.log('| Part | For each | Sizes: heap, time | Bytes | Microseconds |');
console.log('| --- | --- | --- | --- | --- |');

measure('entry: agents linked', 'agent', [100, 300, 1000, 3000], size => {
	const fixture = createEntryFixture();
	const micros = measureMicros(() => {
		addAgents(fixture, size, 8);
	});
	return {retained: fixture, micros};
});

measure('entry: tasks waiting (jobs of 16)', 'task', [1600, 4800, 16_000, 48_000], size => {
	const fixture = createEntryFixture();
	addAgents(fixture, 1, 0);
	const micros = measureMicros(() => {
		submitJobs(fixture, size / 16, 16);
	});
	return {retained: fixture, micros};
});

measure('entry: tasks started and ended (jobs of 16, 100 agents)', 'task', [1600, 4800, 16_000, 48_000], size => {
	const fixture = createEntryFixture();
	addAgents(fixture, 100, size);
	const micros = measureMicros(() => {
		submitJobs(fixture, size / 16, 16);
		while (completeTasks(fixture) > 0) {
			// Each iteration completes the tasks that the previous one started.
		}
	});
	return {retained: fixture, micros};
});

measure('entry: one start and one end while tasks wait', 'agent linked', [100, 300, 1000, 3000], size => {
	const fixture = createEntryFixture();
	addAgents(fixture, size, 1);
	submitJobs(fixture, Math.ceil((size + measuredCompletions) / 16) + 1, 16);
	const grantedCredits = new Map<string, number>();
	const micros = measureMicros(() => {
		for (let i = 0; i < measuredCompletions; i++) {
			const {agent, start} = fixture.starts.shift()!;
			completeTask(fixture, agent, start);
			grantedCredits.set(agent, (grantedCredits.get(agent) ?? 1) + 1);
			fixture.coordinator.sessions.tryGet(agent)!.receiveGrantedCredits(grantedCredits.get(agent)!);
		}
	});
	return {retained: fixture, micros: micros / measuredCompletions};
});

measure('entry: teams with one waiting job each', 'team', [100, 300, 1000, 3000], size => {
	const fixture = createEntryFixture(size);
	addAgents(fixture, 1, 0);
	const micros = measureMicros(() => {
		for (let team = 0; team < size; team++) {
			submitJobs(fixture, 1, 1, team);
		}
	});
	return {retained: fixture, micros};
});

measure('entry: tickets issued and claimed', 'ticket', [1000, 3000, 10_000, 30_000], size => {
	const {issuer} = createEntryFixture();
	const micros = measureMicros(() => {
		for (const ticket of issuer.issue('caller', size)) {
			issuer.claim(ticket);
		}
	});
	return {retained: issuer, micros};
});

measure('entry, agent: objects in a configuration', 'object', [100, 1000, 3000, 10_000], size => {
	const bytes = encodeSnapshot(createTestSnapshot(size / 2));
	let retained: unknown;
	const micros = measureMicros(() => {
		retained = decodeSnapshot(bytes, 'bench')._unsafeUnwrap();
	});
	return {retained, micros};
});

type AgentFixture = {readonly sessions: EntrySessions; readonly granter: CreditGranter};

function createAgentFixture(entries: number, slots: number): AgentFixture {
	const clock = createFakeClock();
	const agentInfo: AgentInfo = {
		incarnation: 'agent', name: 'agent', upstream: 'ordering-1', service: 'ordering', dataCentre: 'makati', rack: 'r1', slots,
	};
	const granter = createCreditGranter({clock, onGrantChanged: () => undefined}, slots);
	const sessions = createEntrySessions({
		clock,
		agent: agentInfo,
		retentionMs: 60_000,
		maxRetainedBytes: 1e9,
		run(_start, done) {
			done({
				outcome: TaskOutcome.TASK_OUTCOME_COMPLETED, reason: RefusalReason.REFUSAL_REASON_UNSPECIFIED, payload: taskPayload, duration: 100, detail: '',
			});
		},
		stop: () => undefined,
		onOutputPending: () => undefined,
	}, granter);
	for (let i = 0; i < entries; i++) {
		sessions.open(`entry-${i}`);
	}

	return {sessions, granter};
}

function createStart(seq: number): TaskStart {
	return {
		task: {ticket: `kc1.bench.0.${seq}`, index: 0}, seq, attempt: 1, taskCount: 1, service: 'ordering', payload: taskPayload, timeoutMs: 0, configVersion: 1, idempotent: false, caller: 'caller', reference: '', need: undefined, expectedRunMs: 0, validUntilMs: 0, submission: '', isolated: false, payloadOf: 0, payloadDeflated: false,
	};
}

function createEntryBatch(starts: TaskStart[], acked: number): EntryBatch {
	return {
		welcome: undefined, starts, resultsAcked: acked, queued: 1, returned: 0, config: undefined, queries: [], fenced: [], draining: false, entries: [], head: undefined, stops: [], evacuations: undefined, senderSilences: [], sentAtMs: 0, reportWanted: false,
	};
}

measure('agent: entries linked', 'entry', [4, 16, 64, 256], size => {
	let retained: unknown;
	const micros = measureMicros(() => {
		retained = createAgentFixture(size, 8);
	});
	return {retained, micros};
});

measure('agent: tasks run (kept for 60 s)', 'task', [1000, 3000, 10_000, 30_000], size => {
	const fixture = createAgentFixture(1, 8);
	const micros = measureMicros(() => {
		for (let seq = 1; seq <= size; seq++) {
			fixture.sessions.receive('entry-0', createEntryBatch([createStart(seq)], seq - 1));
			fixture.sessions.takePendingOutput('entry-0');
		}
	});
	return {retained: fixture, micros};
});

measure('codec: starts in one batch, both ways', 'task', [10, 30, 100, 300], size => {
	const batch = createEntryBatch(Array.from({length: size}, (_, i) => createStart(i + 1)), 0);
	let bytes = new Uint8Array();
	const repetitions = 100;
	const micros = measureMicros(() => {
		for (let i = 0; i < repetitions; i++) {
			bytes = EntryBatch.encode(batch).finish();
			EntryBatch.decode(bytes);
		}
	});
	return {retained: bytes, micros: micros / repetitions};
});

const batchBytes = EntryBatch.encode(createEntryBatch([createStart(1)], 1)).finish().length;
const reportBytes = EntryBatch.encode(createEntryBatch([], 1)).finish().length;
const stateBytes = AgentBatch.encode({
	hello: undefined,
	state: {
		draining: false, running: 8, slots: 8, meanRunMs: 100, failedPerMille: 0, configVersion: 100, free: 1, freeRoom: undefined, capacity: undefined, receivedStarts: 0, soundness: 0, clockMs: 0, runTimeRatioPerMille: 0, releases: [],
	},
	granted: 100_000,
	results: [],
	held: [], losses: [],
}).finish().length;
console.log(`\nBytes of one start with ${taskPayload.length} bytes of payload: ${batchBytes}; of a batch with a report only: ${reportBytes}; of an agent's full state: ${stateBytes}.`);
const {rss, heapUsed} = process.memoryUsage();
console.log(`This process: resident ${Math.round(rss / 1_048_576)} MB, heap ${Math.round(heapUsed / 1_048_576)} MB.`);
