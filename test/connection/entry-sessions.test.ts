import {createEntrySessions, type EntrySessions, type RunResult} from '../../src/connection/entry-sessions.js';
import {createResourceLimiter} from '../../src/connection/resource-limiter.js';
import {
	EntryBatch, RefusalReason, TaskOutcome, TaskStart,
} from '../../src/generated/kingcuplane.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {describe, it} from '../describe.js';

const need = {cpu: 1000, memory: 1, accelerators: 0};
const completed: RunResult = {
	outcome: TaskOutcome.TASK_OUTCOME_COMPLETED, reason: RefusalReason.REFUSAL_REASON_UNSPECIFIED, payload: new Uint8Array(), duration: 10, detail: '',
};

type Fixture = {
	readonly clock: FakeClock;
	readonly sessions: EntrySessions;
	/** Callbacks that end the runs, in order of their starts. */
	readonly runs: Array<(result: RunResult) => void>;
	/** Times at which output became pending. */
	readonly outputs: number[];
	/** Cause and index of each stop, and since when it is wanted. */
	readonly stops: readonly string[];
	/** Tells that the input is read which waited at the end of the last pause. */
	finishReading(): void;
};

function createFixture(): Fixture {
	const clock = createFakeClock(10_000);
	const runs: Fixture['runs'] = [];
	const outputs: number[] = [];
	const stops: string[] = [];
	let finishReading: () => void = () => undefined;
	const sessions = createEntrySessions({
		clock,
		agent: {
			incarnation: 'a-1', name: 'a', upstream: 'u', service: 's', dataCentre: 'd', rack: 'r', slots: 1, capacity: {cpu: 8000, memory: 100, accelerators: 0},
		},
		retentionMs: 1000,
		maxSilentRunMs: 1100,
		maxRetainedBytes: 1000,
		run(_start, done) {
			runs.push(done);
		},
		maxSenderSilenceMs: 950,
		stop(start, cause, since) {
			stops.push(`${cause} ${start.task!.index} ${clock.now() - since} ms ago`);
		},
		afterInputRead(action) {
			finishReading = action;
		},
		onOutputPending() {
			outputs.push(clock.now());
		},
	}, createResourceLimiter({clock, notifyEntry: () => undefined}, {cpu: 8000, memory: 100, accelerators: 0}));
	sessions.open('e');
	return {
		clock,
		sessions,
		runs,
		outputs,
		stops,
		finishReading() {
			finishReading();
		},
	};
}

function createStarts(ticket: string, count: number, validUntilMs = 0): EntryBatch {
	return EntryBatch.fromPartial({
		starts: Array.from({length: count}, (_, index) => TaskStart.fromPartial({
			task: {ticket, index}, seq: index + 1, attempt: 1, taskCount: count, need, validUntilMs,
		})),
	});
}

describe('sessions of an agent with its entries', () => {
	it('refuse a start that was held up until after its validity, and run one that was not', t => {
		const {clock, sessions, runs} = createFixture();
		sessions.receive('e', createStarts('j', 1, clock.now() - 1));
		t.is(runs.length, 0);
		const {results: [result]} = sessions.takePendingOutput('e');
		t.is(result?.outcome, TaskOutcome.TASK_OUTCOME_REFUSED);
		t.is(result?.reason, RefusalReason.REFUSAL_REASON_EXPIRED);
		sessions.receive('e', EntryBatch.fromPartial({starts: [{...createStarts('k', 1, clock.now() + 1).starts[0]!, seq: 2}]}));
		t.is(runs.length, 1);
	});

	// Issue 40: messages that waited during a pause counted as new once 60 ms had passed, while a slow agent was still reading them.
	it('take a message that is read after a pause for as old as the pause, until all that waited is read', t => {
		const {clock, sessions, finishReading} = createFixture();
		sessions.receive('e', createStarts('j', 1));
		clock.advance(400);
		sessions.recordPause(400, 0);
		clock.advance(150);
		sessions.receive('e', EntryBatch.fromPartial({}));
		t.is(sessions.getSilentRunLimit(), clock.now() - 550 + 1100);
		finishReading();
		sessions.receive('e', EntryBatch.fromPartial({}));
		t.is(sessions.getSilentRunLimit(), clock.now() + 1100);
	});

	// Guards against runs that go on for an entry that died, while the client sends the job again.
	it('limit how long the runs of a silent entry may go on, and those of no other', t => {
		const {clock, sessions, runs} = createFixture();
		t.is(sessions.getSilentRunLimit(), Infinity);
		sessions.receive('e', createStarts('j', 1));
		clock.advance(500);
		sessions.open('f');
		t.is(sessions.getSilentRunLimit(), clock.now() + 600);
		sessions.receive('e', EntryBatch.fromPartial({}));
		t.is(sessions.getSilentRunLimit(), clock.now() + 1100);
		sessions.close('e');
		clock.advance(400);
		t.is(sessions.getSilentRunLimit(), clock.now() + 700);
		runs[0]!(completed);
		t.is(sessions.getSilentRunLimit(), Infinity);
	});

	// Issue 49: the log could not tell which hop of a forwarded job was lost first.
	it('tell how old the messages are by which a run may go on', t => {
		const {clock, sessions} = createFixture();
		const batch = createStarts('j', 1);
		sessions.receive('e', batch);
		clock.advance(100);
		sessions.receive('e', EntryBatch.fromPartial({senderSilences: [{startSeq: 1, silentMs: 300}]}));
		clock.advance(50);
		const [start] = batch.starts;
		t.like(sessions.tryGetPermission(start!), {
			entry: 'e', entryAge: 50, isLinked: true, senderAge: 350,
		});
		sessions.close('e');
		t.like(sessions.tryGetPermission(start!), {isLinked: false});
	});

	describe('take a batch', () => {
		// Issue 49: a message that was read late, by less than counts as a pause, counted from its reading.
		it('for as old as the time since it was sent', t => {
			const {clock, sessions} = createFixture();
			sessions.receive('e', createStarts('j', 1));
			clock.advance(190);
			sessions.receive('e', EntryBatch.fromPartial({sentAtMs: clock.now() - 150, senderSilences: [{startSeq: 1, silentMs: 100}]}));
			t.is(sessions.getSilentRunLimit(), clock.now() - 250 + 1100);
		});

		it('for no younger than the one before, and never for one of the future', t => {
			const {clock, sessions} = createFixture();
			sessions.receive('e', createStarts('j', 1));
			sessions.receive('e', EntryBatch.fromPartial({sentAtMs: clock.now() - 150}));
			t.is(sessions.getSilentRunLimit(), clock.now() + 1100);
			sessions.receive('e', EntryBatch.fromPartial({sentAtMs: clock.now() + 500}));
			t.is(sessions.getSilentRunLimit(), clock.now() + 1100);
		});

		it('that stops a run for a stop since it was sent', t => {
			const {clock, sessions, stops} = createFixture();
			sessions.receive('e', createStarts('j', 1));
			clock.advance(300);
			sessions.receive('e', EntryBatch.fromPartial({sentAtMs: clock.now() - 250, stops: [{startSeq: 1}]}));
			t.deepEqual(stops, ['not-needed 0 250 ms ago']);
		});
	});

	describe('with a forwarded job', () => {
		// Issue 49: a run went on for 1.1 s after the last message of the serving entry, and 0.5 s after its stop, whenever the sender was heard last.
		it('let a run go on no longer after the last message of the sender than after that of its entry', t => {
			const {clock, sessions} = createFixture();
			sessions.receive('e', EntryBatch.fromPartial({...createStarts('j', 1), senderSilences: [{startSeq: 1, silentMs: 200}]}));
			t.is(sessions.getSilentRunLimit(), clock.now() + 900);
			clock.advance(100);
			sessions.receive('e', EntryBatch.fromPartial({senderSilences: [{startSeq: 1, silentMs: 300}]}));
			t.is(sessions.getSilentRunLimit(), clock.now() + 800);
			sessions.receive('e', EntryBatch.fromPartial({}));
			t.is(sessions.getSilentRunLimit(), clock.now() + 1100);
		});

		it('count a suspension that the clock of this process did not count in the silence of the sender', t => {
			const {clock, sessions, stops} = createFixture();
			sessions.receive('e', EntryBatch.fromPartial({...createStarts('j', 1), senderSilences: [{startSeq: 1, silentMs: 500}]}));
			sessions.recordPause(400, 400);
			t.is(sessions.getSilentRunLimit(), clock.now() + 200);
			clock.advance(50);
			t.is(stops.length, 1);
		});

		it('let a run that is no longer needed not go on for longer when nothing more is told of its sender', t => {
			const {clock, sessions} = createFixture();
			sessions.receive('e', EntryBatch.fromPartial({...createStarts('j', 1), senderSilences: [{startSeq: 1, silentMs: 700}]}));
			sessions.receive('e', EntryBatch.fromPartial({stops: [{startSeq: 1}]}));
			clock.advance(10);
			sessions.receive('e', EntryBatch.fromPartial({}));
			t.is(sessions.getSilentRunLimit(), clock.now() + 390);
		});

		it('stop a run when its sender has been silent for too long, and none whose sender was heard since', t => {
			const {clock, sessions, stops} = createFixture();
			sessions.receive('e', EntryBatch.fromPartial({...createStarts('j', 2), senderSilences: [{startSeq: 1, silentMs: 400}, {startSeq: 2, silentMs: 400}]}));
			clock.advance(100);
			sessions.receive('e', EntryBatch.fromPartial({senderSilences: [{startSeq: 1, silentMs: 500}, {startSeq: 2, silentMs: 50}]}));
			clock.advance(449);
			t.deepEqual(stops, []);
			clock.advance(1);
			t.deepEqual(stops, ['entry-lost 0 0 ms ago']);
			clock.advance(449);
			t.is(stops.length, 1);
			clock.advance(1);
			t.deepEqual(stops, ['entry-lost 0 0 ms ago', 'entry-lost 1 0 ms ago']);
		});
	});

	// Issue 49: a welcome may have waited on the way since its entry died.
	it('let the runs of an earlier link go on for no longer when the link opens again', t => {
		const {clock, sessions} = createFixture();
		sessions.receive('e', createStarts('j', 1));
		sessions.close('e');
		clock.advance(100);
		sessions.open('e');
		t.is(sessions.getSilentRunLimit(), clock.now() + 1000);
		sessions.receive('e', EntryBatch.fromPartial({sentAtMs: clock.now() - 5}));
		t.is(sessions.getSilentRunLimit(), clock.now() + 1095);
	});

	it('run nothing of a batch in which a start refers to a missing payload', t => {
		const {sessions, runs} = createFixture();
		const {starts} = createStarts('j', 2);
		const [first, second] = [starts[0]!, starts[1]!];
		t.throws(() => {
			sessions.receive('e', EntryBatch.fromPartial({starts: [first, {...second, payloadOf: 7}]}));
		});
		t.is(runs.length, 0);
		sessions.receive('e', EntryBatch.fromPartial({starts: [first, {...second, payloadOf: first.seq}]}));
		t.is(runs.length, 2);
	});

	it('tell whether tasks of an entry run', t => {
		const {sessions, runs} = createFixture();
		t.false(sessions.hasRunningTasks('e'));
		sessions.receive('e', createStarts('j', 1));
		t.true(sessions.hasRunningTasks('e'));
		runs[0]!(completed);
		t.false(sessions.hasRunningTasks('e'));
	});

	describe('results of one job', () => {
		it('travel together with the last of them, which is sent at once', t => {
			const {clock, sessions, runs, outputs} = createFixture();
			sessions.receive('e', createStarts('j', 2));
			runs[0]!(completed);
			t.deepEqual(outputs, []);
			clock.advance(5);
			runs[1]!(completed);
			t.deepEqual(outputs, [10_005]);
			t.is(sessions.takePendingOutput('e').results.length, 2);
		});

		it('do not wait long for each other', t => {
			const {clock, sessions, runs, outputs} = createFixture();
			sessions.receive('e', createStarts('j', 2));
			runs[0]!(completed);
			clock.advance(50);
			t.deepEqual(outputs, [10_050]);
		});

		it('do not wait if a task failed', t => {
			const {sessions, runs, outputs} = createFixture();
			sessions.receive('e', createStarts('j', 2));
			runs[0]!({...completed, outcome: TaskOutcome.TASK_OUTCOME_FAILED});
			t.is(outputs.length, 1);
		});
	});
});
