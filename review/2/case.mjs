/**
 * A heartbeat from another writer, which names a service that does not exist, arrives at an agent while its executor runs
 * tasks.
 */
import {fileURLToPath} from 'node:url';
import {checkTwice} from '../harness/checks.mjs';
import {call} from '../harness/http.mjs';
import {
	createRecord, runCase, sleep, waitUntil,
} from '../harness/record.mjs';
import {startSystem} from '../harness/system.mjs';

const startTimeoutMs = 5000;
/** Time from the first start until the heartbeat, shorter than the tasks. */
const settleMs = 300;
const record = createRecord();
let system;

await runCase({
	name: 'foreign heartbeat',
	record,
	recordFile: fileURLToPath(new URL('record.txt', import.meta.url)),
	async run(hasTrouble) {
		system = await startSystem({record, fronts: 4, sides: 11});
		const spec = JSON.stringify({ms: 1500});
		const replies = system.entries.map(async (entry, i) => system.submit(entry, {
			id: `5c0e7a21d94b36f${i}`, spec, count: 8, estimateMs: 1500, deadlineMs: 10_000,
		}));
		const findBusy = () => system.executors.find(executor => executor.getRunning().length > 0);
		await waitUntil('a task runs', findBusy, startTimeoutMs);
		await sleep(settleMs);
		const busy = findBusy();
		const [host, port] = [busy.address.split(':')[0], system.ports.control];
		if (hasTrouble) {
			const body = JSON.stringify({
				upstream: 'not-named-here',
				addr: `${host}:1`,
				zone: 'makati',
				version: 'v1',
				slots: 8,
				state: 'ready',
				'cold-left-ms': 0,
				room: {cpu: 16_000, 'mem-mb': 65_536, gpu: 0},
				labels: ['a', 'r1-1'],
				'clock-ms': 10,
				seq: 1,
				born: Date.now(),
			});
			record.add('heartbeat of another writer is sent', {machine: host, runningThere: busy.getRunning(), body});
			const res = await call({
				host, port, method: 'POST', path: '/v1/Executors.Heartbeat/i-7f3a91c2', headers: {'content-type': 'application/json'}, body, timeoutMs: 1000,
			});
			record.add('response to the heartbeat of another writer', {status: res?.status});
		}

		await Promise.all(replies);
		// The executor goes on with its heartbeats; whether it is used again is recorded, but is not part of the check.
		await sleep(3500);
		const from = record.now();
		await Promise.all(system.entries.flatMap((entry, i) => [0, 1, 2, 3, 4, 5].map(async k => system.submit(entry, {
			id: `5c0e7a21d94b4${i}${k}0`, spec: JSON.stringify({ms: 300}), count: 8, estimateMs: 300, deadlineMs: 3000,
		}))));
		const later = record.events.filter(event => event.what === 'start' && event.executor === busy.id && event.at >= from).length;
		record.add('starts on the same executor later', {executor: busy.id, starts: later});
		return checkTwice(record.events);
	},
	async stop() {
		await system?.stop();
	},
});
