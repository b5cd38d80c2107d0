/**
 * Channels of an entry are reset while tasks of a job run that limits how many of them one executor may run.
 */
import {fileURLToPath} from 'node:url';
import {listRuns} from '../harness/checks.mjs';
import {startLinkProxies} from '../harness/proxy.mjs';
import {createRecord, runCase, sleep} from '../harness/record.mjs';
import {startSystem} from '../harness/system.mjs';

const resetShare = 0.55;
const maxPerServer = 1;
/** Ends and starts that are recorded closer together than this do not count as simultaneous. */
const leastOverlapMs = 5;
const record = createRecord();
let system;

await runCase({
	name: 'limit of tasks per server',
	record,
	recordFile: fileURLToPath(new URL('record.txt', import.meta.url)),
	async run(hasTrouble) {
		system = await startSystem({
			record, fronts: 4, sides: 11, startProxies: startLinkProxies,
		});
		const reply = system.submit(system.entries[0], {
			id: '5c0e7a21d94b36f8', spec: JSON.stringify({ms: 1500}), count: 22, estimateMs: 1500, deadlineMs: 15_000, step: {'max-per-server': maxPerServer},
		});
		await sleep(400);
		if (hasTrouble) {
			record.add('channels are reset', {machine: system.entries[0].name, channels: system.proxies.proxies[0].reset(resetShare)});
		}

		await reply;
		return checkLimit(record.events);
	},
	async stop() {
		await system?.stop();
	},
});

function checkLimit(events) {
	const violations = [];
	const runs = listRuns(events);
	for (const run of runs) {
		const beside = runs.filter(other => other.executor === run.executor && other.startedAt <= run.startedAt && other.endedAt > run.startedAt + leastOverlapMs);
		if (beside.length > maxPerServer) {
			violations.push(`ROUTE: task ${run.task} was started on ${run.executor} at ${run.startedAt}, where ${beside.length - 1} other of its step was running; max-per-server is ${maxPerServer}`);
		}
	}

	return violations;
}
