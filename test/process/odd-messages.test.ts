import {Result} from 'neverthrow';
import type {ExecutionContext} from 'ava';
import fc from 'fast-check';
import type {LinkStream} from '../../src/connection/link-server.js';
import type {IncomingPeerStream} from '../../src/connection/peer-types.js';
import {
	AgentBatch, PeerBatch, type EntryBatch,
} from '../../src/generated/kingcuplane.js';
import {platformTiming} from '../../src/platform/timing.js';
import {createResourceScheduler} from '../../src/request/resource-scheduler.js';
import {describe, it} from '../describe.js';
import {createOddMessages, oddInputRuns} from '../odd-input.js';
import {createTestEntry, type TestEntry} from './test-entry.js';

const room = {cpu: 1000, memory: 1000, accelerators: 0};
const agentBatch = AgentBatch.fromPartial({
	hello: {
		agent: 'a', incarnation: 'a-1', upstream: 'u', service: 's', dataCentre: 'd', slots: 1, room, labels: ['l'], upstreamIncarnation: 'u-1',
	},
	state: {
		slots: 1, free: 1, freeRoom: room, capacity: room, clockMs: 5, releases: [{inMs: 5, resources: room}],
	},
	granted: 3,
	results: [{
		task: {ticket: 't', index: 0}, seq: 1, attempt: 1, startSeq: 1, runMs: 7,
	}],
	held: [{id: 1, tasks: [{task: {ticket: 't', index: 0}, taskCount: 1, running: true}]}],
	losses: [{
		upstreamIncarnation: 'u-0', revision: 4, tasks: [{
			job: 'j', index: 0, submission: 's', expectedRunMs: 5,
		}],
	}],
});
const peerBatch = PeerBatch.fromPartial({
	hello: {address: {name: 'p', incarnation: 'p-1', links: '10.0.0.2:7720'}},
	state: {configVersion: 3, entries: [{name: 'q', incarnation: 'q-1', links: '10.0.0.3:7720'}], evacuations: {revision: 3, dataCentres: ['f']}},
	requests: [{
		id: 1, operation: 'wait', ticket: 'kc1.e-1.0.0.AAAAAAAAAAAAAAAA', body: new Uint8Array([123, 125]), timeoutMs: 10,
	}],
	shares: {
		reports: [{
			team: 't', used: 1, demand: 2, claim: 3, grantSeq: 4,
		}], grants: [{team: 't', share: 5, seq: 6}],
	},
	losses: [{upstreamIncarnation: 'u-0', revision: 4, tasks: []}],
	load: {
		utilizationPerMille: 300, acceptsJobs: true, linkUtilizationPerMille: 10, processorPerMille: 300,
	},
	cancelled: [1],
});

type Connection<T> = {
	receive(batch: T): void;
	/** Number of batches that the entry has written. */
	getWritten(): number;
};

/** Opens a stream; the entry uses only these members of it. */
function connect<T>(open: (stream: LinkStream & IncomingPeerStream) => void): Connection<T> {
	let receive: (batch: T) => void = () => undefined;
	let written = 0;
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the entry uses only these members
	open({
		on(event: string, listener: (batch: T) => void) {
			if (event === 'data') {
				receive = listener;
			}
		},
		write() {
			written++;
		},
		end: () => undefined,
		destroy: () => undefined,
	} as unknown as LinkStream & IncomingPeerStream);
	return {
		receive(batch) {
			receive(batch);
		},
		getWritten: () => written,
	};
}

function createConnectedEntry(t: ExecutionContext): TestEntry {
	return createTestEntry(t, {
		timing: platformTiming,
		createScheduler: host => createResourceScheduler({...host, random: () => 0, startupGraceMs: 0}),
	});
}

/** Lets time pass for all timers that a message may have started. */
function passTime({clock, runDeferred}: TestEntry): void {
	for (let i = 0; i < 20; i++) {
		clock.advance(100);
		runDeferred();
	}
}

function openLink({entry}: TestEntry): Connection<AgentBatch> {
	return connect(stream => {
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the entry uses only these members
		entry.links.open(stream as unknown as Parameters<typeof entry.links.open>[0]);
	});
}

function openPeer({entry}: TestEntry): Connection<PeerBatch> {
	return connect(stream => {
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the entry uses only these members
		entry.peers.exchange(stream as unknown as Parameters<typeof entry.peers.exchange>[0]);
	});
}

/** Messages whose bytes cannot be decoded end their stream in gRPC. */
function tryDecode<T>(codec: {decode(bytes: Uint8Array): T}, bytes: Uint8Array): T | undefined {
	return Result.fromThrowable(() => codec.decode(bytes))().unwrapOr(undefined);
}

const oddNumbers = fc.constantFrom(Number.NaN, Infinity, -Infinity, -1, 0.5, 1e300, -1e300);

describe('an entry', () => {
	// Guards against a message of one agent that ends the entry, or the links of others.
	it('keeps its other links, and opens new ones, whatever an agent sends', t => {
		const odd = fc.oneof(
			createOddMessages(AgentBatch.encode(agentBatch).finish()).map(bytes => tryDecode(AgentBatch, bytes)),
			oddNumbers.map(clockMs => ({...agentBatch, state: {...agentBatch.state!, clockMs}})),
		);
		fc.assert(fc.property(odd, batch => {
			const test = createConnectedEntry(t);
			const sound = openLink(test);
			sound.receive({
				...agentBatch, hello: {
					...agentBatch.hello!, agent: 'b', incarnation: 'b-1', upstreamIncarnation: 'u-2',
				},
			});
			test.runDeferred();
			const faulty = openLink(test);
			if (batch !== undefined) {
				faulty.receive(batch);
			}

			test.runDeferred();
			passTime(test);
			const again = openLink(test);
			again.receive({...agentBatch, hello: {...agentBatch.hello!, agent: 'c', incarnation: 'c-1'}});
			sound.receive({...agentBatch, hello: undefined});
			test.runDeferred();
			t.true(again.getWritten() > 1);
		}), oddInputRuns);
	});

	// Guards against a message of one peer that ends the entry.
	it('goes on with its other peers, whatever a peer sends', async t => {
		const odd = createOddMessages(PeerBatch.encode(peerBatch).finish()).map(bytes => tryDecode(PeerBatch, bytes));
		await fc.assert(fc.asyncProperty(odd, async batch => {
			const test = createConnectedEntry(t);
			const faulty = openPeer(test);
			test.runDeferred();
			if (batch !== undefined) {
				faulty.receive(batch);
			}

			passTime(test);
			const sound = openPeer(test);
			test.runDeferred();
			const before = sound.getWritten();
			sound.receive({...peerBatch, cancelled: []});
			await new Promise(resolve => {
				setImmediate(resolve);
			});
			test.runDeferred();
			t.true(sound.getWritten() > before, 'its request was answered');
		}), oddInputRuns);
	});
});
