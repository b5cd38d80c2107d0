import fc from 'fast-check';
import {createCreditGranter} from '../../src/connection/credit-granter.js';
import {createFakeClock} from '../../src/process/fake-clock.js';
import {describe, it} from '../describe.js';

const entries = ['a', 'b', 'c'] as const;

describe('credit granter', () => {
	it('grants evenly while demand is unknown', t => {
		const granter = createGranter(8);
		granter.addEntry('a');
		granter.addEntry('b');
		t.is(granter.getGrantedCredits('a'), 4);
		t.is(granter.getGrantedCredits('b'), 4);
	});

	it('grants a freed slot to an entry with waiting tasks', t => {
		const granter = createGranter(1);
		granter.addEntry('a');
		granter.addEntry('b');
		granter.setQueued('b', 3);
		t.true(granter.tryAcquire('a'));
		granter.release();
		t.is(granter.getGrantedCredits('a'), 1);
		t.is(granter.getGrantedCredits('b'), 1);
	});

	it('accepts a start without a credit only while a free slot is not granted to any entry', t => {
		const granter = createGranter(2);
		granter.addEntry('a');
		granter.addEntry('b');
		t.true(granter.tryAcquire('a'));
		t.false(granter.tryAcquire('a'));
		granter.setReturnedCredits('b', 1);
		t.true(granter.tryAcquire('a'));
		t.is(granter.getGrantedCredits('a'), 3);
	});

	it('refuses a start if no slot is free, and every start while draining', t => {
		const granter = createGranter(2);
		granter.addEntry('a');
		t.true(granter.tryAcquire('a'));
		granter.setDraining(true);
		t.false(granter.tryAcquire('a'));
		t.false(granter.tryAcquire('b'));
		granter.setDraining(false);
		t.true(granter.tryAcquire('a'));
		t.false(granter.tryAcquire('a'));
	});

	it('counts a credit of each entry as outstanding while draining, until the entry has returned or used it', t => {
		const granter = createGranter(2);
		granter.addEntry('a');
		t.true(granter.tryAcquire('a'));
		granter.setReturnedCredits('a', granter.getGrantedCredits('a') - 1);
		t.is(granter.getOutstandingCredits(), 0);
		granter.setDraining(true);
		t.is(granter.getOutstandingCredits(), 1);
		t.false(granter.tryAcquire('a'));
		t.is(granter.getOutstandingCredits(), 0);
	});

	it('never has more usable credits and running tasks than slots, in any order of calls', t => {
		const action = fc.oneof(
			fc.record({kind: fc.constant('open' as const), entry: fc.constantFrom(...entries)}),
			fc.record({kind: fc.constant('close' as const), entry: fc.constantFrom(...entries)}),
			fc.record({kind: fc.constant('queued' as const), entry: fc.constantFrom(...entries), count: fc.nat(20)}),
			fc.record({kind: fc.constant('returned' as const), entry: fc.constantFrom(...entries), count: fc.nat(20)}),
			fc.record({kind: fc.constant('use' as const), entry: fc.constantFrom(...entries)}),
			fc.record({kind: fc.constant('release' as const)}),
			fc.record({kind: fc.constant('slots' as const), count: fc.integer({min: 1, max: 8})}),
			fc.record({kind: fc.constant('draining' as const), draining: fc.boolean()}),
		);
		fc.assert(fc.property(fc.array(action, {maxLength: 200}), actions => {
			const granter = createGranter(8);
			let slots = 8;
			let running = 0;
			for (const step of actions) {
				switch (step.kind) {
					case 'open': {
						granter.addEntry(step.entry);
						break;
					}

					case 'close': {
						granter.removeEntry(step.entry);
						break;
					}

					case 'queued': {
						granter.setQueued(step.entry, step.count);
						break;
					}

					case 'returned': {
						granter.setReturnedCredits(step.entry, step.count);
						break;
					}

					case 'use': {
						const isUsed = granter.tryAcquire(step.entry);
						running += isUsed ? 1 : 0;
						if (isUsed && running > slots) {
							return false;
						}

						break;
					}

					case 'release': {
						if (running > 0) {
							granter.release();
							running--;
						}

						break;
					}

					case 'slots': {
						slots = step.count;
						granter.setSlots(slots);
						break;
					}

					case 'draining': {
						granter.setDraining(step.draining);
						break;
					}
				}
			}

			return countUsable(granter) + running <= Math.max(slots, running);
		}), {seed: 5, numRuns: 2000});
		t.pass();
	});
});

function createGranter(slots: number) {
	return createCreditGranter({clock: createFakeClock(), onGrantChanged: () => undefined}, slots);
}

function countUsable(granter: ReturnType<typeof createGranter>): number {
	let count = 0;
	for (const entry of entries) {
		while (granter.tryAcquire(entry)) {
			count++;
		}
	}

	return count;
}
