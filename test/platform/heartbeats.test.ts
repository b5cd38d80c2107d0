import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {createHeartbeatApp} from '../../src/platform/heartbeats.js';
import {isConnectable} from '../../src/process/address.js';
import type {ReceivedAnnouncement} from '../../src/process/announced-state.js';
import type {AnnouncementReception, ExecutorDeparture} from '../../src/process/executor-manager.js';
import {describe, it} from '../describe.js';
import {createOddBytes, oddInputRuns} from '../odd-input.js';
import {silentLog} from '../silent-log.js';

const sampleHeartbeat = {
	upstream: 'work', addr: '10.0.0.1:80', zone: 'z', version: 'v1', slots: 8, state: 'ready', 'cold-left-ms': 0, seq: 1, born: 100, room: {cpu: 16_000, 'mem-mb': 64, gpu: 0}, labels: ['a', 'r1-1'],
};

type Fixture = {
	readonly received: ReceivedAnnouncement[];
	readonly deregistered: ExecutorDeparture[];
	/** What becomes of the next heartbeats. */
	reception: AnnouncementReception;
	send(id: string, body: unknown): Promise<number>;
	deregister(id: string, body?: string): Promise<number>;
};

function createFixture(): Fixture {
	const received: ReceivedAnnouncement[] = [];
	const deregistered: ExecutorDeparture[] = [];
	const app = createHeartbeatApp({
		log: silentLog,
		isOwnService: service => service === sampleHeartbeat.upstream,
		onHeartbeat(heartbeat) {
			received.push(heartbeat);
			return fixture.reception;
		},
		async onDeregister(departure) {
			deregistered.push(departure);
		},
	});
	const fixture: Fixture = {
		received,
		deregistered,
		reception: 'in-force',
		async send(id, body) {
			const res = await app.request(`/v1/Executors.Heartbeat/${id}`, {method: 'POST', body: typeof body === 'string' || body instanceof Uint8Array ? Buffer.from(body) : JSON.stringify(body)});
			return res.status;
		},
		async deregister(id, body) {
			const res = await app.request(`/v1/Executors.Deregister/${id}`, {method: 'POST', body});
			return res.status;
		},
	};
	return fixture;
}

describe('heartbeat routes', () => {
	it('report the heartbeats and the deregistration of an executor', async t => {
		const {received, deregistered, send, deregister} = createFixture();
		t.is(await send('i-1', sampleHeartbeat), 200);
		t.is(await send('i-1', {...sampleHeartbeat, seq: 2, state: 'draining'}), 200);
		t.is(await deregister('i-1'), 200);
		t.deepEqual(received[0]?.executorInfo, {
			id: 'i-1', bornAt: 100, address: '10.0.0.1:80', service: 'work', room: {cpu: 16_000, memory: 64, accelerators: 0}, labels: ['a', 'r1-1'],
		});
		t.deepEqual(received.map(({isLeaving}) => isLeaving), [false, true]);
		t.deepEqual(deregistered, [{id: 'i-1', bornAt: undefined}]);
	});

	it('report which start of an executor deregisters itself, if it says that', async t => {
		const {deregistered, deregister} = createFixture();
		for (const body of ['{"born":100}', '{"born":"x"}', '{']) {
			t.is(await deregister('i-1', body), 200);
		}

		t.deepEqual(deregistered.map(({bornAt}) => bornAt), [100, undefined, undefined]);
	});

	it('reject invalid heartbeats and still accept valid ones', async t => {
		const {received, send} = createFixture();
		for (const body of ['{', {}, {...sampleHeartbeat, room: 'large'}, {...sampleHeartbeat, state: 'asleep'}, {...sampleHeartbeat, seq: 'x'}]) {
			t.is(await send('i-1', body), 400);
		}

		await send('i-2', sampleHeartbeat);
		t.deepEqual(received.map(({executorInfo}) => executorInfo.id), ['i-2']);
	});

	// Guards against heartbeats that throw when they are used, or after which those of the executor count as outdated.
	it('reject heartbeats with values out of range', async t => {
		const {received, send} = createFixture();
		const odd = [
			{addr: ''},
			{addr: '10.0.0.1:99999'},
			{addr: '10.0.0.1:0'},
			{addr: '10.0.0.1 :80'},
			{addr: 'host:80'},
			{addr: '10.0.0.1:80/x'},
			{born: 1e300},
			{born: -1},
			{born: 0.5},
			{born: 9e15},
			{seq: 1e300},
			{seq: -1},
			{seq: 0.5},
			{upstream: ''},
			{upstream: 'x'.repeat(201)},
			{labels: ['x'.repeat(201)]},
			// Fields that are not used show as well that the writer is another one.
			{slots: 'x'},
			{zone: 1},
			{version: undefined},
			{'cold-left-ms': -1},
		];
		for (const fields of odd) {
			t.is(await send('i-1', {...sampleHeartbeat, ...fields}), 400, JSON.stringify(fields));
		}

		for (const id of ['%0A', '%00', '%C3%A9', 'x'.repeat(201), 'a%20b']) {
			t.is(await send(id, sampleHeartbeat), 400, id);
		}

		t.is(await send('i-1', sampleHeartbeat), 200);
		t.is(received.length, 1);
	});

	// Guards against tasks that are started on an executor after it was told that its draining is understood.
	it('acknowledge nothing that is not in force', async t => {
		const fixture = createFixture();
		const statuses: ReadonlyArray<readonly [AnnouncementReception, number]> = [['in-force', 200], ['considered', 200], ['outdated', 409], ['unconfirmed', 409], ['stopping', 503]];
		for (const [reception, status] of statuses) {
			fixture.reception = reception;
			t.is(await fixture.send('i-1', sampleHeartbeat), status);
		}
	});

	// Guards against an executor that another writer's service takes out of use, or keeps in use while it drains.
	it('reject heartbeats of another service than the executor\'s', async t => {
		const {received, send} = createFixture();
		for (const state of ['ready', 'draining']) {
			t.is(await send('i-1', {
				...sampleHeartbeat, state, upstream: 'not-named-here', seq: 1_000_000,
			}), 400);
		}

		t.deepEqual(received, []);
		t.is(await send('i-1', sampleHeartbeat), 200);
	});

	it('reject a heartbeat that is longer than the platform sends', async t => {
		const {received, send} = createFixture();
		t.is(await send('i-1', {...sampleHeartbeat, version: 'x'.repeat(5 * 1024 * 1024)}), 413);
		t.is(await send('i-1', sampleHeartbeat), 200);
		t.is(received.length, 1);
	});

	// Guards against any input that ends the request unexpectedly, or passes with values that no other code expects.
	it('accept or reject whatever another writer sends, and the next heartbeat of the executor', async t => {
		const {received, send} = createFixture();
		let sequence = 0;
		await fc.assert(fc.asyncProperty(createOddBytes(sampleHeartbeat), async body => {
			received.length = 0;
			const status = await send('i-odd', body);
			t.true(status === 200 || status === 400, `${status}`);
			for (const {executorInfo: {bornAt, address, room, service}, sequence: number} of received) {
				t.true(Number.isSafeInteger(bornAt) && bornAt >= 0 && Number.isSafeInteger(number) && isConnectable(address) && service !== '');
				t.true(Object.values(room).every(amount => Number.isSafeInteger(amount) && amount >= 0));
			}

			sequence++;
			received.length = 0;
			t.is(await send('i-1', {...sampleHeartbeat, seq: sequence}), 200);
			t.is(received.length, 1);
		}), oddInputRuns);
	});

	// Messages carry resources as unsigned integers of 32 bits; one with any other value could not be written to any entry.
	it('round resources down to what a message can carry, and reject negative ones', async t => {
		const {received, send} = createFixture();
		t.is(await send('i-1', {...sampleHeartbeat, room: {cpu: 5920.5, 'mem-mb': 1e12, gpu: 0}}), 200);
		t.deepEqual(received[0]?.executorInfo.room, {cpu: 5920, memory: 0xFF_FF_FF_FF, accelerators: 0});
		t.is(await send('i-1', {...sampleHeartbeat, seq: 2, room: {cpu: -1, 'mem-mb': 64, gpu: 0}}), 400);
	});

	// Only the executor itself can tell which incarnation it is, so a heartbeat must not keep later ones from being judged.
	it('pass on heartbeats in any order, with their sequence numbers', async t => {
		const {received, send} = createFixture();
		await send('i-1', {...sampleHeartbeat, born: 200, seq: 1});
		await send('i-1', {...sampleHeartbeat, born: 100, seq: 9});
		await send('i-1', {...sampleHeartbeat, born: 200, seq: 3});
		await send('i-1', {...sampleHeartbeat, born: 200, seq: 2});
		t.deepEqual(received.map(({executorInfo, sequence}) => [executorInfo.bornAt, sequence]), [[200, 1], [100, 9], [200, 3], [200, 2]]);
	});
});
