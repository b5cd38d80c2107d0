import {createAgentSessions, type AgentSessionsHost} from '../../src/connection/agent-sessions.js';
import {
	createLinkHub, type LinkHub, type LinkServerHost, type LinkStream,
} from '../../src/connection/link-server.js';
import {relaxedTiming} from '../../src/connection/link-timing.js';
import {
	AgentBatch, AgentHello, AgentState, TaskStart, type EntryBatch,
} from '../../src/generated/kingcuplane.js';
import {platformTiming} from '../../src/platform/timing.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {describe, it} from '../describe.js';

type Fixture = {
	readonly clock: FakeClock;
	readonly hub: LinkHub;
	readonly batches: readonly EntryBatch[];
	/** How the stream of each agent was closed; no entry if it was not. An agent hears of one that was ended. */
	readonly closed: ReadonlyMap<string, 'ended' | 'destroyed'>;
	/** Opens the link of an agent. */
	connect(agent: string, helloNumber?: number, dataCentre?: string): void;
	/** Sends a state report of an agent. */
	report(agent: string): void;
	/** Sends the start of a task to an agent. */
	start(agent: string, ticket: string): void;
};

type FixtureOptions = Partial<Pick<AgentSessionsHost, 'onAgentState'> & Pick<LinkServerHost, 'scheduler' | 'timing' | 'tryGetSenderSilence' | 'onOutdatedHello' | 'onUnexpectedError'>>;

/** Creates a hub without links. */
function createFixture({onAgentState = () => undefined, ...linkOptions}: FixtureOptions): Fixture {
	const clock = createFakeClock();
	const batches: EntryBatch[] = [];
	const closed = new Map<string, 'ended' | 'destroyed'>();
	const receivers = new Map<string, (batch: AgentBatch) => void>();
	const sessions = createAgentSessions({
		clock,
		graceMs: 1000,
		onAgentConnected: () => undefined,
		onAgentDisconnected: () => undefined,
		onAgentState,
		onCreditsGranted: () => undefined,
		onStartEnded: () => undefined,
		onLateResult: () => undefined,
	});
	const hub = createLinkHub({
		entry: 'e',
		incarnation: 'e-1',
		sessions,
		scheduler: {getDemand: () => 0, tryGetHead: () => undefined, getReturnedCredits: () => 0},
		clock,
		timing: relaxedTiming,
		tryGetConfig: () => undefined,
		getEntries: () => [],
		getFencedIncarnations: () => [],
		isDraining: () => false,
		onConfigVersion: () => undefined,
		onHeldReply: () => undefined,
		defer(action) {
			action();
		},
		...linkOptions,
	});
	return {
		clock,
		hub,
		batches,
		closed,
		connect(agent, helloNumber = 0, dataCentre = 'd') {
			let receive: (batch: AgentBatch) => void = () => undefined;
			const stream: LinkStream = {
				on(event: string, listener: (batch: AgentBatch) => void) {
					if (event === 'data') {
						receive = listener;
					}
				},
				write(batch) {
					batches.push(batch);
				},
				end() {
					closed.set(agent, 'ended');
				},
				destroy() {
					closed.set(agent, 'destroyed');
				},
			};
			hub.accept(stream);
			receivers.set(agent, receive);
			receive(AgentBatch.fromPartial({
				hello: AgentHello.fromPartial({
					agent, incarnation: `${agent}-1`, helloNumber, dataCentre,
				}),
				state: AgentState.fromPartial({}),
			}));
		},
		report(agent) {
			receivers.get(agent)!(AgentBatch.fromPartial({state: AgentState.fromPartial({})}));
		},
		start(agent, ticket) {
			hub.sendStart(`${agent}-1`, sessions.tryGet(`${agent}-1`)!.prepareStart(TaskStart.fromPartial({task: {ticket, index: 0}})));
		},
	};
}

describe('links of an entry', () => {
	// Issue 49: agents were told of a silence between 0.25 and 0.7 s only, and took any other for none.
	it('tell with each batch for how long the senders of all forwarded jobs were silent, also with their starts', t => {
		const silences: Readonly<Record<string, number | undefined>> = {
			own: undefined, first: 12.2, second: 900, third: 0,
		};
		const {batches, connect, start} = createFixture({tryGetSenderSilence: ticket => silences[ticket]});
		connect('a');
		for (const ticket of Object.keys(silences)) {
			start('a', ticket);
		}

		const second = {startSeq: 3, silentMs: 900};
		t.deepEqual(batches.at(-1)?.senderSilences, [{startSeq: 2, silentMs: 13}, second, {startSeq: 4, silentMs: 0}]);
		t.deepEqual(batches.find(({starts}) => starts.some(({seq}) => seq === 3))?.senderSilences.at(-1), second);
	});

	// Issue 68: after a cut, each agent of a data centre was found silent only by a start that was lost on its way there.
	it('are doubted when one in the same data centre has become silent, until their agents are heard again', t => {
		const awaited: string[] = [];
		const {clock, batches, closed, connect, report, start} = createFixture({
			timing: platformTiming,
			scheduler: {
				getDemand: () => 0, tryGetHead: () => undefined, getReturnedCredits: () => 0, awaitReport: incarnation => awaited.push(incarnation),
			},
		});
		for (const [agent, dataCentre] of [['lost', 'd'], ['also-lost', 'd'], ['slow', 'd'], ['heard', 'd'], ['elsewhere', 'e']] as const) {
			connect(agent, 0, dataCentre);
		}

		start('lost', 'j');
		clock.advance(600);
		report('heard');
		clock.advance(110);
		t.deepEqual([...closed], [['lost', 'destroyed']]);
		t.deepEqual(awaited, ['also-lost-1', 'slow-1']);
		t.is(batches.filter(({reportWanted}) => reportWanted).length, 2);
		report('slow');
		clock.advance(750);
		t.deepEqual([...closed.keys()], ['lost', 'also-lost']);
	});

	it('are closed if their agent has given them up, and leave the later one as it is', t => {
		const outdated: Array<AgentHello['helloNumber']> = [];
		const {hub, batches, closed, connect, start} = createFixture({
			onOutdatedHello({helloNumber}) {
				outdated.push(helloNumber);
			},
		});
		connect('a', 2);
		connect('a', 1);
		t.deepEqual([...closed], [['a', 'ended']]);
		t.deepEqual(outdated, [1]);
		t.is(hub.getLinkCount(), 1);
		start('a', 'j');
		t.is(batches.at(-1)?.starts.length, 1);
	});

	it('lose only the link whose batch causes an unexpected error', t => {
		const errors: unknown[] = [];
		const {hub, closed, connect} = createFixture({
			onAgentState(agent) {
				if (agent.name === 'faulty') {
					throw new Error('a report that nobody expected');
				}
			},
			onUnexpectedError(err) {
				errors.push(err);
			},
		});
		connect('sound');
		t.notThrows(() => {
			connect('faulty');
		});
		t.is(errors.length, 1);
		t.is(hub.getLinkCount(), 1);
		t.deepEqual([...closed], [['faulty', 'destroyed']]);
	});
});
