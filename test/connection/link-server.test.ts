import {createAgentSessions} from '../../src/connection/agent-sessions.js';
import {createLinkHub, type LinkStream} from '../../src/connection/link-server.js';
import {relaxedTiming} from '../../src/connection/link-timing.js';
import {AgentBatch, AgentHello, AgentState} from '../../src/generated/kingcuplane.js';
import {createFakeClock} from '../../src/process/fake-clock.js';
import {describe, it} from '../describe.js';

describe('links of an entry', () => {
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
