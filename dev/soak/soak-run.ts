/**
 * One soak: starts the real programs with proxies between them, sends jobs, injects faults, checks the promises while it runs, and
 * whether everything is served again after the faults.
 */
import fs from 'node:fs';
import path from 'node:path';
import type {Milliseconds} from '../../src/process/clock.js';
import {
	startPlatformSystem, type PlatformEvent, type PlatformInstance, type PlatformSystem,
} from '../platform-system.js';
import {createRandom} from '../random.js';
import {createSoakChecker, maxAnswerMs, type SoakViolation} from './soak-checker.js';
import {createSoakClients} from './soak-clients.js';
import {createFaultInjector} from './soak-faults.js';

/** What to run. */
export type SoakOptions = {
	readonly seed: number;
	/** Duration of the faults. */
	readonly seconds: number;
	readonly entries: number;
	readonly agents: number;
	readonly jobsPerSecond: number;
	/** Whether crowds of clients that finish nothing are among the faults. */
	readonly hasCrowds: boolean;
	/** Third byte of all addresses; soaks that run at the same time need different ones. */
	readonly subnet: number;
	/** Folder for the logs of all processes if a promise was broken. */
	readonly logFolder?: string;
	/** Called with a line of progress every few seconds. */
	onProgress?(line: string): void;
};

/** Result of a soak. */
export type SoakReport = {
	readonly violations: readonly SoakViolation[];
	readonly faults: readonly string[];
	readonly jobs: number;
	readonly completed: number;
	readonly refused: number;
	readonly starts: number;
};

/** Entries that forward jobs to each other at random, which otherwise only a heavy load would cause. */
const forwardingEntry = 'dev/soak/forwarding-entry.js';
const pollMs: Milliseconds = 1000;
const progressMs: Milliseconds = 5000;
/** Time after the last fault within which everything is served again. */
const recoverMs: Milliseconds = 12_000;
const probeCount = 10;

/** Runs a soak. */
export async function runSoak(options: SoakOptions): Promise<SoakReport> {
	const system = await startPlatformSystem({
		entries: options.entries, agents: options.agents, subnet: options.subnet, entryProgram: forwardingEntry, hasProxies: true,
	});
	try {
		return await soak(system, options);
	} finally {
		await system.stop();
	}
}

async function soak(system: PlatformSystem, {
	seed, seconds, jobsPerSecond, hasCrowds, logFolder, onProgress,
}: SoakOptions): Promise<SoakReport> {
	const checker = createSoakChecker();
	const clients = createSoakClients(system, createRandom(seed));
	const injector = createFaultInjector(system, createRandom(seed + 1), hasCrowds);
	const violations: SoakViolation[] = [];
	const seenEvents = system.executors.map(() => 0);
	const programs = new Map<string, PlatformInstance['program']>();
	const end = Date.now() + (seconds * 1000);
	const poller = setInterval(() => {
		void checkNow();
	}, pollMs);
	const progress = setInterval(() => {
		onProgress?.(`${Math.max(0, Math.round((end - Date.now()) / 1000))} s left, ${clients.jobs.length} jobs, ${checker.getStarts()} starts, ${injector.faults.length} faults, ${violations.length} broken promises`);
	}, progressMs);
	await Promise.all([clients.run(end, jobsPerSecond), injector.run(end)]);
	await sleep(recoverMs);
	const probes = await Promise.all(Array.from({length: probeCount}, async () => clients.submit()));
	await sleep(maxAnswerMs);
	clearInterval(poller);
	clearInterval(progress);
	await checkNow();
	violations.push(...checker.judgeJobs(clients.jobs));
	for (const probe of probes) {
		if (probe.body !== '{"state":"completed"}') {
			violations.push({rule: 'everything is served again after the faults', subject: probe.name, detail: probe.statuses.join(', ')});
		}
	}

	if (violations.length > 0 && logFolder !== undefined) {
		saveLogs(system, logFolder);
	}

	return {
		violations,
		faults: injector.faults,
		jobs: clients.jobs.length,
		completed: clients.jobs.filter(({body}) => body === '{"state":"completed"}').length,
		refused: clients.jobs.filter(({statuses}) => statuses.at(-1) === 503 || statuses.at(-1) === 429).length,
		starts: checker.getStarts(),
	};

	async function checkNow(): Promise<void> {
		watchExits();
		const events = await tryGetEvents();
		for (const [i, {url}] of system.executors.entries()) {
			seenEvents[i]! += events.filter(({executor}) => executor === url).length;
		}

		violations.push(...checker.addEvents(events));
	}

	/** Returns the new events, or none while an executor that has crashed is down: the next call returns them all. */
	async function tryGetEvents(): Promise<readonly PlatformEvent[]> {
		try {
			return await system.getEvents(seenEvents);
		} catch (err) {
			onProgress?.(`the events are read later: ${String(err)}`);
			return [];
		}
	}

	/** Reports processes that end although no fault has ended them. */
	function watchExits(): void {
		for (const instance of [...system.entries, ...system.agents]) {
			if (programs.get(instance.name) === instance.program) {
				continue;
			}

			const {program, name} = instance;
			programs.set(name, program);
			void program.waitForExit().then(({code, signal}) => {
				if (!injector.isExpectedToBeDown(name) && Date.now() < end + recoverMs) {
					violations.push({rule: 'no process ends by itself', subject: name, detail: `code ${code}, signal ${signal}: ${program.lines.at(-1) ?? ''}`});
				}
			});
		}
	}
}

function saveLogs(system: PlatformSystem, folder: string): void {
	fs.mkdirSync(folder, {recursive: true});
	for (const {name, program} of [...system.entries, ...system.agents]) {
		fs.writeFileSync(path.join(folder, `${name}.log`), program.lines.join('\n'));
	}
}

async function sleep(duration: Milliseconds): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, duration);
	});
}
