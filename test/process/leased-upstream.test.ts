import type {ExecutionContext} from 'ava';
import type {RunResult} from '../../src/connection/entry-sessions.js';
import {TaskOutcome, type TaskStart} from '../../src/generated/kingcuplane.js';
import type {Milliseconds} from '../../src/process/clock.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {createLeasedUpstream, type LeasedUpstream} from '../../src/process/leased-upstream.js';
import {describe, it} from '../describe.js';
import {silentLog} from '../silent-log.js';
import {createFakeExecutor, type FakeExecutor} from './fake-executor.js';

const runMs: Milliseconds = 80;

type Bench = {
	readonly clock: FakeClock;
	readonly executor: FakeExecutor;
	readonly upstream: LeasedUpstream;
	readonly ends: RunResult[];
	pause: Milliseconds;
	lives: number;
	start(reference: string, attempt?: number, expectedRunMs?: number): TaskStart;
	pass(time: Milliseconds): Promise<void>;
};

async function open(t: ExecutionContext, length: Milliseconds = runMs, firstToken = 10): Promise<Bench> {
	const clock = createFakeClock(1000);
	const executor = createFakeExecutor(clock, length);
	const bench: Bench = {
		clock,
		executor,
		ends: [],
		pause: 0,
		lives: 0,
		upstream: createLeasedUpstream({
			clock,
			executor,
			firstFencingToken: firstToken,
			maxLeaseMs: 1000,
			log: silentLog,
			onIncarnationChanged() {
				bench.lives++;
			},
			onProjectedSlowdowns: () => undefined,
			onUnreachable: () => undefined,
			takePauseTime() {
				const taken = bench.pause;
				bench.pause = 0;
				return taken;
			},
		}),
		start(reference, attempt = 1, expectedRunMs = 0) {
			const start = createStart(reference, attempt, expectedRunMs);
			bench.upstream.run(start, end => {
				bench.ends.push(end);
			});
			return start;
		},
		async pass(time) {
			for (let i = 0; i < time; i++) {
				clock.advance(1);
				await new Promise(resolve => {
					setImmediate(resolve);
				});
			}
		},
	};
	t.teardown(async () => bench.upstream.close());
	const taken = bench.upstream.takeOver();
	await bench.pass(20);
	await Promise.race([taken, bench.pass(500)]);
	return bench;
}

function createStart(reference: string, attempt: number, expectedRunMs: number): TaskStart {
	return {
		task: {ticket: `kc1.${reference}`, index: 0},
		seq: 1,
		attempt,
		taskCount: 1,
		service: 's',
		payload: new Uint8Array(),
		timeoutMs: 0,
		configVersion: 1,
		idempotent: false,
		caller: 'c',
		reference,
		need: undefined,
		expectedRunMs,
	};
}

describe('leased upstream', () => {
	describe('a run', () => {
		it('ends within some milliseconds of its end at the executor, after any idle time', async t => {
			const bench = await open(t);
			await bench.pass(1234);
			bench.start('a');
			await bench.pass(runMs + 15);
			t.deepEqual(bench.ends.map(({outcome}) => outcome), [TaskOutcome.TASK_OUTCOME_COMPLETED]);
			t.true(bench.ends[0]!.duration < runMs + 15);
		});

		it('is known to have ended soon even if the answer that would have told it is lost', async t => {
			const bench = await open(t);
			bench.start('a');
			await bench.pass(30);
			bench.executor.unansweredCalls.hold = 1;
			await bench.pass(runMs + 50);
			t.is(bench.ends[0]?.outcome, TaskOutcome.TASK_OUTCOME_COMPLETED);
		});

		it('outlives many leases', async t => {
			const bench = await open(t, 3000);
			bench.start('a');
			await bench.pass(3050);
			t.is(bench.ends[0]?.outcome, TaskOutcome.TASK_OUTCOME_COMPLETED);
		});

		it('is stopped when nobody waits for it, also if the first stops get no answer', async t => {
			const bench = await open(t, 5000);
			const start = bench.start('a');
			await bench.pass(50);
			bench.executor.unansweredCalls.stop = 2;
			bench.upstream.stop(start);
			await bench.pass(700);
			t.is(bench.executor.runs[0]?.endDetail, 'stopped');
			t.is(bench.ends[0]?.outcome, TaskOutcome.TASK_OUTCOME_ABORTED);
		});

		it('is stopped when it stands still, but not when it was declared without a run time', async t => {
			const bench = await open(t, 5000);
			bench.executor.isStalled = true;
			bench.start('declared', 1, 100);
			bench.start('undeclared');
			await bench.pass(400);
			t.deepEqual(bench.executor.runs.map(({endDetail: how}) => how), ['stopped', undefined]);
		});

		it('is not taken for stalled because its order waited for a connection', async t => {
			const bench = await open(t, 300);
			bench.executor.startCallDelay = 150;
			bench.start('a', 1, 60);
			await bench.pass(600);
			t.is(bench.executor.runs[0]?.endDetail, 'done');
		});

		it('gets a higher number where an earlier one was stopped', async t => {
			const bench = await open(t, 5000);
			const first = bench.start('a');
			await bench.pass(10);
			bench.upstream.stop(first);
			await bench.pass(300);
			bench.start('a');
			await bench.pass(20);
			t.deepEqual(bench.executor.runs.map(({run, endDetail: how}) => [run, how]), [[1, 'stopped'], [2, undefined]]);
		});

		it('is refused while an earlier one of the task is still being stopped', async t => {
			const bench = await open(t, 5000);
			const first = bench.start('a');
			await bench.pass(10);
			bench.executor.unansweredCalls.stop = 3;
			bench.upstream.stop(first);
			bench.start('a');
			await bench.pass(5);
			t.is(bench.ends[0]?.outcome, TaskOutcome.TASK_OUTCOME_REFUSED);
			t.is(bench.executor.runs.length, 1);
		});
	});

	describe('an order without an answer', () => {
		it('is refused as not run if it had no effect, and never has one', async t => {
			const bench = await open(t);
			bench.executor.unansweredCalls.start = 1;
			bench.executor.unansweredCalls.delay = 2000;
			bench.start('a');
			await bench.pass(300);
			t.is(bench.ends[0]?.outcome, TaskOutcome.TASK_OUTCOME_REFUSED);
			await bench.pass(4000);
			t.is(bench.executor.runs.length, 0);
		});

		it('is refused by its token even if its lease counts from its arrival', async t => {
			const bench = await open(t);
			const tokenBefore = bench.executor.getFencingToken();
			bench.executor.unansweredCalls.start = 1;
			bench.start('a');
			await bench.pass(300);
			t.true(bench.executor.getFencingToken() > tokenBefore);
		});

		it('is adopted if it had an effect', async t => {
			const bench = await open(t, 400);
			bench.executor.unansweredCalls.start = 1;
			bench.executor.unansweredCalls.delay = 5;
			bench.start('a');
			await bench.pass(600);
			t.is(bench.executor.runs.length, 1);
			t.is(bench.ends[0]?.outcome, TaskOutcome.TASK_OUTCOME_COMPLETED);
		});
	});

	describe('an executor that does not answer', () => {
		it('has its runs ended only once its lease has run out there', async t => {
			const bench = await open(t, 5000);
			bench.start('a');
			await bench.pass(200);
			bench.executor.isUnreachable = true;
			while (bench.ends.length === 0 && bench.clock.now() < 6000) {
				await bench.pass(1);
			}

			t.is(bench.ends[0]?.outcome, TaskOutcome.TASK_OUTCOME_ABORTED);
			t.is(bench.executor.runs[0]?.endDetail, 'lapsed');
			t.false(await bench.upstream.isReachable());
		});

		it('is used again when it answers', async t => {
			const bench = await open(t, 5000);
			bench.executor.isUnreachable = true;
			await bench.pass(2000);
			bench.executor.isUnreachable = false;
			await bench.pass(300);
			t.true(await bench.upstream.isReachable());
		});

		it('keeps its runs if only single answers are lost', async t => {
			const bench = await open(t, 2000);
			bench.start('a');
			for (let i = 0; i < 5; i++) {
				bench.executor.unansweredCalls.hold = 1;
				await bench.pass(390);
			}

			await bench.pass(300);
			t.is(bench.ends[0]?.outcome, TaskOutcome.TASK_OUTCOME_COMPLETED);
		});
	});

	describe('taking over', () => {
		it('leaves the executor ready for orders at once', async t => {
			const bench = await open(t);
			t.true(await bench.upstream.isReachable());
			const second = createLeasedUpstream({
				clock: bench.clock, executor: bench.executor, firstFencingToken: 20, maxLeaseMs: 1000, log: silentLog, onIncarnationChanged: () => undefined, onProjectedSlowdowns: () => undefined, onUnreachable: () => undefined, takePauseTime: () => 0,
			});
			t.teardown(async () => second.close());
			const taken = second.takeOver();
			await bench.upstream.close();
			await bench.pass(3);
			await taken;
			t.true(await second.isReachable());
		});

		it('stops what an earlier agent left and uses a higher token than it', async t => {
			const bench = await open(t, 5000);
			bench.start('a');
			await bench.pass(20);
			const second = createLeasedUpstream({
				clock: bench.clock, executor: bench.executor, firstFencingToken: 3, maxLeaseMs: 1000, log: silentLog, onIncarnationChanged: () => undefined, onProjectedSlowdowns: () => undefined, onUnreachable: () => undefined, takePauseTime: () => 0,
			});
			t.teardown(async () => second.close());
			const taken = second.takeOver();
			await bench.upstream.close();
			await bench.pass(300);
			await taken;
			t.is(bench.executor.runs[0]?.endDetail, 'stopped');
		});
	});

	describe('a pause of this process', () => {
		it('stops all runs if the executor\'s clock went on', async t => {
			const bench = await open(t, 5000);
			bench.start('a');
			await bench.pass(100);
			// The steady clock does not count a suspended machine; here the executor's clock is moved instead.
			bench.clock.advance(450);
			bench.pause = 450;
			await bench.pass(400);
			t.is(bench.executor.runs[0]?.endDetail, 'stopped');
		});
	});

	it('tells at the take-over that the executor is another life than the one meant', async t => {
		const clock = createFakeClock(1000);
		let lives = 0;
		const upstream = createLeasedUpstream({
			clock,
			executor: createFakeExecutor(clock, runMs),
			executorStartedAt: 77,
			firstFencingToken: 1,
			maxLeaseMs: 1000,
			log: silentLog,
			onIncarnationChanged() {
				lives++;
				void upstream.close();
			},
			onProjectedSlowdowns: () => undefined,
			onUnreachable: () => undefined,
			takePauseTime: () => 0,
		});
		const taken = upstream.takeOver();
		for (let i = 0; i < 100; i++) {
			clock.advance(1);
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}

		await taken;
		t.is(lives, 1);
		t.false(await upstream.isReachable());
	});

	it('tells of another life of the executor', async t => {
		const bench = await open(t);
		bench.executor.startedAt = 2;
		await bench.pass(600);
		t.true(bench.lives > 0);
	});
});
