/**
 * Tests the command line against a complete system of processes: publication, active versions and submission records.
 */
import fs from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {z} from 'zod';
import {startProgram} from '../../dev/processes.js';
import {
	startSystem, type System, type SystemEntry, type SystemOptions,
} from '../../dev/system.js';
import type {Milliseconds} from '../../src/process/clock.js';
import {describe, itSerial} from '../describe.js';
import {testObjects} from './test-caller.js';

/** The result of one run of the command line. */
type CommandResult = {
	readonly code: number | undefined;
	readonly lines: readonly string[];
};

type Fixture = {
	readonly system: System;
	/** Runs the command line through the given entry, the first by default. */
	run(args: readonly string[], entry?: SystemEntry): Promise<CommandResult>;
	/** Publishes an additional team. */
	applyTeam(team: string): Promise<CommandResult>;
	setFaults(faults: Readonly<Record<string, unknown>>): Promise<void>;
};

const pollMs = 50;
const maxPolls = 400;

describe('configuration in processes', () => {
	itSerial('reaches every process, and trace and cancel work through any entry', async t => {
		await withFixture({entries: 2, agents: 2}, async ({system, run, applyTeam}) => {
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
			const traced = await run(['trace', ticket], system.entries[1]);
			t.is(traced.code, 0, traced.lines.join('\n'));
			t.regex(traced.lines[1]!, /RAN ONCE: all 2 tasks ran exactly once, and the answer is complete\./v);
			t.true(traced.lines.some(line => line.includes('configuration version 2')));
			t.true(traced.lines.some(line => line.includes('reference "order 7"')));
			const cancelled = await run(['cancel', ticket], system.entries[1]);
			t.deepEqual([cancelled.code, cancelled.lines[0]], [0, 'complete (ran)']);
		});
	});

	itSerial('is published once although the first reply is lost', async t => {
		await withFixture({entries: 0, agents: 0}, async ({run, applyTeam, setFaults}) => {
			await setFaults({repliesToLose: 2});
			await applyTeam('dinner');
			const repeated = await applyTeam('dinner');
			t.is(repeated.lines[0], 'Change set put-dinner was already published as version 2.');
			const history = await run(['history']);
			t.is(history.lines.filter(line => line.startsWith('version ')).length, 2);
		});
	});

	itSerial('never returns to an older version when an entry is paused across changes and the store serves stale reads', async t => {
		await withFixture({entries: 2, agents: 2}, async ({system, applyTeam, setFaults}) => {
			const [first, second] = system.entries;
			// Entries know only the tokens that a read shows, so those of this test have to be older than the stale reads.
			await sleep(staleReadMs);
			await applyTeam('dinner');
			await waitForVersions(system, [first!], 2);
			second!.program.pause();
			await applyTeam('supper');
			await waitForVersions(system, [first!], 3);
			await setFaults({oldReadsMs: staleReadMs});
			second!.program.resume();
			const seen = await waitForVersions(system, system.entries, 3);
			// The store's reads lag by three seconds, so during that time both entries read older versions.
			const later = await sampleVersions(system, 60);
			t.true([...seen, ...later].every(sample => sample[0] === 3));

			const pausedVersions = [...seen, ...later].map(sample => sample[1]!);
			t.deepEqual(pausedVersions, pausedVersions.toSorted((a, b) => a - b));
			t.is(pausedVersions.at(-1), 3);
		});
	});
});

async function withFixture(size: Pick<SystemOptions, 'entries' | 'agents'>, body: (fixture: Fixture) => Promise<void>): Promise<void> {
	const system = await startSystem({
		...size, slots: 8, runTimes: 'fixed:50', seed: 1, service: 'ordering', objects: testObjects,
	});
	const folder = fs.mkdtempSync(path.join(os.tmpdir(), 'kingcuplane-'));
	try {
		await body(createFixture(system, folder));
	} finally {
		await system.stop();
		fs.rmSync(folder, {recursive: true});
	}
}

function createFixture(system: System, folder: string): Fixture {
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

	async function run(args: readonly string[], entry = system.entries[0]): Promise<CommandResult> {
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

/** Age of what the store serves when its reads are stale. */
const staleReadMs: Milliseconds = 3000;

/** The active version of each entry, as the entry itself reports it, in the order of the entries. */
type Sample = readonly number[];

type ProcessVersion = {
	readonly name: string;
	readonly version: number;
};

/** Samples the versions of `entries` until `version` is active in each of them; if they are all entries of the system, also in all processes that they report. */
async function waitForVersions(system: System, entries: readonly SystemEntry[], version: number): Promise<readonly Sample[]> {
	const samples: Sample[] = [];
	for (let poll = 0; poll < maxPolls; poll++) {
		const statuses = await getStatuses(system, entries);
		samples.push(statuses.map((status, index) => getOwnVersion(status, entries[index]!)));
		const isActive = entries.length === system.entries.length
			? statuses.flat().every(process => process.version >= version)
			: samples.at(-1)!.every(own => own >= version);
		if (isActive) {
			return samples;
		}

		await delay();
	}

	throw new Error(`version ${version} is not active after ${maxPolls} polls`);
}

async function sampleVersions(system: System, count: number): Promise<readonly Sample[]> {
	const samples: Sample[] = [];
	for (let poll = 0; poll < count; poll++) {
		const statuses = await getStatuses(system, system.entries);
		samples.push(statuses.map((status, index) => getOwnVersion(status, system.entries[index]!)));
		await delay();
	}

	return samples;
}

const statusSchema = z.object({
	processes: z.array(z.object({name: z.string(), version: z.number()})),
});

async function getStatuses(system: System, entries: readonly SystemEntry[]): Promise<ReadonlyArray<readonly ProcessVersion[]>> {
	return Promise.all(entries.map(async entry => {
		const res = await fetch(`${entry.url}/v1/status`, {headers: {authorization: `Bearer ${system.tokens.operator}`}});
		const {processes} = statusSchema.parse(await res.json());
		return processes;
	}));
}

function getOwnVersion(status: readonly ProcessVersion[], entry: SystemEntry): number {
	return status.find(process => process.name === entry.name)!.version;
}

async function delay(): Promise<void> {
	await new Promise(resolve => {
		setTimeout(resolve, pollMs);
	});
}
