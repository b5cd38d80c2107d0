import {createResourceLimiter} from '../../src/connection/resource-limiter.js';
import {createFakeClock} from '../../src/process/fake-clock.js';
import {describe, it} from '../describe.js';

const capacity = {cpu: 4000, memory: 100, accelerators: 1};
const task = {cpu: 1500, memory: 10, accelerators: 0};

describe('resource limiter', () => {
	it('acquires what fits in every resource and releases it', t => {
		const limiter = createResourceLimiter({clock: createFakeClock(), notifyEntry: () => undefined}, capacity);
		t.true(limiter.tryAcquire('e', task));
		t.true(limiter.tryAcquire('e', task));
		t.false(limiter.tryAcquire('e', task));
		t.false(limiter.tryAcquire('e', {cpu: 0, memory: 0, accelerators: 2}));
		limiter.release('e', task);
		t.deepEqual(limiter.getFreeResources(), {cpu: 2500, memory: 90, accelerators: 1});
	});

	it('acquires nothing while draining or while the upstream is unreachable', t => {
		const limiter = createResourceLimiter({clock: createFakeClock(), notifyEntry: () => undefined}, capacity);
		limiter.setDraining(true);
		t.false(limiter.tryAcquire('e', task));
		limiter.setDraining(false);
		limiter.setSlots(0);
		t.false(limiter.tryAcquire('e', task));
		limiter.setSlots(1);
		t.true(limiter.tryAcquire('e', task));
	});

	it('offers nothing while its runs exceed a capacity that has shrunk, and the rest when it has grown again', t => {
		const limiter = createResourceLimiter({clock: createFakeClock(), notifyEntry: () => undefined}, capacity);
		limiter.tryAcquire('e', task);
		limiter.tryAcquire('e', task);
		limiter.setCapacity({...capacity, cpu: 2000});
		t.is(limiter.getFreeResources().cpu, 0);
		limiter.release('e', task);
		t.is(limiter.getFreeResources().cpu, 500);
		limiter.setCapacity(capacity);
		t.is(limiter.getFreeResources().cpu, 2500);
	});

	it('uses no more than now after the upstream has refused a start, until its capacity is set again', t => {
		const limiter = createResourceLimiter({clock: createFakeClock(), notifyEntry: () => undefined}, capacity);
		limiter.tryAcquire('e', task);
		limiter.recordShortage();
		t.false(limiter.tryAcquire('e', {cpu: 1, memory: 0, accelerators: 0}));
		t.deepEqual(limiter.getCapacity(), capacity, 'tasks of that size may still be accepted');
		limiter.release('e', task);
		t.true(limiter.tryAcquire('e', task));
		t.true(limiter.setCapacity(capacity));
		t.true(limiter.tryAcquire('e', task));
		t.false(limiter.setCapacity(capacity), 'repeated announcements change nothing');
	});

	describe('keeps claimed resources', () => {
		const large = {cpu: 3000, memory: 50, accelerators: 0};
		const head = {
			waited: 0, size: 100, need: large, keepMs: 200,
		};

		it('free of the tasks of other entries, from their next report on, until the large task starts', t => {
			const {limiter} = createFullUpstream(['a', 'b']);
			limiter.setQueued('a', 1, head);
			limiter.release('running', task);
			t.is(limiter.getFreeResources('a').cpu, 1500);
			t.true(limiter.tryAcquire('b', {...task, cpu: 500}), 'it was sent before the entry could know of the claim');
			t.is(limiter.getFreeResources('b').cpu, 0);
			t.false(limiter.tryAcquire('b', {...task, cpu: 500}));
			limiter.release('b', {...task, cpu: 500});
			limiter.release('running', task);
			t.true(limiter.tryAcquire('a', large));
			limiter.release('a', large);
			t.is(limiter.getFreeResources('b').cpu, 3000);
		});

		it('until the claim ends, after which the entry may not claim again for a while', t => {
			const {limiter, notified, clock} = createFullUpstream(['b', 'a']);
			limiter.setQueued('a', 1, head);
			limiter.release('running', task);
			t.deepEqual(notified, ['a'], 'the others cannot use it');
			clock.advance(200);
			t.is(limiter.getFreeResources('b').cpu, 1500);
			t.true(notified.includes('b'));
			limiter.setQueued('a', 1, head);
			t.is(limiter.getFreeResources('b').cpu, 1500);
			clock.advance(300);
			limiter.setQueued('a', 1, head);
			t.is(limiter.getFreeResources('b').cpu, 0);
		});

		it('until the entry withdraws its claim, has no waiting tasks or is lost', t => {
			const ends = {
				withdrawn(limiter) {
					limiter.setQueued('a', 1);
				},
				empty(limiter) {
					limiter.setQueued('a', 0, head);
				},
				lost(limiter) {
					limiter.removeEntry('a');
				},
			} satisfies Record<string, (limiter: ReturnType<typeof createFullUpstream>['limiter']) => void>;
			for (const end of Object.values(ends)) {
				const {limiter} = createFullUpstream(['a', 'b']);
				limiter.release('running', task);
				limiter.setQueued('a', 1, head);
				t.is(limiter.getFreeResources('b').cpu, 0);
				end(limiter);
				t.is(limiter.getFreeResources('b').cpu, 1500);
			}
		});

		it('for one entry at a time, and notifies it first once all of it is free', t => {
			const {limiter, notified} = createFullUpstream(['b', 'a']);
			limiter.setQueued('a', 1, head);
			limiter.setQueued('b', 1, head);
			limiter.release('running', task);
			limiter.release('running', task);
			t.is(notified.at(-1), 'a');
			t.is(limiter.getFreeResources('b').cpu, 0);
		});
	});

	describe('notifies of free resources', () => {
		it('when the capacity has grown', t => {
			const {limiter, notified} = createFullUpstream(['a']);
			limiter.setCapacity({...capacity, cpu: 9000});
			t.deepEqual(notified, ['a']);
		});

		it('only entries with waiting tasks', t => {
			const {limiter, notified} = createFullUpstream(['waiting', 'idle', 'gone']);
			limiter.setQueued('idle', 0);
			limiter.removeEntry('gone');
			limiter.release('waiting', task);
			t.deepEqual(notified, ['waiting']);
		});

		it('one entry at a time, in turn', t => {
			const {limiter, notified} = createFullUpstream(['a', 'b', 'c']);
			limiter.release('a', task);
			t.deepEqual(notified, ['a']);
			t.true(limiter.tryAcquire('a', task));
			limiter.release('a', task);
			t.deepEqual(notified, ['a', 'b']);
		});

		it('the next entry if no start follows in time, and no entry twice', t => {
			const {limiter, notified, clock} = createFullUpstream(['a', 'b']);
			limiter.release('a', task);
			clock.advance(15);
			t.deepEqual(notified, ['a', 'b']);
			clock.advance(1000);
			t.deepEqual(notified, ['a', 'b']);
		});

		it('the next entry at once when the notified one has no waiting tasks left', t => {
			const {limiter, notified} = createFullUpstream(['a', 'b']);
			limiter.release('a', task);
			limiter.setQueued('a', 0);
			t.deepEqual(notified, ['a', 'b']);
		});

		it('an entry whose tasks begin to wait while resources are free', t => {
			const {limiter, notified} = createFullUpstream([]);
			limiter.release('a', task);
			limiter.addEntry('late');
			limiter.setQueued('late', 1);
			t.deepEqual(notified, ['late']);
		});

		it('the only waiting entry again for each further release', t => {
			const {limiter, notified} = createFullUpstream(['a']);
			limiter.release('a', task);
			limiter.release('a', task);
			t.deepEqual(notified, ['a', 'a']);
			t.is(limiter.getFreeResources().cpu, 3000);
		});

		it('no entry while draining', t => {
			const {limiter, notified} = createFullUpstream(['a']);
			limiter.setDraining(true);
			limiter.release('a', task);
			t.deepEqual(notified, []);
		});
	});
});

/** Creates the limiter of a full upstream and entries that have waiting tasks. */
function createFullUpstream(waitingEntries: readonly string[]) {
	const notified: string[] = [];
	const clock = createFakeClock();
	const limiter = createResourceLimiter({clock, notifyEntry: entry => notified.push(entry)}, {...capacity, cpu: 3000});
	limiter.addEntry('running');
	limiter.tryAcquire('running', task);
	limiter.tryAcquire('running', task);
	for (const entry of waitingEntries) {
		limiter.addEntry(entry);
		limiter.setQueued(entry, 2);
	}

	return {limiter, notified, clock};
}
