import {Buffer} from 'node:buffer';
import type {PeerRequest} from '../../src/connection/peer-types.js';
import type {EntryAddress, RelayReply} from '../../src/generated/kingcuplane.js';
import {createCancelledNames} from '../../src/process/cancelled-names.js';
import {createEntryIntroduction, type EntryIntroduction} from '../../src/process/entry-introduction.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import type {AgedName, RecentNames} from '../../src/request/recent-names.js';
import {describe, it} from '../describe.js';
import {silentLog} from '../silent-log.js';

/** Longest time for which an entry waits for others that do not reply. */
const limitMs = 1000;
const stepMs = 50;

type Fixture = {
	readonly clock: FakeClock;
	readonly names: RecentNames;
	readonly introduction: EntryIntroduction;
	live: EntryAddress[];
	reported: EntryAddress[];
	linked: EntryAddress[];
	hasRead: boolean;
	readonly requests: Array<{readonly peer: string; readonly req: PeerRequest}>;
	/** Reads of the names in the store, each of which waits for its answer. */
	readonly loads: Array<(answer: readonly AgedName[] | undefined) => void>;
	/** Names that were reported as learnt, for each reply that had any. */
	readonly learnt: Array<readonly string[]>;
	/** Names that each peer replies with, or undefined if it does not reply. */
	readonly replies: Map<string, string | undefined>;
};

function toAddress(name: string, incarnation = `${name}-1`): EntryAddress {
	return {name, incarnation, links: `10.0.0.${name.codePointAt(0)!}:1`};
}

const self = toAddress('s');
const a = toAddress('a');
const b = toAddress('b');

function createFixture(hasNames = true, hasStore = false): Fixture {
	const clock = createFakeClock(1000);
	const names = createCancelledNames(clock);
	const loads: Fixture['loads'] = [];
	const fixture: Fixture = {
		clock,
		names,
		live: [self, a, b],
		reported: [],
		linked: [],
		hasRead: true,
		requests: [],
		loads,
		learnt: [],
		replies: new Map(),
		introduction: createEntryIntroduction({
			clock,
			log: silentLog,
			self,
			cancelledNames: hasNames ? names : undefined,
			...hasStore && {
				loadCancelledNames: async () => new Promise(resolve => {
					loads.push(resolve);
				}),
			},
			onCancelsLearnt(learnt) {
				fixture.learnt.push(learnt);
			},
			directory: {getLive: () => fixture.live, getReported: () => fixture.reported, hasReadSinceRegistration: () => fixture.hasRead},
			peers: {
				getLinkedPeers: () => fixture.linked,
				tryStartRequest(peer, req) {
					fixture.requests.push({peer, req});
					const body = fixture.replies.get(peer);
					const reply: RelayReply | undefined = body === undefined
						? undefined
						: {
							id: 1, status: 200, body: Buffer.from(body), retryAfterMs: 0, declined: false,
						};
					return {reply: Promise.resolve(reply), cancel: () => undefined};
				},
			},
		}),
	};
	return fixture;
}

/** Opens a stream to a peer, which replies with these names. */
async function link(fixture: Fixture, peer: EntryAddress, reply: string | undefined): Promise<void> {
	fixture.linked.push(peer);
	fixture.replies.set(peer.incarnation, reply);
	fixture.introduction.introduceTo(peer);
	await settle();
}

async function settle(): Promise<void> {
	return new Promise(resolve => {
		setImmediate(resolve);
	});
}

// Guards against an entry that takes a job before the others can cancel it there, or one that was cancelled before it started (review/7, 8).
describe('the introduction of an entry', () => {
	it('is done when every live entry has replied, and has their names of cancelled jobs then', async t => {
		const fixture = createFixture();
		t.false(fixture.introduction.isDone());
		await link(fixture, a, '[["0000000000000001",5000]]');
		t.false(fixture.introduction.isDone());
		await link(fixture, b, '[["0000000000000002",1]]');
		t.true(fixture.introduction.isDone());
		t.true(fixture.names.has('0000000000000001'));
		t.true(fixture.names.has('0000000000000002'));
	});

	it('waits for the directory to be read after its own row was written', async t => {
		const fixture = createFixture();
		fixture.live = [self];
		fixture.hasRead = false;
		t.false(fixture.introduction.isDone());
		fixture.hasRead = true;
		t.true(fixture.introduction.isDone());
	});

	// Guards against an entry that takes a job again that was cancelled before all entries were lost (review/14).
	it('waits for the names in the store, and asks for them again if it does not answer', async t => {
		const fixture = createFixture(true, true);
		fixture.live = [self];
		t.false(fixture.introduction.isDone());
		fixture.loads[0]!(undefined);
		await settle();
		t.false(fixture.introduction.isDone());
		fixture.introduction.tick();
		fixture.introduction.tick();
		t.is(fixture.loads.length, 2);
		fixture.loads[1]!([{name: '0000000000000001', age: 5000}]);
		await settle();
		t.true(fixture.introduction.isDone());
		t.true(fixture.names.has('0000000000000001'));
		t.deepEqual(fixture.learnt, [['0000000000000001']]);
		fixture.introduction.tick();
		t.is(fixture.loads.length, 2);
	});

	it('waits for an entry that only another one has reported', async t => {
		const fixture = createFixture();
		fixture.live = [self];
		fixture.reported = [a];
		t.false(fixture.introduction.isDone());
		await link(fixture, a, '[]');
		t.true(fixture.introduction.isDone());
	});

	it('does not wait for an earlier incarnation of one that has replied, nor of itself', async t => {
		const fixture = createFixture();
		fixture.live = [self, {...self, incarnation: 's-0'}, a, {...a, incarnation: 'a-0'}];
		await link(fixture, a, '[]');
		t.true(fixture.introduction.isDone());
	});

	it('is over after a second, whoever has not replied, and stays so', async t => {
		const fixture = createFixture();
		await link(fixture, a, undefined);
		fixture.clock.advance(limitMs - 1);
		t.false(fixture.introduction.isDone());
		fixture.clock.advance(1);
		t.true(fixture.introduction.isDone());
		fixture.live.push(toAddress('c'));
		t.true(fixture.introduction.isDone());
	});

	it('resolves when it is done, for all who wait for that', async t => {
		const fixture = createFixture();
		fixture.live = [self, a];
		let resolved = 0;
		const waits = [fixture.introduction.whenDone(), fixture.introduction.whenDone()].map(async wait => {
			await wait;
			resolved++;
		});

		for (let passedMs = 0; passedMs < limitMs / 2; passedMs += stepMs) {
			fixture.clock.advance(stepMs);
			await settle();
		}

		t.is(resolved, 0);
		await link(fixture, a, '[]');
		fixture.clock.advance(stepMs);
		await settle();
		t.is(resolved, 2);
		await Promise.all([...waits, fixture.introduction.whenDone()]);
	});

	it('asks again for a reply that was lost, or that cannot be read', async t => {
		for (const lost of [undefined, '{', '[["x"]]', '[["x",-1]]']) {
			const fixture = createFixture();
			fixture.live = [self, a];
			await link(fixture, a, lost);
			fixture.replies.set(a.incarnation, '[]');
			fixture.introduction.tick();
			await settle();
			t.true(fixture.introduction.isDone(), lost);
			fixture.introduction.tick();
			t.is(fixture.requests.length, 2);
		}
	});

	it('asks for the names of the time in which there was no stream when one opens again', async t => {
		const fixture = createFixture();
		await link(fixture, a, '[]');
		fixture.clock.advance(60_000);
		fixture.introduction.tick();
		fixture.clock.advance(3000);
		await link(fixture, a, '[]');
		t.deepEqual(fixture.requests.map(({req}) => Buffer.from(req.body).toString()), ['{"maxAgeMs":600000}', '{"maxAgeMs":13000}']);
	});

	// Guards against names that are never learnt because the request for them was lost (review 3).
	it('asks again for the names of such a time if there is no reply', async t => {
		const fixture = createFixture();
		await link(fixture, a, '[]');
		fixture.introduction.tick();
		fixture.clock.advance(20_000);
		fixture.linked.pop();
		await link(fixture, a, undefined);
		for (let i = 0; i < 3; i++) {
			fixture.clock.advance(1000);
			fixture.introduction.tick();
			await settle();
		}

		fixture.replies.set(a.incarnation, '[["0000000000000001",20000]]');
		fixture.introduction.tick();
		await settle();
		t.true(fixture.names.has('0000000000000001'));
		t.deepEqual(fixture.requests.map(({req}) => Buffer.from(req.body).toString()).slice(1), [30_000, 31_000, 32_000, 33_000, 33_000].map(maxAgeMs => `{"maxAgeMs":${maxAgeMs}}`));
		fixture.introduction.tick();
		t.is(fixture.requests.length, 6);
	});

	// Guards against names that only an entry knew that is lost, or that came while this one stood still (review/12).
	it('asks all others after the loss of a stream, and after a pause that its clock has not counted', async t => {
		const fixture = createFixture();
		const c = toAddress('c');
		for (const peer of [a, b, c]) {
			await link(fixture, peer, '[]');
		}

		fixture.introduction.tick();
		fixture.requests.length = 0;
		fixture.linked.pop();
		fixture.introduction.tick();
		await settle();
		const asked = (maxAgeMs: number) => [a, b].map(({incarnation}) => [incarnation, `{"maxAgeMs":${maxAgeMs}}`]);
		const getRequests = () => fixture.requests.splice(0).map(({peer, req}) => [peer, Buffer.from(req.body).toString()]);
		t.deepEqual(getRequests(), asked(10_000));
		fixture.introduction.tick();
		t.deepEqual(getRequests(), []);
		fixture.introduction.recordPause(15_000);
		t.deepEqual(getRequests(), asked(25_000));
	});

	it('tells which names it has learnt, once', async t => {
		const fixture = createFixture();
		await link(fixture, a, '[["0000000000000001",5],["0000000000000002",5]]');
		await link(fixture, b, '[["0000000000000002",5]]');
		t.deepEqual(fixture.learnt, [['0000000000000001', '0000000000000002']]);
	});

	it('replies with the names of the time that it is asked for', t => {
		const {clock, names, introduction} = createFixture();
		names.add('old');
		clock.advance(20_000);
		names.add('new');
		clock.advance(10);
		t.deepEqual(JSON.parse(Buffer.from(introduction.serve({body: Buffer.from('{"maxAgeMs":13000}')}).body).toString()), [['new', 10]]);
		t.deepEqual(JSON.parse(Buffer.from(introduction.serve({body: Buffer.from('?')}).body).toString()), [['old', 20_010], ['new', 10]]);
	});

	it('is not needed where jobs have no names', t => {
		const {introduction, requests} = createFixture(false);
		introduction.introduceTo(a);
		introduction.tick();
		t.true(introduction.isDone());
		t.deepEqual(requests, []);
	});
});
