import fc from 'fast-check';
import {createAnnouncedState, type AnnouncedState, type ReceivedAnnouncement} from '../../src/process/announced-state.js';
import type {Milliseconds} from '../../src/process/clock.js';
import type {ExecutorInfo} from '../../src/process/executor-types.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {describe, it} from '../describe.js';
import {oddInputRuns} from '../odd-input.js';

/** Interval between the heartbeats of an executor. */
const heartbeatMs: Milliseconds = 1500;
/** A number that is far beyond those of the executor. */
const foreignSequence = 1_000_000;
const ownInfo: ExecutorInfo = {
	id: 'i', bornAt: 1, address: '127.0.0.1:1', service: 's', room: {cpu: 8000, memory: 1000, accelerators: 0}, labels: ['a', 'r1'],
};
const emptyRoom = {cpu: 0, memory: 0, accelerators: 0};

function announce(sequence: number, isLeaving = false, changes: Partial<ExecutorInfo> = {}): ReceivedAnnouncement {
	return {executorInfo: {...ownInfo, ...changes}, isLeaving, sequence};
}

function createFixture(): {readonly clock: FakeClock; readonly state: AnnouncedState} {
	const clock = createFakeClock();
	return {clock, state: createAnnouncedState(clock, announce(1), 1)};
}

/** Announces the same state with each heartbeat; returns the outcomes. */
function goOn(clock: FakeClock, state: AnnouncedState, count: number, first: ReceivedAnnouncement): readonly string[] {
	return Array.from({length: count}, (_, i) => {
		clock.advance(heartbeatMs);
		return state.receive({...first, sequence: first.sequence + i});
	});
}

describe('the state that an executor has announced', () => {
	it('follows its announcements', t => {
		const {state} = createFixture();
		const room = {...emptyRoom, cpu: 4000};
		t.is(state.receive(announce(2, false, {room})), 'in-force');
		t.deepEqual(state.get(), {executorInfo: {...ownInfo, room}, isLeaving: false});
		t.is(state.receive(announce(3, true, {room})), 'in-force');
		t.true(state.get().isLeaving);
	});

	it('does not follow announcements that arrive late', t => {
		const {state} = createFixture();
		state.receive(announce(4, false, {room: emptyRoom}));
		t.is(state.receive(announce(3)), 'outdated');
		t.deepEqual(state.get().executorInfo.room, emptyRoom);
		t.is(state.receive(announce(2, false, {room: emptyRoom})), 'in-force');
	});

	// Guards against tasks that are started on an executor after its draining was acknowledged.
	it('is leaving from any announcement that says so, also one that seems outdated', t => {
		const {state} = createFixture();
		state.receive(announce(foreignSequence));
		t.is(state.receive(announce(2, true)), 'in-force');
		t.true(state.get().isLeaving);
	});

	it('is leaving until the executor has announced steadily that it is ready', t => {
		const {clock, state} = createFixture();
		state.receive(announce(2, true));
		t.deepEqual(goOn(clock, state, 3, announce(3)), ['unconfirmed', 'unconfirmed', 'in-force']);
		t.false(state.get().isLeaving);
	});

	it('stays leaving beside single announcements of another writer that it is ready', t => {
		const {clock, state} = createFixture();
		for (let i = 0; i < 10; i++) {
			state.receive(announce(2 + i, true));
			clock.advance(heartbeatMs / 2);
			t.is(state.receive(announce(foreignSequence + i)), 'unconfirmed');
			t.true(state.get().isLeaving);
			clock.advance(heartbeatMs / 2);
		}
	});

	it('is ready again with the next announcement after a deregistration, unless it had announced that it leaves', t => {
		const {clock, state} = createFixture();
		state.recordDeparture();
		t.true(state.get().isLeaving);
		t.is(state.receive(announce(2)), 'in-force');
		state.receive(announce(3, true));
		state.recordDeparture();
		t.deepEqual(goOn(clock, state, 2, announce(4)), ['unconfirmed', 'unconfirmed']);
	});

	// Guards against an executor that is out of use for good after an announcement of another writer with its identity.
	for (const [name, foreign] of Object.entries({
		'that it leaves': announce(foreignSequence, true),
		'of an empty room': announce(foreignSequence, false, {room: emptyRoom}),
		'of another service': announce(foreignSequence, false, {service: 'x'}),
		'of other labels and that it leaves': announce(foreignSequence, true, {labels: []}),
	})) {
		it(`is the executor's again after an announcement of another writer ${name}`, t => {
			const {clock, state} = createFixture();
			state.receive(foreign);
			t.is(goOn(clock, state, 3, announce(2)).at(-1), 'in-force');
			t.deepEqual(state.get(), {executorInfo: ownInfo, isLeaving: false});
		});
	}

	it('has the description with which its writer goes on, if the first one was another', t => {
		const clock = createFakeClock();
		const state = createAnnouncedState(clock, announce(foreignSequence, false, {service: 'x', labels: []}), foreignSequence);
		t.deepEqual(goOn(clock, state, 3, announce(1)), ['unconfirmed', 'unconfirmed', 'in-force']);
		t.deepEqual(state.get().executorInfo, ownInfo);
	});

	it('keeps its description beside another one that is announced once in between', t => {
		const {clock, state} = createFixture();
		for (let i = 0; i < 10; i++) {
			t.is(state.receive(announce(foreignSequence + i, false, {service: 'x'})), 'unconfirmed');
			clock.advance(heartbeatMs);
			t.is(state.receive(announce(2 + i)), 'in-force');
		}
	});

	// Guards against any order of own and foreign announcements that leaves a state behind that is not the executor's.
	it('is leaving at once when the executor says so, and the executor\'s own three heartbeats after the last foreign announcement', t => {
		const foreign = fc.record({
			kind: fc.constant('foreign' as const),
			sequence: fc.oneof(fc.nat(40), fc.integer({min: foreignSequence, max: Number.MAX_SAFE_INTEGER})),
			isLeaving: fc.boolean(),
			service: fc.constantFrom('s', 'x'),
			cpu: fc.constantFrom(0, 8000, 9000),
			labels: fc.constantFrom(ownInfo.labels, []),
		});
		const own = fc.record({kind: fc.constant('own' as const), isLate: fc.boolean()});
		fc.assert(fc.property(fc.array(fc.oneof(foreign, own), {maxLength: 30}), fc.option(fc.nat(30)), (events, leavesAt) => {
			const {clock, state} = createFixture();
			let sequence = 1;
			let isLeaving = false;
			for (const [i, event] of events.entries()) {
				isLeaving ||= leavesAt !== null && i >= leavesAt;
				switch (event.kind) {
					case 'foreign': {
						state.receive(announce(event.sequence, event.isLeaving, {service: event.service, labels: event.labels, room: {...ownInfo.room, cpu: event.cpu}}));
						break;
					}

					case 'own': {
						clock.advance(event.isLate ? 0 : heartbeatMs);
						sequence++;
						const outcome = state.receive(announce(sequence, isLeaving));
						// What is acknowledged is in force, and that it leaves always is.
						t.true(outcome === 'in-force' ? state.get().isLeaving === isLeaving : !isLeaving);
						break;
					}
				}
			}

			t.is(goOn(clock, state, 4, announce(sequence + 1, isLeaving)).at(-1), 'in-force');
			t.is(state.get().isLeaving, isLeaving);
			// Nothing is placed by the description and the room of an executor that leaves.
			t.deepEqual(isLeaving ? ownInfo : state.get().executorInfo, ownInfo);
		}), oddInputRuns);
	});
});
