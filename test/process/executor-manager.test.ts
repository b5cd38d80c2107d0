import type {ExecutionContext} from 'ava';
import type {RunResult} from '../../src/connection/entry-sessions.js';
import {createLossLog, type LossLog} from '../../src/connection/loss-log.js';
import {TaskOutcome, TaskStart} from '../../src/generated/kingcuplane.js';
import type {Agent} from '../../src/process/agent-types.js';
import type {Milliseconds} from '../../src/process/clock.js';
import type {ExecutorAnnouncement, ReceivedAnnouncement} from '../../src/process/announced-state.js';
import {createExecutorManager, type ExecutorManager, type UpstreamEvents} from '../../src/process/executor-manager.js';
import type {
	CommandOutcome, Executor, ExecutorInfo, WithExecutorTime,
} from '../../src/process/executor-types.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {createLeasedUpstream, type LeasedUpstream} from '../../src/process/leased-upstream.js';
import {noMetrics} from '../../src/process/metrics.js';
import {describe, it} from '../describe.js';
import {silentLog} from '../silent-log.js';
import {createFakeExecutor, type FakeExecutor} from './fake-executor.js';

/** The executor that listens at an address. */
type Listener = {
	readonly id: string;
	readonly executor: FakeExecutor;
};

type Fixture = {
	readonly clock: FakeClock;
	readonly manager: ExecutorManager;
	readonly lossLog: LossLog;
	/** What listens at each address; nothing at any other. */
	readonly listeners: Map<string, Listener>;
	/** The executor that listens at the usual address. */
	readonly executor: FakeExecutor;
	/** Upstreams and their events in order of their creation. */
	readonly upstreams: LeasedUpstream[];
	readonly events: UpstreamEvents[];
	readonly saved: ExecutorAnnouncement[];
	readonly calls: string[];
	/** Numbers of running tasks that agents report when they are drained; none from then on. */
	readonly agentReports: number[];
	/** Results of the runs that {@link startRun} has started. */
	readonly results: RunResult[];
	/** How many runs went on at the usual executor when each of these results was reported. */
	readonly runningAtResults: number[];
	/** Makes an executor listen at an address. */
	listen(address: string, id: string, startedAt: number): FakeExecutor;
	runFor(time: Milliseconds): Promise<void>;
	/** Announces the executor, whose run is then started. */
	startRun(): Promise<void>;
	/** Starts a run at the first executor in service. */
	runNow(started: TaskStart): void;
	/** Advances the clock until `pending` has resolved. */
	runWith(pending: Promise<void>): Promise<void>;
};

const usualAddress = '127.0.0.1:1';
const otherAddress = '127.0.0.1:2';
/** An address for which no client can be created. */
const unusableAddress = '127.0.0.1:99999';
/** Longer than any wait of the manager, and shorter than a lease. */
const promptMs: Milliseconds = 200;
/** Time for a few calls that are answered: less than the delay before another attempt. */
const atOnceMs: Milliseconds = 20;
/** The duration of a lease on the slowest clock of an executor, and the waits for answers to the polls that renew it. */
const lapsedWithinMs: Milliseconds = 1000;
const runMs: Milliseconds = 20_000;

const start = TaskStart.fromPartial({
	task: {ticket: 't', index: 3}, attempt: 1, caller: 'c', reference: 'r', submission: 'check',
});

function createFixture(t: ExecutionContext): Fixture {
	const clock = createFakeClock(1000);
	const lossLog = createLossLog({clock});
	const listeners = new Map<string, Listener>();
	const fixture: Fixture = {
		clock,
		lossLog,
		listeners,
		executor: listen(usualAddress, 'i', 1),
		upstreams: [],
		events: [],
		saved: [],
		calls: [],
		agentReports: [],
		results: [],
		runningAtResults: [],
		manager: createExecutorManager({
			clock,
			log: silentLog,
			metrics: noMetrics,
			lossLog,
			createUpstream(executorInfo, events, lowestFencingToken) {
				if (executorInfo.address === unusableAddress) {
					throw new TypeError('invalid port');
				}

				const upstream = createLeasedUpstream({
					clock,
					executor: createClient(listeners, executorInfo),
					executorStartedAt: executorInfo.bornAt === 0 ? undefined : executorInfo.bornAt,
					firstFencingToken: Math.max(10, lowestFencingToken),
					maxLeaseMs: 1000,
					log: silentLog,
					metrics: noMetrics,
					harmlessPauseMs: 500,
					takePauseTime: () => 0,
					onPauseWitnessed: () => undefined,
					...events,
				});
				fixture.events.push(events);
				fixture.upstreams.push(upstream);
				return upstream;
			},
			createAgent: ({id, bornAt}) => createAgent(`${id}@${bornAt}`, fixture.calls, fixture.agentReports),
			afterFlush(action) {
				action();
			},
			saveAnnouncement(announcement) {
				fixture.saved.push(announcement);
			},
		}),
		listen,
		async runFor(time) {
			for (let i = 0; i < time; i++) {
				clock.advance(1);
				await settle();
			}
		},
		async startRun() {
			fixture.manager.receive(createAnnouncement(1));
			await fixture.runFor(promptMs);
			fixture.runNow(start);
			await fixture.runFor(promptMs);
		},
		runNow(started) {
			fixture.upstreams[0]!.run(started, result => {
				fixture.results.push(result);
				fixture.runningAtResults.push(fixture.executor.getRunning().length);
			});
		},
		async runWith(pending) {
			await Promise.race([pending, fixture.runFor(lapsedWithinMs)]);
			await pending;
		},
	};
	t.teardown(async () => fixture.manager.close());
	return fixture;

	function listen(address: string, id: string, startedAt: number): FakeExecutor {
		const executor = createFakeExecutor(clock, runMs);
		executor.isLongPolling = true;
		executor.startedAt = startedAt;
		listeners.set(address, {id, executor});
		return executor;
	}
}

/** Creates a client of the executor that listens at an address. It has no connection if there is none, and is refused by one with another id. */
function createClient(listeners: ReadonlyMap<string, Listener>, {address, id}: ExecutorInfo): Executor {
	return {
		start: async command => call(async executor => executor.start(command)),
		stop: async (run, fencingToken) => call(async executor => executor.stop(run, fencingToken)),
		poll: async req => call(async executor => executor.poll(req)),
		close: async () => undefined,
	};

	async function call<T>(send: (executor: FakeExecutor) => Promise<WithExecutorTime<T>>): Promise<WithExecutorTime<T | Refusal>> {
		const listener = listeners.get(address);
		if (listener === undefined) {
			return {outcome: {kind: 'not-sent', detail: 'connection refused'}, executorTime: undefined};
		}

		return listener.id === id ? send(listener.executor) : {outcome: {kind: 'other-incarnation'}, executorTime: undefined};
	}
}

type Refusal = Extract<CommandOutcome, {readonly kind: 'not-sent' | 'other-incarnation'}>;

function createAgent(name: string, calls: string[], reports: number[]): Agent {
	return {
		drain: async () => ({running: reports.shift() ?? 0, unacknowledged: 0, outstanding: 0}),
		setUpstreamLeaving(isLeaving) {
			calls.push(`${name} leaving: ${isLeaving}`);
		},
		recordProjectedSlowdowns: () => undefined,
		recordProgress: () => undefined,
		getSilentRunLimit: () => Infinity,
		tryGetPermission: () => undefined,
		setCapacity({cpu}) {
			calls.push(`${name} has ${cpu}`);
		},
		recordShortage() {
			calls.push(`${name} is short`);
		},
		reportLosses() {
			calls.push(`${name} reports losses`);
		},
		probeUpstream: () => undefined,
		getCounts: () => ({batchesSent: 0, batchesReceived: 0, tasksStarted: 0}),
		stop() {
			calls.push(`${name} stops`);
		},
	};
}

let announcementCount = 0;

function createAnnouncement(bornAt: number, isLeaving = false, changes: Partial<ExecutorInfo> = {}): ReceivedAnnouncement {
	const executorInfo: ExecutorInfo = {
		id: 'i', bornAt, address: usualAddress, service: 's', room: {cpu: 8000, memory: 1000, accelerators: 0}, labels: [], ...changes,
	};
	return {executorInfo, isLeaving, sequence: ++announcementCount};
}

async function settle(): Promise<void> {
	return new Promise(resolve => {
		setImmediate(resolve);
	});
}

/** Announcements that do not come from the executor in service, by what they name. */
const foreignAnnouncements: Readonly<Record<string, ReceivedAnnouncement>> = {
	'another executor, where nothing listens': createAnnouncement(2, false, {id: 'x', address: otherAddress}),
	'another executor at the same address': createAnnouncement(2, false, {id: 'x'}),
	'another address': createAnnouncement(1, false, {address: otherAddress}),
	'an address that cannot be used': createAnnouncement(1, false, {address: unusableAddress}),
	'a later start': createAnnouncement(2),
	'an earlier start': createAnnouncement(0.5),
	'a start in the far future': createAnnouncement(1e300),
};

describe('the manager of an executor', () => {
	it('reports the runs of an incarnation that was followed by another one as lost in a crash', async t => {
		const fixture = createFixture(t);
		const {manager, lossLog, calls, results, executor} = fixture;
		await fixture.startRun();
		executor.crash(10);
		await fixture.runFor(20);
		manager.receive(createAnnouncement(2));
		await fixture.runFor(promptMs);
		t.deepEqual(lossLog.count('c/r', 3), {possible: 1, crashed: 1, alone: 1});
		t.deepEqual(results.map(({outcome, detail}) => ({outcome, detail})), [{outcome: TaskOutcome.TASK_OUTCOME_ABORTED, detail: 'the executor ended'}]);
		t.deepEqual(calls.filter(call => call !== 'i@1 reports losses'), ['i@1 leaving: false', 'i@1 stops', 'i@2 leaving: false']);
		t.is(calls.lastIndexOf('i@1 reports losses') + 1, calls.indexOf('i@1 stops'));
	});

	it('reports no crash of an executor that announced that it leaves', async t => {
		const fixture = createFixture(t);
		const {manager, lossLog, saved, executor} = fixture;
		await fixture.startRun();
		void manager.receiveDeparture({id: 'i', bornAt: undefined});
		t.is(lossLog.count('c/r', 3).possible, 0);
		t.true(saved.at(-1)?.isLeaving);
		executor.crash(10);
		await fixture.runFor(20);
		manager.receive(createAnnouncement(2));
		await fixture.runFor(promptMs);
		t.is(lossLog.count('c/r', 3).possible, 0);
	});

	it('reports no crash of an executor that was leaving when another one followed it', async t => {
		const fixture = createFixture(t);
		const {manager, lossLog, executor} = fixture;
		await fixture.startRun();
		manager.receive(createAnnouncement(1, true));
		executor.crash(10);
		await fixture.runFor(20);
		manager.receive(createAnnouncement(2));
		await fixture.runFor(promptMs);
		t.is(lossLog.count('c/r', 3).crashed, 0);
	});

	it('suspects a crash while an executor does not answer, and withdraws that when it does', async t => {
		const fixture = createFixture(t);
		const {lossLog, events} = fixture;
		await fixture.startRun();
		events[0]!.onRunsLost([start]);
		t.deepEqual(lossLog.count('c/r', 3), {possible: 1, crashed: 0, alone: 1});
		events[0]!.onRecovered();
		t.is(lossLog.count('c/r', 3).possible, 0);
	});

	it('passes on and stores changed resources, and ends nothing for them', async t => {
		const fixture = createFixture(t);
		const {manager, saved, calls, events, results} = fixture;
		const room = {cpu: 2000, memory: 1000, accelerators: 0};
		await fixture.startRun();
		manager.receive(createAnnouncement(1, false, {room}));
		manager.receive(createAnnouncement(1, false, {room}));
		events[0]!.onShortage();
		t.deepEqual(calls, ['i@1 leaving: false', 'i@1 has 2000', 'i@1 has 2000', 'i@1 is short']);
		t.deepEqual(saved.map(({executorInfo}) => executorInfo.room.cpu), [8000, 2000]);
		t.deepEqual(results, []);
	});

	it('ignores announcements of earlier incarnations', async t => {
		const fixture = createFixture(t);
		const {manager, saved, calls, executor} = fixture;
		executor.startedAt = 2;
		manager.receive(createAnnouncement(2));
		await fixture.runFor(promptMs);
		manager.receive(createAnnouncement(1));
		await fixture.runFor(promptMs);
		t.deepEqual(calls, ['i@2 leaving: false']);
		t.deepEqual(saved.map(({executorInfo}) => executorInfo.bornAt), [2]);
	});

	it('ignores outdated announcements of the executor in service', async t => {
		const fixture = createFixture(t);
		const {manager, calls} = fixture;
		const outdated = createAnnouncement(1);
		await fixture.startRun();
		manager.receive(createAnnouncement(1, true));
		manager.receive(outdated);
		t.deepEqual(calls.filter(call => call.includes('leaving')), ['i@1 leaving: false', 'i@1 leaving: true']);
	});

	// Guards against the end of all runs with the first announcement that says when the executor has started.
	it('knows an executor whose first announcement did not say when it started by what it has answered', async t => {
		const fixture = createFixture(t);
		const {manager, calls, saved, results, executor} = fixture;
		manager.receive(createAnnouncement(0));
		await fixture.startRun();
		manager.receive(createAnnouncement(2));
		manager.receive(createAnnouncement(1, true));
		await fixture.runFor(promptMs);
		t.deepEqual(results, []);
		t.is(executor.getRunning().length, 1);
		t.deepEqual(calls.filter(call => call.includes('leaving')), ['i@0 leaving: false', 'i@0 leaving: true']);
		t.deepEqual(saved.map(({isLeaving}) => isLeaving), [false, true]);
	});

	it('follows the executor in service again after an announcement with its identity and a number that is not its own', async t => {
		const fixture = createFixture(t);
		const {manager, calls, saved} = fixture;
		await fixture.startRun();
		manager.receive({...createAnnouncement(1, true), sequence: Number.MAX_SAFE_INTEGER});
		for (let i = 0; i < 3; i++) {
			await fixture.runFor(1500);
			manager.receive(createAnnouncement(1));
		}

		t.is(calls.at(-1), 'i@1 leaving: false');
		t.is(saved.at(-1)?.isLeaving, false);
	});

	describe('keeps the executor in service, which answers, when an announcement names', () => {
		for (const [name, announcement] of Object.entries(foreignAnnouncements)) {
			// Guards against a second run of a task beside one that an announcement of another writer had ended.
			it(name, async t => {
				const fixture = createFixture(t);
				const {manager, lossLog, saved, calls, results, executor} = fixture;
				await fixture.startRun();
				manager.receive(announcement);
				await fixture.runFor(lapsedWithinMs);
				t.deepEqual(results, []);
				t.is(executor.getRunning().length, 1);
				t.is(lossLog.count('c/r', 3).possible, 0);
				t.deepEqual(saved.map(({executorInfo}) => executorInfo.id), ['i']);
				manager.receive(createAnnouncement(1, true));
				t.deepEqual(calls.filter(call => !call.startsWith('i@1 has')), ['i@1 leaving: false', 'i@1 leaving: true']);
			});
		}
	});

	describe('starts nothing on an executor that has announced that it leaves', () => {
		const readyWithForeignNumber = {...createAnnouncement(1), sequence: Number.MAX_SAFE_INTEGER};

		// Guards against tasks that are started on an executor after the acknowledgement of its draining (review/2, DRAIN).
		it('after an announcement of another writer with its identity and a later number', async t => {
			const fixture = createFixture(t);
			const {manager, calls, saved} = fixture;
			await fixture.startRun();
			manager.receive(readyWithForeignNumber);
			t.is(manager.receive(createAnnouncement(1, true)), 'in-force');
			t.is(calls.at(-1), 'i@1 leaving: true');
			t.true(saved.at(-1)?.isLeaving);
			t.is(manager.receive({...readyWithForeignNumber, sequence: Number.MAX_SAFE_INTEGER}), 'unconfirmed');
			t.is(calls.at(-1), 'i@1 leaving: true');
		});

		it('while it is not in service yet', async t => {
			const fixture = createFixture(t);
			const {manager, calls} = fixture;
			manager.receive(readyWithForeignNumber);
			t.is(manager.receive(createAnnouncement(1, true)), 'considered');
			await fixture.runFor(promptMs);
			t.deepEqual(calls, ['i@1 leaving: true']);
		});

		// Guards against an executor that cannot leave, since another writer has announced a start for it and it states none itself.
		it('beside a start that it does not state itself', async t => {
			const fixture = createFixture(t);
			const {manager, calls, executor} = fixture;
			executor.statesStart = false;
			manager.receive(createAnnouncement(7));
			await fixture.runFor(promptMs);
			t.is(manager.receive(createAnnouncement(0, true)), 'in-force');
			t.is(calls.at(-1), 'i@7 leaving: true');
		});

		it('by not acknowledging that of another executor while this process stops', async t => {
			const fixture = createFixture(t);
			await fixture.startRun();
			fixture.manager.stopReceiving();
			t.is(fixture.manager.receive(createAnnouncement(2, true)), 'stopping');
		});
	});

	describe('corrects the description of an executor with which another writer came first', () => {
		const foreignDescriptions: Readonly<Record<string, Partial<ExecutorInfo>>> = {service: {service: 'x'}, labels: {labels: ['x']}};
		for (const [name, description] of Object.entries(foreignDescriptions)) {
			// Guards against an executor that is never used again after its agent has restarted.
			it(name, async t => {
				for (const isLeaving of [false, true]) {
					const fixture = createFixture(t);
					const {manager, calls, saved} = fixture;
					manager.restore(createAnnouncement(1, isLeaving, description));
					await fixture.runFor(promptMs);
					for (let i = 0; i < 3; i++) {
						manager.receive(createAnnouncement(1));
						await fixture.runFor(1500);
					}

					t.deepEqual(calls.slice(-2), ['i@1 stops', 'i@1 leaving: false']);
					t.deepEqual(saved.at(-1), {executorInfo: createAnnouncement(1).executorInfo, isLeaving: false});
				}
			});
		}

		it('once its runs have ended', async t => {
			const fixture = createFixture(t);
			const {manager, calls, results, agentReports} = fixture;
			agentReports.push(1, 1);
			manager.restore(createAnnouncement(1, false, {labels: ['x']}));
			await fixture.runFor(promptMs);
			for (let i = 0; i < 3; i++) {
				manager.receive(createAnnouncement(1));
				await fixture.runFor(1500);
			}

			t.deepEqual(results, []);
			t.deepEqual(agentReports, []);
			t.is(calls.filter(call => call === 'i@1 stops').length, 1);
		});
	});

	describe('uses an executor soon after its announcement', () => {
		// Guards against an executor that was never used again because its time of day had been stepped back.
		for (const bornAt of [2, 0.5]) {
			it(`that is back under its identifier, started at ${bornAt}`, async t => {
				const fixture = createFixture(t);
				const {manager, calls, results, executor} = fixture;
				await fixture.startRun();
				executor.crash(10);
				await fixture.runFor(15);
				executor.startedAt = bornAt;
				manager.receive(createAnnouncement(bornAt));
				await fixture.runFor(atOnceMs);
				t.is(calls.at(-1), `i@${bornAt} leaving: false`);
				t.is(results.length, 1);
			});
		}

		// Guards against a takeover that takes longer with each restart, since the calls of the agents before have used higher fencing tokens.
		it('that is back under its identifier for the twelfth time', async t => {
			const fixture = createFixture(t);
			const {manager, calls, executor} = fixture;
			manager.receive(createAnnouncement(1));
			await fixture.runFor(promptMs);
			for (let bornAt = 2; bornAt <= 12; bornAt++) {
				executor.crash(10);
				await fixture.runFor(15);
				manager.receive(createAnnouncement(bornAt));
				await fixture.runFor(atOnceMs);
				t.is(calls.at(-1), `i@${bornAt} leaving: false`);
			}
		});

		it('that is another one at the same address', async t => {
			const fixture = createFixture(t);
			const {manager, calls, results} = fixture;
			await fixture.startRun();
			fixture.listen(usualAddress, 'j', 2);
			manager.receive(createAnnouncement(2, false, {id: 'j'}));
			await fixture.runFor(promptMs);
			t.is(calls.at(-1), 'j@2 leaving: false');
			t.is(results.length, 1);
		});

		it('at another address, if the one before ran nothing and refuses connections', async t => {
			const fixture = createFixture(t);
			const {manager, calls, listeners} = fixture;
			manager.receive(createAnnouncement(1));
			await fixture.runFor(promptMs);
			listeners.delete(usualAddress);
			fixture.listen(otherAddress, 'j', 2);
			manager.receive(createAnnouncement(2, false, {id: 'j', address: otherAddress}));
			await fixture.runFor(promptMs);
			t.is(calls.at(-1), 'j@2 leaving: false');
		});

		// Guards against an agent that waits for an executor that another writer has announced, or an earlier process has stored.
		for (const [name, announcement] of Object.entries(foreignAnnouncements)) {
			it(`after an announcement, stored or just made, that names ${name}`, async t => {
				for (const isStored of [true, false]) {
					const fixture = createFixture(t);
					const {manager, calls, saved} = fixture;
					if (isStored) {
						manager.restore(announcement);
					} else {
						manager.receive(announcement);
					}

					await fixture.runFor(promptMs);
					manager.receive(createAnnouncement(1));
					await fixture.runFor(promptMs);
					t.deepEqual(calls, ['i@1 leaving: false']);
					t.deepEqual(saved.map(({executorInfo}) => [executorInfo.id, executorInfo.bornAt, executorInfo.address]), [['i', 1, usualAddress]]);
				}
			});
		}

		it('that begins to listen only after it', async t => {
			const fixture = createFixture(t);
			const {manager, calls, listeners, executor} = fixture;
			listeners.delete(usualAddress);
			manager.receive(createAnnouncement(1));
			await fixture.runFor(1000);
			t.deepEqual(calls, []);
			listeners.set(usualAddress, {id: 'i', executor});
			await fixture.runFor(promptMs);
			t.deepEqual(calls, ['i@1 leaving: false']);
		});
	});

	// Guards against a second run of a task while the executor that is behind a cut runs the first one.
	it('reports the runs of an executor that does not answer as ended with its lease, not with the announcement of another one', async t => {
		const fixture = createFixture(t);
		const {clock, manager, calls, results, executor} = fixture;
		await fixture.startRun();
		executor.isUnreachable = true;
		fixture.listen(otherAddress, 'j', 2);
		manager.receive(createAnnouncement(2, false, {id: 'j', address: otherAddress}));
		const announcedAt = clock.now();
		while (results.length === 0 && clock.now() < announcedAt + lapsedWithinMs) {
			await fixture.runFor(1);
		}

		t.is(results.length, 1);
		t.is(executor.runs[0]?.endDetail, 'lapsed');
		await fixture.runFor(2 * promptMs);
		t.is(calls.at(-1), 'j@2 leaving: false');
	});

	// Review 6: the runs that the next incarnation of an executor had begun were reported as ended with the one before.
	describe('of an executor that is back under its identifier before anybody has noticed', () => {
		async function createRestartedFixture(t: ExecutionContext, length: Milliseconds): Promise<Fixture> {
			const fixture = createFixture(t);
			fixture.manager.receive(createAnnouncement(1));
			await fixture.runFor(promptMs);
			fixture.executor.sampleRun = () => ({length, fails: false});
			fixture.executor.crash(10);
			await fixture.runFor(15);
			fixture.runNow(start);
			await fixture.runFor(promptMs);
			t.deepEqual(fixture.results, []);
			t.is(fixture.executor.getRunning().length, 1);
			return fixture;
		}

		it('lets the runs go on that it has begun since, and takes it over once they have ended and it has announced itself', async t => {
			const fixture = await createRestartedFixture(t, 1000);
			const {manager, calls, results, executor, lossLog, saved} = fixture;
			t.is(manager.receive(createAnnouncement(2)), 'considered');
			await fixture.runFor(promptMs);
			t.is(executor.getRunning().length, 1);
			t.deepEqual(calls, ['i@1 leaving: false', 'i@1 reports losses', 'i@1 leaving: true']);
			await fixture.runFor(800);
			t.deepEqual(executor.runs.map(({endDetail}) => endDetail), ['done']);
			t.deepEqual(results.map(({outcome}) => outcome), [TaskOutcome.TASK_OUTCOME_COMPLETED]);
			t.is(lossLog.count('c/r', 3).possible, 0);
			t.deepEqual(calls.slice(3), ['i@1 stops', 'i@2 leaving: false']);
			t.deepEqual(saved.map(({executorInfo}) => executorInfo.bornAt), [1, 2]);
		});

		it('reports only the runs of the incarnation before as lost in a crash', async t => {
			const fixture = createFixture(t);
			const {results, executor, lossLog} = fixture;
			await fixture.startRun();
			executor.crash(2);
			await fixture.runFor(4);
			fixture.runNow({...start, task: {ticket: 't', index: 4}});
			await fixture.runFor(promptMs);
			t.deepEqual(results.map(({outcome, detail}) => ({outcome, detail})), [{outcome: TaskOutcome.TASK_OUTCOME_ABORTED, detail: 'the executor ended'}]);
			t.is(lossLog.count('c/r', 3).crashed, 1);
			t.is(lossLog.count('c/r', 4).possible, 0);
			t.deepEqual(executor.getRunning().map(({task}) => task), ['r.0.0.4']);
		});

		// Guards against tasks that crash their executors with their start, and are not counted among the lost ones.
		it('reports a run as lost in the crash whose start has got no response', async t => {
			const fixture = createFixture(t);
			const {manager, results, executor, lossLog} = fixture;
			manager.receive(createAnnouncement(1));
			await fixture.runFor(promptMs);
			executor.unansweredCalls.start = 1;
			fixture.runNow(start);
			await fixture.runFor(5);
			executor.crash(10);
			await fixture.runFor(2 * promptMs);
			t.deepEqual(results.map(({outcome}) => outcome), [TaskOutcome.TASK_OUTCOME_ABORTED]);
			t.is(lossLog.count('c/r', 3).crashed, 1);
		});

		it('counts another restart as the crash of the incarnation in between', async t => {
			const fixture = await createRestartedFixture(t, runMs);
			fixture.executor.crash(10);
			await fixture.runFor(promptMs);
			t.deepEqual(fixture.results.map(({outcome}) => outcome), [TaskOutcome.TASK_OUTCOME_ABORTED]);
			t.is(fixture.lossLog.count('c/r', 3).crashed, 1);
			t.is(fixture.calls.at(-1), 'i@1 stops');
			fixture.manager.receive(createAnnouncement(3));
			await fixture.runFor(promptMs);
			t.is(fixture.calls.at(-1), 'i@3 leaving: false');
		});

		const changes: Readonly<Record<string, Partial<ExecutorInfo>>> = {labels: {labels: ['b']}, service: {service: 'x'}};
		for (const [name, change] of Object.entries(changes)) {
			// Guards against tasks that go on at an executor on which they must not run.
			it(`stops the runs that it has begun since if it announces another ${name}`, async t => {
				const fixture = await createRestartedFixture(t, runMs);
				fixture.manager.receive(createAnnouncement(2, false, change));
				await fixture.runFor(promptMs);
				t.is(fixture.executor.runs[0]?.endDetail, 'stopped');
				t.is(fixture.results.length, 1);
				t.is(fixture.calls.at(-1), 'i@2 leaving: false');
			});
		}

		it('keeps the runs that it has begun since whatever another writer announces', async t => {
			const fixture = await createRestartedFixture(t, runMs);
			for (const announcement of [...Object.values(foreignAnnouncements).filter(({executorInfo}) => executorInfo.bornAt !== 2), createAnnouncement(1, true)]) {
				fixture.manager.receive(announcement);
				await fixture.runFor(promptMs);
			}

			await fixture.manager.receiveDeparture({id: 'i', bornAt: 1});
			await fixture.runFor(promptMs);
			t.deepEqual(fixture.results, []);
			t.is(fixture.executor.getRunning().length, 1);
		});

		it('stops the runs that it has begun since when it deregisters itself', async t => {
			const fixture = await createRestartedFixture(t, runMs);
			await fixture.runWith(fixture.manager.receiveDeparture({id: 'i', bornAt: 2}));
			t.is(fixture.executor.runs[0]?.endDetail, 'stopped');
			t.is(fixture.results.length, 1);
		});
	});

	// Guards against a restarted agent that starts tasks on an executor whose draining the agent before it has acknowledged.
	it('stores that its executor leaves also while this process stops', async t => {
		const {manager, saved, calls, startRun} = createFixture(t);
		await startRun();
		manager.stopReceiving();
		manager.receive(createAnnouncement(1, true));
		t.true(saved.at(-1)?.isLeaving);
		t.is(calls.at(-1), 'i@1 leaving: true');
	});

	it('keeps an executor that does not answer as long as the announced one does not answer either', async t => {
		const fixture = createFixture(t);
		const {manager, calls, executor} = fixture;
		await fixture.startRun();
		executor.isUnreachable = true;
		manager.receive(createAnnouncement(2, false, {id: 'x', address: otherAddress}));
		await fixture.runFor(3 * lapsedWithinMs);
		t.false(calls.includes('i@1 stops'));
		executor.isUnreachable = false;
		await fixture.runFor(promptMs);
		manager.receive(createAnnouncement(1, true));
		t.is(calls.at(-1), 'i@1 leaving: true');
	});

	describe('handles a deregistration', () => {
		// Guards against a second run of a task beside one of an executor that has got no answer to its deregistration.
		it('by stopping the runs, which are reported as ended when the executor has listed that', async t => {
			const fixture = createFixture(t);
			const {
				manager, lossLog, saved, calls, results, runningAtResults, executor,
			} = fixture;
			await fixture.startRun();
			let hasAnswer = false;
			void manager.receiveDeparture({id: 'i', bornAt: undefined}).then(() => {
				hasAnswer = true;
			});
			t.deepEqual(results, []);
			await fixture.runFor(50);
			t.is(executor.runs[0]?.endDetail, 'stopped');
			t.deepEqual(results.map(({outcome}) => outcome), [TaskOutcome.TASK_OUTCOME_ABORTED]);
			t.deepEqual(runningAtResults, [0]);
			t.true(hasAnswer);
			t.is(lossLog.count('c/r', 3).possible, 0);
			t.deepEqual(saved.map(({isLeaving}) => isLeaving), [false, true]);
			t.deepEqual(calls, ['i@1 leaving: false', 'i@1 leaving: true']);
		});

		it('by waiting for the lease if the stops are lost, and answers within a second', async t => {
			const fixture = createFixture(t);
			const {
				clock, manager, lossLog, results, runningAtResults, executor,
			} = fixture;
			await fixture.startRun();
			executor.unansweredCalls.stop = Infinity;
			const deregisteredAt = clock.now();
			let answeredAt = Infinity;
			void manager.receiveDeparture({id: 'i', bornAt: undefined}).then(() => {
				answeredAt = clock.now();
			});
			await fixture.runFor(lapsedWithinMs);
			t.true(answeredAt - deregisteredAt < 1000);
			t.is(executor.runs[0]?.endDetail, 'lapsed');
			t.is(results.length, 1);
			t.deepEqual(runningAtResults, [0]);
			t.is(lossLog.count('c/r', 3).possible, 0);
		});

		it('by waiting for the lease if nothing is answered', async t => {
			const fixture = createFixture(t);
			const {
				manager, lossLog, results, runningAtResults, executor,
			} = fixture;
			await fixture.startRun();
			executor.isUnreachable = true;
			void manager.receiveDeparture({id: 'i', bornAt: undefined});
			await fixture.runFor(lapsedWithinMs);
			t.is(executor.runs[0]?.endDetail, 'lapsed');
			t.is(results.length, 1);
			t.deepEqual(runningAtResults, [0]);
			t.is(lossLog.count('c/r', 3).possible, 0);
		});

		it('by ending its service once it refuses connections', async t => {
			const fixture = createFixture(t);
			const {manager, calls, executor} = fixture;
			await fixture.startRun();
			void manager.receiveDeparture({id: 'i', bornAt: 1});
			await fixture.runFor(lapsedWithinMs);
			t.false(calls.includes('i@1 stops'));
			executor.crash(10_000);
			await fixture.runFor(lapsedWithinMs);
			t.is(calls.at(-1), 'i@1 stops');
		});

		it('without an effect if it names another executor, or another start', async t => {
			const fixture = createFixture(t);
			const {manager, saved, calls, results, executor} = fixture;
			await fixture.startRun();
			await manager.receiveDeparture({id: 'x', bornAt: undefined});
			await manager.receiveDeparture({id: 'i', bornAt: 0.5});
			await fixture.runFor(promptMs);
			t.deepEqual(results, []);
			t.is(executor.getRunning().length, 1);
			t.is(saved.length, 1);
			t.deepEqual(calls, ['i@1 leaving: false']);
		});

		it('that is repeated once', async t => {
			const fixture = createFixture(t);
			const {manager, saved, calls, results} = fixture;
			await fixture.startRun();
			void manager.receiveDeparture({id: 'i', bornAt: undefined});
			await fixture.runFor(promptMs);
			let hasAnswer = false;
			void manager.receiveDeparture({id: 'i', bornAt: undefined}).then(() => {
				hasAnswer = true;
			});
			await fixture.runFor(1);
			t.true(hasAnswer);
			t.is(results.length, 1);
			t.is(saved.length, 2);
			t.deepEqual(calls, ['i@1 leaving: false', 'i@1 leaving: true']);
		});

		// Guards against an executor that another writer takes out of service for good.
		it('of an executor that stays by using it again from its next announcement on', async t => {
			const fixture = createFixture(t);
			const {manager, saved, calls, results, executor} = fixture;
			await fixture.startRun();
			void manager.receiveDeparture({id: 'i', bornAt: undefined});
			await fixture.runFor(promptMs);
			manager.receive(createAnnouncement(1));
			t.is(calls.findLast(call => call.includes('leaving')), 'i@1 leaving: false');
			t.is(saved.at(-1)?.isLeaving, false);
			fixture.upstreams[0]!.run({...start, task: {ticket: 't', index: 4}}, result => {
				results.push(result);
			});
			await fixture.runFor(lapsedWithinMs);
			t.is(executor.getRunning().length, 1);
			executor.crash(10_000);
			await fixture.runFor(lapsedWithinMs);
			t.false(calls.includes('i@1 stops'));
		});

		it('before the next one takes over at the same address', async t => {
			const fixture = createFixture(t);
			const {manager, calls, executor} = fixture;
			await fixture.startRun();
			void manager.receiveDeparture({id: 'i', bornAt: undefined});
			await fixture.runFor(50);
			executor.crash(10);
			await fixture.runFor(20);
			manager.receive(createAnnouncement(2));
			await fixture.runFor(promptMs);
			t.is(calls.at(-1), 'i@2 leaving: false');
			await manager.receiveDeparture({id: 'i', bornAt: 1});
			t.is(calls.at(-1), 'i@2 leaving: false');
		});
	});
});
