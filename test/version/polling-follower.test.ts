import {ResultAsync} from 'neverthrow';
import type {Diagnostic} from '../../src/process/diagnostics.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {createMemoryPlatform, type MemoryPlatform} from '../../src/process/platform/memory.js';
import type {ObjectStore, Platform} from '../../src/process/platform/types.js';
import {createPollingFollower, type ConfigFollower} from '../../src/version/polling-follower.js';
import {loadHead} from '../../src/version/load.js';
import {publishChangeSet} from '../../src/version/publish.js';
import {encodeSnapshot} from '../../src/version/snapshot-codec.js';
import {applyChanges, emptySnapshot} from '../../src/version/snapshot.js';
import {describe, it} from '../describe.js';
import {
	advanceClock, createTeamChangeSet, flushPromises, parseChanges, runUntilSettled,
} from './fixtures.js';

type Bench = {
	readonly clock: FakeClock;
	readonly platform: MemoryPlatform;
	readonly follower: ConfigFollower;
	/** Versions that came into force, in order. */
	readonly versions: number[];
	readonly faults: Diagnostic[];
	/** Publishes the version that follows `base`. */
	publish(base: number): Promise<void>;
};

const second = 1000;

describe('version follower', () => {
	it('takes each new version within a poll', async t => {
		const bench = createBench();
		bench.follower.start();
		await flushPromises();
		t.is(bench.follower.tryGet(), undefined);
		await bench.publish(0);
		await advanceClock(bench.clock, 1.2 * second);
		await bench.publish(1);
		await advanceClock(bench.clock, 1.2 * second);
		t.deepEqual(bench.versions, [1, 2]);
		t.is(bench.follower.get().version, 2);
		bench.follower.stop();
	});

	it('never goes back when the store serves old reads', async t => {
		const bench = createBench();
		await bench.publish(0);
		await advanceClock(bench.clock, 10 * second);
		await bench.publish(1);
		bench.follower.start();
		await flushPromises();
		bench.platform.setFaults({oldReadsMs: 5 * second});
		await advanceClock(bench.clock, 4 * second);
		t.is(bench.follower.get().version, 2);
		t.deepEqual(bench.versions, [2]);
		t.deepEqual([...new Set(bench.faults.map(fault => fault.kind))], ['VersionOvertaken']);
		bench.follower.stop();
	});

	it('never goes back when a peer offers an older version or the same one', t => {
		const bench = createBench();
		t.is(bench.follower.offer(encode(5))._unsafeUnwrap(), 'in-force');
		t.is(bench.follower.offer(encode(4))._unsafeUnwrap(), 'not-newer');
		t.is(bench.follower.offer(encode(5))._unsafeUnwrap(), 'not-newer');
		t.deepEqual(bench.versions, [5]);
	});

	it('never goes back when a read is overtaken by an offer', async t => {
		const clock = createFakeClock();
		const platform = createMemoryPlatform({clock});
		const gate = createGate(platform.objects);
		const bench = createBench({clock, platform, through: {...platform, objects: gate.objects}});
		await bench.publish(0);
		const pending = bench.follower.poll();
		await flushPromises();
		t.is(bench.follower.offer(encode(7))._unsafeUnwrap(), 'in-force');
		gate.open();
		await pending;
		t.is(bench.follower.get().version, 7);
		t.deepEqual(bench.versions, [7]);
	});

	it('never goes back when polls answer out of order', async t => {
		const clock = createFakeClock();
		const platform = createMemoryPlatform({clock});
		const gate = createGate(platform.objects);
		const bench = createBench({clock, platform, through: {...platform, objects: gate.objects}});
		await bench.publish(0);
		const slow = bench.follower.poll();
		await flushPromises();
		await bench.publish(1);
		gate.passNext();
		await bench.follower.poll();
		gate.open();
		await slow;
		t.deepEqual(bench.versions, [2]);
	});

	it('catches up in one step after being frozen across changes', async t => {
		const bench = createBench();
		await bench.publish(0);
		bench.follower.start();
		await flushPromises();
		for (let version = 1; version < 5; version++) {
			await bench.publish(version);
		}

		// A frozen process runs no timers; on its return the overdue one fires first.
		bench.clock.advance(60 * second);
		await flushPromises();
		await advanceClock(bench.clock, 2 * second);
		t.deepEqual(bench.versions, [1, 5]);
		bench.follower.stop();
	});

	it('starts in an outage with what a peer offers, and polls less often until it ends', async t => {
		const bench = createBench();
		await bench.publish(0);
		bench.platform.setFaults({down: true});
		const before = bench.platform.getStats().refused;
		bench.follower.start();
		await flushPromises();
		t.is(bench.follower.tryGet(), undefined);
		t.is(bench.follower.offer(encode(1))._unsafeUnwrap(), 'in-force');
		await advanceClock(bench.clock, 60 * second);
		t.is(bench.follower.get().version, 1);
		const polls = bench.platform.getStats().refused - before;
		t.true(polls <= 12, `${polls} polls in 60 s`);
		t.is(bench.faults.length, polls);
		bench.platform.setFaults({down: false});
		await bench.publish(1);
		await advanceClock(bench.clock, 10 * second);
		t.deepEqual(bench.versions, [1, 2]);
		bench.follower.stop();
	});

	it('stays on its version when a newer one cannot be read, and says why', async t => {
		const bench = createBench();
		await bench.publish(0);
		await bench.follower.poll();
		await bench.publish(1);
		const head = await runUntilSettled(bench.clock, loadHead(bench.platform));
		const key = head._unsafeUnwrap().head!.object;
		await bench.platform.objects.put(key, new TextEncoder().encode('{'));
		await bench.follower.poll();
		await bench.platform.objects.put(key, encode(1));
		await bench.follower.poll();
		await bench.platform.objects.delete(key);
		await bench.follower.poll();
		t.true(bench.follower.offer(new TextEncoder().encode('[]')).isErr());
		t.is(bench.follower.get().version, 1);
		t.deepEqual(bench.faults.map(fault => fault.kind), ['SnapshotInvalid', 'SnapshotInvalid', 'SnapshotAbsent', 'SnapshotInvalid']);
	});

	it('offers to peers what it has in force', async t => {
		const first = createBench();
		await first.publish(0);
		await first.follower.poll();
		const other = createBench();
		other.follower.offer(first.follower.tryGetEncoded()!);
		t.deepEqual(other.follower.get(), first.follower.get());
	});
});

type BenchOptions = {
	readonly clock: FakeClock;
	readonly platform: MemoryPlatform;
	/** The platform as the follower sees it. */
	readonly through: Platform;
};

function createBench(options?: BenchOptions): Bench {
	const clock = options?.clock ?? createFakeClock();
	const platform = options?.platform ?? createMemoryPlatform({clock});
	const versions: number[] = [];
	const faults: Diagnostic[] = [];
	const follower = createPollingFollower({
		platform: options?.through ?? platform,
		clock,
		random: () => 0.5,
		onDiagnostic: fault => faults.push(fault),
	});
	follower.onChange(snapshot => versions.push(snapshot.version));
	return {
		clock,
		platform,
		follower,
		versions,
		faults,
		async publish(base) {
			const published = await runUntilSettled(clock, publishChangeSet({platform, clock}, createTeamChangeSet(`set-${base + 1}`, base, `team-${base + 1}`)));
			published._unsafeUnwrap();
		},
	};
}

function encode(version: number): Uint8Array {
	return encodeSnapshot(applyChanges(emptySnapshot, parseChanges('[[team]]\nname = "lunch"\nmaxTasks = 1\n'), version));
}

type Gate = {
	readonly objects: ObjectStore;
	/** Lets the next read through at once. */
	passNext(): void;
	/** Lets all held reads through. */
	open(): void;
};

/** An object store whose reads wait for a signal after they have read. */
function createGate(objects: ObjectStore): Gate {
	const held: Array<() => void> = [];
	let passes = 0;
	return {
		objects: {
			...objects,
			get(key) {
				if (passes > 0) {
					passes--;
					return objects.get(key);
				}

				const opened = new Promise<void>(resolve => {
					held.push(resolve);
				});
				return objects.get(key).andThen(bytes => ResultAsync.fromSafePromise(opened).map(() => bytes));
			},
		},
		passNext() {
			passes++;
		},
		open() {
			for (const resolve of held) {
				resolve();
			}
		},
	};
}
