import Logger from 'bunyan';
import {z} from 'zod';
import {relaxedTiming} from '../../src/connection/link-timing.js';
import type {AgentBatch, EntryBatch} from '../../src/generated/kingcuplane.js';
import {createAgent} from '../../src/process/agent.js';
import type {Agent} from '../../src/process/agent-types.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {noMetrics} from '../../src/process/metrics.js';
import {describe, it} from '../describe.js';

type Bench = {
	readonly clock: FakeClock;
	readonly agent: Agent;
	/** What the agent wrote, the newest last. */
	readonly written: AgentBatch[];
	/** Messages that it logged. */
	readonly logged: string[];
	send(batch: Partial<EntryBatch>): Promise<void>;
	/** The entry ends the stream. */
	end(): void;
};

const lineSchema = z.object({msg: z.string()});

async function turn(): Promise<void> {
	return new Promise(resolve => {
		setImmediate(resolve);
	});
}

async function open(): Promise<Bench> {
	const clock = createFakeClock();
	const written: AgentBatch[] = [];
	const logged: string[] = [];
	const log = Logger.createLogger({
		name: 'a', streams: [{
			type: 'raw', stream: {
				write(line: unknown) {
					logged.push(lineSchema.parse(line).msg);
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
			written.push(batch);
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
	const bench: Bench = {
		clock,
		agent,
		written,
		logged,
		end() {
			listeners.get('end')!();
		},
		async send(batch) {
			listeners.get('data')!({
				welcome: undefined, config: undefined, head: undefined, starts: [], stops: [], queries: [], fenced: [], entries: [], resultsAcked: 0, queued: 0, returned: 0, draining: false, ...batch,
			});
			await turn();
		},
	};
	await turn();
	await bench.send({welcome: {entry: 'e', incarnation: 'e1'}});
	return bench;
}

describe('agent', () => {
	it('logs each link that it gains or loses', async t => {
		const {agent, logged, end, clock, send} = await open();
		t.deepEqual(logged, ['link opened']);
		end();
		t.deepEqual(logged, ['link opened', 'link closed']);
		clock.advance(1000);
		await send({welcome: {entry: 'e', incarnation: 'e2'}});
		t.deepEqual(logged, ['link opened', 'link closed', 'link opened']);
		agent.stop();
	});

	it('goes on leaving when a configuration comes that does not drain its upstream', async t => {
		const {agent, written, send} = await open();
		agent.setUpstreamLeaving(true);
		await turn();
		t.true(written.at(-1)?.state?.draining);
		await send({
			config: {
				version: 2, slots: 0, taskTimeoutMs: 0, drain: false,
			},
		});
		t.true(written.at(-1)?.state?.draining);
		t.is(written.at(-1)?.state?.freeRoom?.cpu, 0);
		agent.setUpstreamLeaving(false);
		await turn();
		t.false(written.at(-1)?.state?.draining);
		agent.stop();
	});

	it('drains while either the configuration or the upstream asks for it', async t => {
		const {agent, written, send} = await open();
		await send({
			config: {
				version: 2, slots: 0, taskTimeoutMs: 0, drain: true,
			},
		});
		agent.setUpstreamLeaving(true);
		agent.setUpstreamLeaving(false);
		await turn();
		t.true(written.at(-1)?.state?.draining);
		agent.stop();
	});
});
