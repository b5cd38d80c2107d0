/**
 * Measures how memory and processor time of the decision parts grow: `npm run capacity`. Each slope comes from
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

/** One figure at one size. */
type Point = {
	readonly size: number;
	readonly bytes: number;
	readonly micros: number;
};

const repetitions = 4;
const endsMeasured = 500;
const payload = new Uint8Array(200);
const realClock = createSystemClock();

type Measured = {
	/** Keeps what was built alive until the heap is read. */
	readonly kept: unknown;
	readonly micros: number;
};

function measure(name: string, unit: string, sizes: readonly number[], build: (size: number) => Measured): void {
	build(sizes[0]!);
	const points = sizes.map(size => measureOne(size, build));
	const bytes = getSlope(points.map(point => [point.size, point.bytes]));
	const micros = getSlope(points.map(point => [point.size, point.micros]));
	const cells = points.map(point => `${point.size}: ${Math.round(point.bytes / 1024)} kB, ${(point.micros / 1000).toFixed(1)} ms`);
	console.log(`| ${name} | ${unit} | ${cells.join('; ')} | ${Math.round(bytes)} | ${micros.toFixed(2)} |`);
}

function measureOne(size: number, build: (size: number) => Measured): Point {
	const results = Array.from({length: repetitions}, () => {
		const before = getHeap();
		const {kept, micros} = build(size);
		const bytes = getHeap() - before;
		// Reading `kept` after the heap keeps it from being collected before.
		return {size, bytes: kept === undefined ? 0 : bytes, micros};
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

/** Least squares through the points. */
function getSlope(points: ReadonlyArray<readonly [number, number]>): number {
	const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
	const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
	const covariance = points.reduce((sum, [x, y]) => sum + ((x - meanX) * (y - meanY)), 0);
	const variance = points.reduce((sum, [x]) => sum + ((x - meanX) ** 2), 0);
	return covariance / variance;
}

function time(action: () => void): number {
	const start = realClock.now();
	action();
	return (realClock.now() - start) * 1000;
}

type Bench = {
	readonly clock: FakeClock;
	readonly home: Coordinator;
	readonly issuer: TicketIssuer;
	readonly starts: Array<{readonly agent: string; readonly start: TaskStart}>;
};

const noFates: SubmissionRecorder = {
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

function createBench(teams = 1): Bench {
	const clock = createFakeClock();
	const issuer = createTicketIssuer({
		clock, incarnation: 'bench', key: new Uint8Array(32), blockMs: 1000, lifetimeMs: 600_000,
	});
	const starts: Array<{agent: string; start: TaskStart}> = [];
	const snapshot = createTestSnapshot(teams);
	const home = createCoordinator({
		clock,
		entry: 'bench',
		issuer,
		recorder: noFates,
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
	home.applySnapshot(snapshot);
	return {
		clock, home, issuer, starts,
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

function openAgents(bench: Bench, count: number, slots: number): void {
	for (let i = 0; i < count; i++) {
		const session = bench.home.sessions.open({
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
			labels: [],
		});
		session.receiveState({
			draining: false, running: 0, slots, meanRunMs: 100, failedPerMille: 0, configVersion: 1, free: 0, freeRoom: undefined, receivedStarts: 0, soundness: 0,
		});
		session.receiveGrantedCredits(slots);
	}
}

function submitJobs(bench: Bench, jobs: number, tasks: number, team = 0): void {
	for (const ticket of bench.issuer.issue('caller', jobs)) {
		bench.home.submit({name: 'caller', team: `team-${team}`}, {
			ticket, submission: `confirm-${team}`, reference: '', payloads: Array.from({length: tasks}, () => new Uint8Array(payload)), digest: ticket.text, isSingleRequest: false,
		});
	}
}

function endStart(bench: Bench, agent: string, start: TaskStart): void {
	bench.home.sessions.tryGet(agent)!.receiveResult({
		task: start.task,
		seq: start.seq,
		attempt: 1,
		outcome: TaskOutcome.TASK_OUTCOME_COMPLETED,
		reason: RefusalReason.REFUSAL_REASON_UNSPECIFIED,
		payload,
		runMs: 100,
		detail: '',
		startSeq: start.seq,
	});
}

// Ends each start and grants its slot anew, as a busy agent does.
function endStarts(bench: Bench): number {
	const batch = bench.starts.splice(0);
	for (const {agent, start} of batch) {
		endStart(bench, agent, start);
	}

	return batch.length;
}

console.log('| Part | For each | Sizes: heap, time | Bytes | Microseconds |');
console.log('| --- | --- | --- | --- | --- |');

measure('entry: agents linked', 'agent', [100, 300, 1000, 3000], size => {
	const bench = createBench();
	const micros = time(() => {
		openAgents(bench, size, 8);
	});
	return {kept: bench, micros};
});

measure('entry: tasks waiting (jobs of 16)', 'task', [1600, 4800, 16_000, 48_000], size => {
	const bench = createBench();
	openAgents(bench, 1, 0);
	const micros = time(() => {
		submitJobs(bench, size / 16, 16);
	});
	return {kept: bench, micros};
});

measure('entry: tasks started and ended (jobs of 16, 100 agents)', 'task', [1600, 4800, 16_000, 48_000], size => {
	const bench = createBench();
	openAgents(bench, 100, size);
	const micros = time(() => {
		submitJobs(bench, size / 16, 16);
		while (endStarts(bench) > 0) {
			// Each turn ends what the turn before has started.
		}
	});
	return {kept: bench, micros};
});

measure('entry: one start and one end while tasks wait', 'agent linked', [100, 300, 1000, 3000], size => {
	const bench = createBench();
	openAgents(bench, size, 1);
	submitJobs(bench, Math.ceil((size + endsMeasured) / 16) + 1, 16);
	const granted = new Map<string, number>();
	const micros = time(() => {
		for (let i = 0; i < endsMeasured; i++) {
			const {agent, start} = bench.starts.shift()!;
			endStart(bench, agent, start);
			granted.set(agent, (granted.get(agent) ?? 1) + 1);
			bench.home.sessions.tryGet(agent)!.receiveGrantedCredits(granted.get(agent)!);
		}
	});
	return {kept: bench, micros: micros / endsMeasured};
});

measure('entry: teams with one waiting job each', 'team', [100, 300, 1000, 3000], size => {
	const bench = createBench(size);
	openAgents(bench, 1, 0);
	const micros = time(() => {
		for (let team = 0; team < size; team++) {
			submitJobs(bench, 1, 1, team);
		}
	});
	return {kept: bench, micros};
});

measure('entry: tickets issued and claimed', 'ticket', [1000, 3000, 10_000, 30_000], size => {
	const {issuer} = createBench();
	const micros = time(() => {
		for (const ticket of issuer.issue('caller', size)) {
			issuer.claim(ticket);
		}
	});
	return {kept: issuer, micros};
});

measure('entry, agent: objects in a configuration', 'object', [100, 1000, 3000, 10_000], size => {
	const bytes = encodeSnapshot(createTestSnapshot(size / 2));
	let kept: unknown;
	const micros = time(() => {
		kept = decodeSnapshot(bytes, 'bench')._unsafeUnwrap();
	});
	return {kept, micros};
});

type AgentBench = {readonly sessions: EntrySessions; readonly granter: CreditGranter};

function createAgentBench(entries: number, slots: number): AgentBench {
	const clock = createFakeClock();
	const facts: AgentInfo = {
		incarnation: 'agent', name: 'agent', upstream: 'ordering-1', service: 'ordering', dataCentre: 'makati', rack: 'r1', slots,
	};
	const granter = createCreditGranter({clock, onGrantChanged: () => undefined}, slots);
	const sessions = createEntrySessions({
		clock,
		agent: facts,
		retentionMs: 60_000,
		maxRetainedBytes: 1e9,
		run(_start, done) {
			done({
				outcome: TaskOutcome.TASK_OUTCOME_COMPLETED, reason: RefusalReason.REFUSAL_REASON_UNSPECIFIED, payload, duration: 100, detail: '',
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
		task: {ticket: `kc1.bench.0.${seq}`, index: 0}, seq, attempt: 1, taskCount: 1, service: 'ordering', payload, timeoutMs: 0, configVersion: 1, idempotent: false, caller: 'caller', reference: '', need: undefined, expectedRunMs: 0,
	};
}

function createEntryBatch(starts: TaskStart[], acked: number): EntryBatch {
	return {
		welcome: undefined, starts, resultsAcked: acked, queued: 1, returned: 0, config: undefined, queries: [], fenced: [], draining: false, entries: [], head: undefined, stops: [],
	};
}

measure('agent: entries linked', 'entry', [4, 16, 64, 256], size => {
	let kept: unknown;
	const micros = time(() => {
		kept = createAgentBench(size, 8);
	});
	return {kept, micros};
});

measure('agent: tasks run (kept for 60 s)', 'task', [1000, 3000, 10_000, 30_000], size => {
	const bench = createAgentBench(1, 8);
	const micros = time(() => {
		for (let seq = 1; seq <= size; seq++) {
			bench.sessions.receive('entry-0', createEntryBatch([createStart(seq)], seq - 1));
			bench.sessions.takePendingOutput('entry-0');
		}
	});
	return {kept: bench, micros};
});

measure('codec: starts in one batch, both ways', 'task', [10, 30, 100, 300], size => {
	const batch = createEntryBatch(Array.from({length: size}, (_, i) => createStart(i + 1)), 0);
	let bytes = new Uint8Array();
	const rounds = 100;
	const micros = time(() => {
		for (let i = 0; i < rounds; i++) {
			bytes = EntryBatch.encode(batch).finish();
			EntryBatch.decode(bytes);
		}
	});
	return {kept: bytes, micros: micros / rounds};
});

const batchBytes = EntryBatch.encode(createEntryBatch([createStart(1)], 1)).finish().length;
const newsBytes = EntryBatch.encode(createEntryBatch([], 1)).finish().length;
const stateBytes = AgentBatch.encode({
	hello: undefined,
	state: {
		draining: false, running: 8, slots: 8, meanRunMs: 100, failedPerMille: 0, configVersion: 100, free: 1, freeRoom: undefined, receivedStarts: 0, soundness: 0,
	},
	granted: 100_000,
	results: [],
	held: [],
}).finish().length;
console.log(`\nBytes of one start with ${payload.length} bytes of payload: ${batchBytes}; of a batch of news: ${newsBytes}; of an agent's restated state: ${stateBytes}.`);
const {rss, heapUsed} = process.memoryUsage();
console.log(`This process: resident ${Math.round(rss / 1_048_576)} MB, heap ${Math.round(heapUsed / 1_048_576)} MB.`);
