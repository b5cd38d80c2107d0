/**
 * An executor leaves in order, and the channel on which it deregisters is reset before the response arrives.
 */
import net from 'node:net';
import {fileURLToPath} from 'node:url';
import {checkTwice} from '../harness/checks.mjs';
import {
	createRecord, runCase, sleep, waitUntil,
} from '../harness/record.mjs';
import {startSystem} from '../harness/system.mjs';

const drainMs = 2000;
const startTimeoutMs = 5000;
/** Time from the first start until the executor begins to leave, shorter than the tasks. */
const settleMs = 300;
const record = createRecord();
let system;

await runCase({
	name: 'deregistration without a response',
	record,
	recordFile: fileURLToPath(new URL('record.txt', import.meta.url)),
	async run(hasTrouble) {
		system = await startSystem({record, fronts: 4, sides: 11});
		const replies = system.entries.map(async (entry, i) => system.submit(entry, {
			id: `5c0e7a21d94b36f${i}`, spec: JSON.stringify({ms: 4000}), count: 11, estimateMs: 4000, deadlineMs: 20_000,
		}));
		const findBusy = () => system.executors.find(executor => executor.getRunning().length > 0);
		await waitUntil('a task runs', findBusy, startTimeoutMs);
		await sleep(settleMs);
		const leaving = findBusy();
		const [host] = leaving.address.split(':');
		const lossy = await startLossyPort({host, port: system.ports.control});
		const left = leaving.leave({
			serveMs: drainMs + 300, deregisterAt: hasTrouble ? `${host}:${lossy.port}` : `${host}:${system.ports.control}`, endAfterMs: 2000,
		});
		await Promise.all([left, ...replies]);
		await lossy.close();
		return checkTwice(record.events);
	},
	async stop() {
		await system?.stop();
	},
});

/** Starts a port that passes requests on to `target`, and resets the channel in place of the response. */
async function startLossyPort(target) {
	const server = net.createServer(client => {
		const upstream = net.connect(target);
		client.on('error', () => undefined);
		upstream.on('error', () => undefined);
		client.pipe(upstream);
		upstream.once('data', () => {
			record.add('channel of the deregistration is reset');
			client.resetAndDestroy();
			upstream.destroy();
		});
	});
	await new Promise(resolve => {
		server.listen(0, target.host, resolve);
	});
	return {
		port: server.address().port,
		async close() {
			await new Promise(resolve => {
				server.close(resolve);
			});
		},
	};
}
