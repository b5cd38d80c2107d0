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

/** A lookup, by default at another entry than the coordinator, and the numbers of its requests. */
type Fixture = {
	readonly lookup: RecordLookup;
	readonly platform: MemoryPlatform;
	getReads(): number;
	getAgentQueries(): number;
};

/** State of the sources of a lookup. */
type SourceStates = {
	readonly incarnation?: string;
	readonly inMemory?: SubmissionRecord;
	readonly saved?: SubmissionRecord;
	readonly coordinator?: CoordinatorReply;
	readonly held?: readonly HeldTask[];
};

describe('record lookup', () => {
	it('reads nothing for a record in memory', async t => {
		const fixture = await createFixture({incarnation: '42', inMemory: createFinishedRecord()});
		const report = await fixture.lookup.find(ticket);
		t.like(report, {sources: ['own'], mayChange: false, unknown: []});
		t.is(fixture.getReads(), 0);
	});

	it('reports that a running or undelivered submission may change', async t => {
		const running = await createFixture({incarnation: '42', inMemory: createRecord()});
		const undelivered = await createFixture({incarnation: '42', inMemory: {...createFinishedRecord(), deliveries: []}});
		t.like(await running.lookup.find(ticket), {mayChange: true});
		t.like(await undelivered.lookup.find(ticket), {mayChange: true});
	});

	it('reads once for a record that is no longer in memory', async t => {
		const fixture = await createFixture({incarnation: '42', saved: createFinishedRecord()});
		t.like(await fixture.lookup.find(ticket), {sources: ['store'], mayChange: false, unknown: []});
		t.is(fixture.getReads(), 1);
	});

	it('returns the report of the coordinator and reads nothing', async t => {
		const report: RecordReport = {
			ticket: ticket.text, fate: createFinishedRecord(), sources: ['own'], mayChange: true, unknown: [],
		};
		const fixture = await createFixture({coordinator: {kind: 'report', report}});
		t.like(await fixture.lookup.find(ticket), {sources: ['home'], mayChange: true});
		t.is(fixture.getReads(), 0);
	});

	it('reads once for the answer of a lost coordinator, and queries no agent', async t => {
		const fixture = await createFixture({coordinator: {kind: 'lost'}, saved: createFinishedRecord()});
		t.like(await fixture.lookup.find(ticket), {sources: ['store'], mayChange: false, unknown: []});
		t.is(fixture.getReads(), 1);
		t.is(fixture.getAgentQueries(), 0);
	});

	it('reports that an unreachable coordinator may know more', async t => {
		const fixture = await createFixture({coordinator: {kind: 'unreachable'}, saved: createFinishedRecord()});
		const report = await fixture.lookup.find(ticket);
		t.true(report.mayChange);
		t.regex(report.unknown.join(' '), /cannot be reached/v);
	});

	it('reads twice at most while the platform is down', async t => {
		const fixture = await createFixture({coordinator: {kind: 'lost'}});
		fixture.platform.setFaults({down: true});
		const report = await fixture.lookup.find(ticket);
		t.is(fixture.getReads(), 2);
		t.like(report, {fate: undefined, mayChange: true});
		t.regex(report.unknown.join(' '), /cannot be read at present/v);
	});

	it('reports a damaged block', async t => {
		const fixture = await createFixture({coordinator: {kind: 'lost'}});
		await unwrap(fixture.platform.objects.put(getBlockKey('42', 7), Buffer.from('damaged')));
		const report = await fixture.lookup.find(ticket);
		t.regex(report.unknown.join(' '), /cannot be decompressed/v);
	});

	it('merges the tasks that agents retain into the last saved record of a lost coordinator', async t => {
		const saved = createRecord({
			taskCount: 4,
			tasks: createTasks(
				{index: 0, attempts: [createAttempt()]},
				{index: 1, attempts: [createAttempt({endedAt: undefined, outcome: undefined, runMs: undefined})]},
			),
		});
		const fixture = await createFixture({
			coordinator: {kind: 'lost'},
			saved,
			held: [
				createHeldTask(0, createResult(TaskOutcome.TASK_OUTCOME_COMPLETED)),
				createHeldTask(1, createResult(TaskOutcome.TASK_OUTCOME_FAILED, {detail: 'status 500'})),
				createHeldTask(2, undefined),
			],
		});
		const report = await fixture.lookup.find(ticket);
		t.deepEqual(report.sources, ['store', 'agents']);
		compareWithBaseline(t, 'fate/home-lost-running.txt', formatRecordReport(report));
		t.is(saved.tasks.get(1)?.attempts[0]?.outcome, undefined);
	});

	it('rebuilds a record that was never saved from the tasks that agents retain', async t => {
		const held = [0, 1, 2].map(index => createHeldTask(index, createResult(TaskOutcome.TASK_OUTCOME_COMPLETED), 3));
		const fixture = await createFixture({coordinator: {kind: 'lost'}, held});
		const report = await fixture.lookup.find(ticket);
		t.like(report, {sources: ['agents'], mayChange: false});
		compareWithBaseline(t, 'fate/home-lost-unsaved.txt', formatRecordReport(report));
	});

	it('does not treat a refused start as a run', async t => {
		const refused = createHeldTask(0, createResult(TaskOutcome.TASK_OUTCOME_REFUSED, {reason: RefusalReason.REFUSAL_REASON_DRAINING}), 1);
		const fixture = await createFixture({coordinator: {kind: 'lost'}, held: [refused]});
		const report = await fixture.lookup.find(ticket);
		t.is(report.fate?.tasks.get(0)?.attempts[0]?.outcome, 'refused');
		t.is(report.fate?.tasks.get(0)?.attempts[0]?.runMs, undefined);
	});

	it('finds nothing for a ticket without any record', async t => {
		const fixture = await createFixture({coordinator: {kind: 'lost'}});
		t.like(await fixture.lookup.find(ticket), {fate: undefined, sources: [], mayChange: false});
		t.is(fixture.getReads(), 1);
	});
});

async function createFixture(states: SourceStates): Promise<Fixture> {
	const platform = createMemoryPlatform({clock: createFakeClock()});
	let agentQueries = 0;
	if (states.saved !== undefined) {
		await unwrap(platform.objects.put(getBlockKey('42', 7), encodeBlock({incarnation: '42', block: 7, fates: [states.saved]})));
	}

	const lookup = createRecordLookup({
		incarnation: states.incarnation ?? '43',
		recorder: {tryGet: () => states.inMemory},
		getObject: platform.objects.get,
		queryCoordinator: async () => states.coordinator ?? {kind: 'unreachable'},
		async queryAgents() {
			agentQueries++;
			return states.held ?? [];
		},
	});
	return {
		lookup,
		platform,
		getReads: () => platform.getStats().objectReads + platform.getStats().refused,
		getAgentQueries: () => agentQueries,
	};
}

function createHeldTask(index: number, result: TaskResult | undefined, taskCount = 4): HeldTask {
	return {
		task: {ticket: ticket.text, index}, taskCount, running: result === undefined, result, startedAt: acceptedAt + 3, caller: 'ann',
	};
}

function createResult(outcome: TaskOutcome, changes: Partial<TaskResult> = {}): TaskResult {
	return {
		task: undefined, seq: 1, attempt: 1, outcome, reason: RefusalReason.REFUSAL_REASON_UNSPECIFIED, payload: Buffer.alloc(0), runMs: 120, detail: '', startSeq: 1, ...changes,
	};
}
