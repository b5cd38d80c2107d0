/**
 * Tests of the contract that every implementation of the platform must fulfil.
 */
import {Buffer} from 'node:buffer';
import type {MemoryPlatform} from '../../../src/process/platform/memory.js';
import type {Platform} from '../../../src/process/platform/types.js';
import {it, type TestBody} from '../../describe.js';
import {unwrap, unwrapError} from '../../unwrap.js';

/** A platform under test, and the memory platform behind it, into which faults are injected. */
export type PlatformUnderTest = {
	readonly platform: Platform;
	readonly memory: MemoryPlatform;
	close?(): Promise<void>;
};

/** Declares the tests for the implementation that `open` creates. */
export function describePlatformContract(open: () => Promise<PlatformUnderTest>): void {
	function test(name: string, body: (t: Parameters<TestBody>[0], platform: Platform, memory: MemoryPlatform) => Promise<void>): void {
		it(name, async t => {
			const {platform, memory, close} = await open();
			t.teardown(async () => close?.());
			await body(t, platform, memory);
		});
	}

	test('returns undefined for an absent row and an absent object', async (t, {table, objects}) => {
		t.is(await unwrap(table.get('a')), undefined);
		t.is(await unwrap(objects.get('a')), undefined);
	});

	test('commits all writes of a transaction or none', async (t, {table}) => {
		const first = await table.commit({conditions: [{key: 'a', revision: 0}], writes: [{key: 'a', value: '1'}, {key: 'b', value: '2'}]});
		t.deepEqual(first._unsafeUnwrap(), {kind: 'committed', revision: 1});

		const second = await table.commit({conditions: [{key: 'b', revision: 1}, {key: 'a', revision: 0}], writes: [{key: 'b', value: '3'}]});
		t.deepEqual(second._unsafeUnwrap(), {kind: 'conflict', key: 'a', revision: 1});
		t.deepEqual(await unwrap(table.get('b')), {key: 'b', value: '2', revision: 1});
	});

	test('never reuses a revision of a deleted row', async (t, {table}) => {
		for (const value of ['1', undefined, '2']) {
			await table.commit({conditions: [], writes: [{key: 'a', value}]});
		}

		t.is(await unwrap(table.get('a').map(found => found?.revision)), 3);
		const stale = await table.commit({conditions: [{key: 'a', revision: 1}], writes: [{key: 'a', value: undefined}]});
		t.is(stale._unsafeUnwrap().kind, 'conflict');
	});

	test('scans a prefix in order of key, in pages', async (t, {table}) => {
		await table.commit({conditions: [], writes: ['p/c', 'q', 'p/a', 'p/b'].map(key => ({key, value: key}))});
		const firstPage = await unwrap(table.scan('p/', 2));
		t.deepEqual(firstPage.map(({key}) => key), ['p/a', 'p/b']);
		const secondPage = await unwrap(table.scan('p/', 2, 'p/b'));
		t.deepEqual(secondPage.map(({key}) => key), ['p/c']);
	});

	test('stores, lists and deletes objects with any bytes under any key', async (t, {objects}) => {
		const bytes = new Uint8Array([0, 255, 13, 10]);
		await objects.put('o/ä b&c?/1', bytes);
		await objects.put('o/2', new Uint8Array());
		t.deepEqual(await unwrap(objects.get('o/ä b&c?/1').map(found => Buffer.from(found ?? []))), Buffer.from(bytes));
		t.is(await unwrap(objects.get('o/2').map(found => found?.length)), 0);
		t.deepEqual(await unwrap(objects.list('o/', 10)), ['o/2', 'o/ä b&c?/1']);

		await objects.delete('o/2');
		t.deepEqual(await unwrap(objects.list('o/', 10)), ['o/ä b&c?/1']);
	});

	test('says that a write whose reply is lost may have taken effect', async (t, {table, objects}, memory) => {
		memory.setFaults({repliesToLose: 2});
		const commit = await table.commit({conditions: [], writes: [{key: 'a', value: '1'}]});
		const put = await objects.put('o', new Uint8Array([1]));
		t.true(commit._unsafeUnwrapErr().mayHaveTakenEffect);
		t.true(put._unsafeUnwrapErr().mayHaveTakenEffect);
		t.is(await unwrap(table.get('a').map(found => found?.value)), '1');
		t.is(await unwrap(objects.get('o').map(found => found?.length)), 1);
	});

	test('says that a write refused by the rate limit took no effect', async (t, {table}, memory) => {
		memory.setFaults({callsPerSecond: 0});
		const error = await unwrapError(table.commit({conditions: [], writes: [{key: 'a', value: '1'}]}));
		t.is(error.kind, 'rate-limited');
		t.false(error.mayHaveTakenEffect);
		t.true(error.retryAfter > 0);

		memory.setFaults({callsPerSecond: undefined});
		t.is(await unwrap(table.get('a')), undefined);
	});

	test('fails while it is down and works again afterwards', async (t, {table}, memory) => {
		memory.setFaults({down: true});
		const error = await unwrapError(table.get('a'));
		t.is(error.kind, 'unreachable');
		t.false(error.mayHaveTakenEffect);

		memory.setFaults({down: false});
		t.is(await unwrap(table.get('a')), undefined);
	});
}
