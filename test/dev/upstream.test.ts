import {Buffer} from 'node:buffer';
import {
	createUpstream, tryParseRunTimeDistribution, type RunTimeDistribution, type Upstream, type UpstreamReply,
} from '../../dev/upstream.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {describe, it} from '../describe.js';

describe('stand-in upstream', () => {
	it('echoes the task and its payload after the run time', t => {
		const {clock, upstream, start, replies} = createFixture({kind: 'fixed', ms: 100});
		start('A/0', 'x');
		clock.advance(99);
		t.is(upstream.getCounts().running, 1);
		t.is(replies.length, 0);

		clock.advance(1);
		t.deepEqual(replies, [{kind: 'completed', body: {task: 'A/0', payload: 'eA==', runMs: 100}}]);
		t.is(upstream.getCounts().running, 0);
	});

	it('takes the run time from the payload', t => {
		const {clock, start, replies} = createFixture({kind: 'fixed', ms: 100});
		start('A/0', '{"runMs": 7}');
		clock.advance(7);
		t.is(replies[0]?.body.runMs, 7);
	});

	it('counts starts by task and attempt, and starts while all slots are in use', t => {
		const {upstream, start} = createFixture({kind: 'fixed', ms: 100}, 2);
		start('A/0', '', '1');
		start('A/0', '', '1');
		start('A/0', '', '2');
		start('B/0', '', '1');
		t.deepEqual(upstream.getCounts(), {
			total: 4, distinct: 2, greatest: 3, greatestOfAttempt: 2, running: 4, mostRunning: 4, violations: 2,
		});
		t.deepEqual(upstream.getStarts().get('A/0'), {starts: 3, attempts: {1: 2, 2: 1}});
	});

	it('draws the same run times from the same seed, with the stated mean', t => {
		const [first = [], again, other] = [1, 1, 2].map(seed => drawMany(seed));
		t.deepEqual(first, again);
		t.notDeepEqual(first, other);
		const mean = first.reduce((sum, ms) => sum + ms, 0) / first.length;
		t.true(mean > 90 && mean < 110, `mean ${mean}`);
	});

	it('fails at once, straggles and delays on demand', t => {
		const {clock, upstream, start, replies} = createFixture({kind: 'fixed', ms: 100});
		upstream.setFaults({failFast: true});
		start('A/0');
		clock.advance(1);
		t.is(replies[0]?.kind, 'failed');

		upstream.setFaults({failFast: false, straggleShare: 1, straggleFactor: 3});
		start('A/1');
		clock.advance(300);
		t.is(replies[1]?.body.runMs, 300);

		upstream.setFaults({straggleShare: 0, latencyMs: 5});
		start('A/2');
		t.is(upstream.getCounts().total, 2);
		clock.advance(5);
		t.is(upstream.getCounts().total, 3);
		clock.advance(104);
		t.is(replies.length, 2);
		clock.advance(1);
		t.is(replies.length, 3);
	});

	it('answers nothing while it is frozen', t => {
		const {clock, upstream, start, replies} = createFixture({kind: 'fixed', ms: 100});
		start('A/0');
		upstream.freeze(500);
		clock.advance(400);
		upstream.freeze(500);
		clock.advance(499);
		t.is(replies.length, 0);
		t.is(upstream.getCounts().running, 1);

		clock.advance(1);
		t.is(replies.length, 1);
	});

	it('parses run times', t => {
		t.deepEqual(tryParseRunTimeDistribution('uniform:50:1000'), {kind: 'uniform', min: 50, max: 1000});
		for (const text of ['', 'fixed', 'fixed:x', 'uniform:5', 'uniform:5:4', 'other:1']) {
			t.is(tryParseRunTimeDistribution(text), undefined, text);
		}
	});
});

type UpstreamFixture = {
	readonly clock: FakeClock;
	readonly upstream: Upstream;
	readonly replies: UpstreamReply[];
	start(task: string, payload?: string, attempt?: string): void;
};

function createFixture(runTimes: RunTimeDistribution, slots = 8, seed = 1): UpstreamFixture {
	const clock = createFakeClock();
	const replies: UpstreamReply[] = [];
	const upstream = createUpstream({
		clock, seed, slots, runTimes,
	});
	return {
		clock,
		upstream,
		replies,
		start(task, payload = '', attempt = '1') {
			upstream.run({task, attempt, payload: Buffer.from(payload)}, reply => replies.push(reply));
		},
	};
}

function drawMany(seed: number): readonly number[] {
	const {clock, start, replies} = createFixture({kind: 'exponential', mean: 100}, 2000, seed);
	for (let i = 0; i < 2000; i++) {
		start(`A/${i}`);
	}

	clock.advance(10_000);
	return replies.map(({body}) => body.runMs);
}
