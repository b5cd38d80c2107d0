import {createAgentLink, type AgentLink} from '../../src/connection/link-client.js';
import {AgentState, EntryBatch, type AgentBatch} from '../../src/generated/kingcuplane.js';
import {platformTiming} from '../../src/platform/timing.js';
import type {Milliseconds} from '../../src/process/clock.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {describe, it} from '../describe.js';
import {createIdleSessions} from './idle-sessions.js';

type Fixture = {
	readonly clock: FakeClock;
	readonly link: AgentLink;
	/** Times at which a stream was opened. */
	readonly openedAt: Milliseconds[];
	/** What the agent has sent. */
	readonly written: readonly AgentBatch[];
	/** Delivers a batch of the entry on the newest stream. */
	receive(batch: EntryBatch): void;
};

/** Creates a link to an entry that welcomes a stream `getWelcomeDelay` after it was opened, if that is still open. */
function createFixture(getWelcomeDelay: (now: Milliseconds) => Milliseconds): Fixture {
	const clock = createFakeClock();
	const openedAt: Milliseconds[] = [];
	const written: AgentBatch[] = [];
	let receive: (batch: EntryBatch) => void = () => undefined;
	const sessions = createIdleSessions(clock);
	const link = createAgentLink({
		clock,
		sessions,
		timing: platformTiming,
		getState: () => AgentState.fromPartial({}),
		receiveConfig: () => undefined,
		receiveEntries: () => undefined,
		replaceEarlierLink: () => undefined,
		random: () => 0.5,
		defer(action) {
			action();
		},
		connect: () => ({
			open() {
				let isCancelled = false;
				openedAt.push(clock.now());
				return {
					on(event: string, listener: (batch: EntryBatch) => void) {
						if (event === 'data') {
							receive = listener;
							clock.after(getWelcomeDelay(clock.now()), () => {
								if (!isCancelled) {
									listener(EntryBatch.fromPartial({welcome: {incarnation: 'e-1'}}));
								}
							});
						}
					},
					write(batch: AgentBatch) {
						written.push(batch);
					},
					cancel() {
						isCancelled = true;
					},
				};
			},
			close: () => undefined,
		}),
	}, 'e');
	return {
		clock,
		link,
		openedAt,
		written,
		receive(batch) {
			receive(batch);
		},
	};
}

describe('the link of an agent to an entry', () => {
	it('answers with the state of the agent when the entry wants a report', t => {
		const {clock, link, written, receive} = createFixture(() => 5);
		clock.advance(10);
		t.true(link.isOpen());
		const before = written.length;
		receive(EntryBatch.fromPartial({reportWanted: true}));
		t.is(written.length, before + 1);
		t.not(written.at(-1)?.state, undefined);
	});

	// Issue 68: agents gave up each attempt after 0.7 s, so a busy entry worked for attempts that had ended and got no link.
	it('opens although the entry is so busy that it answers after 2 s', t => {
		const {clock, link} = createFixture(() => 2000);
		clock.advance(8000);
		t.true(link.isOpen());
	});

	it('costs an entry that does not answer an attempt in two seconds', t => {
		const {clock, openedAt} = createFixture(() => Infinity);
		clock.advance(30_000);
		t.true(openedAt.length <= 15, `${openedAt.length} attempts`);
	});

	it('opens within 3 s after a time in which nothing was answered', t => {
		const {clock, link} = createFixture(now => now < 10_000 ? Infinity : 5);
		clock.advance(13_000);
		t.true(link.isOpen());
	});

	it('tries again quickly once it was open', t => {
		let welcomeDelay: Milliseconds = Infinity;
		const {clock, link, openedAt} = createFixture(() => welcomeDelay);
		clock.advance(10_000);
		welcomeDelay = 5;
		clock.advance(3000);
		t.true(link.isOpen());
		welcomeDelay = Infinity;
		link.reset();
		const before = openedAt.length;
		clock.advance(1000);
		t.true(openedAt.length - before >= 2);
	});
});
