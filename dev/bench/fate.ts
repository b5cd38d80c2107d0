/**
 * Measures the cost of submission records: bytes and processor time by size of job, writes and the age of unsaved
 * changes (which a crash loses) under load, memory during an outage, and the delay that a record before start adds. Run
 * `node dist/dev/bench/fate.js`. All tables but the first use a fake clock and are the same on each run.
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

const secondMs = 1000;
const minuteMs = 60 * secondMs;

/** Duration of a write to the object store. */
const storeWriteMs = 5;

/** Duration of each run under load. */
const loadMs = 3 * minuteMs;

const settings: SubmissionRecorderSettings = {
	memoryBytes: 67_108_864, writesPerSecond: 5, saveDelayMs: secondMs, keepMs: 2 * minuteMs, blockOpenMs: 601 * secondMs,
};

type Cell = string | number;

type RecorderFixture = {
	readonly clock: FakeClock;
	readonly platform: MemoryPlatform;
	readonly recorder: ManagedSubmissionRecorder;
};

setFlagsFromString('--expose-gc');
const upstreams = Array.from({length: 11}, (_, index) => ({name: `kitchen-${index}`, agent: `kitchen-${index}/${index}f3a9c2e1`}));

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
	const recordCount = Math.max(4, Math.round(8000 / taskCount));
	const records = [...createRecords(recordCount, taskCount)];
	const block: RecordBlock = {incarnation: typicalEntryLoad.incarnation, block: 0, fates: records};
	const bytes = encodeBlock(block);
	return [
		taskCount,
		gunzipSync(bytes).length / recordCount,
		bytes.length / recordCount,
		bytes.length / recordCount / taskCount,
		measureTime(() => encodeBlock(block)) / recordCount,
		measureTime(() => decodeBlock(bytes)) / recordCount,
		measureTime(() => findRecord(bytes, recordCount - 1)),
		...measureMemory(recordCount, taskCount),
	];
}

/** Measures the heap and estimated bytes of a record built by single changes, and the estimated bytes once compressed. */
function measureMemory(recordCount: number, taskCount: number): readonly Cell[] {
	const before = getHeap();
	const block = createRecordBlock(typicalEntryLoad.incarnation, 0, 0);
	for (const submissionRecord of createRecords(recordCount, taskCount)) {
		addRecord(block, submissionRecord);
	}

	const heapBytes = getHeap() - before;
	const estimatedBytes = block.getMemoryBytes();
	block.compress();
	return [heapBytes / recordCount, estimatedBytes / recordCount, block.getMemoryBytes() / recordCount];
}

function addRecord(block: RecordBlockState, submissionRecord: SubmissionRecord): void {
	const {ticket} = submissionRecord;
	block.add(createSubmissionInfo(ticket, submissionRecord.taskCount, submissionRecord.acceptedAt));
	for (const {index, attempts: [attempt]} of submissionRecord.tasks.values()) {
		const {endedAt, outcome, detail, runMs, ...sent} = attempt!;
		block.change(ticket.sequence, stored => {
			stored.tasks.set(index, {index, attempts: [sent]});
			return 0;
		});
		block.change(ticket.sequence, stored => {
			Object.assign(stored.tasks.get(index)!.attempts[0]!, {
				endedAt, outcome, detail, runMs,
			});
			return 0;
		});
	}

	block.change(ticket.sequence, stored => {
		stored.answer = submissionRecord.answer;
		stored.deliveries.push(...submissionRecord.deliveries);
		return 0;
	});
}

/** Generates the records of finished jobs as a recorder stores them. */
function * createRecords(recordCount: number, taskCount: number): Generator<SubmissionRecord> {
	const random = createRandom(1);
	const clock = createFakeClock(Date.UTC(2026, 2, 4));
	const issuer = createTicketIssuer({
		clock, incarnation: typicalEntryLoad.incarnation, key: new Uint8Array(32), blockMs: minuteMs * 60, lifetimeMs: minuteMs,
	});
	for (let i = 0; i < recordCount; i++) {
		clock.advance(drawInteger(random, 1, 20));
		yield createFinishedRecord(issuer.issue('caller', 1)[0]!, taskCount, clock, random);
	}
}

function createFinishedRecord(ticket: Ticket, taskCount: number, clock: FakeClock, random: () => number): SubmissionRecord {
	const acceptedAt = clock.wall();
	const tasks: SubmissionRecord['tasks'] = new Map();
	for (let index = 0; index < taskCount; index++) {
		const upstream = upstreams[drawInteger(random, 0, upstreams.length - 1)]!;
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
		for (const maxTicketHoldMs of [0, minuteMs]) {
			for (const factor of [1, 4, 16]) {
				rows.push(await measureLoad(writesPerSecond, {
					...typicalEntryLoad, blockMs, maxTicketHoldMs, busySlots: factor * typicalEntryLoad.busySlots,
				}));
			}
		}
	}

	printTable(
		`${loadMs / secondMs} s of load, ${storeWriteMs} ms a write`,
		['block ms', 'writes/s at most', 'tickets held up to ms', 'jobs/s', 'tasks/s', 'writes/s', 'kB/s', 'B a task', 'oldest unsaved ms', 'memory kB', 'CPU ms/s'],
		rows,
	);
}

/** Measures one run under load; the processor time includes that of the load generator. */
async function measureLoad(writesPerSecond: number, load: RecorderLoad): Promise<readonly Cell[]> {
	const fixture = createFixture({writesPerSecond, blockOpenMs: load.ticketLifetimeMs + load.blockMs});
	fixture.platform.setFaults({slowMs: storeWriteMs});
	const cpu = process.cpuUsage();
	const {log} = startRecorderLoad(fixture.clock, fixture.recorder, load);
	let maxUnsavedAge = 0;
	let maxMemoryBytes = 0;
	await run(fixture, loadMs, () => {
		const stats = fixture.recorder.getStats();
		maxUnsavedAge = Math.max(maxUnsavedAge, stats.oldestUnsavedMs);
		maxMemoryBytes = Math.max(maxMemoryBytes, stats.memoryBytes);
	});
	const {user, system} = process.cpuUsage(cpu);
	const {writes, bytes} = fixture.recorder.getStats();
	const seconds = loadMs / secondMs;
	fixture.recorder.close();
	return [
		load.blockMs,
		writesPerSecond,
		load.maxTicketHoldMs,
		log.accepted.length / seconds,
		log.tasks / seconds,
		writes / seconds,
		bytes / seconds / 1000,
		bytes / log.tasks,
		maxUnsavedAge,
		maxMemoryBytes / 1000,
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
		'An outage of ten minutes after one minute of work, typical load',
		['block ms', 'bound kB', 'peak kB', 'jobs', 'lost detail', 'refused', 'failed writes', 'all saved after ms'],
		rows,
	);
}

async function measureOutage(memoryBytes: number, blockMs: number): Promise<readonly Cell[]> {
	const fixture = createFixture({memoryBytes});
	const {log, stop} = startRecorderLoad(fixture.clock, fixture.recorder, {...typicalEntryLoad, blockMs});
	let peakBytes = 0;
	const samplePeak = () => {
		peakBytes = Math.max(peakBytes, fixture.recorder.getStats().memoryBytes);
	};

	await run(fixture, minuteMs, samplePeak);
	fixture.platform.setFaults({down: true});
	await run(fixture, 10 * minuteMs, samplePeak);
	fixture.platform.setFaults({down: false});
	stop();
	const endedAt = fixture.clock.now();
	while (fixture.recorder.getUnsavedCount() > 0) {
		await run(fixture, secondMs, samplePeak);
	}

	const stats = fixture.recorder.getStats();
	fixture.recorder.close();
	return [
		blockMs, memoryBytes / 1000, peakBytes / 1000, log.accepted.length, stats.detailDropped, stats.refused, stats.failedWrites, fixture.clock.now() - endedAt,
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

/** Measures a run in which every submission waits until its record is saved and ends 200 ms later. */
async function measureRecordBeforeStart(rate: number, writesPerSecond: number): Promise<readonly Cell[]> {
	const duration = minuteMs;
	const fixture = createFixture({writesPerSecond});
	fixture.platform.setFaults({slowMs: storeWriteMs});
	const waits: number[] = [];
	submitAndWait(fixture, rate, wait => waits.push(wait));
	await run(fixture, duration, undefined, 1);
	const {writes} = fixture.recorder.getStats();
	const sorted = waits.toSorted((a, b) => a - b);
	fixture.recorder.close();
	return [
		writesPerSecond, rate, writes / duration * secondMs, writes / waits.length, sorted[Math.floor(sorted.length / 2)] ?? 0, sorted[Math.floor(sorted.length * 0.99)] ?? 0,
	];
}

function submitAndWait({clock, recorder}: RecorderFixture, rate: number, onSaved: (wait: number) => void): void {
	const random = createRandom(3);
	const issuer = createTicketIssuer({
		clock, incarnation: typicalEntryLoad.incarnation, key: new Uint8Array(32), blockMs: secondMs, lifetimeMs: minuteMs,
	});
	scheduleNext();

	function scheduleNext(): void {
		clock.after(drawExponential(random, secondMs / rate), () => {
			submit(issuer.issue('caller', 1)[0]!);
			scheduleNext();
		});
	}

	function submit(ticket: Ticket): void {
		const openedAt = clock.now();
		recorder.openRecord(createSubmissionInfo(ticket, 1, clock.wall()));
		recorder.whenSaved(ticket.text, () => {
			onSaved(clock.now() - openedAt);
			clock.after(200, () => {
				recorder.recordAnswer(ticket.text, {state: 'complete', ran: 'ran'});
				recorder.recordDelivery(ticket.text, 'makati-1');
			});
		});
	}
}

function createFixture(changes: Partial<SubmissionRecorderSettings>): RecorderFixture {
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

async function run({clock}: RecorderFixture, duration: number, sample: () => void = () => undefined, step = 5): Promise<void> {
	for (let at = 0; at < duration; at += step) {
		clock.advance(step);
		await flushPromises();
		if (at % 100 === 0) {
			sample();
		}
	}
}

/** Runs the pending promise reactions, such as those of a completed write. */
async function flushPromises(): Promise<void> {
	for (let i = 0; i < 20; i++) {
		await Promise.resolve();
	}
}

/** Returns the shortest duration of a call in microseconds. */
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
	// The flag --expose-gc takes effect in new contexts only.
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
