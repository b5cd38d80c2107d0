import {createAgentSessions, type AgentSession, type SentStartOutcome} from '../../src/connection/agent-sessions.js';
import {AgentHello, AgentState, TaskStart} from '../../src/generated/kingcuplane.js';
import {platformTiming} from '../../src/platform/timing.js';
import type {Milliseconds} from '../../src/process/clock.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {describe, it} from '../describe.js';

const entryTime = 50_000;
const agentTime = 7000;

function openSession(startValidityMs: number | undefined): {readonly clock: FakeClock; readonly session: AgentSession} {
	const clock = createFakeClock(entryTime);
	const sessions = createAgentSessions({
		clock,
		graceMs: 1000,
		startValidityMs,
		onAgentConnected: () => undefined,
		onAgentDisconnected: () => undefined,
		onAgentState: () => undefined,
		onCreditsGranted: () => undefined,
		onStartEnded: () => undefined,
		onLateResult: () => undefined,
	});
	return {clock, session: sessions.tryOpen(AgentHello.fromPartial({agent: 'a', incarnation: 'a-1'}), 0)!};
}

function prepareStart(session: AgentSession): TaskStart {
	return session.prepareStart(TaskStart.fromPartial({task: {ticket: 'j', index: 0}, attempt: 1}));
}

describe('sessions of an entry with its agents', () => {
	it('limit the validity of a start on the clock of its agent, counted from the last report', t => {
		const {clock, session} = openSession(600);
		session.receiveState(AgentState.fromPartial({clockMs: agentTime}));
		clock.advance(250);
		t.is(prepareStart(session).validUntilMs, agentTime + 250 + 600);
	});

	it('set no limit if the agent reports no clock or none is wanted', t => {
		const withoutClock = openSession(600).session;
		withoutClock.receiveState(AgentState.fromPartial({}));
		t.is(prepareStart(withoutClock).validUntilMs, 0);
		const {session} = openSession(undefined);
		session.receiveState(AgentState.fromPartial({clockMs: agentTime}));
		t.is(prepareStart(session).validUntilMs, 0);
	});

	it('know whether outcomes are pending', t => {
		const {session} = openSession(600);
		t.false(session.hasOutstandingStarts());
		prepareStart(session);
		t.true(session.hasOutstandingStarts());
	});

	// Guards against a second run of a task beside one that its agent has begun: a hello of an earlier link was held up on the way, and the starts
	// that were sent since were taken for lost (canopy-qld, leave-beside-lost-packets).
	describe('take no notice of a link that its agent has given up', () => {
		type Fixture = {
			readonly ends: SentStartOutcome[];
			readonly changes: string[];
			readonly clock: FakeClock;
			open(hello: Partial<AgentHello>, age?: Milliseconds): AgentSession | undefined;
		};

		function createFixture(): Fixture {
			const clock = createFakeClock(entryTime);
			const ends: SentStartOutcome[] = [];
			const changes: string[] = [];
			const sessions = createAgentSessions({
				clock,
				graceMs: 1000,
				endsEarlierIncarnations: true,
				onAgentConnected({incarnation}) {
					changes.push(`${incarnation} connected`);
				},
				onAgentDisconnected({incarnation}) {
					changes.push(`${incarnation} disconnected`);
				},
				onAgentState: () => undefined,
				onCreditsGranted: () => undefined,
				onStartEnded(_start, outcome) {
					ends.push(outcome);
				},
				onLateResult: () => undefined,
			});
			return {
				clock, ends, changes, open: (hello, age = 1) => sessions.tryOpen(AgentHello.fromPartial({agent: 'a', incarnation: 'a-1', ...hello}), age),
			};
		}

		it('whose hello arrives after a later one', t => {
			const {open, ends, changes} = createFixture();
			const session = open({helloNumber: 2})!;
			prepareStart(session);
			t.is(open({helloNumber: 1}), undefined);
			t.is(open({helloNumber: 2}), undefined);
			t.deepEqual(ends, []);
			t.deepEqual(changes, ['a-1 connected']);
			t.true(session.hasOutstandingStarts());
		});

		it('also after the session has been abandoned', t => {
			const {open, clock, changes} = createFixture();
			open({helloNumber: 2})!.close();
			clock.advance(1001);
			t.is(open({helloNumber: 1}), undefined);
			t.deepEqual(changes, ['a-1 connected', 'a-1 disconnected']);
		});

		it('while a later incarnation of the agent is known', t => {
			const {open, ends, clock} = createFixture();
			const session = open({incarnation: 'a-2', helloNumber: 1})!;
			prepareStart(session);
			t.is(open({incarnation: 'a-1', helloNumber: 7}, 1001), undefined);
			t.deepEqual(ends, []);
			session.close();
			t.is(open({incarnation: 'a-1', helloNumber: 7}, 1001), undefined);
			clock.advance(1001);
			t.not(open({incarnation: 'a-1', helloNumber: 7}, 1001), undefined);
		});

		it('but of each later one, also of an agent that does not count its hellos', t => {
			const {open, ends} = createFixture();
			prepareStart(open({helloNumber: 1})!);
			prepareStart(open({helloNumber: 2, lastStartSeq: 1}, 5000)!);
			t.deepEqual(ends, []);
			prepareStart(open({helloNumber: 3, lastStartSeq: 1})!);
			t.deepEqual(ends, [{kind: 'not-received'}]);
			t.not(open({incarnation: 'a-2'}), undefined);
			t.not(open({incarnation: 'a-2'}), undefined);
		});
	});

	describe('timing on the platform', () => {
		const {
			silence, orphanGraceMs, closedGraceMs, silentGraceMs, startValidityMs, harmlessPauseMs,
		} = platformTiming;
		/** A stop call that is not answered is repeated after 250 ms; the executor takes 50 ms for it. */
		const stopMs = 300;

		it('lets an agent end the runs of a silent entry before a client sends its job again', t => {
			t.true(silence!.activeMs + orphanGraceMs! + stopMs < 1300);
		});

		it('starts tasks elsewhere only after a start that was held up has expired, also if its agent stood still, and the run it began was stopped', t => {
			t.true(startValidityMs! + harmlessPauseMs! + orphanGraceMs! + stopMs <= closedGraceMs!);
		});

		it('starts tasks elsewhere only after an agent that heard nothing has stopped its runs', t => {
			t.true(silence!.activeMs + orphanGraceMs! + stopMs <= silentGraceMs!);
		});
	});
});
