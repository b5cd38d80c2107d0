/**
 * Executors crash and start again at once, under the ids that they had. An agent without runs notices that only with its next poll;
 * until then it has tasks started on the new life. When it notices, it reports these runs as ended with the old life, and they are
 * started on other executors as well.
 */
import {sleep} from '../harness-2/http.mjs';
import {hasTrouble, runCase} from '../harness-2/system.mjs';

const playMs = 80_000;
/** Mean time between two crashes; one executor of seven is down at a time. */
const crashIntervalMs = 1000;
/** How long an executor is down, and the time from its first listening until its first heartbeat. */
const downMs = 100;
const firstBeatMs = 200;
/** Mean time between two jobs. */
const jobIntervalMs = 90;
/** Jobs of one short task, which leave each executor idle for most of the time. */
const job = {
	ms: 200, count: 1, cpu: 1600, limitMs: 1500,
};

await runCase(import.meta.url, {entries: 4, agents: 7}, async (system, note) => {
	const {entries, executors, events} = system;
	const end = Date.now() + playMs;
	const pending = [];
	const crashing = hasTrouble ? crashInTurn() : undefined;
	for (let i = 0; Date.now() < end; i++) {
		pending.push(system.submit(entries[i % entries.length], job));
		await sleep(jobIntervalMs * 2 * Math.random());
	}

	await Promise.all([crashing, ...pending]);
	return findOverlaps();

	async function crashInTurn() {
		await sleep(crashIntervalMs);
		for (let i = 0; Date.now() < end - (2 * crashIntervalMs); i++) {
			const executor = executors[i % executors.length];
			note('an executor crashes', {running: executor.getRunning().length});
			await executor.crash();
			await sleep(downMs);
			await executor.restart({firstBeatMs});
			note('it is back under its id');
			await sleep(crashIntervalMs * (0.5 + Math.random()));
		}
	}

	/** Returns the tasks of which two runs were on executors at the same time. */
	function findOverlaps() {
		const open = new Map();
		const faults = [];
		for (const {at, what, executor, task, run} of events) {
			const runs = open.get(task) ?? new Map();
			open.set(task, runs);
			const key = `${executor}/${run}`;
			if (what !== 'start') {
				const startedBeside = runs.get(key)?.beside;
				if (startedBeside !== undefined) {
					faults.push(`TWICE: ${task} ran on ${startedBeside} and on ${key} at the same time, until ${what} there at ${at}`);
				}

				runs.delete(key);
				continue;
			}

			runs.set(key, {at, beside: runs.size > 0 ? [...runs.keys()].join(', ') : undefined});
		}

		return faults;
	}
});
