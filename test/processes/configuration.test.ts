/**
 * The command line against a whole system as processes: publication, the version in force, and trails.
 */
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {z} from 'zod';
import {startProgram} from '../../dev/processes.js';
import {
	startSystem, type System, type SystemEntry, type SystemOptions,
} from '../../dev/system.js';
import {describe, itSerial} from '../describe.js';
import {testObjects} from './test-caller.js';

/** How a run of the command line ended. */
type CommandEnd = {
	readonly code: number | undefined;
	readonly lines: readonly string[];
};

type Bench = {
	readonly system: System;
	/** Runs the command line through the given entry, the first by default. */
	run(args: readonly string[], entry?: SystemEntry): Promise<CommandEnd>;
	/** Publishes one more team; gives the lines printed. */
	applyTeam(team: string): Promise<CommandEnd>;
	setFaults(faults: Readonly<Record<string, unknown>>): Promise<void>;
};

const pollMs = 50;
const maxPolls = 400;

describe('configuration in processes', () => {
	itSerial('reaches every process, and trace and cancel work through any entry', async t => {
		await withBench({entries: 2, agents: 2}, async ({system, run, applyTeam}) => {
			const published = await applyTeam('dinner');
			t.is(published.lines[0], 'Published version 2 (change set put-dinner).');
			await waitForVersions(system, system.entries, 2);
			const status = await run(['status']);
			t.is(status.code, 0);
			t.is(status.lines.at(-1), 'Version 2 is in force in all 4 processes.');

			const submitted = await run(['submit', 'confirm', '--payload', 'a', '--payload', 'b', '--reference', 'order 7'], system.entries[0]);
			t.is(submitted.code, 0, submitted.lines.join('\n'));
			t.is(submitted.lines[1], 'complete (ran)');
			const ticket = submitted.lines[0]!.replace('ticket ', '');
			const trail = await run(['trace', ticket], system.entries[1]);
			t.is(trail.code, 0, trail.lines.join('\n'));
			t.regex(trail.lines[1]!, /RAN ONCE: all 2 tasks ran exactly once, and the answer is complete\./v);
			t.true(trail.lines.some(line => line.includes('configuration version 2')));
			t.true(trail.lines.some(line => line.includes('reference "order 7"')));
			const cancelled = await run(['cancel', ticket], system.entries[1]);
			t.deepEqual([cancelled.code, cancelled.lines[0]], [0, 'complete (ran)']);
		});
	});

	itSerial('publishes once though the first reply is lost', async t => {
		await withBench({entries: 0, agents: 0}, async ({run, applyTeam, setFaults}) => {
			await setFaults({repliesToLose: 2});
			await applyTeam('dinner');
			const again = await applyTeam('dinner');
			t.is(again.lines[0], 'Change set put-dinner was already published as version 2.');
			const history = await run(['history']);
			t.is(history.lines.filter(line => line.startsWith('version ')).length, 2);
		});
	});

	itSerial('never goes back, with an entry frozen across changes and a store that serves old reads', async t => {
		await withBench({entries: 2, agents: 2}, async ({system, applyTeam, setFaults}) => {
			const [first, second] = system.entries;
			await applyTeam('dinner');
			await waitForVersions(system, [first!], 2);
			second!.program.pause();
			await applyTeam('supper');
			await waitForVersions(system, [first!], 3);
			await setFaults({oldReadsMs: 3000});
			second!.program.resume();
			const seen = await waitForVersions(system, system.entries, 3);
			// The store's reads lag by three seconds, so for this long both entries are offered older versions.
			const later = await sampleVersions(system, 60);
			t.true([...seen, ...later].every(sample => sample[0] === 3));

			const frozen = [...seen, ...later].map(sample => sample[1]!);
			t.deepEqual(frozen, frozen.toSorted((a, b) => a - b));
			t.is(frozen.at(-1), 3);
		});
	});
});

async function withBench(size: Pick<SystemOptions, 'entries' | 'agents'>, body: (bench: Bench) => Promise<void>): Promise<void> {
	const system = await startSystem({
		...size, slots: 8, runTimes: 'fixed:50', seed: 1, service: 'ordering', objects: testObjects,
	});
	const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'kingcuplane-'));
	try {
		await body(createBench(system, folder));
	} finally {
		await system.stop();
		fs.rmSync(folder, {recursive: true});
	}
}

function createBench(system: System, folder: string): Bench {
	return {
		system,
		run,
		async applyTeam(team) {
			const file = path.join(folder, `${team}.toml`);
			fs.writeFileSync(file, `[[team]]\nname = "${team}"\nmaxTasks = 10\n`);
			return run(['apply', file, '--author', 'ana', '--reason', 'test', '--id', `put-${team}`]);
		},
		async setFaults(faults) {
			await fetch(`${system.platformUrl}/faults`, {method: 'POST', body: JSON.stringify(faults)});
		},
	};

	async function run(args: readonly string[], entry = system.entries[0]): Promise<CommandEnd> {
		const program = startProgram('src/process/bin/kingcuplane.js', [...args, ...selectOptions(args[0]!, system, entry)]);
		const {code} = await program.waitForExit();
		return {code, lines: program.lines};
	}
}

function selectOptions(command: string, system: System, entry: SystemEntry | undefined): readonly string[] {
	return command === 'apply' || command === 'history' || entry === undefined
		? ['--platform', system.platformUrl]
		: ['--entry', entry.url, '--token', command === 'submit' ? system.tokens.caller : system.tokens.operator];
}

/** The version in force in each entry, in order, as each tells of itself. */
type Sample = readonly number[];

type ProcessVersion = {
	readonly name: string;
	readonly version: number;
};

/** Samples the versions of `entries` until each of them tells that `version` is in force in every process that it knows. */
async function waitForVersions(system: System, entries: readonly SystemEntry[], version: number): Promise<readonly Sample[]> {
	const samples: Sample[] = [];
	for (let poll = 0; poll < maxPolls; poll++) {
		const reports = await getReports(system, entries);
		samples.push(reports.map((report, index) => getOwnVersion(report, entries[index]!)));
		const isThere = entries.length === system.entries.length
			? reports.flat().every(process => process.version >= version)
			: samples.at(-1)!.every(own => own >= version);
		if (isThere) {
			return samples;
		}

		await delay();
	}

	throw new Error(`version ${version} is not in force after ${maxPolls} polls`);
}

async function sampleVersions(system: System, count: number): Promise<readonly Sample[]> {
	const samples: Sample[] = [];
	for (let poll = 0; poll < count; poll++) {
		const reports = await getReports(system, system.entries);
		samples.push(reports.map((report, index) => getOwnVersion(report, system.entries[index]!)));
		await delay();
	}

	return samples;
}

const statusSchema = z.object({
	processes: z.array(z.object({name: z.string(), version: z.number()})),
});

async function getReports(system: System, entries: readonly SystemEntry[]): Promise<ReadonlyArray<readonly ProcessVersion[]>> {
	return Promise.all(entries.map(async entry => {
		const res = await fetch(`${entry.url}/v1/status`, {headers: {authorization: `Bearer ${system.tokens.operator}`}});
		const {processes} = statusSchema.parse(await res.json());
		return processes;
	}));
}

function getOwnVersion(report: readonly ProcessVersion[], entry: SystemEntry): number {
	return report.find(process => process.name === entry.name)!.version;
}

async function delay(): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, pollMs);
	});
}
