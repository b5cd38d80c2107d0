import {createResourceLimiter} from '../../src/connection/resource-limiter.js';
import {createFakeClock} from '../../src/process/fake-clock.js';
import {describe, it} from '../describe.js';

const room = {cpu: 4000, memory: 100, accelerators: 1};
const task = {cpu: 1500, memory: 10, accelerators: 0};

describe('room keeper', () => {
	it('takes what fits in every resource and gives it back', t => {
		const keeper = createResourceLimiter({clock: createFakeClock(), notifyEntry: () => undefined}, room);
		t.true(keeper.tryAcquire('e', task));
		t.true(keeper.tryAcquire('e', task));
		t.false(keeper.tryAcquire('e', task));
		t.false(keeper.tryAcquire('e', {cpu: 0, memory: 0, accelerators: 2}));
		keeper.release('e', task);
		t.deepEqual(keeper.getFreeResources(), {cpu: 2500, memory: 90, accelerators: 1});
	});

	it('takes nothing while draining or while the upstream cannot be reached', t => {
		const keeper = createResourceLimiter({clock: createFakeClock(), notifyEntry: () => undefined}, room);
		keeper.setDraining(true);
		t.false(keeper.tryAcquire('e', task));
		keeper.setDraining(false);
		keeper.setSlots(0);
		t.false(keeper.tryAcquire('e', task));
		keeper.setSlots(1);
		t.true(keeper.tryAcquire('e', task));
	});

	describe('tells of free room', () => {
		it('only entries with waiting tasks', t => {
			const {keeper, told} = create(['waiting', 'idle', 'gone']);
			keeper.setQueued('idle', 0);
			keeper.removeEntry('gone');
			keeper.release('waiting', task);
			t.deepEqual(told, ['waiting']);
		});

		it('one entry at a time, in turn', t => {
			const {keeper, told} = create(['a', 'b', 'c']);
			keeper.release('a', task);
			t.deepEqual(told, ['a']);
			t.true(keeper.tryAcquire('a', task));
			keeper.release('a', task);
			t.deepEqual(told, ['a', 'b']);
		});

		it('the next entry once a start has not followed, and nobody twice', t => {
			const {keeper, told, clock} = create(['a', 'b']);
			keeper.release('a', task);
			clock.advance(15);
			t.deepEqual(told, ['a', 'b']);
			clock.advance(1000);
			t.deepEqual(told, ['a', 'b']);
		});

		it('another entry at once when the one that was told has nothing left to start', t => {
			const {keeper, told} = create(['a', 'b']);
			keeper.release('a', task);
			keeper.setQueued('a', 0);
			t.deepEqual(told, ['a', 'b']);
		});

		it('an entry whose tasks begin to wait while room is free', t => {
			const {keeper, told} = create([]);
			keeper.release('a', task);
			keeper.addEntry('late');
			keeper.setQueued('late', 1);
			t.deepEqual(told, ['late']);
		});

		it('the only waiting entry of each further part', t => {
			const {keeper, told} = create(['a']);
			keeper.release('a', task);
			keeper.release('a', task);
			t.deepEqual(told, ['a', 'a']);
			t.is(keeper.getFreeResources().cpu, 3000);
		});

		it('nobody while draining', t => {
			const {keeper, told} = create(['a']);
			keeper.setDraining(true);
			keeper.release('a', task);
			t.deepEqual(told, []);
		});
	});
});

/** A full upstream with waiting entries. */
function create(waiting: readonly string[]) {
	const told: string[] = [];
	const clock = createFakeClock();
	const keeper = createResourceLimiter({clock, notifyEntry: entry => told.push(entry)}, {...room, cpu: 3000});
	keeper.addEntry('running');
	keeper.tryAcquire('running', task);
	keeper.tryAcquire('running', task);
	for (const entry of waiting) {
		keeper.addEntry(entry);
		keeper.setQueued(entry, 2);
	}

	return {keeper, told, clock};
}
