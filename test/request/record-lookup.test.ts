import {Buffer} from 'node:buffer';
import {compareWithBaseline} from '../baseline.js';
import {describe, it} from '../describe.js';
import {unwrap} from '../unwrap.js';
import {
	RefusalReason, TaskOutcome, type HeldTask, type TaskResult,
} from '../../src/generated/kingcuplane.js';
import {createFakeClock} from '../../src/process/fake-clock.js';
import {createMemoryPlatform, type MemoryPlatform} from '../../src/process/platform/memory.js';
import {encodeBlock, getBlockKey} from '../../src/request/record-codec.js';
import {formatRecordReport} from '../../src/request/record-format.js';
import {createRecordLookup, type RecordLookup, type CoordinatorReply} from '../../src/request/record-lookup.js';
import type {RecordReport, SubmissionRecord} from '../../src/request/types.js';
import {
	acceptedAt, createAttempt, createRecord, createFinishedRecord, createTasks, createTicket,
} from './records.js';

const ticket = createTicket(0);

/** A lookup at another entry than the home, and what it asked for. */
type Bench = {
	readonly lookup: RecordLookup;
	readonly platform: MemoryPlatform;
	getReads(): number;
	getAgentQueries(): number;
};

/** What the other parties of a lookup know. */
type Surroundings = {
	readonly incarnation?: string;
	readonly inMemory?: SubmissionRecord;
	readonly saved?: SubmissionRecord;
	readonly home?: CoordinatorReply;
	readonly held?: readonly HeldTask[];
};

describe('fate lookup', () => {
	it('reads nothing for a record in memory', async t => {
		const bench = await createBench({incarnation: '42', inMemory: createFinishedRecord()});
		const report = await bench.lookup.find(ticket);
		t.like(report, {sources: ['own'], mayChange: false, unknown: []});
		t.is(bench.getReads(), 0);
	});

	it('tells that a running or undelivered submission may change', async t => {
		const running = await createBench({incarnation: '42', inMemory: createRecord()});
		const undelivered = await createBench({incarnation: '42', inMemory: {...createFinishedRecord(), deliveries: []}});
		t.like(await running.lookup.find(ticket), {mayChange: true});
		t.like(await undelivered.lookup.find(ticket), {mayChange: true});
	});

	it('reads once for a record that has left memory', async t => {
		const bench = await createBench({incarnation: '42', saved: createFinishedRecord()});
		t.like(await bench.lookup.find(ticket), {sources: ['store'], mayChange: false, unknown: []});
		t.is(bench.getReads(), 1);
	});

	it('takes the word of the home and reads nothing', async t => {
		const report: RecordReport = {
			ticket: ticket.text, fate: createFinishedRecord(), sources: ['own'], mayChange: true, unknown: [],
		};
		const bench = await createBench({home: {kind: 'report', report}});
		t.like(await bench.lookup.find(ticket), {sources: ['home'], mayChange: true});
		t.is(bench.getReads(), 0);
	});

	it('reads once for the answer of a lost home, and asks no agent', async t => {
		const bench = await createBench({home: {kind: 'lost'}, saved: createFinishedRecord()});
		t.like(await bench.lookup.find(ticket), {sources: ['store'], mayChange: false, unknown: []});
		t.is(bench.getReads(), 1);
		t.is(bench.getAgentQueries(), 0);
	});

	it('warns that an unreachable home may know more', async t => {
		const bench = await createBench({home: {kind: 'unreachable'}, saved: createFinishedRecord()});
		const report = await bench.lookup.find(ticket);
		t.true(report.mayChange);
		t.regex(report.unknown.join(' '), /cannot be reached/v);
	});

	it('reads twice at most while the platform is down', async t => {
		const bench = await createBench({home: {kind: 'lost'}});
		bench.platform.setFaults({down: true});
		const report = await bench.lookup.find(ticket);
		t.is(bench.getReads(), 2);
		t.like(report, {fate: undefined, mayChange: true});
		t.regex(report.unknown.join(' '), /cannot be read at present/v);
	});

	it('says so when a saved block is damaged', async t => {
		const bench = await createBench({home: {kind: 'lost'}});
		await unwrap(bench.platform.objects.put(getBlockKey('42', 7), Buffer.from('damaged')));
		const report = await bench.lookup.find(ticket);
		t.regex(report.unknown.join(' '), /cannot be decompressed/v);
	});

	it('adds what agents hold to the last saved state of a lost home', async t => {
		const saved = createRecord({
			taskCount: 4,
			tasks: createTasks(
				{index: 0, attempts: [createAttempt()]},
				{index: 1, attempts: [createAttempt({endedAt: undefined, outcome: undefined, runMs: undefined})]},
			),
		});
		const bench = await createBench({
			home: {kind: 'lost'},
			saved,
			held: [
				createHeld(0, createResult(TaskOutcome.TASK_OUTCOME_COMPLETED)),
				createHeld(1, createResult(TaskOutcome.TASK_OUTCOME_FAILED, {detail: 'status 500'})),
				createHeld(2, undefined),
			],
		});
		const report = await bench.lookup.find(ticket);
		t.deepEqual(report.sources, ['store', 'agents']);
		compareWithBaseline(t, 'fate/home-lost-running.txt', formatRecordReport(report));
		t.is(saved.tasks.get(1)?.attempts[0]?.outcome, undefined);
	});

	it('rebuilds a record that was never saved from agents alone', async t => {
		const held = [0, 1, 2].map(index => createHeld(index, createResult(TaskOutcome.TASK_OUTCOME_COMPLETED), 3));
		const bench = await createBench({home: {kind: 'lost'}, held});
		const report = await bench.lookup.find(ticket);
		t.like(report, {sources: ['agents'], mayChange: false});
		compareWithBaseline(t, 'fate/home-lost-unsaved.txt', formatRecordReport(report));
	});

	it('does not take a refused start for a run', async t => {
		const refused = createHeld(0, createResult(TaskOutcome.TASK_OUTCOME_REFUSED, {reason: RefusalReason.REFUSAL_REASON_DRAINING}), 1);
		const bench = await createBench({home: {kind: 'lost'}, held: [refused]});
		const report = await bench.lookup.find(ticket);
		t.is(report.fate?.tasks.get(0)?.attempts[0]?.outcome, 'refused');
		t.is(report.fate?.tasks.get(0)?.attempts[0]?.runMs, undefined);
	});

	it('finds nothing where nothing is', async t => {
		const bench = await createBench({home: {kind: 'lost'}});
		t.like(await bench.lookup.find(ticket), {fate: undefined, sources: [], mayChange: false});
		t.is(bench.getReads(), 1);
	});
});

async function createBench(surroundings: Surroundings): Promise<Bench> {
	const platform = createMemoryPlatform({clock: createFakeClock()});
	let agentQueries = 0;
	if (surroundings.saved !== undefined) {
		await unwrap(platform.objects.put(getBlockKey('42', 7), encodeBlock({incarnation: '42', block: 7, fates: [surroundings.saved]})));
	}

	const lookup = createRecordLookup({
		incarnation: surroundings.incarnation ?? '43',
		recorder: {tryGet: () => surroundings.inMemory},
		getObject: platform.objects.get,
		queryCoordinator: async () => surroundings.home ?? {kind: 'unreachable'},
		async queryAgents() {
			agentQueries++;
			return surroundings.held ?? [];
		},
	});
	return {
		lookup,
		platform,
		getReads: () => platform.getStats().objectReads + platform.getStats().refused,
		getAgentQueries: () => agentQueries,
	};
}

function createHeld(index: number, result: TaskResult | undefined, taskCount = 4): HeldTask {
	return {
		task: {ticket: ticket.text, index}, taskCount, running: result === undefined, result, startedAt: acceptedAt + 3, caller: 'ann',
	};
}

function createResult(outcome: TaskOutcome, changes: Partial<TaskResult> = {}): TaskResult {
	return {
		task: undefined, seq: 1, attempt: 1, outcome, reason: RefusalReason.REFUSAL_REASON_UNSPECIFIED, payload: Buffer.alloc(0), runMs: 120, detail: '', startSeq: 1, ...changes,
	};
}
