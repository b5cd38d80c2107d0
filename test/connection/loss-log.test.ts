import {
	createLossLog, isCrashProven, isLossLimitReached, type LossLog,
} from '../../src/connection/loss-log.js';
import {LossState, type LossReport, type LostTask} from '../../src/generated/kingcuplane.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {describe, it} from '../describe.js';

function createTask(job: string, index = 0, submission = 'check', expectedRunMs = 100): LostTask {
	return {
		job, index, submission, expectedRunMs,
	};
}

function createReport(upstreamIncarnation: string, state: LossState, tasks: readonly LostTask[], revision = 1): LossReport {
	return {
		upstreamIncarnation, revision, state, tasks: [...tasks],
	};
}

function createFixture(): {readonly clock: FakeClock; readonly log: LossLog} {
	const clock = createFakeClock(1000);
	return {clock, log: createLossLog({clock})};
}

const {LOSS_STATE_ALIVE: alive, LOSS_STATE_CRASHED: crashed, LOSS_STATE_SUSPECTED: suspected} = LossState;

describe('losses of a task', () => {
	it('are counted over all upstreams, each incarnation once', t => {
		const {log} = createFixture();
		t.true(log.record(createReport('u1', suspected, [createTask('j'), createTask('other')])));
		t.true(log.record(createReport('u1', crashed, [createTask('j'), createTask('other')], 2)));
		log.record(createReport('u2', crashed, [createTask('j'), createTask('other', 1)]));
		t.deepEqual(log.count('j', 0), {possible: 2, crashed: 2, alone: 0});
		t.deepEqual(log.count('other', 0), {possible: 1, crashed: 1, alone: 0});
		t.deepEqual(log.count('unknown', 0), {possible: 0, crashed: 0, alone: 0});
	});

	it('do not count for an upstream that answers again, until it is lost once more', t => {
		const {log} = createFixture();
		log.record(createReport('u', suspected, [createTask('j')]));
		log.record(createReport('u', alive, [], 2));
		t.is(log.count('j', 0).possible, 0);
		t.false(log.record(createReport('u', suspected, [createTask('j')])), 'an older report that arrives late');
		log.record(createReport('u', suspected, [createTask('j')], 3));
		t.is(log.count('j', 0).possible, 1);
	});

	it('count as a suspicion when only the agent is gone, until the upstream answers through a new agent', t => {
		const {log} = createFixture();
		log.suspect('u', createTask('j'));
		t.is(log.count('j', 0).possible, 1);
		log.recordAnswer('u');
		t.is(log.count('j', 0).possible, 0);
	});

	// An entry knows only its own runs there. Only the agent can say that nothing else ran beside a task.
	it('do not count as alone while only an entry has reported them', t => {
		const {log} = createFixture();
		log.suspect('u', createTask('j'));
		t.deepEqual(log.count('j', 0), {possible: 1, crashed: 0, alone: 0});
		log.record(createReport('u', crashed, [createTask('j'), createTask('other')]));
		t.is(log.count('j', 0).alone, 0);
		log.record(createReport('u2', crashed, [createTask('j')]));
		t.is(log.count('j', 0).alone, 1);
	});

	it('count again when the agent is gone after the upstream had answered', t => {
		const {log} = createFixture();
		log.record(createReport('u', suspected, [createTask('j')], 5));
		log.record(createReport('u', alive, [], 6));
		log.suspect('u', createTask('j'));
		t.deepEqual(log.count('j', 0), {possible: 1, crashed: 0, alone: 0});
	});

	it('stay counted when an upstream that has certainly crashed seems to answer', t => {
		const {log} = createFixture();
		log.record(createReport('u', crashed, [createTask('j')]));
		log.recordAnswer('u');
		t.is(log.count('j', 0).crashed, 1);
	});

	it('are forgotten after the longest time for which clients submit a job again', t => {
		const {clock, log} = createFixture();
		log.record(createReport('u', crashed, [createTask('j')]));
		clock.advance(121_000);
		log.record(createReport('u2', crashed, [createTask('other')]));
		t.false(log.hasJob('j'));
	});

	it('reach the limit with the third one, or with the second one if no other job ran beside the task', t => {
		t.false(isLossLimitReached({possible: 2, crashed: 2, alone: 0}));
		t.true(isLossLimitReached({possible: 3, crashed: 0, alone: 0}));
		t.true(isLossLimitReached({possible: 2, crashed: 0, alone: 1}));
		t.false(isLossLimitReached({possible: 1, crashed: 1, alone: 1}));
		t.false(isCrashProven({possible: 3, crashed: 1, alone: 0}));
		t.true(isCrashProven({possible: 2, crashed: 2, alone: 1}));
	});
});

describe('reports of losses', () => {
	it('are listed by what has changed since a position', t => {
		const {log} = createFixture();
		log.record(createReport('u1', suspected, [createTask('j')]));
		const first = log.getReportsSince(0);
		t.deepEqual(first.reports.map(({upstreamIncarnation}) => upstreamIncarnation), ['u1']);
		t.deepEqual(log.getReportsSince(first.position).reports, []);
		log.report('u1', crashed, []);
		const [second] = log.getReportsSince(first.position).reports;
		t.is(second?.state, crashed);
		t.is(second?.tasks.length, 1, 'includes the tasks reported before');
	});

	it('contain nothing new if they are repeated', t => {
		const {log} = createFixture();
		const report = log.report('u', suspected, [createTask('j')]);
		t.false(log.record(report));
	});
});
