import Logger from 'bunyan';
import {z} from 'zod';
import {relaxedTiming} from '../../src/connection/link-timing.js';
import {
	RefusalReason, TaskOutcome, TaskStart, type AgentBatch, type EntryBatch,
} from '../../src/generated/kingcuplane.js';
import type {RunResult} from '../../src/connection/entry-sessions.js';
import {createAgent} from '../../src/process/agent.js';
import type {Agent} from '../../src/process/agent-types.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {noMetrics} from '../../src/process/metrics.js';
import {describe, it} from '../describe.js';

type Fixture = {
	readonly clock: FakeClock;
	readonly agent: Agent;
	/** Batches that the agent has sent, newest last. */
	readonly sentBatches: AgentBatch[];
	/** Messages that the agent has logged. */
	readonly loggedMessages: string[];
	/** Ends each run that has not ended. */
	endRuns(): void;
	/** Delivers a batch from the entry to the agent. */
	receive(batch: Partial<EntryBatch>): Promise<void>;
	/** Ends the stream, as the entry would. */
	endStream(): void;
};

const lineSchema = z.object({msg: z.string()});

async function waitForTurn(): Promise<void> {
	return new Promise(resolve => {
		setImmediate(resolve);
	});
}

const completedRun: RunResult = {
	outcome: TaskOutcome.TASK_OUTCOME_COMPLETED, reason: RefusalReason.REFUSAL_REASON_UNSPECIFIED, payload: new Uint8Array(), duration: 5, detail: '',
};

function createStart(seq: number): TaskStart {
	return TaskStart.fromPartial({
		task: {ticket: `t${seq}`, index: 0}, seq, attempt: 1, need: {},
	});
}

/** Returns the reasons for which the agent has refused starts, by the number of the start. */
function getRefusals({sentBatches}: Fixture): ReadonlyMap<number, RefusalReason> {
	return new Map(sentBatches.flatMap(({results}) => results).filter(({outcome}) => outcome === TaskOutcome.TASK_OUTCOME_REFUSED).map(({startSeq, reason}) => [startSeq, reason]));
}

async function createFixture(): Promise<Fixture> {
	const clock = createFakeClock();
	const sentBatches: AgentBatch[] = [];
	const loggedMessages: string[] = [];
	const runs: Array<(result: RunResult) => void> = [];
	const log = Logger.createLogger({
		name: 'a', streams: [{
			type: 'raw', stream: {
				write(line: unknown) {
					loggedMessages.push(lineSchema.parse(line).msg);
				},
			},
		}],
	});
	const listeners = new Map<string, (batch?: EntryBatch) => void>();
	const stream = {
		on(event: string, listener: (batch: EntryBatch) => void) {
			listeners.set(event, batch => {
				listener(batch!);
			});
		},
		write(batch: AgentBatch) {
			sentBatches.push(batch);
		},
		cancel: () => undefined,
	};
	const agent = createAgent({
		clock,
		settings: {
			name: 'a',
			upstream: 'u',
			service: 's',
			dataCentre: 'd',
			rack: '',
			upstreamServer: {
				url: '', slots: 1, connections: 1, taskTimeoutMs: 0,
			},
			agent: {
				seeds: [{host: '127.0.0.1', port: 1}], discoverMs: 100, drainMs: 1000, resultMemoryBytes: 1000,
			},
			platform: {url: '', timeoutMs: 1000},
			log: {level: 'info'},
			metrics: {address: undefined, prefix: ''},
		},
		incarnation: 'a1',
		upstream: {
			run(_start, done) {
				runs.push(done);
			},
			isReachable: async () => true, close: async () => undefined,
		},
		log,
		metrics: noMetrics,
		timing: relaxedTiming,
		capacity: {cpu: 4000, memory: 100, accelerators: 0},
		random: () => 0,
		readEntryDirectory: async () => [],
		defer: setImmediate,
		connect: () => ({open: () => stream, close: () => undefined}),
	});
	const fixture: Fixture = {
		clock,
		agent,
		sentBatches,
		loggedMessages,
		endRuns() {
			for (const done of runs.splice(0)) {
				done(completedRun);
			}
		},
		endStream() {
			listeners.get('end')!();
		},
		async receive(batch) {
			listeners.get('data')!({
				welcome: undefined, config: undefined, head: undefined, evacuations: undefined, senderSilences: [], sentAtMs: 0, reportWanted: false, starts: [], stops: [], queries: [], fenced: [], entries: [], resultsAcked: 0, queued: 0, returned: 0, draining: false, ...batch,
			});
			await waitForTurn();
		},
	};
	await waitForTurn();
	await fixture.receive({welcome: {entry: 'e', incarnation: 'e1'}});
	return fixture;
}

describe('agent', () => {
	it('logs each link that opens or closes', async t => {
		const {agent, loggedMessages, endStream, clock, receive} = await createFixture();
		t.deepEqual(loggedMessages, ['link opened']);
		endStream();
		t.deepEqual(loggedMessages, ['link opened', 'link closed']);
		clock.advance(1000);
		await receive({welcome: {entry: 'e', incarnation: 'e2'}});
		t.deepEqual(loggedMessages, ['link opened', 'link closed', 'link opened']);
		agent.stop();
	});

	it('keeps draining while its upstream shuts down, even if a new configuration does not drain the upstream', async t => {
		const {agent, sentBatches, receive} = await createFixture();
		agent.setUpstreamLeaving(true);
		await waitForTurn();
		t.true(sentBatches.at(-1)?.state?.draining);
		await receive({
			config: {
				version: 2, slots: 0, taskTimeoutMs: 0, drain: false,
			},
		});
		t.true(sentBatches.at(-1)?.state?.draining);
		t.is(sentBatches.at(-1)?.state?.freeRoom?.cpu, 0);
		agent.setUpstreamLeaving(false);
		await waitForTurn();
		t.false(sentBatches.at(-1)?.state?.draining);
		agent.stop();
	});

	it('drains while either the configuration or the upstream asks for it', async t => {
		const {agent, sentBatches, receive} = await createFixture();
		await receive({
			config: {
				version: 2, slots: 0, taskTimeoutMs: 0, drain: true,
			},
		});
		agent.setUpstreamLeaving(true);
		agent.setUpstreamLeaving(false);
		await waitForTurn();
		t.true(sentBatches.at(-1)?.state?.draining);
		agent.stop();
	});

	describe('in an evacuated data centre', () => {
		const evacuated = {revision: 10, dataCentres: ['c', 'd']};
		const restored = {revision: 20, dataCentres: ['c']};

		it('refuses every start from the batch with the list on, and lets earlier runs end', async t => {
			const fixture = await createFixture();
			await fixture.receive({starts: [createStart(1)]});
			await fixture.receive({starts: [createStart(2)], evacuations: evacuated});
			t.deepEqual([...getRefusals(fixture)], [[2, RefusalReason.REFUSAL_REASON_DRAINING]]);
			t.like(fixture.sentBatches.at(-1)!.state, {draining: true, running: 1});
			fixture.endRuns();
			await waitForTurn();
			t.is(fixture.sentBatches.at(-1)!.results[0]?.outcome, TaskOutcome.TASK_OUTCOME_COMPLETED);
			t.deepEqual(fixture.loggedMessages.slice(1), ['data centre is evacuated; no task is started', 'last task in the evacuated data centre has ended here']);
			fixture.agent.stop();
		});

		it('refuses a start of an entry that has resumed with an older list', async t => {
			const fixture = await createFixture();
			await fixture.receive({evacuations: evacuated});
			fixture.endStream();
			fixture.clock.advance(1000);
			await fixture.receive({welcome: {entry: 'f', incarnation: 'f1'}});
			t.true(fixture.sentBatches.at(-1)!.state?.draining);
			await fixture.receive({evacuations: {revision: 9, dataCentres: []}, starts: [createStart(1)]});
			t.deepEqual([...getRefusals(fixture)], [[1, RefusalReason.REFUSAL_REASON_DRAINING]]);
			fixture.agent.stop();
		});

		it('accepts starts again once it is restored, unless there is another reason to drain', async t => {
			const fixture = await createFixture();
			await fixture.receive({evacuations: evacuated});
			fixture.agent.setUpstreamLeaving(true);
			await fixture.receive({evacuations: restored, starts: [createStart(1)]});
			t.true(fixture.sentBatches.at(-1)!.state?.draining);
			fixture.agent.setUpstreamLeaving(false);
			await fixture.receive({starts: [createStart(2)]});
			t.deepEqual([...getRefusals(fixture).keys()], [1]);
			t.like(fixture.sentBatches.at(-1)!.state, {draining: false});
			await fixture.receive({evacuations: {revision: 30, dataCentres: ['d']}, starts: [createStart(3)]});
			t.deepEqual([...getRefusals(fixture).keys()], [1, 3]);
			fixture.agent.stop();
		});
	});

	it('reports what a run will release, to entries with waiting tasks only', async t => {
		const {agent, sentBatches, receive} = await createFixture();
		const need = {cpu: 3000, memory: 10, accelerators: 0};
		await receive({
			starts: [TaskStart.fromPartial({
				task: {ticket: 't', index: 0}, seq: 1, need, expectedRunMs: 200,
			})],
		});
		agent.reportLosses();
		await waitForTurn();
		t.deepEqual(sentBatches.at(-1)?.state?.releases, []);
		await receive({queued: 1});
		agent.reportLosses();
		await waitForTurn();
		t.deepEqual(sentBatches.at(-1)?.state?.releases, [{inMs: 200, resources: need}]);
		agent.stop();
	});
});
