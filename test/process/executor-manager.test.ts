import {createLossLog, type LossLog} from '../../src/connection/loss-log.js';
import {TaskStart} from '../../src/generated/kingcuplane.js';
import type {Agent} from '../../src/process/agent-types.js';
import {
	createExecutorManager, type ExecutorAnnouncement, type ExecutorManager, type UpstreamEvents,
} from '../../src/process/executor-manager.js';
import type {ExecutorInfo} from '../../src/process/executor-types.js';
import {createFakeClock} from '../../src/process/fake-clock.js';
import type {LeasedUpstream} from '../../src/process/leased-upstream.js';
import {noMetrics} from '../../src/process/metrics.js';
import {describe, it} from '../describe.js';
import {silentLog} from '../silent-log.js';

type Fixture = {
	readonly manager: ExecutorManager;
	readonly lossLog: LossLog;
	/** Events of the upstreams in order of their creation. */
	readonly events: UpstreamEvents[];
	readonly saved: ExecutorAnnouncement[];
	readonly calls: string[];
	activeStarts: readonly TaskStart[];
};

const start = TaskStart.fromPartial({
	task: {ticket: 't', index: 3}, caller: 'c', reference: 'r', submission: 'check',
});

function createFixture(): Fixture {
	const lossLog = createLossLog({clock: createFakeClock(1000)});
	const fixture: Fixture = {
		lossLog,
		events: [],
		saved: [],
		calls: [],
		activeStarts: [start],
		manager: createExecutorManager({
			log: silentLog,
			metrics: noMetrics,
			lossLog,
			createUpstream(_executorInfo, events) {
				fixture.events.push(events);
				return createUpstream(fixture);
			},
			createAgent: ({id, bornAt}) => createAgent(`${id}@${bornAt}`, fixture.calls),
			afterFlush(action) {
				action();
			},
			saveAnnouncement(announcement) {
				fixture.saved.push(announcement);
			},
		}),
	};
	return fixture;
}

function createUpstream(fixture: Fixture): LeasedUpstream {
	return {
		run: () => undefined,
		stop: () => undefined,
		takeOver: async () => undefined,
		getActiveStarts: () => fixture.activeStarts,
		abortAll(detail) {
			fixture.calls.push(`abort: ${detail}`);
		},
		isReachable: async () => true,
		close: async () => undefined,
	};
}

function createAgent(name: string, calls: string[]): Agent {
	return {
		drain: async () => ({running: 0, unacknowledged: 0, outstanding: 0}),
		setUpstreamLeaving(isLeaving) {
			calls.push(`${name} leaving: ${isLeaving}`);
		},
		recordProjectedSlowdowns: () => undefined,
		recordProgress: () => undefined,
		getSilentRunLimit: () => Infinity,
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

function createAnnouncement(bornAt: number, isLeaving = false, cpu = 8000): ExecutorAnnouncement {
	const executorInfo: ExecutorInfo = {
		id: 'i', bornAt, address: '127.0.0.1:1', service: 's', room: {cpu, memory: 1000, accelerators: 0}, labels: [],
	};
	return {executorInfo, isLeaving};
}

async function settle(): Promise<void> {
	return new Promise(resolve => {
		setImmediate(resolve);
	});
}

describe('the manager of an executor', () => {
	it('reports the runs of an incarnation that was followed by another one as lost in a crash', async t => {
		const {manager, lossLog, calls} = createFixture();
		manager.receive(createAnnouncement(1));
		await settle();
		manager.receive(createAnnouncement(2));
		t.deepEqual(lossLog.count('c/r', 3), {possible: 1, crashed: 1, alone: 1});
		t.deepEqual(calls, ['i@1 leaving: false', 'i@1 reports losses', 'abort: the executor ended', 'i@1 stops']);
	});

	it('reports no crash of an executor that announced that it leaves', async t => {
		const {manager, lossLog, saved} = createFixture();
		manager.receive(createAnnouncement(1));
		await settle();
		manager.receiveDeparture('i');
		t.is(lossLog.count('c/r', 3).possible, 0);
		t.true(saved.at(-1)?.isLeaving);
		manager.receive(createAnnouncement(2));
		t.is(lossLog.count('c/r', 3).possible, 0);
	});

	it('reports no crash of an executor that was leaving when another one followed it', async t => {
		const {manager, lossLog} = createFixture();
		manager.receive(createAnnouncement(1));
		await settle();
		manager.receive(createAnnouncement(1, true));
		manager.receive(createAnnouncement(2));
		t.is(lossLog.count('c/r', 3).crashed, 0);
	});

	it('suspects a crash while an executor does not answer, and withdraws that when it does', async t => {
		const {manager, lossLog, events} = createFixture();
		manager.receive(createAnnouncement(1));
		await settle();
		events[0]!.onRunsLost([start]);
		t.deepEqual(lossLog.count('c/r', 3), {possible: 1, crashed: 0, alone: 1});
		events[0]!.onRecovered();
		t.is(lossLog.count('c/r', 3).possible, 0);
	});

	it('passes on and stores changed resources, and ends nothing for them', async t => {
		const {manager, saved, calls, events} = createFixture();
		manager.receive(createAnnouncement(1));
		await settle();
		manager.receive(createAnnouncement(1, false, 2000));
		manager.receive(createAnnouncement(1, false, 2000));
		events[0]!.onShortage();
		t.deepEqual(calls, ['i@1 leaving: false', 'i@1 has 2000', 'i@1 has 2000', 'i@1 is short']);
		t.deepEqual(saved.map(({executorInfo}) => executorInfo.room.cpu), [8000, 2000]);
	});

	it('ignores announcements of earlier incarnations', async t => {
		const {manager, saved, events} = createFixture();
		manager.receive(createAnnouncement(2));
		await settle();
		manager.receive(createAnnouncement(1));
		t.is(events.length, 1);
		t.deepEqual(saved.map(({executorInfo}) => executorInfo.bornAt), [2]);
	});
});
