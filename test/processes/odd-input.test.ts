import {Buffer} from 'node:buffer';
import type {ExecutionContext} from 'ava';
import {
	startPlatformSystem, type PlatformInstance, type PlatformReply, type PlatformSystem,
} from '../../dev/platform-system.js';
import type {Milliseconds} from '../../src/process/clock.js';
import {describe, itSerial} from '../describe.js';

const subnet = 60;
const jobIntervalMs: Milliseconds = 50;
/** Time within which an entry accepts a job between its refusals. */
const acceptanceMs: Milliseconds = 5000;
const refusedRetryMs: Milliseconds = 200;
/** Time in which all processes have read every row several times. */
const readingMs: Milliseconds = 4000;

async function sleep(duration: Milliseconds): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, duration);
	});
}

async function startSystem(t: ExecutionContext): Promise<PlatformSystem> {
	const system = await startPlatformSystem({entries: 2, agents: 2, subnet});
	t.teardown(async () => {
		if (!t.passed) {
			t.log(system.describe());
		}

		await system.stop();
	});
	return system;
}

function getMachines({entries, agents}: PlatformSystem): readonly PlatformInstance[] {
	return [...entries, ...agents];
}

/** Notes which of the present programs end. */
function watchExits(system: PlatformSystem): readonly string[] {
	const ended: string[] = [];
	for (const {name, program} of getMachines(system)) {
		void program.waitForExit().then(({code, signal}) => {
			ended.push(`${name}: ${code ?? signal}`);
		});
	}

	return ended;
}

let nextJob = 1;

/** Submits jobs to both entries in turn; returns the replies. */
async function submitJobs(system: PlatformSystem, duration: Milliseconds): Promise<readonly PlatformReply[]> {
	const replies: Array<Promise<PlatformReply>> = [];
	for (let elapsed = 0; elapsed < duration; elapsed += jobIntervalMs) {
		const name = (nextJob++).toString(16).padStart(16, '0');
		replies.push(submitUntilAccepted(system, nextJob % 2, name));
		await sleep(jobIntervalMs);
	}

	return Promise.all(replies);
}

/** Submits a job again while the entry refuses it as busy, which says that it has not run, as it may on a busy machine. */
async function submitUntilAccepted(system: PlatformSystem, entry: number, name: string): Promise<PlatformReply> {
	const endsAt = Date.now() + acceptanceMs;
	for (;;) {
		const reply = await system.submit(entry, {
			name, tasks: 2, ms: 50, declaredMs: 300,
		});
		if (reply?.status !== 503 || !reply.body.includes('this entry is busy') || Date.now() > endsAt) {
			return reply;
		}

		await sleep(refusedRetryMs);
	}
}

function getStatuses(replies: readonly PlatformReply[]): ReadonlyArray<number | undefined> {
	return [...new Set(replies.map(reply => reply?.status))];
}

async function writeRows({storeUrl}: PlatformSystem, table: string, rows: Readonly<Record<string, string>>): Promise<void> {
	await fetch(`${storeUrl}/v1/rows-tx`, {
		method: 'POST', body: JSON.stringify({
			'set-keys': Object.entries(rows).map(([key, value]) => ({
				table, part: '', key, value: Buffer.from(value).toString('base64'),
			})),
		}),
	});
}

const oddAddresses = ['', ' ', '10.0.0.1:99999', '10.0.0.1:0', 'host', '[::1%lo]:80'];
const deepText = '['.repeat(20_000);

function createEntryRow(incarnation: string, fields: Readonly<Record<string, unknown>>): string {
	return JSON.stringify({
		name: 'x', incarnation, links: '127.0.0.1:1', dead: false, renewals: 1, ...fields,
	});
}

async function writeOddEntryRows(system: PlatformSystem): Promise<void> {
	await writeRows(system, 'entries', {
		...Object.fromEntries(oddAddresses.map((links, i) => [`odd-${i}`, createEntryRow(`odd-${i}`, {links})])),
		deep: deepText,
		empty: '',
		number: createEntryRow('number', {renewals: 1e300}),
		repeated: '{"name":"x","incarnation":"repeated","links":"127.0.0.1:1","links":"","dead":false,"renewals":1}',
	});
}

/** Sends heartbeats that no executor would send, under the ids of the executors and under others. */
async function sendOddHeartbeats({agents}: PlatformSystem): Promise<readonly number[]> {
	const valid = {
		upstream: 'work', addr: '127.0.0.1:1', zone: 'z', version: 'v1', slots: 8, state: 'ready', 'cold-left-ms': 0, seq: 1, born: 1, room: {cpu: 1, 'mem-mb': 1, gpu: 0}, labels: [],
	};
	const bodies = [
		...oddAddresses.map(addr => JSON.stringify({...valid, addr})),
		...[{born: 1e300}, {born: -1}, {seq: 0.5}, {slots: 'x'}, {zone: undefined}, {state: 'asleep'}, {room: {cpu: -1, 'mem-mb': 1}}].map(fields => JSON.stringify({...valid, ...fields})),
		deepText,
		'',
	];
	const statuses: number[] = [];
	for (const [i, agent] of agents.entries()) {
		for (const id of [`i-${i + 1}`, 'i-other', '%0A']) {
			for (const body of bodies) {
				const res = await fetch(`http://${agent.address}:${agentControlPort}/v1/Executors.Heartbeat/${id}`, {method: 'POST', body});
				statuses.push(res.status);
			}
		}
	}

	return statuses;
}

/** Port at which agents take heartbeats. */
const agentControlPort = 18_166;

describe('processes that read odd input', () => {
	// Guards against one row of another writer that ends every agent and entry which reads it, again after each restart.
	itSerial('go on with their jobs beside odd rows of entries, and start again', async t => {
		const system = await startSystem(t);
		const ended = watchExits(system);
		const load = submitJobs(system, readingMs);
		await writeOddEntryRows(system);
		const replies = await load;
		t.deepEqual(ended, []);
		t.deepEqual(getStatuses(replies), [200]);
		await checkRestart(t, system);
	});

	// Guards against heartbeats that end an executor's service although they name none.
	itSerial('go on with their jobs when agents get odd heartbeats', async t => {
		const system = await startSystem(t);
		const ended = watchExits(system);
		const load = submitJobs(system, readingMs);
		const statuses = await sendOddHeartbeats(system);
		const replies = await load;
		t.deepEqual([...new Set(statuses)], [400]);
		t.deepEqual(ended, []);
		t.deepEqual(getStatuses(replies), [200]);
		t.false(getMachines(system).some(({program}) => program.lines.some(line => line.includes('executor crashed'))));
	});

	// Guards against a stored announcement that throws, or outdates all heartbeats, whenever its agent starts.
	itSerial('start again with odd stored announcements, and wait for the next heartbeat', async t => {
		const system = await startSystem(t);
		const facts = {
			id: 'i-1', bornAt: 1, address: '127.0.0.1:1', service: 'work', room: {cpu: 1, memory: 1, accelerators: 0}, labels: [],
		};
		await Promise.all(getMachines(system).map(async ({program}) => program.kill()));
		await writeRows(system, 'executors', {
			'agent-1': JSON.stringify({facts: {...facts, address: '10.0.0.1:99999'}, isLeaving: false}),
			'agent-2': JSON.stringify({facts: {...facts, id: 'i-2', bornAt: 1e300}, isLeaving: false}),
		});
		await checkRestart(t, system);
		t.false(getMachines(system).some(({program}) => program.lines.some(line => line.includes('unexpected error'))));
	});
});

/** Restarts all processes, and checks that they serve jobs on all executors and go on. */
async function checkRestart(t: ExecutionContext, system: PlatformSystem): Promise<void> {
	await Promise.all(getMachines(system).map(async ({program}) => program.kill()));
	for (const machine of getMachines(system)) {
		machine.restart();
	}

	const ended = watchExits(system);
	const restartedAt = Date.now();
	for (let isServed = false; !isServed;) {
		const [reply] = await submitJobs(system, jobIntervalMs);
		isServed = reply?.status === 200;
		t.true(Date.now() - restartedAt < 10_000, 'serves jobs again within 10 s');
	}

	const seen = await system.getEvents();
	await sleep(1000);
	t.deepEqual(getStatuses(await submitJobs(system, readingMs)), [200]);
	const events = await system.getEvents();
	t.is(new Set(events.slice(seen.length).map(({executor}) => executor)).size, system.agents.length);
	t.deepEqual(ended, []);
}
