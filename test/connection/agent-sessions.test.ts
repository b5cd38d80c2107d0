import {createAgentSessions, type AgentSession, type SentStartOutcome} from '../../src/connection/agent-sessions.js';
import type {OutdatedHello, SentWelcome} from '../../src/connection/hello-order.js';
import {AgentHello, AgentState, TaskStart} from '../../src/generated/kingcuplane.js';
import {platformTiming} from '../../src/platform/timing.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {describe, it} from '../describe.js';
import {openSession} from '../open-session.js';

const entryTime = 50_000;
const agentTime = 7000;

function createSession(startValidityMs: number | undefined): {readonly clock: FakeClock; readonly session: AgentSession} {
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
	return {clock, session: openSession(sessions, AgentHello.fromPartial({agent: 'a', incarnation: 'a-1'}))};
}

function prepareStart(session: AgentSession): TaskStart {
	return session.prepareStart(TaskStart.fromPartial({task: {ticket: 'j', index: 0}, attempt: 1}));
}

describe('sessions of an entry with its agents', () => {
	it('limit the validity of a start on the clock of its agent, counted from the last report', t => {
		const {clock, session} = createSession(600);
		session.receiveState(AgentState.fromPartial({clockMs: agentTime}));
		clock.advance(250);
		t.is(prepareStart(session).validUntilMs, agentTime + 250 + 600);
	});

	it('set no limit if the agent reports no clock or none is wanted', t => {
		const withoutClock = createSession(600).session;
		withoutClock.receiveState(AgentState.fromPartial({}));
		t.is(prepareStart(withoutClock).validUntilMs, 0);
		const {session} = createSession(undefined);
		session.receiveState(AgentState.fromPartial({clockMs: agentTime}));
		t.is(prepareStart(session).validUntilMs, 0);
	});

	it('know whether outcomes are pending', t => {
		const {session} = createSession(600);
		t.false(session.hasOutstandingStarts());
		prepareStart(session);
		t.true(session.hasOutstandingStarts());
	});

	// Guards against a second run of a task beside one that its agent has begun: a hello of an earlier link was held up on the way, and the starts
	// that were sent since were taken for lost (canopy-qld, leave-beside-lost-packets), or ended with their incarnation (review/11).
	describe('take no notice of a link that its agent has given up', () => {
		type Fixture = {
			readonly ends: SentStartOutcome[];
			readonly changes: string[];
			readonly clock: FakeClock;
			/** Sends a welcome on a new link. */
			welcome(): SentWelcome;
			/** Opens the session of an agent that answers this welcome, or one that is sent now if undefined. */
			open(hello: Partial<AgentHello>, welcome?: SentWelcome): AgentSession | undefined;
			/** Returns why a hello is outdated; undefined if it is not. */
			tryGetReason(hello: Partial<AgentHello>, welcome: SentWelcome): OutdatedHello | undefined;
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
			const receive = (hello: Partial<AgentHello>, welcome = sessions.recordWelcome()) => sessions.open(AgentHello.fromPartial({agent: 'a', incarnation: 'a-1', ...hello}), welcome);
			return {
				clock,
				ends,
				changes,
				welcome: sessions.recordWelcome,
				open: (hello, welcome) => receive(hello, welcome).unwrapOr(undefined),
				tryGetReason(hello, welcome) {
					const opened = receive(hello, welcome);
					return opened.isErr() ? opened.error : undefined;
				},
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

		// However short the time since the welcome is: the age of a hello tells nothing about the one of another incarnation.
		it('while a later incarnation of the agent is known, and after that', t => {
			const {open, welcome, ends, changes, clock} = createFixture();
			const late = welcome();
			const session = open({incarnation: 'a-2', helloNumber: 1})!;
			prepareStart(session);
			t.is(open({incarnation: 'a-1', helloNumber: 7}, late), undefined);
			clock.advance(1001);
			t.is(open({incarnation: 'a-1', helloNumber: 7}, late), undefined);
			t.deepEqual(ends, []);
			t.true(session.hasOutstandingStarts());
			session.close();
			t.is(open({incarnation: 'a-1', helloNumber: 7}, late), undefined);
			clock.advance(1001);
			t.is(open({incarnation: 'a-1', helloNumber: 7}, late), undefined);
			t.deepEqual(changes, ['a-2 connected', 'a-2 disconnected']);
			t.not(open({incarnation: 'a-1', helloNumber: 7}), undefined);
		});

		it('also if a further incarnation lies between the two', t => {
			const {open, welcome, ends} = createFixture();
			const late = welcome();
			const [second, third] = [welcome(), welcome()];
			open({incarnation: 'a-2', helloNumber: 1}, second);
			t.is(open({incarnation: 'a-3', helloNumber: 1}, third), undefined);
			prepareStart(open({incarnation: 'a-3', helloNumber: 2})!);
			t.is(open({incarnation: 'a-1', helloNumber: 1}, late), undefined);
			t.is(open({incarnation: 'a-2', helloNumber: 2}, late), undefined);
			t.deepEqual(ends, []);
		});

		it('and tell why', t => {
			const {open, welcome, tryGetReason, clock} = createFixture();
			const late = welcome();
			open({incarnation: 'a-2', helloNumber: 3});
			clock.advance(600);
			const newest = {incarnation: 'a-2', helloNumber: 3};
			t.deepEqual(tryGetReason({incarnation: 'a-1', helloNumber: 7}, late), {kind: 'other-incarnation', age: 600, newest});
			t.deepEqual(tryGetReason({incarnation: 'a-2', helloNumber: 2}, late), {kind: 'later-hello', age: 600, newest});
		});

		it('but of each later one, however late it arrives', t => {
			const {open, welcome, ends, clock} = createFixture();
			const [second, third] = [welcome(), welcome()];
			prepareStart(open({helloNumber: 1})!);
			clock.advance(5000);
			prepareStart(open({helloNumber: 2, lastStartSeq: 1}, second)!);
			t.deepEqual(ends, []);
			prepareStart(open({helloNumber: 3, lastStartSeq: 1}, third)!);
			t.deepEqual(ends, [{kind: 'not-received'}]);
			const late = welcome();
			clock.advance(5000);
			t.not(open({incarnation: 'a-2'}, late), undefined);
			t.deepEqual(ends, [{kind: 'not-received'}, {kind: 'agent-gone'}, {kind: 'agent-gone'}]);
		});

		it('of an agent that does not number its hellos, by the welcomes alone', t => {
			const {open, welcome, ends} = createFixture();
			const late = welcome();
			prepareStart(open({})!);
			t.is(open({}, late), undefined);
			t.deepEqual(ends, []);
			t.not(open({lastStartSeq: 1}), undefined);
		});

		it('but of another agent', t => {
			const {open, welcome} = createFixture();
			const late = welcome();
			open({incarnation: 'a-2', helloNumber: 1});
			t.not(open({agent: 'b', incarnation: 'b-1', helloNumber: 1}, late), undefined);
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
