import Logger from 'bunyan';
import {z} from 'zod';
import {relaxedTiming} from '../../src/connection/link-timing.js';
import {TaskStart, type AgentBatch, type EntryBatch} from '../../src/generated/kingcuplane.js';
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

async function createFixture(): Promise<Fixture> {
	const clock = createFakeClock();
	const sentBatches: AgentBatch[] = [];
	const loggedMessages: string[] = [];
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
			run: () => undefined, isReachable: async () => true, close: async () => undefined,
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
		endStream() {
			listeners.get('end')!();
		},
		async receive(batch) {
			listeners.get('data')!({
				welcome: undefined, config: undefined, head: undefined, evacuations: undefined, starts: [], stops: [], queries: [], fenced: [], entries: [], resultsAcked: 0, queued: 0, returned: 0, draining: false, ...batch,
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
