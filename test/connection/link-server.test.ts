import {createAgentSessions} from '../../src/connection/agent-sessions.js';
import {createLinkHub, type LinkStream} from '../../src/connection/link-server.js';
import {relaxedTiming} from '../../src/connection/link-timing.js';
import {
	AgentBatch, AgentHello, AgentState, TaskStart, type EntryBatch,
} from '../../src/generated/kingcuplane.js';
import {createFakeClock} from '../../src/process/fake-clock.js';
import {describe, it} from '../describe.js';

type Fixture = {
	readonly batches: readonly EntryBatch[];
	/** Sends the start of a task. */
	start(ticket: string): void;
};

/** Creates a hub with a link to an agent. */
function createFixture(tryGetSenderSilence: (ticket: string) => number | undefined): Fixture {
	const clock = createFakeClock();
	const batches: EntryBatch[] = [];
	const sessions = createAgentSessions({
		clock,
		graceMs: 1000,
		onAgentConnected: () => undefined,
		onAgentDisconnected: () => undefined,
		onAgentState: () => undefined,
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
		tryGetSenderSilence,
		defer(action) {
			action();
		},
	});
	let receive: (batch: AgentBatch) => void = () => undefined;
	hub.accept({
		on(event: string, listener: (batch: AgentBatch) => void) {
			if (event === 'data') {
				receive = listener;
			}
		},
		write(batch) {
			batches.push(batch);
		},
		end: () => undefined,
	});
	receive(AgentBatch.fromPartial({hello: AgentHello.fromPartial({agent: 'a', incarnation: 'a-1'}), state: AgentState.fromPartial({})}));
	return {
		batches,
		start(ticket) {
			hub.sendStart('a-1', sessions.tryGet('a-1')!.prepareStart(TaskStart.fromPartial({task: {ticket, index: 0}})));
		},
	};
}

describe('links of an entry', () => {
	// Issue 49: agents were told of a silence between 0.25 and 0.7 s only, and took any other for none.
	it('tell with each batch for how long the senders of all forwarded jobs were silent, also with their starts', t => {
		const silences: Readonly<Record<string, number | undefined>> = {
			own: undefined, first: 12.2, second: 900, third: 0,
		};
		const {batches, start} = createFixture(ticket => silences[ticket]);
		for (const ticket of Object.keys(silences)) {
			start(ticket);
		}

		const second = {startSeq: 3, silentMs: 900};
		t.deepEqual(batches.at(-1)?.senderSilences, [{startSeq: 2, silentMs: 13}, second, {startSeq: 4, silentMs: 0}]);
		t.deepEqual(batches.find(({starts}) => starts.some(({seq}) => seq === 3))?.senderSilences.at(-1), second);
	});

	it('lose only the link whose batch causes an unexpected error', t => {
		const clock = createFakeClock();
		const errors: unknown[] = [];
		const sessions = createAgentSessions({
			clock,
			graceMs: 1000,
			onAgentConnected: () => undefined,
			onAgentDisconnected: () => undefined,
			onAgentState(agent) {
				if (agent.name === 'faulty') {
					throw new Error('a report that nobody expected');
				}
			},
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
			onUnexpectedError(err) {
				errors.push(err);
			},
			defer(action) {
				action();
			},
		});
		const isDestroyed = new Map<string, boolean>();
		const connect = (agent: string) => {
			let receive: (batch: AgentBatch) => void = () => undefined;
			const stream: LinkStream = {
				on(event: string, listener: (batch: AgentBatch) => void) {
					if (event === 'data') {
						receive = listener;
					}
				},
				write: () => undefined,
				end: () => undefined,
				destroy() {
					isDestroyed.set(agent, true);
				},
			};
			hub.accept(stream);
			receive(AgentBatch.fromPartial({hello: AgentHello.fromPartial({agent, incarnation: `${agent}-1`}), state: AgentState.fromPartial({})}));
		};

		connect('sound');
		t.notThrows(() => {
			connect('faulty');
		});
		t.is(errors.length, 1);
		t.is(hub.getLinkCount(), 1);
		t.deepEqual([...isDestroyed.keys()], ['faulty']);
	});
});
