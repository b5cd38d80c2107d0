import {errAsync} from 'neverthrow';
import {describe, it} from '../describe.js';
import {unwrap} from '../unwrap.js';
import {
	createSubmissionInfo, typicalEntryLoad, startRecorderLoad, type RecorderLoad, type RunningLoad,
} from '../../dev/bench/recorder-load.js';
import {createRandom} from '../../dev/random.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {createTimeoutError} from '../../src/process/platform/errors.js';
import {createMemoryPlatform, type MemoryPlatform} from '../../src/process/platform/memory.js';
import type {ObjectStore} from '../../src/process/platform/types.js';
import {decodeBlock, findRecord, getBlockKey} from '../../src/request/record-codec.js';
import {
	createSubmissionRecorder, type SubmissionRecorderEvent, type SubmissionRecorderSettings, type ManagedSubmissionRecorder,
} from '../../src/request/submission-recorder.js';
import type {SubmissionRecord, Ticket} from '../../src/request/types.js';
import {createTicket} from './records.js';

const second = 1000;
const minute = 60 * second;

const settings: SubmissionRecorderSettings = {
	memoryBytes: 8_000_000, writesPerSecond: 5, saveDelayMs: second, keepMs: 2 * minute, blockOpenMs: 601 * second,
};

/** Memory bound within which the records of the outage fit only without their detail. */
const smallBoundBytes = 600_000;

/** Memory bound within which the records of the outage do not fit at all. */
const tinyBoundBytes = 150_000;

/** Number of a block for which the load has no tickets. */
const unusedBlock = 1_000_000;

/** Write budget that is used up by the load whose callers use their tickets late. */
const crashWritesPerSecond = 2;

/** A recorder on a fake clock and a platform in memory. */
type Fixture = {
	readonly clock: FakeClock;
	readonly platform: MemoryPlatform;
	readonly recorder: ManagedSubmissionRecorder;
	readonly events: SubmissionRecorderEvent[];
};

describe('submission recorder', () => {
	describe('outage of ten minutes at full load', () => {
		it('loses no record and no detail within the memory bound, with few failed writes', async t => {
			const fixture = createFixture();
			const load = await runOutage(fixture);
			const savedRecords = await readAll(fixture, load.log.accepted);
			t.is(load.log.refused.length, 0);
			t.true(load.log.accepted.length > 700, `${load.log.accepted.length} jobs`);
			t.true(savedRecords.every(record => record?.answer?.state === 'complete' && record.tasks.size === record.taskCount && !record.detailDropped));
			t.is(fixture.recorder.getUnsavedCount(), 0);
			const {failedWrites} = fixture.recorder.getStats();
			t.true(failedWrites > 30 && failedWrites < 150, `${failedWrites} failed writes`);
		});

		it('drops detail before any final record', async t => {
			const fixture = createFixture({memoryBytes: smallBoundBytes});
			const load = await runOutage(fixture);
			const savedRecords = await readAll(fixture, load.log.accepted);
			t.is(load.log.refused.length, 0);
			t.true(fixture.recorder.getStats().detailDropped > 0);
			t.true(savedRecords.every(record => record?.answer?.state === 'complete'));
			t.true(savedRecords.every(record => record!.detailDropped || record!.tasks.size === record!.taskCount));
		});

		it('refuses new work at the memory bound, retains nothing of it, and never exceeds the bound by much', async t => {
			const fixture = createFixture({memoryBytes: tinyBoundBytes});
			let peak = 0;
			const load = await runOutage(fixture, () => {
				peak = Math.max(peak, fixture.recorder.getStats().memoryBytes);
			});
			const {accepted, refused} = load.log;
			const savedRecords = await readAll(fixture, accepted);
			const refusedRecords = await readAll(fixture, refused);
			t.true(refused.length > 0 && accepted.length > 0, `${accepted.length} accepted, ${refused.length} refused`);
			t.true(savedRecords.every(record => record?.answer?.state === 'complete'));
			t.true(refused.every(ticket => fixture.recorder.tryGet(ticket.text) === undefined));
			t.true(refusedRecords.every(record => record === undefined));
			// A record that changes after its block was encoded may exceed the bound until the next submission.
			t.true(peak < 1.1 * tinyBoundBytes, `peak ${peak} bytes`);
		});
	});

	describe('running work', () => {
		it('is never dropped', async t => {
			const fixture = createFixture({memoryBytes: 60_000});
			fixture.platform.setFaults({down: true});
			const running = createTicket(0, unusedBlock);
			t.is(fixture.recorder.openRecord(createSubmissionInfo(running, 20, 0)), undefined);
			fixture.recorder.recordSent(running.text, 3, {
				attempt: 1, agent: 'a/1', upstream: 'a', sentAt: 5,
			});
			const load = startRecorderLoad(fixture.clock, fixture.recorder, {...typicalEntryLoad, maxTicketHoldMs: 0});
			await run(fixture, 2 * minute);
			load.stop();
			t.true(fixture.recorder.getStats().refused > 0);
			t.is(fixture.recorder.tryGet(running.text)?.tasks.get(3)?.attempts.length, 1);
		});
	});

	describe('lost replies', () => {
		it('cause the same block to be written again, without other effects', async t => {
			const fixture = createFixture();
			fixture.platform.setFaults({repliesToLose: 3});
			const saved: string[] = [];
			const ticket = accept(fixture, 0);
			fixture.recorder.whenSaved(ticket.text, () => saved.push(ticket.text));
			await run(fixture, minute);
			t.deepEqual(saved, [ticket.text]);
			t.is(fixture.platform.getStats().repliesLost, 3);
			const record = await read(fixture, ticket);
			t.is(record?.ticket.text, ticket.text);
		});

		it('cannot leave an older state behind when the write takes effect late', async t => {
			const clock = createFakeClock();
			const platform = createMemoryPlatform({clock});
			const fixture = createFixture({}, clock, platform, delayFirstWrite(clock, platform.objects.put));
			const first = accept(fixture, 0);
			await run(fixture, 2 * second);
			const other = accept(fixture, 1);
			finish(fixture, first);
			finish(fixture, other);
			await run(fixture, 15 * second);
			t.true(await isComplete(fixture, other));
			await run(fixture, 45 * second);
			t.true(await isComplete(fixture, first));
			t.true(await isComplete(fixture, other));
		});
	});

	describe('writes', () => {
		it('are one at a time for each block', async t => {
			const clock = createFakeClock();
			const platform = createMemoryPlatform({clock});
			const counter = countWrites(platform.objects.put);
			const fixture = createFixture({writesPerSecond: 100, saveDelayMs: 10}, clock, platform, counter.put);
			platform.setFaults({slowMs: 300});
			const load = startRecorderLoad(clock, fixture.recorder, {...typicalEntryLoad, maxTicketHoldMs: 5 * second});
			await run(fixture, minute);
			load.stop();
			t.true(platform.getStats().objectWrites > 100);
			t.is(counter.getMaxInFlight(), 1);
		});

		it('save the blocks in order of their first unsaved change', async t => {
			const clock = createFakeClock();
			const platform = createMemoryPlatform({clock});
			const keys: string[] = [];
			const fixture = createFixture({writesPerSecond: 1}, clock, platform, (key, bytes) => {
				keys.push(key);
				return platform.objects.put(key, bytes);
			});
			const blocks = Array.from({length: 12}, (_, block) => block);
			for (const block of blocks) {
				fixture.recorder.openRecord(createSubmissionInfo(createTicket(0, block), 1, clock.wall()));
				await run(fixture, 300);
			}

			await run(fixture, 20 * second);
			t.deepEqual(keys, blocks.map(block => getBlockKey('42', block)));
		});

		it('do not wait for a block to stop changing', async t => {
			const fixture = createFixture();
			const ticket = accept(fixture, 0);
			for (let i = 0; i < 60; i++) {
				fixture.recorder.recordDelivery(ticket.text, 'makati-1');
				await run(fixture, 500);
			}

			const record = await read(fixture, ticket);
			t.true(record!.deliveries.length >= 57, `${record?.deliveries.length} of 60 deliveries`);
		});

		it('stay within the budget however many blocks change', async t => {
			const writesPerSecond = 1;
			const fixture = createFixture({writesPerSecond});
			const load = startRecorderLoad(fixture.clock, fixture.recorder, {...typicalEntryLoad, maxTicketHoldMs: minute});
			await run(fixture, 5 * minute);
			load.stop();
			const {writes} = fixture.recorder.getStats();
			t.true(writes > 250 && writes <= (300 + 1) * writesPerSecond, `${writes} writes`);
		});
	});

	describe('crash at a random moment', () => {
		for (const ticketHoldMs of [0, 30 * second]) {
			for (let seed = 1; seed <= 4; seed++) {
				it(`loses at most the documented loss window, tickets used after up to ${ticketHoldMs} ms, seed ${seed}`, async t => {
					const fixture = createFixture({writesPerSecond: crashWritesPerSecond});
					fixture.platform.setFaults({slowMs: 20});
					const load = startRecorderLoad(fixture.clock, fixture.recorder, {...typicalEntryLoad, seed, maxTicketHoldMs: ticketHoldMs});
					await run(fixture, minute + (createRandom(seed)() * minute));
					const crashedAt = fixture.clock.now();
					const window = getLossWindow(load, fixture.clock, ticketHoldMs);
					const expected = load.log.accepted.filter(ticket => (load.log.answeredAt.get(ticket.text) ?? Infinity) < crashedAt - window);
					const savedRecords = await readAll(fixture, expected);
					t.true(expected.length > 20, `${expected.length} jobs`);
					t.true(savedRecords.every(record => record?.answer?.state === 'complete' && record.deliveries.length === 1));
				});
			}
		}
	});

	describe('blocks that were removed from memory or compressed', () => {
		it('are written with all records when a delivery is recorded late', async t => {
			const fixture = createFixture();
			const tickets = [accept(fixture, 0), accept(fixture, 1)];
			for (const ticket of tickets) {
				finish(fixture, ticket);
			}

			await run(fixture, 5 * second);
			fixture.recorder.recordDelivery(tickets[0]!.text, 'bgc-1');
			await run(fixture, 5 * second);
			const savedRecords = await readAll(fixture, tickets);
			t.deepEqual(savedRecords.map(record => record?.deliveries.length), [2, 1]);
		});

		it('are written with all records when one of their tickets is used late', async t => {
			const fixture = createFixture();
			const early = accept(fixture, 0);
			finish(fixture, early);
			await run(fixture, 10 * minute);
			const late = accept(fixture, 1);
			finish(fixture, late);
			await run(fixture, 5 * second);
			const savedRecords = await readAll(fixture, [early, late]);
			t.deepEqual(savedRecords.map(record => record?.answer?.state), ['complete', 'complete']);
		});

		it('are removed from memory eventually; later changes are counted and do not change the saved record', async t => {
			const fixture = createFixture();
			const ticket = accept(fixture, 0);
			finish(fixture, ticket);
			await run(fixture, 11 * minute);
			t.is(fixture.recorder.getStats().records, 0);
			t.is(fixture.recorder.getStats().memoryBytes, 0);
			fixture.recorder.recordDelivery(ticket.text, 'bgc-1');
			await run(fixture, minute);
			t.is(fixture.recorder.getStats().changesIgnored, 1);
			t.like(fixture.events.at(-1), {kind: 'change-ignored', change: 'delivery'});
			const record = await read(fixture, ticket);
			t.is(record?.deliveries.length, 1);
			t.is(fixture.recorder.openRecord(createSubmissionInfo(createTicket(5), 1, 0))?.kind, 'TicketExpired');
		});
	});

	describe('record before start', () => {
		it('shares one write among submissions that arrive together', async t => {
			const fixture = createFixture();
			const saved: number[] = [];
			for (let sequence = 0; sequence < 20; sequence++) {
				const ticket = accept(fixture, sequence);
				fixture.recorder.whenSaved(ticket.text, () => saved.push(fixture.clock.now()));
			}

			t.is(saved.length, 0);
			await run(fixture, 50);
			t.is(saved.length, 20);
			t.true(saved.every(at => at <= 10), `saved at ${saved.join(', ')}`);
			t.is(fixture.recorder.getStats().writes, 1);
		});

		it('calls back once, after the write, even if the platform is down for a while', async t => {
			const fixture = createFixture();
			fixture.platform.setFaults({down: true});
			const ticket = accept(fixture, 0);
			let calls = 0;
			fixture.recorder.whenSaved(ticket.text, () => {
				calls++;
			});
			await run(fixture, minute);
			t.is(calls, 0);
			fixture.platform.setFaults({down: false});
			await run(fixture, minute);
			t.is(calls, 1);
		});

		it('ignores a write that started before the record was opened', async t => {
			const fixture = createFixture();
			fixture.platform.setFaults({slowMs: 100});
			const early = accept(fixture, 0);
			const saved: string[] = [];
			fixture.recorder.whenSaved(early.text, () => saved.push('early'));
			await run(fixture, 50);
			fixture.recorder.whenSaved(accept(fixture, 1).text, () => saved.push('late'));
			await run(fixture, 65);
			t.deepEqual(saved, ['early']);
			await run(fixture, 200);
			t.deepEqual(saved, ['early', 'late']);
		});
	});

	describe('flush', () => {
		it('saves at once, and resolves when the platform is down', async t => {
			const fixture = createFixture();
			const ticket = accept(fixture, 0);
			await fixture.recorder.flush();
			const record = await read(fixture, ticket);
			t.is(record?.ticket.text, ticket.text);
			fixture.platform.setFaults({down: true});
			finish(fixture, ticket);
			await fixture.recorder.flush();
			t.is(fixture.recorder.getUnsavedCount(), 1);
		});
	});
});

/** Wraps `put` to count the writes of one object that are in flight at the same time. */
function countWrites(put: ObjectStore['put']): {readonly put: ObjectStore['put']; getMaxInFlight(): number} {
	const inFlight = new Map<string, number>();
	let maxInFlight = 0;

	return {
		put(key, bytes) {
			inFlight.set(key, (inFlight.get(key) ?? 0) + 1);
			maxInFlight = Math.max(maxInFlight, inFlight.get(key)!);
			return put(key, bytes).andTee(() => inFlight.set(key, inFlight.get(key)! - 1));
		},
		getMaxInFlight: () => maxInFlight,
	};
}

/** Wraps `put` so that the first write times out but takes effect 20 s later; the other writes succeed. */
function delayFirstWrite(clock: FakeClock, put: ObjectStore['put']): ObjectStore['put'] {
	let calls = 0;

	return (key, bytes) => {
		calls++;
		if (calls > 1) {
			return put(key, bytes);
		}

		clock.after(20 * second, () => {
			void put(key, bytes);
		});
		return errAsync(createTimeoutError(2 * second, true, 0));
	};
}

/** Returns the loss window that docs/FATE.md states: each changed block waits for its turn within the write budget. */
function getLossWindow(load: RunningLoad, clock: FakeClock, ticketHoldMs: number): number {
	const heldBlocks = Math.ceil(ticketHoldMs / typicalEntryLoad.blockMs);
	const runningBlocks = new Set([...load.log.running.values()].map(ticket => ticket.block)).size;
	const blocks = heldBlocks + runningBlocks + 2;
	const writeMs = 20;
	return settings.saveDelayMs + (blocks * second / crashWritesPerSecond) + second + (2 * writeMs);
}

function createFixture(
	changes: Partial<SubmissionRecorderSettings> = {},
	clock = createFakeClock(),
	platform = createMemoryPlatform({clock}),
	put: ObjectStore['put'] = platform.objects.put,
): Fixture {
	const events: SubmissionRecorderEvent[] = [];
	const recorder = createSubmissionRecorder({
		clock,
		incarnation: '42',
		settings: {...settings, ...changes},
		random: createRandom(7),
		put,
		log(event) {
			events.push(event);
		},
	});
	return {
		clock, platform, recorder, events,
	};
}

/**
 * Runs one minute of normal load, ten minutes of outage and one more minute of load, then waits until all jobs have
 * ended.
 */
async function runOutage(fixture: Fixture, observe: () => void = () => undefined): Promise<RunningLoad> {
	const load = startRecorderLoad(fixture.clock, fixture.recorder, typicalEntryLoad);
	await run(fixture, minute, observe);
	fixture.platform.setFaults({down: true});
	await run(fixture, 10 * minute, observe);
	fixture.platform.setFaults({down: false});
	await run(fixture, minute, observe);
	load.stop();
	await run(fixture, 3 * minute, observe);
	return load;
}

/** Advances the clock in small steps, with time for replies between them. */
async function run({clock}: Fixture, duration: number, observe: () => void = () => undefined): Promise<void> {
	const step = duration > second ? 50 : 5;
	for (let remaining = duration; remaining > 0; remaining -= step) {
		clock.advance(Math.min(step, remaining));
		observe();
		await flushPromises();
	}
}

/** Waits until the promise callbacks of finished writes have run. */
async function flushPromises(): Promise<void> {
	for (let i = 0; i < 20; i++) {
		await Promise.resolve();
	}
}

function accept({recorder, clock}: Fixture, sequence: number): Ticket {
	const ticket = createTicket(sequence);
	recorder.openRecord(createSubmissionInfo(ticket, 1, clock.wall()));
	return ticket;
}

function finish({recorder}: Fixture, ticket: Ticket): void {
	recorder.recordAnswer(ticket.text, {state: 'complete', ran: 'ran', payloads: []});
	recorder.recordDelivery(ticket.text, 'makati-1');
}

async function read({platform}: Fixture, ticket: Ticket): Promise<SubmissionRecord | undefined> {
	platform.setFaults({slowMs: 0});
	const bytes = await unwrap(platform.objects.get(getBlockKey(ticket.incarnation, ticket.block)));
	return bytes && findRecord(bytes, ticket.sequence)._unsafeUnwrap();
}

async function isComplete(fixture: Fixture, ticket: Ticket): Promise<boolean> {
	const record = await read(fixture, ticket);
	return record?.answer?.state === 'complete';
}

async function readAll(fixture: Fixture, tickets: readonly Ticket[]): Promise<ReadonlyArray<SubmissionRecord | undefined>> {
	const blocks = new Map<number, ReadonlyMap<number, SubmissionRecord>>();
	fixture.platform.setFaults({slowMs: 0});
	for (const {incarnation, block} of tickets) {
		if (!blocks.has(block)) {
			const bytes = await unwrap(fixture.platform.objects.get(getBlockKey(incarnation, block)));
			const savedRecords = bytes === undefined ? [] : decodeBlock(bytes)._unsafeUnwrap().fates;
			blocks.set(block, new Map(savedRecords.map(record => [record.ticket.sequence, record])));
		}
	}

	return tickets.map(({block, sequence}) => blocks.get(block)?.get(sequence));
}
