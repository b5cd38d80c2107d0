import fc from 'fast-check';
import {Result} from 'neverthrow';
import {createEntryLinks, type EntryLinks} from '../../src/connection/entry-links.js';
import {relaxedTiming} from '../../src/connection/link-timing.js';
import {AgentState, EntryBatch} from '../../src/generated/kingcuplane.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {describe, it} from '../describe.js';
import {createOddMessages, oddInputRuns} from '../odd-input.js';
import {createIdleSessions, idleCapacity} from './idle-sessions.js';

type Fixture = {
	readonly clock: FakeClock;
	readonly links: EntryLinks;
	/** Addresses to which a stream was opened, in order. */
	readonly opened: string[];
	readonly isOpen: ReadonlyMap<string, boolean>;
	/** Addresses that no link could be created to, in order. */
	readonly failed: string[];
	/** Delivers the welcome of an entry and the list of entries that it knows. */
	welcome(address: string, incarnation: string, known: readonly string[]): void;
	/** Delivers a batch of an entry. */
	receive(address: string, batch: EntryBatch): void;
};

async function createFixture(seeds: readonly string[], maxLinks = Infinity, readEntryDirectory: () => Promise<readonly string[]> = async () => []): Promise<Fixture> {
	const clock = createFakeClock();
	const opened: string[] = [];
	const isOpen = new Map<string, boolean>();
	const failed: string[] = [];
	const receivers = new Map<string, (batch: EntryBatch) => void>();
	const sessions = createIdleSessions(clock);
	const links = createEntryLinks({
		clock,
		sessions,
		agent: 'a',
		seeds,
		maxLinks,
		discoverMs: 100,
		timing: relaxedTiming,
		getState: () => AgentState.fromPartial({}),
		receiveConfig: () => undefined,
		readEntryDirectory,
		random: () => 0,
		defer(action) {
			action();
		},
		onUnexpectedError(_err, address) {
			failed.push(address);
		},
		connect: address => ({
			open() {
				if (address === 'unusable') {
					throw new Error('this address cannot be used');
				}

				opened.push(address);
				isOpen.set(address, true);
				return {
					on(event: string, listener: (batch: EntryBatch) => void) {
						if (event === 'data') {
							receivers.set(address, listener);
						}
					},
					write: () => undefined,
					cancel() {
						isOpen.set(address, false);
					},
				};
			},
			close: () => undefined,
		}),
	});
	await Promise.resolve();
	return {
		clock,
		links,
		opened,
		isOpen,
		failed,
		receive(address, batch) {
			receivers.get(address)?.(batch);
		},
		welcome(address, incarnation, known) {
			receivers.get(address)?.(EntryBatch.fromPartial({welcome: {entry: incarnation, incarnation}}));
			receivers.get(address)?.(EntryBatch.fromPartial({entries: known.map(links_ => ({name: links_, incarnation: links_, links: links_}))}));
		},
	};
}

describe('links of an agent', () => {
	it('are opened to the seeds and to the entries that these report', async t => {
		const {opened, welcome} = await createFixture(['e1']);
		t.deepEqual(opened, ['e1']);
		welcome('e1', 'e1-1', ['e1', 'e2']);
		t.deepEqual(opened, ['e1', 'e2']);
	});

	// Guards against an earlier incarnation of an agent that says hello after the next one has, which then counts as ended (beside review/11).
	it('are not opened any more once the agent has stopped, although it was still reading the directory', async t => {
		let resolveRead: (addresses: readonly string[]) => void = () => undefined;
		const {clock, links, opened} = await createFixture([], Infinity, async () => new Promise(resolve => {
			resolveRead = resolve;
		}));
		links.stop();
		resolveRead(['e1']);
		for (let i = 0; i < 20; i++) {
			clock.advance(100);
			await Promise.resolve();
		}

		t.deepEqual(opened, []);
	});

	it('do not alternate between two addresses of one entry', async t => {
		const {clock, opened, isOpen, welcome} = await createFixture(['seed']);
		welcome('seed', 'e-1', ['advertised']);
		welcome('advertised', 'e-1', ['advertised']);
		for (let i = 0; i < 20; i++) {
			clock.advance(100);
			await Promise.resolve();
		}

		t.deepEqual(opened, ['seed', 'advertised']);
		t.deepEqual([...isOpen], [['seed', false], ['advertised', true]]);
	});

	it('are kept when an entry reports fewer entries than another one', async t => {
		const {clock, isOpen, welcome} = await createFixture(['e1']);
		welcome('e1', 'e1-1', ['e1', 'e2']);
		welcome('e2', 'e2-1', ['e2']);
		for (let i = 0; i < 100; i++) {
			clock.advance(100);
			await Promise.resolve();
		}

		t.deepEqual([...isOpen], [['e1', true], ['e2', true]]);
	});

	// Guards against an agent that ends, or finds no entry any more, because of one address that no link can be created to.
	it('are opened to the other entries if an address cannot be used', async t => {
		const {clock, opened, failed, welcome} = await createFixture(['unusable', 'e1']);
		t.deepEqual(opened, ['e1']);
		welcome('e1', 'e1-1', ['e1', 'unusable', 'e2']);
		clock.advance(1000);
		t.deepEqual(opened, ['e1', 'e2']);
		t.deepEqual(failed, ['unusable']);
	});

	// Guards against a message of one entry that ends the agent or its other links.
	it('are kept to other entries, and opened again, whatever an entry sends', async t => {
		const valid = EntryBatch.encode(EntryBatch.fromPartial({
			starts: [{
				task: {ticket: 't', index: 0}, seq: 1, attempt: 1, taskCount: 1, service: 's', payload: new Uint8Array([1]), need: idleCapacity, expectedRunMs: 5, validUntilMs: 9,
			}],
			resultsAcked: 1,
			queued: 1,
			returned: 1,
			config: {version: 1, slots: 1},
			queries: [{id: 1, ticket: 't'}],
			fenced: ['e0'],
			entries: [{name: 'e2', incarnation: 'e2-1', links: 'e2'}],
			head: {
				waited: 1, size: 1, need: idleCapacity, keepMs: 1,
			},
			stops: [{task: {ticket: 't', index: 0}, startSeq: 1}],
			evacuations: {revision: 1, dataCentres: ['d']},
			senderSilences: [{startSeq: 1, silentMs: 1}],
		})).finish();
		const odd = createOddMessages(valid).map(bytes => Result.fromThrowable(() => EntryBatch.decode(bytes))());
		await fc.assert(fc.asyncProperty(odd, async batch => {
			const {clock, isOpen, welcome, receive} = await createFixture(['e1', 'e2']);
			welcome('e1', 'e1-1', ['e1', 'e2']);
			welcome('e2', 'e2-1', ['e1', 'e2']);
			if (batch.isOk()) {
				receive('e1', batch.value);
			}

			clock.advance(10_000);
			welcome('e1', 'e1-1', ['e1', 'e2']);
			receive('e1', EntryBatch.decode(valid));
			t.true(isOpen.get('e1'));
			t.true(isOpen.get('e2'));
		}), oddInputRuns);
	});

	it('are limited in number', async t => {
		const {opened, welcome} = await createFixture(['e1'], 2);
		welcome('e1', 'e1-1', ['e1', 'e2', 'e3', 'e4']);
		t.true(new Set(opened).size <= 3);
	});
});
