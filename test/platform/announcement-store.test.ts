import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {errAsync} from 'neverthrow';
import {createAnnouncementStore, type Announcement} from '../../src/platform/announcement-store.js';
import {isConnectable} from '../../src/process/address.js';
import {createFakeClock} from '../../src/process/fake-clock.js';
import {createTimeoutError} from '../../src/process/platform/errors.js';
import {createMemoryPlatform} from '../../src/process/platform/memory.js';
import type {Transaction} from '../../src/process/platform/types.js';
import {describe, it} from '../describe.js';
import {createOddBytes, oddInputRuns} from '../odd-input.js';
import {createRecordingLog} from '../recording-log.js';
import {silentLog} from '../silent-log.js';

const announcement: Announcement = {
	facts: {
		id: 'i-1', bornAt: 5, address: '10.0.0.1:80', service: 's', room: {cpu: 1, memory: 2, accelerators: 3}, labels: ['a'],
	},
	isLeaving: false,
};

function isOwnService(service: string): boolean {
	return service === 's';
}

async function flushPromises(): Promise<void> {
	return new Promise(resolve => {
		setImmediate(resolve);
	});
}

describe('announcement store', () => {
	it('loads the newest announcement after a restart of the agent', async t => {
		const clock = createFakeClock();
		const {table} = createMemoryPlatform({clock});
		const host = {
			clock, table, log: silentLog, machine: 'side-1', isOwnService,
		};
		t.is(await createAnnouncementStore(host).load(), undefined);
		const announcements = createAnnouncementStore(host);
		announcements.save(announcement);
		announcements.save({...announcement, isLeaving: true});
		await flushPromises();
		t.deepEqual(await createAnnouncementStore(host).load(), {...announcement, isLeaving: true});
	});

	it('retries through an outage of the platform until the announcement is saved', async t => {
		const clock = createFakeClock();
		const platform = createMemoryPlatform({clock});
		const host = {
			clock, table: platform.table, log: silentLog, machine: 'side-1', isOwnService,
		};
		platform.setFaults({down: true});
		const announcements = createAnnouncementStore(host);
		announcements.save(announcement);
		for (let i = 0; i < 10; i++) {
			await flushPromises();
			clock.advance(300);
		}

		t.is(await announcements.load(), undefined);
		platform.setFaults({down: false});
		for (let i = 0; i < 4; i++) {
			clock.advance(300);
			await flushPromises();
		}

		t.deepEqual(await announcements.load(), announcement);
	});

	it('ignores an invalid announcement', async t => {
		const clock = createFakeClock();
		const {table} = createMemoryPlatform({clock});
		await table.commit({conditions: [], writes: [{key: 'executors/side-1', value: '{"facts":1}'}]});
		t.is(await createAnnouncementStore({
			clock, table, log: silentLog, machine: 'side-1', isOwnService,
		}).load(), undefined);
	});

	// Guards against a stored announcement that cannot be used, or that outdates all later heartbeats, at each start of the agent.
	it('ignores an announcement with values out of range, and logs its row', async t => {
		const odd = [
			{address: ''},
			{address: '10.0.0.1:99999'},
			{address: 'host:80'},
			{bornAt: 1e300},
			{bornAt: -1},
			{bornAt: 0.5},
			{id: 'a\nb'},
			{id: ''},
			{service: ''},
			{room: {cpu: -1, memory: 1, accelerators: 1}},
			{room: {cpu: 1e300, memory: 1, accelerators: 1}},
			{room: {cpu: 0.5, memory: 1, accelerators: 1}},
		];
		for (const fields of odd) {
			const clock = createFakeClock();
			const {table} = createMemoryPlatform({clock});
			await table.commit({conditions: [], writes: [{key: 'executors/side-1', value: JSON.stringify({...announcement, facts: {...announcement.facts, ...fields}})}]});
			const {log, lines} = createRecordingLog();
			t.is(await createAnnouncementStore({
				clock, table, log, machine: 'side-1', isOwnService,
			}).load(), undefined, JSON.stringify(fields));
			t.like(lines[0], {row: 'executors/side-1', revision: 1});
		}
	});

	// Guards against an executor that is never used again, as another writer's service was stored for it.
	it('ignores an announcement of another service than the executor\'s, and saves the next one', async t => {
		const clock = createFakeClock();
		const {table} = createMemoryPlatform({clock});
		const {log, lines} = createRecordingLog();
		const announcements = createAnnouncementStore({
			clock, table, log, machine: 'side-1', isOwnService,
		});
		for (const isLeaving of [false, true]) {
			await table.commit({conditions: [], writes: [{key: 'executors/side-1', value: JSON.stringify({facts: {...announcement.facts, service: 'x'}, isLeaving})}]});
			t.is(await announcements.load(), undefined);
		}

		t.is(lines.length, 2);
		const next = createAnnouncementStore({
			clock, table, log, machine: 'side-1', isOwnService,
		});
		next.save(announcement);
		await flushPromises();
		t.deepEqual(await next.load(), announcement);
	});

	it('loads no announcement that cannot be used, whatever is stored, and saves the next one', async t => {
		await fc.assert(fc.asyncProperty(createOddBytes(announcement), async bytes => {
			const clock = createFakeClock();
			const {table} = createMemoryPlatform({clock});
			await table.commit({conditions: [], writes: [{key: 'executors/side-1', value: Buffer.from(bytes).toString()}]});
			const announcements = createAnnouncementStore({
				clock, table, log: silentLog, machine: 'side-1', isOwnService,
			});
			const loaded = await announcements.load();
			t.true(loaded === undefined || (isConnectable(loaded.facts.address) && Number.isSafeInteger(loaded.facts.bornAt) && loaded.facts.id !== ''));
			announcements.save(announcement);
			await flushPromises();
			t.deepEqual(await announcements.load(), announcement);
		}), oddInputRuns);
	});

	it('keeps a write without an answer from replacing a newer announcement when it takes effect late', async t => {
		const clock = createFakeClock();
		const {table} = createMemoryPlatform({clock});
		const lateWrites: Transaction[] = [];
		const host = {
			clock,
			log: silentLog,
			machine: 'side-1',
			isOwnService,
			table: {
				...table,
				commit(transaction: Transaction) {
					if (lateWrites.length > 0) {
						return table.commit(transaction);
					}

					lateWrites.push(transaction);
					return errAsync(createTimeoutError(800, true, 500));
				},
			},
		};
		const announcements = createAnnouncementStore(host);
		announcements.save(announcement);
		await flushPromises();
		announcements.save({...announcement, isLeaving: true});
		clock.advance(300);
		await flushPromises();
		await flushPromises();
		await table.commit(lateWrites[0]!);
		t.deepEqual(await createAnnouncementStore(host).load(), {...announcement, isLeaving: true});
	});
});
