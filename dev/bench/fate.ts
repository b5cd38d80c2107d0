/**
 * Prints what records cost: bytes and processor time by size of job, writes and windows of loss under load,
 * memory through an outage, and what a record before start adds. Run `node dist/dev/bench/fate.js`.
 * All but the first table come from a fake clock and are the same on each run.
 */
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {gunzipSync} from 'node:zlib';
import {createRecordBlock, type RecordBlockState} from '../../src/request/record-block.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {createMemoryPlatform, type MemoryPlatform} from '../../src/process/platform/memory.js';
import {
	decodeBlock, encodeBlock, findRecord, type RecordBlock,
} from '../../src/request/record-codec.js';
import {createSubmissionRecorder, type SubmissionRecorderSettings, type ManagedSubmissionRecorder} from '../../src/request/submission-recorder.js';
import {createTicketIssuer} from '../../src/request/ticket.js';
import type {SubmissionRecord, Ticket} from '../../src/request/types.js';
import {createRandom, drawExponential, drawInteger} from '../random.js';
import {
	createSubmissionInfo, typicalEntryLoad, startRecorderLoad, type RecorderLoad,
} from './recorder-load.js';

const second = 1000;
const minute = 60 * second;

/** Time that the store takes for a write. */
const storeWriteMs = 5;

/** Length of each run under load. */
const loadMs = 3 * minute;

const settings: SubmissionRecorderSettings = {
	memoryBytes: 67_108_864, writesPerSecond: 5, saveDelayMs: second, keepMs: 2 * minute, blockOpenMs: 601 * second,
};

type Cell = string | number;

type Bench = {
	readonly clock: FakeClock;
	readonly platform: MemoryPlatform;
	readonly recorder: ManagedSubmissionRecorder;
};

setFlagsFromString('--expose-gc');
const agentNames = Array.from({length: 11}, (_, index) => ({name: `kitchen-${index}`, agent: `kitchen-${index}/${index}f3a9c2e1`}));

printSizes();
await printLoads();
await printOutages();
await printRecordsBeforeStart();

function printSizes(): void {
	const rows = [1, 16, 100, 1100].map(taskCount => measureSize(taskCount));
	printTable(
		'Records by size, in blocks of about 8,000 tasks',
		['tasks', 'JSON B', 'saved B', 'saved B a task', 'encode us', 'decode us', 'find in block us', 'heap B', 'counted B', 'counted B encoded'],
		rows,
	);
}

function measureSize(taskCount: number): readonly Cell[] {
	const records = Math.max(4, Math.round(8000 / taskCount));
	const fates = [...createFates(records, taskCount)];
	const block: RecordBlock = {incarnation: typicalEntryLoad.incarnation, block: 0, fates};
	const bytes = encodeBlock(block);
	return [
		taskCount,
		gunzipSync(bytes).length / records,
		bytes.length / records,
		bytes.length / records / taskCount,
		measureTime(() => encodeBlock(block)) / records,
		measureTime(() => decodeBlock(bytes)) / records,
		measureTime(() => findRecord(bytes, records - 1)),
		...measureMemory(records, taskCount),
	];
}

/** Heap and counted bytes of a record that grew by single changes, and counted bytes once it is encoded. */
function measureMemory(records: number, taskCount: number): readonly Cell[] {
	const before = getHeap();
	const block = createRecordBlock(typicalEntryLoad.incarnation, 0, 0);
	for (const fate of createFates(records, taskCount)) {
		record(block, fate);
	}

	const heap = getHeap() - before;
	const counted = block.getMemoryBytes();
	block.compress();
	return [heap / records, counted / records, block.getMemoryBytes() / records];
}

function record(block: RecordBlockState, fate: SubmissionRecord): void {
	const {ticket} = fate;
	block.add(createSubmissionInfo(ticket, fate.taskCount, fate.acceptedAt));
	for (const {index, attempts: [attempt]} of fate.tasks.values()) {
		const {endedAt, outcome, detail, runMs, ...sent} = attempt!;
		block.change(ticket.sequence, kept => {
			kept.tasks.set(index, {index, attempts: [sent]});
			return 0;
		});
		block.change(ticket.sequence, kept => {
			Object.assign(kept.tasks.get(index)!.attempts[0]!, {
				endedAt, outcome, detail, runMs,
			});
			return 0;
		});
	}

	block.change(ticket.sequence, kept => {
		kept.answer = fate.answer;
		kept.deliveries.push(...fate.deliveries);
		return 0;
	});
}

/** Finished jobs as a recorder would keep them. */
function * createFates(records: number, taskCount: number): Generator<SubmissionRecord> {
	const random = createRandom(1);
	const clock = createFakeClock(Date.UTC(2026, 2, 4));
	const issuer = createTicketIssuer({
		clock, incarnation: typicalEntryLoad.incarnation, key: new Uint8Array(32), blockMs: minute * 60, lifetimeMs: minute,
	});
	for (let i = 0; i < records; i++) {
		clock.advance(drawInteger(random, 1, 20));
		yield createFinished(issuer.issue('caller', 1)[0]!, taskCount, clock, random);
	}
}

function createFinished(ticket: Ticket, taskCount: number, clock: FakeClock, random: () => number): SubmissionRecord {
	const acceptedAt = clock.wall();
	const tasks: SubmissionRecord['tasks'] = new Map();
	for (let index = 0; index < taskCount; index++) {
		const upstream = agentNames[drawInteger(random, 0, agentNames.length - 1)]!;
		const sentAt = acceptedAt + drawInteger(random, 0, 2000);
		const runMs = Math.round(drawExponential(random, typicalEntryLoad.meanRun));
		tasks.set(index, {
			index,
			attempts: [{
				attempt: 1, agent: upstream.agent, upstream: upstream.name, sentAt, endedAt: sentAt + runMs + 2, outcome: 'completed', detail: '', runMs,
			}],
		});
	}

	return {
		...createSubmissionInfo(ticket, taskCount, acceptedAt),
		deliveries: [{at: acceptedAt + 5001, via: 'makati-1'}],
		tasks,
		detailDropped: false,
		answer: {state: 'complete', ran: 'ran', at: acceptedAt + 5000},
	};
}

async function printLoads(): Promise<void> {
	const rows: Array<readonly Cell[]> = [];
	for (const [blockMs, writesPerSecond] of [[1000, 5], [1000, 20], [10_000, 5]] as const) {
		for (const ticketHoldMs of [0, minute]) {
			for (const factor of [1, 4, 16]) {
				rows.push(await measureLoad(writesPerSecond, {
					...typicalEntryLoad, blockMs, maxTicketHoldMs: ticketHoldMs, busySlots: factor * typicalEntryLoad.busySlots,
				}));
			}
		}
	}

	printTable(
		`${loadMs / second} s of load, ${storeWriteMs} ms a write`,
		['block ms', 'writes/s at most', 'tickets held up to ms', 'jobs/s', 'tasks/s', 'writes/s', 'kB/s', 'B a task', 'oldest unsaved ms', 'memory kB', 'CPU ms/s'],
		rows,
	);
}

/** The processor time includes that of the load itself. */
async function measureLoad(writesPerSecond: number, load: RecorderLoad): Promise<readonly Cell[]> {
	const bench = createBench({writesPerSecond, blockOpenMs: load.ticketLifetimeMs + load.blockMs});
	bench.platform.setFaults({slowMs: storeWriteMs});
	const cpu = process.cpuUsage();
	const {log} = startRecorderLoad(bench.clock, bench.recorder, load);
	let oldest = 0;
	let memory = 0;
	await run(bench, loadMs, () => {
		const stats = bench.recorder.getStats();
		oldest = Math.max(oldest, stats.oldestUnsavedMs);
		memory = Math.max(memory, stats.memoryBytes);
	});
	const {user, system} = process.cpuUsage(cpu);
	const {writes, bytes} = bench.recorder.getStats();
	const seconds = loadMs / second;
	bench.recorder.close();
	return [
		load.blockMs,
		writesPerSecond,
		load.maxTicketHoldMs,
		log.accepted.length / seconds,
		log.tasks / seconds,
		writes / seconds,
		bytes / seconds / 1000,
		bytes / log.tasks,
		oldest,
		memory / 1000,
		(user + system) / 1000 / seconds,
	];
}

async function printOutages(): Promise<void> {
	const rows: Array<readonly Cell[]> = [];
	for (const blockMs of [1000, 10_000]) {
		for (const memoryBytes of [67_108_864, 600_000, 300_000]) {
			rows.push(await measureOutage(memoryBytes, blockMs));
		}
	}

	printTable(
		'An outage of ten minutes after one minute of work, load of today',
		['block ms', 'bound kB', 'peak kB', 'jobs', 'lost detail', 'refused', 'failed writes', 'all saved after ms'],
		rows,
	);
}

async function measureOutage(memoryBytes: number, blockMs: number): Promise<readonly Cell[]> {
	const bench = createBench({memoryBytes});
	const {log, stop} = startRecorderLoad(bench.clock, bench.recorder, {...typicalEntryLoad, blockMs});
	let peak = 0;
	const watch = () => {
		peak = Math.max(peak, bench.recorder.getStats().memoryBytes);
	};

	await run(bench, minute, watch);
	bench.platform.setFaults({down: true});
	await run(bench, 10 * minute, watch);
	bench.platform.setFaults({down: false});
	stop();
	const endedAt = bench.clock.now();
	while (bench.recorder.getUnsavedCount() > 0) {
		await run(bench, second, watch);
	}

	const stats = bench.recorder.getStats();
	bench.recorder.close();
	return [
		blockMs, memoryBytes / 1000, peak / 1000, log.accepted.length, stats.detailDropped, stats.refused, stats.failedWrites, bench.clock.now() - endedAt,
	];
}

async function printRecordsBeforeStart(): Promise<void> {
	const rows: Array<readonly Cell[]> = [];
	for (const writesPerSecond of [5, 20, 50]) {
		for (const rate of [1, 10, 100, 1000]) {
			rows.push(await measureRecordBeforeStart(rate, writesPerSecond));
		}
	}

	printTable(
		`Record before start, single tasks, ${storeWriteMs} ms a write`,
		['writes/s at most', 'submissions/s', 'writes/s', 'writes a submission', 'added ms p50', 'added ms p99'],
		rows,
	);
}

/** Every submission waits for its record and ends 200 ms later. */
async function measureRecordBeforeStart(rate: number, writesPerSecond: number): Promise<readonly Cell[]> {
	const duration = minute;
	const bench = createBench({writesPerSecond});
	bench.platform.setFaults({slowMs: storeWriteMs});
	const waits: number[] = [];
	submitAndWait(bench, rate, wait => waits.push(wait));
	await run(bench, duration, undefined, 1);
	const {writes} = bench.recorder.getStats();
	const sorted = waits.toSorted((a, b) => a - b);
	bench.recorder.close();
	return [
		writesPerSecond, rate, writes / duration * second, writes / waits.length, sorted[Math.floor(sorted.length / 2)] ?? 0, sorted[Math.floor(sorted.length * 0.99)] ?? 0,
	];
}

function submitAndWait({clock, recorder}: Bench, rate: number, waited: (wait: number) => void): void {
	const random = createRandom(3);
	const issuer = createTicketIssuer({
		clock, incarnation: typicalEntryLoad.incarnation, key: new Uint8Array(32), blockMs: second, lifetimeMs: minute,
	});
	scheduleNext();

	function scheduleNext(): void {
		clock.after(drawExponential(random, second / rate), () => {
			submit(issuer.issue('caller', 1)[0]!);
			scheduleNext();
		});
	}

	function submit(ticket: Ticket): void {
		const at = clock.now();
		recorder.openRecord(createSubmissionInfo(ticket, 1, clock.wall()));
		recorder.whenSaved(ticket.text, () => {
			waited(clock.now() - at);
			clock.after(200, () => {
				recorder.recordAnswer(ticket.text, {state: 'complete', ran: 'ran'});
				recorder.recordDelivery(ticket.text, 'makati-1');
			});
		});
	}
}

function createBench(changes: Partial<SubmissionRecorderSettings>): Bench {
	const clock = createFakeClock();
	const platform = createMemoryPlatform({clock});
	const recorder = createSubmissionRecorder({
		clock,
		incarnation: typicalEntryLoad.incarnation,
		settings: {...settings, ...changes},
		put: platform.objects.put,
		random: createRandom(7),
		log: () => undefined,
	});
	return {clock, platform, recorder};
}

async function run({clock}: Bench, duration: number, watch: () => void = () => undefined, step = 5): Promise<void> {
	for (let at = 0; at < duration; at += step) {
		clock.advance(step);
		await settle();
		if (at % 100 === 0) {
			watch();
		}
	}
}

/** Lets the promises of a write that has ended run their course. */
async function settle(): Promise<void> {
	for (let i = 0; i < 20; i++) {
		await Promise.resolve();
	}
}

/** Shortest time of a call in microseconds. */
function measureTime(action: () => unknown): number {
	let shortest = Infinity;
	for (let i = 0; i < 15; i++) {
		const startedAt = performance.now();
		action();
		shortest = Math.min(shortest, performance.now() - startedAt);
	}

	return shortest * 1000;
}

function getHeap(): number {
	// The flag shows in new contexts only.
	runInNewContext('gc()');
	return process.memoryUsage().heapUsed;
}

function printTable(title: string, head: readonly string[], rows: ReadonlyArray<readonly Cell[]>): void {
	console.log(`\n## ${title}\n`);
	console.log(`| ${head.join(' | ')} |`);
	console.log(`|${head.map(() => ' ---: |').join('')}`);
	for (const row of rows) {
		console.log(`| ${row.map(cell => formatCell(cell)).join(' | ')} |`);
	}
}

function formatCell(cell: Cell): string {
	return typeof cell === 'number' ? String(Number(cell.toPrecision(3))) : cell;
}
