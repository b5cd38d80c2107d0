/**
 * Entries freeze in turn and wake again. Their clients have had no response within their time limit, have closed their channels
 * and sent their jobs again to other nodes.
 */
import {fileURLToPath} from 'node:url';
import {checkTwice} from '../harness/checks.mjs';
import {createRecord, runCase, sleep} from '../harness/record.mjs';
import {startSystem} from '../harness/system.mjs';

/** The kinds of requests of the site: share, number of tasks, run time, and run time as declared. */
const kinds = [
	{share: 0.71, count: 2, ms: 286},
	{share: 0.245, count: 8, ms: 86},
	{share: 0.045, count: 4, ms: 1286},
];
const need = {cpu: 1600, 'mem-mb': 64};
const requestsPerSecond = 45;
const otherRequestsPerSecond = 5;
const deadlineMs = 1500;
const resendMs = 1300;
const maxAttempts = 3;
const freezes = 4;
const freezeMs = 4000;
const record = createRecord();
let system;
/** The entry that gets most requests now, and whether clients send no more. */
const load = {busyEntry: 0, isEnded: false, jobs: 0};

await runCase({
	name: 'frozen entries',
	record,
	recordFile: fileURLToPath(new URL('record.txt', import.meta.url)),
	async run(hasTrouble) {
		system = await startSystem({record, fronts: 4, sides: 11});
		for (const [i] of system.entries.entries()) {
			sendJobs(i);
		}

		await sleep(2000);
		for (let i = 0; i < freezes; i++) {
			load.busyEntry = i % system.entries.length;
			await sleep(500);
			if (hasTrouble) {
				system.entries[load.busyEntry].signal('SIGSTOP');
			}

			await sleep(freezeMs);
			if (hasTrouble) {
				system.entries[load.busyEntry].signal('SIGCONT');
			}

			await sleep(3500);
		}

		load.isEnded = true;
		await sleep(3000);
		return checkTwice(record.events);
	},
	async stop() {
		load.isEnded = true;
		await system?.stop();
	},
});

/** Sends jobs to one entry at random times until the case ends. */
async function sendJobs(entryIndex) {
	while (!load.isEnded) {
		const rate = entryIndex === load.busyEntry ? requestsPerSecond : otherRequestsPerSecond;
		await sleep(-Math.log(Math.random()) * 1000 / rate);
		sendUntilAnswered(entryIndex);
	}
}

/** Sends one job until it is answered; each repetition goes to another entry. */
async function sendUntilAnswered(entryIndex) {
	load.jobs++;
	const id = (0x5C_0E_7A_21_00_00 + load.jobs).toString(16).padStart(16, '0');
	const position = Math.random();
	const [checks, confirms] = [kinds[0].share, kinds[0].share + kinds[1].share];
	const kind = kinds[position < checks ? 0 : (position < confirms ? 1 : 2)];
	for (let attempt = 0; attempt < maxAttempts && !load.isEnded; attempt++) {
		const res = await system.submit(system.entries[(entryIndex + attempt) % system.entries.length], {
			id, spec: JSON.stringify({ms: kind.ms, need}), count: kind.count, estimateMs: kind.ms, need, deadlineMs, waitMs: deadlineMs,
		});
		if (res !== undefined && res.status !== 502 && res.status !== 504) {
			return;
		}

		await sleep(resendMs);
	}
}
