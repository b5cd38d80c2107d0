/**
 * Crowds of clients that do not finish what they send, or do not read what they receive, against the real programs. The crowds are
 * small because the settings give the processes small machines. A crowd stays connected during all checks.
 */
import fs from 'node:fs';
import type {ExecutionContext} from 'ava';
import {
	createPipelinedRequests, createUnfinishedHeaders, createUnfinishedRequest, startCrowd, type Crowd, type CrowdOptions,
} from '../../dev/crowd.js';
import {
	platformPorts, platformRoute, startPlatformSystem, type PlatformReply, type PlatformSystem,
} from '../../dev/platform-system.js';
import type {Program} from '../../dev/processes.js';
import {startSystem, type System} from '../../dev/system.js';
import type {Address} from '../../src/process/address.js';
import type {Milliseconds} from '../../src/process/clock.js';
import {describe, itSerial} from '../describe.js';
import {createTestCaller, testObjects, type TestReply} from '../processes/test-caller.js';

/** What a process may use. */
type Machine = {
	readonly memoryMb: number;
	readonly descriptors: number;
};

const subnet = 90;
const entryMachine: Machine = {memoryMb: 256, descriptors: 4100};
/** An entry with fewer descriptors than a crowd has clients. */
const narrowMachine: Machine = {memoryMb: 256, descriptors: 456};
const agentMachine: Machine = {memoryMb: 218, descriptors: 4096};
/** Options of Node.js with which the programs are deployed. */
const nodeOptions = {
	entry: ['--max-old-space-size=160', '--single-threaded', '--min-semi-space-size=4'],
	agent: ['--max-old-space-size=96', '--single-threaded', '--min-semi-space-size=4'],
};
/** Largest bodies within the limits of the platform. */
const maxJobBytes = 262_144;
const maxHeartbeatBytes = 4 * 1024 * 1024;
const largeChunkBytes = 65_536;
const {host, prefix} = platformRoute;
const jobPath = `${prefix}00000000000c0de0`;
/** How often an ordinary client repeats a request that was refused or whose connection was closed, and how long it waits before. */
const maxTries = 50;
/** Many times the six seconds after which the platform kills a process that was told to stop. */
const hungAfterMs: Milliseconds = 60_000;
const retryMs: Milliseconds = 200;

async function startMachines(t: ExecutionContext, entry: Machine = entryMachine): Promise<PlatformSystem> {
	const system = await startPlatformSystem({
		entries: 1, agents: 1, subnet, nodeOptions, settingLines: {entry: toSettingLines(entry), agent: toSettingLines(agentMachine)},
	});
	t.teardown(async () => {
		if (!t.passed) {
			t.log(system.describe());
		}

		await system.stop();
	});
	return system;
}

function toSettingLines({memoryMb, descriptors}: Machine): readonly string[] {
	return [`limits.mem-limit-mb=${memoryMb}`, `limits.max-fds=${descriptors}`];
}

function getEntryAddress(system: PlatformSystem): Address {
	return {host: system.entries[0]!.address, port: platformPorts.clients};
}

/** Starts a crowd and waits until it has sent what it can. */
async function gather(t: ExecutionContext, options: CrowdOptions): Promise<Crowd> {
	const crowd = startCrowd(options);
	t.teardown(crowd.leave);
	await crowd.waitUntilStill();
	return crowd;
}

/** Checks that a process lives and has stayed within its machine. */
function checkProcess(t: ExecutionContext, {pid, lines}: Program, machine: Machine): void {
	if (!fs.existsSync(`/proc/${pid}/status`)) {
		t.fail(`the process has ended: ${lines.slice(-10).join('\n')}`);
		return;
	}

	const peak = /VmHWM:\s*(?<kilobytes>\d+) kB/v.exec(fs.readFileSync(`/proc/${pid}/status`, 'utf8'))?.groups?.kilobytes;
	const peakMb = Number(peak) / 1024;
	const descriptors = fs.readdirSync(`/proc/${pid}/fd`).length;
	t.log(`peak memory ${Math.round(peakMb)} of ${machine.memoryMb} MB, ${descriptors} of ${machine.descriptors} descriptors`);
	t.true(peakMb <= machine.memoryMb, `peak memory of ${peakMb} MB`);
	t.true(descriptors <= machine.descriptors, `${descriptors} descriptors`);
}

let nextJob = 1;

/** Submits a job as an ordinary client, which comes back when it is refused. */
async function submitJob(system: PlatformSystem): Promise<PlatformReply> {
	const name = (nextJob++).toString(16).padStart(16, '0');
	for (let i = 1; ; i++) {
		const reply = await system.submit(0, {
			name, tasks: 2, ms: 20, declaredMs: 300, deadline: 5000,
		});
		if (i === maxTries || (reply !== undefined && reply.status !== 503)) {
			return reply;
		}

		await new Promise(resolve => {
			setTimeout(resolve, retryMs);
		});
	}
}

/** Lets a crowd of this kind meet the entry; checks that the entry and an ordinary client bear it while it stays, and after it. */
async function checkEntry(t: ExecutionContext, machine: Machine, crowdOptions: Omit<CrowdOptions, 'address'>): Promise<void> {
	const system = await startMachines(t, machine);
	const crowd = await gather(t, {...crowdOptions, address: getEntryAddress(system)});
	const {program} = system.entries[0]!;
	checkProcess(t, program, machine);
	t.like(await submitJob(system), {status: 200, body: '{"state":"completed"}'});
	t.true(await system.isReady(0), 'the entry is ready');
	crowd.leave();
	t.like(await submitJob(system), {status: 200, body: '{"state":"completed"}'});
	checkProcess(t, program, machine);
}

describe('a crowd', () => {
	describe('at an entry', () => {
		itSerial('with bodies in large chunks that lack their end', async t => {
			await checkEntry(t, entryMachine, {
				size: 1000,
				bytes: createUnfinishedRequest({
					method: 'POST', host, path: jobPath, bodyBytes: maxJobBytes, chunkBytes: largeChunkBytes,
				}),
				isReading: true,
			});
		});

		itSerial('with bodies in chunks of one byte that lack their end', async t => {
			await checkEntry(t, entryMachine, {
				size: 16,
				bytes: createUnfinishedRequest({
					method: 'POST', host, path: jobPath, bodyBytes: maxJobBytes, chunkBytes: 1,
				}),
				isReading: true,
			});
		});

		itSerial('with headers that lack their end', async t => {
			await checkEntry(t, narrowMachine, {size: 600, bytes: createUnfinishedHeaders(host, 15_000), isReading: true});
		});

		itSerial('with bodies that go on after their refusal', async t => {
			await checkEntry(t, entryMachine, {
				size: 100,
				bytes: createUnfinishedRequest({
					method: 'POST', host, path: '/none/', bodyBytes: maxJobBytes, chunkBytes: 1,
				}),
				isReading: true,
			});
		});

		itSerial('with requests without a body that have one, which lacks its end', async t => {
			await checkEntry(t, narrowMachine, {
				size: 600,
				bytes: createUnfinishedRequest({
					method: 'GET', host, path: prefix, bodyBytes: maxJobBytes, chunkBytes: 64,
				}),
				isReading: true,
			});
		});

		itSerial('that does not read the responses to its requests', async t => {
			await checkEntry(t, entryMachine, {size: 100, bytes: createPipelinedRequests(host, prefix, 5000), isReading: false});
		});

		itSerial('that sends nothing', async t => {
			await checkEntry(t, narrowMachine, {size: 600, bytes: new Uint8Array(), isReading: true});
		});

		itSerial('that stays while the entry is told to stop', async t => {
			const system = await startMachines(t);
			await gather(t, {
				address: getEntryAddress(system),
				size: 20,
				bytes: createUnfinishedRequest({
					method: 'POST', host, path: jobPath, bodyBytes: maxJobBytes, chunkBytes: largeChunkBytes,
				}),
				isReading: true,
			});
			const {program} = system.entries[0]!;
			const timer = setTimeout(() => {
				program.signal('SIGKILL');
			}, hungAfterMs);
			t.deepEqual(await program.stop(), {code: 0, signal: undefined});
			clearTimeout(timer);
		});
	});

	describe('at an agent', () => {
		itSerial('with heartbeats that lack their end', async t => {
			const system = await startMachines(t);
			const {address, program} = system.agents[0]!;
			const crowd = await gather(t, {
				address: {host: address, port: platformPorts.control},
				size: 40,
				bytes: createUnfinishedRequest({
					method: 'POST', host: address, path: '/v1/Executors.Heartbeat/i-1', bodyBytes: maxHeartbeatBytes, chunkBytes: largeChunkBytes,
				}),
				isReading: true,
			});
			checkProcess(t, program, agentMachine);
			t.like(await submitJob(system), {status: 200, body: '{"state":"completed"}'});
			crowd.leave();
			t.like(await submitJob(system), {status: 200, body: '{"state":"completed"}'});
			checkProcess(t, program, agentMachine);
		});
	});

	describe('at an entry on its own interface', () => {
		itSerial('with bodies that lack their end', async t => {
			await checkOwnInterface(t, {size: 200, bodyBytes: 1_048_576, chunkBytes: largeChunkBytes});
		});

		itSerial('with bodies in chunks of one byte that lack their end', async t => {
			await checkOwnInterface(t, {size: 16, bodyBytes: 262_144, chunkBytes: 1});
		});
	});
});

async function checkOwnInterface(t: ExecutionContext, {size, bodyBytes, chunkBytes}: {readonly size: number; readonly bodyBytes: number; readonly chunkBytes: number}): Promise<void> {
	const system = await startSystem({
		entries: 1, agents: 1, slots: 4, runTimes: 'fixed:10', seed: 1, service: 'ordering', objects: testObjects, entrySettings: 'maxBodyBytes = 1048576', entryNodeOptions: nodeOptions.entry,
	});
	t.teardown(system.stop);
	const entry = system.entries[0]!;
	const {hostname, port} = new URL(entry.url);
	// The header has to be that of a caller: other requests are refused before their body is read.
	const request = createUnfinishedRequest({
		method: 'POST', host: `${hostname}\r\nAuthorization: Bearer ${system.tokens.caller}`, path: '/v1/submissions', bodyBytes, chunkBytes,
	});
	const crowd = await gather(t, {
		address: {host: hostname, port: Number(port)}, size, bytes: request, isReading: true,
	});
	checkProcess(t, entry.program, entryMachine);
	t.like(await submitTask(system), {state: 'complete'});
	crowd.leave();
	t.like(await submitTask(system), {state: 'complete'});
	checkProcess(t, entry.program, entryMachine);
}

async function submitTask(system: System): Promise<TestReply> {
	const caller = createTestCaller(system);
	const [ticket] = await caller.issueTickets(system.entries[0]!, 1);
	return caller.submitUntilFinal(system.entries, ticket!, ['payload']);
}
