import {createHeartbeatApp, type Heartbeat} from '../../src/platform/heartbeats.js';
import {describe, it} from '../describe.js';
import {silentLog} from '../silent-log.js';

const beat = {
	upstream: 'work', addr: '10.0.0.1:80', zone: 'z', version: 'v1', slots: 8, state: 'ready', 'cold-left-ms': 0, seq: 1, born: 100, room: {cpu: 16_000, 'mem-mb': 64, gpu: 0}, labels: ['a', 'r1-1'],
};

function createBench(): {readonly taken: Heartbeat[]; readonly left: string[]; send(id: string, body: unknown): Promise<number>; leave(id: string): Promise<number>} {
	const taken: Heartbeat[] = [];
	const left: string[] = [];
	const app = createHeartbeatApp({
		log: silentLog,
		onHeartbeat(heartbeat) {
			taken.push(heartbeat);
		},
		onDeregister(id) {
			left.push(id);
		},
	});
	return {
		taken,
		left,
		async send(id, body) {
			const res = await app.request(`/v1/Executors.Heartbeat/${id}`, {method: 'POST', body: typeof body === 'string' ? body : JSON.stringify(body)});
			return res.status;
		},
		async leave(id) {
			const res = await app.request(`/v1/Executors.Deregister/${id}`, {method: 'POST'});
			return res.status;
		},
	};
}

describe('heartbeats', () => {
	it('tell what an executor has and whether it leaves', async t => {
		const {taken, left, send, leave} = createBench();
		t.is(await send('i-1', beat), 200);
		t.is(await send('i-1', {...beat, seq: 2, state: 'draining'}), 200);
		t.is(await leave('i-1'), 200);
		t.deepEqual(taken[0]?.facts, {
			id: 'i-1', bornAt: 100, address: '10.0.0.1:80', service: 'work', room: {cpu: 16_000, memory: 64, accelerators: 0}, labels: ['a', 'r1-1'],
		});
		t.deepEqual(taken.map(({isLeaving}) => isLeaving), [false, true]);
		t.deepEqual(left, ['i-1']);
	});

	it('that cannot be read name no executor, and the others hold', async t => {
		const {taken, send} = createBench();
		for (const body of ['{', {}, {...beat, room: 'large'}, {...beat, state: 'asleep'}, {...beat, seq: 'x'}]) {
			t.is(await send('i-1', body), 400);
		}

		await send('i-2', beat);
		t.deepEqual(taken.map(({facts}) => facts.id), ['i-2']);
	});

	it('that come late are ignored, by life first and by number then', async t => {
		const {taken, send} = createBench();
		await send('i-1', {...beat, born: 200, seq: 1});
		await send('i-1', {...beat, born: 100, seq: 9});
		await send('i-1', {...beat, born: 200, seq: 3});
		await send('i-1', {...beat, born: 200, seq: 2});
		t.deepEqual(taken.map(({facts, sequence}) => [facts.bornAt, sequence]), [[200, 1], [200, 3]]);
	});
});
