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

type Fixture = {
	readonly clock: FakeClock;
	readonly platform: MemoryPlatform;
	readonly follower: ConfigFollower;
	/** Versions that became active, in order. */
	readonly versions: number[];
	readonly diagnostics: Diagnostic[];
	/** Publishes the version that follows `base`. */
	publish(base: number): Promise<void>;
};

const secondMs = 1000;

describe('polling follower', () => {
	it('applies each new version within one poll interval', async t => {
		const fixture = createFixture();
		fixture.follower.start();
		await flushPromises();
		t.is(fixture.follower.tryGet(), undefined);
		await fixture.publish(0);
		await advanceClock(fixture.clock, 1.2 * secondMs);
		await fixture.publish(1);
		await advanceClock(fixture.clock, 1.2 * secondMs);
		t.deepEqual(fixture.versions, [1, 2]);
		t.is(fixture.follower.get().version, 2);
		fixture.follower.stop();
	});

	it('never returns to an older version when the store serves stale reads', async t => {
		const fixture = createFixture();
		await fixture.publish(0);
		await advanceClock(fixture.clock, 10 * secondMs);
		await fixture.publish(1);
		fixture.follower.start();
		await flushPromises();
		fixture.platform.setFaults({oldReadsMs: 5 * secondMs});
		await advanceClock(fixture.clock, 4 * secondMs);
		t.is(fixture.follower.get().version, 2);
		t.deepEqual(fixture.versions, [2]);
		t.deepEqual([...new Set(fixture.diagnostics.map(diagnostic => diagnostic.kind))], ['VersionOvertaken']);
		fixture.follower.stop();
	});

	it('never returns to an older version when a peer offers it, and ignores an offer of the same version', t => {
		const fixture = createFixture();
		t.is(fixture.follower.offer(encode(5))._unsafeUnwrap(), 'in-force');
		t.is(fixture.follower.offer(encode(4))._unsafeUnwrap(), 'not-newer');
		t.is(fixture.follower.offer(encode(5))._unsafeUnwrap(), 'not-newer');
		t.deepEqual(fixture.versions, [5]);
	});

	it('never returns to an older version when a peer offers a newer one during a read', async t => {
		const clock = createFakeClock();
		const platform = createMemoryPlatform({clock});
		const gate = createGate(platform.objects);
		const fixture = createFixture({clock, platform, followerPlatform: {...platform, objects: gate.objects}});
		await fixture.publish(0);
		const pending = fixture.follower.poll();
		await flushPromises();
		t.is(fixture.follower.offer(encode(7))._unsafeUnwrap(), 'in-force');
		gate.open();
		await pending;
		t.is(fixture.follower.get().version, 7);
		t.deepEqual(fixture.versions, [7]);
	});

	it('never returns to an older version when polls complete out of order', async t => {
		const clock = createFakeClock();
		const platform = createMemoryPlatform({clock});
		const gate = createGate(platform.objects);
		const fixture = createFixture({clock, platform, followerPlatform: {...platform, objects: gate.objects}});
		await fixture.publish(0);
		const slowPoll = fixture.follower.poll();
		await flushPromises();
		await fixture.publish(1);
		gate.passNext();
		await fixture.follower.poll();
		gate.open();
		await slowPoll;
		t.deepEqual(fixture.versions, [2]);
	});

	it('catches up in one step after a pause of the process across several changes', async t => {
		const fixture = createFixture();
		await fixture.publish(0);
		fixture.follower.start();
		await flushPromises();
		for (let version = 1; version < 5; version++) {
			await fixture.publish(version);
		}

		// A paused process runs no timers; when it resumes, the overdue timer fires first.
		fixture.clock.advance(60 * secondMs);
		await flushPromises();
		await advanceClock(fixture.clock, 2 * secondMs);
		t.deepEqual(fixture.versions, [1, 5]);
		fixture.follower.stop();
	});

	it('starts during an outage with a version that a peer offers, and polls less often until the outage ends', async t => {
		const fixture = createFixture();
		await fixture.publish(0);
		fixture.platform.setFaults({down: true});
		const before = fixture.platform.getStats().refused;
		fixture.follower.start();
		await flushPromises();
		t.is(fixture.follower.tryGet(), undefined);
		t.is(fixture.follower.offer(encode(1))._unsafeUnwrap(), 'in-force');
		await advanceClock(fixture.clock, 60 * secondMs);
		t.is(fixture.follower.get().version, 1);
		const polls = fixture.platform.getStats().refused - before;
		t.true(polls <= 12, `${polls} polls in 60 s`);
		t.is(fixture.diagnostics.length, polls);
		fixture.platform.setFaults({down: false});
		await fixture.publish(1);
		await advanceClock(fixture.clock, 10 * secondMs);
		t.deepEqual(fixture.versions, [1, 2]);
		fixture.follower.stop();
	});

	it('keeps the active version and reports a diagnostic when a newer version cannot be read', async t => {
		const fixture = createFixture();
		await fixture.publish(0);
		await fixture.follower.poll();
		await fixture.publish(1);
		const head = await runUntilSettled(fixture.clock, loadHead(fixture.platform));
		const key = head._unsafeUnwrap().head!.object;
		await fixture.platform.objects.put(key, new TextEncoder().encode('{'));
		await fixture.follower.poll();
		await fixture.platform.objects.put(key, encode(1));
		await fixture.follower.poll();
		await fixture.platform.objects.delete(key);
		await fixture.follower.poll();
		t.true(fixture.follower.offer(new TextEncoder().encode('[]')).isErr());
		t.is(fixture.follower.get().version, 1);
		t.deepEqual(fixture.diagnostics.map(diagnostic => diagnostic.kind), ['SnapshotInvalid', 'SnapshotInvalid', 'SnapshotAbsent', 'SnapshotInvalid']);
	});

	it('provides the active version for peers', async t => {
		const first = createFixture();
		await first.publish(0);
		await first.follower.poll();
		const other = createFixture();
		other.follower.offer(first.follower.tryGetEncoded()!);
		t.deepEqual(other.follower.get(), first.follower.get());
	});
});

type FixtureOptions = {
	readonly clock: FakeClock;
	readonly platform: MemoryPlatform;
	/** The platform that the follower reads. */
	readonly followerPlatform: Platform;
};

function createFixture(options?: FixtureOptions): Fixture {
	const clock = options?.clock ?? createFakeClock();
	const platform = options?.platform ?? createMemoryPlatform({clock});
	const versions: number[] = [];
	const diagnostics: Diagnostic[] = [];
	const follower = createPollingFollower({
		platform: options?.followerPlatform ?? platform,
		clock,
		random: () => 0.5,
		onDiagnostic: diagnostic => diagnostics.push(diagnostic),
	});
	follower.onChange(snapshot => versions.push(snapshot.version));
	return {
		clock,
		platform,
		follower,
		versions,
		diagnostics,
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
	/** Lets the next read complete at once. */
	passNext(): void;
	/** Lets all pending reads complete. */
	open(): void;
};

/** Creates an object store whose reads get the data at once but complete only when the gate opens. */
function createGate(objects: ObjectStore): Gate {
	const pendingReads: Array<() => void> = [];
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
					pendingReads.push(resolve);
				});
				return objects.get(key).andThen(bytes => ResultAsync.fromSafePromise(opened).map(() => bytes));
			},
		},
		passNext() {
			passes++;
		},
		open() {
			for (const resolve of pendingReads) {
				resolve();
			}
		},
	};
}
