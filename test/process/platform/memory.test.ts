import {createFakeClock} from '../../../src/process/fake-clock.js';
import {createMemoryPlatform, rowHistoryMs} from '../../../src/process/platform/memory.js';
import {describe, it} from '../../describe.js';
import {unwrap, unwrapError} from '../../unwrap.js';
import {describePlatformContract} from './platform-contract.js';

describe('memory platform', () => {
	describePlatformContract(async () => {
		const memory = createMemoryPlatform({clock: createFakeClock()});
		return {platform: memory, memory};
	});

	it('returns rows as they were for stale reads, but checks conditions against the newest rows', async t => {
		const clock = createFakeClock();
		const {table, setFaults} = createMemoryPlatform({clock});
		await table.commit({conditions: [], writes: [{key: 'a', value: 'old'}]});
		clock.advance(rowHistoryMs * 2);
		await table.commit({conditions: [], writes: [{key: 'a', value: 'new'}, {key: 'b', value: 'new'}]});
		clock.advance(500);

		setFaults({oldReadsMs: 501});
		t.deepEqual(await unwrap(table.get('a')), {key: 'a', value: 'old', revision: 1});
		t.is(await unwrap(table.scan('', 10).map(rows => rows.length)), 1);
		t.is(await unwrap(table.commit({conditions: [{key: 'a', revision: 1}], writes: []}).map(({kind}) => kind)), 'conflict');

		setFaults({oldReadsMs: 500});
		t.is(await unwrap(table.get('a').map(found => found?.value)), 'new');
	});

	it('delays the effect of a slow call', async t => {
		const clock = createFakeClock();
		const {table, setFaults, getStats} = createMemoryPlatform({clock});
		setFaults({slowMs: 50});
		const pending = table.commit({conditions: [], writes: [{key: 'a', value: '1'}]});
		setFaults({slowMs: 0});
		t.is(await unwrap(table.get('a')), undefined);

		clock.advance(50);
		t.deepEqual(await unwrap(pending), {kind: 'committed', revision: 1});
		t.is(await unwrap(table.get('a').map(found => found?.value)), '1');
		t.is(getStats().tableReads, 2);
		t.is(getStats().tableWrites, 1);
	});

	it('lets a write take effect after its caller has timed out', async t => {
		const clock = createFakeClock();
		const {table, setFaults} = createMemoryPlatform({clock, timeout: 20});
		setFaults({slowMs: 50});
		const pending = table.commit({conditions: [], writes: [{key: 'a', value: '1'}]});
		clock.advance(20);
		const error = await unwrapError(pending);
		t.is(error.kind, 'timeout');
		t.true(error.mayHaveTakenEffect);

		clock.advance(30);
		setFaults({slowMs: 0});
		t.is(await unwrap(table.get('a').map(found => found?.value)), '1');
	});

	it('limits the number of calls in each second', async t => {
		const clock = createFakeClock();
		const {table, setFaults, getStats} = createMemoryPlatform({clock});
		setFaults({callsPerSecond: 2});
		for (let i = 0; i < 5; i++) {
			await table.get('a');
		}

		clock.advance(1000);
		t.is(await unwrap(table.get('a')), undefined);
		t.is(getStats().refused, 3);
	});
});
