import {createCancelRecords, type CancelRecords} from '../../src/process/cancel-records.js';
import type {Milliseconds} from '../../src/process/clock.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {createMemoryPlatform, type MemoryPlatform} from '../../src/process/platform/memory.js';
import {describe, it} from '../describe.js';
import {silentLog} from '../silent-log.js';

const minuteMs: Milliseconds = 60_000;
/** Longest wait for the store. */
const limitMs: Milliseconds = 300;

type Fixture = {
	readonly clock: FakeClock;
	readonly platform: MemoryPlatform;
	create(incarnation: string): CancelRecords;
	runFor(time: Milliseconds): Promise<void>;
	/** Saves a name. Returns for how long that took. */
	save(records: CancelRecords, name: string): Promise<Milliseconds>;
	/** Returns the names that an entry reads that starts now. */
	load(): Promise<readonly string[] | undefined>;
	getRows(): Promise<ReadonlyMap<string, string>>;
};

function createFixture(): Fixture {
	const clock = createFakeClock(1000);
	const platform = createMemoryPlatform({clock});
	let loads = 0;
	const fixture: Fixture = {
		clock,
		platform,
		create: incarnation => createCancelRecords({
			clock, table: platform.table, log: silentLog, incarnation,
		}),
		async runFor(time) {
			for (let passed = 0; passed < time; passed += 10) {
				clock.advance(10);
				await settle();
			}
		},
		async save(records, name) {
			const startedAt = clock.now();
			const took: Milliseconds[] = [];
			void records.save(name).then(() => took.push(clock.now() - startedAt));
			await settle();
			while (took.length === 0) {
				await fixture.runFor(10);
			}

			return took[0]!;
		},
		async load() {
			const names = await fixture.create(`reader-${++loads}`).load();
			return names?.map(({name}) => name).toSorted();
		},
		async getRows() {
			const rows = await platform.table.scan('cancels/', 1000);
			return new Map(rows._unsafeUnwrap().map(({key, value}) => [key, value]));
		},
	};
	return fixture;
}

async function settle(): Promise<void> {
	return new Promise(resolve => {
		setImmediate(resolve);
	});
}

describe('records of cancelled jobs', () => {
	it('outlast the entry that has saved them, with the time since', async t => {
		const {clock, create, save, load} = createFixture();
		const records = create('e-1');
		t.is(await save(records, 'a'), 0);
		clock.advance(5000);
		t.deepEqual(await load(), ['a']);
		t.deepEqual(await create('e-2').load(), [{name: 'a', age: 5000}]);
	});

	it('are written together if they come at the same time, and not more often than every 0.1 s', async t => {
		const {platform, create, load, runFor} = createFixture();
		const records = create('e-1');
		const saves = Array.from({length: 1200}, async (_, i) => records.save(`n${i}`));
		await runFor(400);
		await Promise.all(saves);
		// The first one alone, then as many as fit into its row, and the rest.
		t.is(platform.getStats().tableWrites, 4);
		const names = await load();
		t.is(names?.length, 1200);
	});

	it('wait for the store for a limited time, and are saved when it answers', async t => {
		const {platform, create, save, load, runFor} = createFixture();
		const records = create('e-1');
		await save(records, 'a');
		platform.setFaults({down: true});
		t.is(await save(records, 'b'), limitMs);
		t.is(await load(), undefined);
		platform.setFaults({down: false});
		await runFor(1000);
		t.deepEqual(await load(), ['a', 'b']);
	});

	it('lose nothing to a write without an answer, whenever it takes effect', async t => {
		const {platform, create, save, load, runFor} = createFixture();
		const records = create('e-1');
		await save(records, 'a');
		await runFor(200);
		platform.setFaults({repliesToLose: 1});
		await save(records, 'b');
		await runFor(1000);
		await save(records, 'c');
		t.deepEqual([...new Set(await load())], ['a', 'b', 'c']);
	});

	it('are removed when they are forgotten, by the entry itself or by one that starts later', async t => {
		const {clock, create, save, load, runFor, getRows} = createFixture();
		const [first, second] = [create('e-1'), create('e-2')];
		await save(first, 'a');
		await save(second, 'b');
		second.stop();
		await runFor(2 * minuteMs);
		await save(first, 'c');
		t.deepEqual([...await getRows()].map(([key]) => key), ['cancels/e-1.0', 'cancels/e-1.1', 'cancels/e-2.0']);
		clock.advance(9 * minuteMs);
		await runFor(minuteMs);
		t.deepEqual(await load(), ['c']);
		await settle();
		t.deepEqual([...await getRows()].map(([key]) => key), ['cancels/e-1.1']);
	});

	// Guards against a store that fills up with the names that a client makes up.
	it('are limited in number until they are forgotten', async t => {
		const {clock, create, save, load, runFor, getRows} = createFixture();
		const records = create('e-1');
		const saves = Array.from({length: 12_000}, async (_, i) => records.save(`n${i}`));
		await runFor(4000);
		await Promise.all(saves);
		const names = await load();
		t.is(names?.length, 10_000);
		t.is(await save(records, 'more'), 0);
		const rows = await getRows();
		t.is(rows.size, 20);
		clock.advance(11 * minuteMs);
		await runFor(minuteMs);
		await save(records, 'later');
		t.deepEqual(await load(), ['later']);
	});

	it('are read although another writer has left rows that cannot be read', async t => {
		const {platform, create, save, load} = createFixture();
		await save(create('e-1'), 'a');
		for (const [i, value] of ['{', '[["x"]]', '[["x",-1]]', '[[1,1]]'].entries()) {
			await platform.table.commit({conditions: [], writes: [{key: `cancels/odd-${i}`, value}]});
		}

		t.deepEqual(await load(), ['a']);
	});
});
