import type {ExecutionContext} from 'ava';
import type {LinkStream} from '../../src/connection/link-server.js';
import type {IncomingPeerStream} from '../../src/connection/peer-types.js';
import {
	AgentBatch, AgentHello, AgentState, PeerBatch, type EntryBatch,
} from '../../src/generated/kingcuplane.js';
import {createEvacuationHolder, type EvacuationList} from '../../src/version/evacuations.js';
import {encodeSnapshot} from '../../src/version/snapshot-codec.js';
import {createSnapshot} from '../../src/version/snapshot.js';
import type {ConfigObject} from '../../src/version/types.js';
import {describe, it} from '../describe.js';
import {createTestEntry} from './test-entry.js';

type Fixture = {
	/** Lists that the entry has sent to a linked agent. */
	readonly sentToAgent: EvacuationList[];
	/** Delivers a list that was read from the store. */
	offer(list: EvacuationList): void;
	/** Delivers a configuration. */
	publish(version: number, objects: readonly ConfigObject[]): void;
	/** Links another entry and returns the list with which the stream begins. */
	connectPeer(): EvacuationList | undefined;
	/** Links an agent in data centre `d`. */
	connectAgent(): void;
	/** Delivers the state of the peer that was linked last. */
	receiveFromPeer(list: EvacuationList | undefined): void;
	/** Whether a task could be placed. */
	isAdmitting(): boolean;
};

/** Creates an entry that has no connection to the store; with `areInConfig`, the configuration states the evacuations. */
function createFixture(t: ExecutionContext, areInConfig = false): Fixture {
	const evacuations = createEvacuationHolder();
	const {
		entry, clock, follower, runDeferred,
	} = createTestEntry(t, {evacuations: areInConfig ? undefined : evacuations});
	const sentToAgent: EvacuationList[] = [];
	let receivePeerBatch: (batch: PeerBatch) => void = () => undefined;

	return {
		sentToAgent,
		connectPeer() {
			let first: PeerBatch | undefined;
			const stream: IncomingPeerStream = {
				on(event: string, listener: (batch: PeerBatch) => void) {
					if (event === 'data') {
						receivePeerBatch = listener;
					}
				},
				write(batch) {
					first ??= batch;
				},
				end: () => undefined,
			};
			// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the entry uses only these members
			entry.peers.exchange(stream as Parameters<typeof entry.peers.exchange>[0]);
			runDeferred();
			return first?.state?.evacuations;
		},
		connectAgent() {
			let receive: (batch: AgentBatch) => void = () => undefined;
			const stream: LinkStream = {
				on(event: string, listener: (batch: AgentBatch) => void) {
					if (event === 'data') {
						receive = listener;
					}
				},
				write(batch: EntryBatch) {
					sentToAgent.push(...batch.evacuations === undefined ? [] : [batch.evacuations]);
				},
				end: () => undefined,
			};
			// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the entry uses only these members
			entry.links.open(stream as Parameters<typeof entry.links.open>[0]);
			receive(AgentBatch.fromPartial({
				hello: AgentHello.fromPartial({
					agent: 'a', incarnation: 'a-1', service: 's', dataCentre: 'd', slots: 1,
				}),
				state: AgentState.fromPartial({slots: 1}),
			}));
			runDeferred();
		},
		receiveFromPeer(list) {
			receivePeerBatch(PeerBatch.fromPartial({
				hello: {address: {name: 'p', incarnation: 'p-1', links: 'p:1'}},
				state: {evacuations: list && {...list, dataCentres: [...list.dataCentres]}},
			}));
			runDeferred();
		},
		isAdmitting: () => entry.coordinator.scheduler.checkAdmission({
			ticket: 'j', service: 's', team: 't', taskCount: 1, expectedRun: 1, arrivedAt: clock.now(), deadlineAt: clock.now() + 1000,
		}).kind === 'admitted',
		offer(list) {
			evacuations.offer(list);
			runDeferred();
		},
		publish(version, objects) {
			follower.offer(encodeSnapshot(createSnapshot(version, objects)))._unsafeUnwrap();
			runDeferred();
		},
	};
}

describe('evacuations at an entry', () => {
	it('are learnt from a peer while the store turns this entry away, and passed on', t => {
		const {connectPeer, connectAgent, receiveFromPeer, sentToAgent, isAdmitting} = createFixture(t);
		t.is(connectPeer(), undefined);
		connectAgent();
		t.true(isAdmitting());
		receiveFromPeer({revision: 10, dataCentres: ['d', 'f']});
		t.false(isAdmitting());
		t.deepEqual(sentToAgent, [{revision: 10, dataCentres: ['d', 'f']}]);
		t.deepEqual(connectPeer(), {revision: 10, dataCentres: ['d', 'f']});
	});

	it('are not replaced by an older list of a peer that has resumed', t => {
		const {offer, connectPeer, connectAgent, receiveFromPeer, sentToAgent, isAdmitting} = createFixture(t);
		connectPeer();
		connectAgent();
		offer({revision: 10, dataCentres: ['d']});
		receiveFromPeer({revision: 9, dataCentres: []});
		receiveFromPeer(undefined);
		t.false(isAdmitting());
		t.deepEqual(sentToAgent, [{revision: 10, dataCentres: ['d']}]);
	});

	it('are sent to an agent with the first batch of its link', t => {
		const {offer, connectAgent, sentToAgent, isAdmitting} = createFixture(t);
		offer({revision: 10, dataCentres: ['d']});
		connectAgent();
		t.deepEqual(sentToAgent, [{revision: 10, dataCentres: ['d']}]);
		t.false(isAdmitting());
	});

	it('end for each data centre on its own', t => {
		const {offer, connectAgent, sentToAgent, isAdmitting} = createFixture(t);
		connectAgent();
		offer({revision: 10, dataCentres: ['d', 'f']});
		offer({revision: 11, dataCentres: ['d']});
		t.false(isAdmitting());
		offer({revision: 12, dataCentres: []});
		t.true(isAdmitting());
		t.deepEqual(sentToAgent.map(({revision}) => revision), [10, 11, 12]);
	});

	it('are those that the configuration states, where nothing else does', t => {
		const {publish, connectAgent, sentToAgent, isAdmitting} = createFixture(t, true);
		connectAgent();
		publish(1, [{kind: 'data-centre', name: 'd', drain: true}, {kind: 'data-centre', name: 'f', drain: false}]);
		t.false(isAdmitting());
		publish(2, []);
		t.true(isAdmitting());
		t.deepEqual(sentToAgent, [{revision: 1, dataCentres: ['d']}, {revision: 2, dataCentres: []}]);
	});

	it('are not those of the configuration where the store states them', t => {
		const {publish, offer, connectAgent, isAdmitting} = createFixture(t);
		connectAgent();
		offer({revision: 10, dataCentres: ['d']});
		publish(100, []);
		t.false(isAdmitting());
	});
});
