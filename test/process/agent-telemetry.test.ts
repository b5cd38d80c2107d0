import {createAgentSessions, type AgentSession} from '../../src/connection/agent-sessions.js';
import {AgentHello, TaskStart} from '../../src/generated/kingcuplane.js';
import {createAgentTelemetry} from '../../src/process/agent-telemetry.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {noMetrics} from '../../src/process/metrics.js';
import {describe, it} from '../describe.js';

type Fixture = {
	readonly clock: FakeClock;
	readonly lines: ReadonlyArray<Readonly<Record<string, unknown>>>;
	/** Opens the session of an agent that answers a welcome of some time ago. */
	open(hello: Partial<AgentHello>, age: number): AgentSession;
	start(session: AgentSession, ticket: string, tasks?: number): void;
};

/** Creates sessions whose ends are logged. */
function createFixture(): Fixture {
	const clock = createFakeClock();
	const lines: Array<Readonly<Record<string, unknown>>> = [];
	const write = (fields: Readonly<Record<string, unknown>>, msg: string) => {
		lines.push({...fields, msg});
	};

	const telemetry = createAgentTelemetry({
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- one of the signatures of a log is used
		log: {info: write, warn: write} as unknown as Parameters<typeof createAgentTelemetry>[0]['log'],
		metrics: noMetrics,
	});
	const sessions = createAgentSessions({
		clock,
		graceMs: 1500,
		silentGraceMs: 1250,
		endsEarlierIncarnations: true,
		onAgentConnected: () => undefined,
		onAgentDisconnected: () => undefined,
		onAgentState: () => undefined,
		onCreditsGranted: () => undefined,
		onStartEnded: () => undefined,
		onSessionEnded: telemetry.recordSessionEnd,
		onLateResult: () => undefined,
	});
	return {
		clock,
		lines,
		open(hello, age) {
			const welcome = sessions.recordWelcome();
			clock.advance(age);
			return sessions.open(AgentHello.fromPartial({agent: 'a', upstream: 'i', ...hello}), welcome)._unsafeUnwrap();
		},
		start(session, ticket, tasks = 1) {
			for (let index = 0; index < tasks; index++) {
				session.prepareStart(TaskStart.fromPartial({task: {ticket, index}, attempt: 1}));
			}
		},
	};
}

describe('telemetry of agents', () => {
	// Guards against a log that doesn't tell which hello has made an entry give up which starts (review/11).
	it('names the hello of the incarnation for which starts are abandoned', t => {
		const {lines, open, start} = createFixture();
		start(open({incarnation: 'a-1', helloNumber: 4, upstreamIncarnation: 'i@1'}, 1), 'j', 2);
		open({incarnation: 'a-2', helloNumber: 1, upstreamIncarnation: 'i@2'}, 600);
		t.deepEqual(lines.at(-1), {
			agent: 'a',
			incarnation: 'a-1',
			upstream: 'i',
			upstreamIncarnation: 'i@1',
			cause: 'superseded',
			by: {incarnation: 'a-2', helloNumber: 1, age: 600},
			starts: 2,
			tasks: [['j', 0, 1], ['j', 1, 1]],
			msg: 'agent is gone; its starts are abandoned',
		});
	});

	it('tells how long an entry has waited for an agent whose link was lost, and names some of many starts', t => {
		const {lines, open, start, clock} = createFixture();
		const session = open({incarnation: 'a-1', helloNumber: 1}, 1);
		start(session, 'j', 30);
		session.close(true);
		clock.advance(1250);
		const {cause, isSilent, grace, starts, tasks} = lines.at(-1)!;
		t.deepEqual({
			cause, isSilent, grace, starts,
		}, {
			cause: 'link-lost', isSilent: true, grace: 1250, starts: 30,
		});
		t.deepEqual(tasks, Array.from({length: 20}, (_, index) => ['j', index, 1]));
	});
});
