import {okAsync, type ResultAsync} from 'neverthrow';
import type {Diagnostic} from '../../src/process/diagnostics.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {createMemoryPlatform, type MemoryPlatform, type PlatformFaults} from '../../src/process/platform/memory.js';
import type {Platform, PlatformError, TableStore} from '../../src/process/platform/types.js';
import {loadAuditRecords, loadNewestSnapshot} from '../../src/version/load.js';
import {retainedVersionCount, publishChangeSet, type PublishResult} from '../../src/version/publish.js';
import type {ChangeSet} from '../../src/version/types.js';
import {describe, it} from '../describe.js';
import {
	createChangeSet, createTeamChangeSet, sampleObjectsToml, runUntilSettled,
} from './fixtures.js';

type Fixture = {
	readonly clock: FakeClock;
	readonly platform: MemoryPlatform;
	publish(changeSet: ChangeSet, usedPlatform?: Platform): Promise<PublishResult>;
	publishRejected(changeSet: ChangeSet, usedPlatform?: Platform): Promise<readonly Diagnostic[]>;
	getVersion(): Promise<number>;
	getTeams(): Promise<string[]>;
};

describe('publish', () => {
	it('writes the head row, the snapshot and the audit record of each version', async t => {
		const fixture = createFixture();
		t.deepEqual(await fixture.publish(createChangeSet('first', 0, sampleObjectsToml)), {version: 1, isRepetition: false});
		t.deepEqual(await fixture.publish(createTeamChangeSet('second', 1, 'dinner')), {version: 2, isRepetition: false});
		t.deepEqual(await fixture.getTeams(), ['lunch', 'dinner']);
		const audit = await runUntilSettled(fixture.clock, loadAuditRecords(fixture.platform, 0, 10));
		const records = audit._unsafeUnwrap();
		t.deepEqual(records.map(record => [record.version, record.changeSet, record.author, record.reason]), [
			[1, 'first', 'ana', 'lunch rush'],
			[2, 'second', 'ana', 'lunch rush'],
		]);
		t.deepEqual(records[1]?.summary, ['put team dinner']);
	});

	it('writes nothing of an invalid change set', async t => {
		const fixture = createFixture();
		const diagnostics = await fixture.publishRejected(createChangeSet('bad', 0, `${sampleObjectsToml}\n[[upstream]]\nname = "x"\nservice = "booking"\nslots = 0\n`));
		t.deepEqual(diagnostics.map(diagnostic => diagnostic.kind), ['FieldOutOfRange', 'ReferenceBroken']);
		t.deepEqual(fixture.platform.getStats().objectWrites + fixture.platform.getStats().tableWrites, 0);
	});

	describe('a lost reply', () => {
		it('to a transaction that took effect gives one version, reported as a repetition', async t => {
			const fixture = createFixture();
			const changeSet = createTeamChangeSet('first', 0, 'lunch');
			const usedPlatform = loseFirstCommitReply(fixture.platform);
			t.deepEqual(await fixture.publish(changeSet, usedPlatform), {version: 1, isRepetition: true});
			t.is(fixture.platform.getStats().repliesLost, 1);
			t.deepEqual(await fixture.publish(changeSet), {version: 1, isRepetition: true});
			t.is(await fixture.getVersion(), 1);
		});

		it('to the write of the snapshot also gives one version', async t => {
			const fixture = createFixture();
			fixture.platform.setFaults({repliesToLose: 1});
			t.deepEqual(await fixture.publish(createTeamChangeSet('first', 0, 'lunch')), {version: 1, isRepetition: false});
			t.is(fixture.platform.getStats().repliesLost, 1);
		});

		it('is recognised even after others have published and while reads are stale', async t => {
			const fixture = createFixture();
			const changeSet = createTeamChangeSet('first', 0, 'lunch');
			await fixture.publish(changeSet);
			await fixture.publish(createTeamChangeSet('second', 1, 'dinner'));
			fixture.platform.setFaults({oldReadsMs: 1000});
			t.deepEqual(await fixture.publish(changeSet), {version: 1, isRepetition: true});
			fixture.platform.setFaults({oldReadsMs: 0});
			t.is(await fixture.getVersion(), 2);
		});

		it('is reported as uncertain, with the identifier, if the platform stays unreachable', async t => {
			const fixture = createFixture();
			const usedPlatform = loseFirstCommitReply(fixture.platform, {down: true});
			const [diagnostic] = await fixture.publishRejected(createTeamChangeSet('first', 0, 'lunch'), usedPlatform);
			t.is(diagnostic?.kind, 'PublishUncertain');
			t.regex(diagnostic!.remedy, /--id first/v);
		});

		it('is not assumed if no transaction was sent, and publishing is reported as failed', async t => {
			const fixture = createFixture();
			fixture.platform.setFaults({down: true});
			const [diagnostic] = await fixture.publishRejected(createTeamChangeSet('first', 0, 'lunch'));
			t.is(diagnostic?.kind, 'PublishFailed');
		});

		it('does not turn another change set with the same identifier into a repetition', async t => {
			const fixture = createFixture();
			await fixture.publish(createTeamChangeSet('first', 0, 'lunch'));
			const [diagnostic] = await fixture.publishRejected(createTeamChangeSet('first', 1, 'dinner'));
			t.is(diagnostic?.kind, 'ChangeSetIdTaken');
		});
	});

	describe('racing operators', () => {
		it('get the version, author and objects of a conflict', async t => {
			const fixture = createFixture();
			await fixture.publish(createChangeSet('first', 0, sampleObjectsToml));
			await fixture.publish(createTeamChangeSet('second', 1, 'lunch', 'ben'));
			await fixture.publish(createTeamChangeSet('third', 2, 'dinner', 'cleo'));
			const diagnostics = await fixture.publishRejected(createTeamChangeSet('fourth', 1, 'lunch'));
			t.deepEqual(diagnostics.map(diagnostic => diagnostic.message), ['Version 2 by ben (lunch rush) has changed the same objects meanwhile: team lunch.']);
			t.is(await fixture.getVersion(), 3);
		});

		it('both publish, in some order, if their objects differ', async t => {
			const fixture = createFixture();
			const [ana, ben] = await runUntilSettled(fixture.clock, Promise.all([
				publishChangeSet(fixture, createTeamChangeSet('ana-1', 0, 'lunch')),
				publishChangeSet(fixture, createTeamChangeSet('ben-1', 0, 'dinner', 'ben')),
			]));
			t.deepEqual([ana._unsafeUnwrap().version, ben._unsafeUnwrap().version].toSorted((a, b) => a - b), [1, 2]);
			t.deepEqual(await fixture.getTeams(), ['lunch', 'dinner']);
		});

		it('cannot create a broken reference by change sets that are valid on their own', async t => {
			const fixture = createFixture();
			await fixture.publish(createChangeSet('first', 0, '[[policy]]\nname = "default"\n'));
			await fixture.publish(createChangeSet('ben-1', 1, '[[delete]]\nkind = "policy"\nname = "default"\n', 'ben'));
			const [diagnostic] = await fixture.publishRejected(createChangeSet('ana-1', 1, '[[service]]\nname = "ordering"\npolicy = "default"\n'));
			t.is(diagnostic?.kind, 'ReferenceBroken');
		});

		it('never publish the same version: each of twenty change sets gets its own', async t => {
			const fixture = createFixture();
			const pending = Array.from({length: 20}, (_, index) => publishChangeSet({...fixture, maxAttempts: 40}, createTeamChangeSet(`set-${index}`, 0, `team-${index}`)));
			const results = await runUntilSettled(fixture.clock, Promise.all(pending));
			const versions = results.map(result => result._unsafeUnwrap().version);
			t.deepEqual(versions.toSorted((a, b) => a - b), Array.from({length: 20}, (_, index) => index + 1));
			t.is(new Set(await fixture.getTeams()).size, 20);
		});
	});

	describe('stale reads', () => {
		it('are detected by the transaction', async t => {
			const fixture = createFixture();
			await fixture.publish(createTeamChangeSet('first', 0, 'lunch'));
			fixture.clock.advance(400);
			await fixture.publish(createTeamChangeSet('second', 1, 'dinner'));
			fixture.platform.setFaults({oldReadsMs: 300});
			t.deepEqual(await fixture.publish(createTeamChangeSet('third', 1, 'supper')), {version: 3, isRepetition: false});
			fixture.platform.setFaults({oldReadsMs: 0});
			t.deepEqual(await fixture.getTeams(), ['lunch', 'dinner', 'supper']);
		});

		it('of the row of a change set do not publish it twice, even if its base is newer than its version', async t => {
			const fixture = createFixture();
			const changeSet = createTeamChangeSet('first', 0, 'lunch');
			await fixture.publish(changeSet);
			const {get} = fixture.platform.table;
			const usedPlatform = replaceTable(fixture.platform, {get: answerOnce(get, key => key === 'config/changeset/first', undefined)});
			t.deepEqual(await fixture.publish({...changeSet, base: 1}, usedPlatform), {version: 1, isRepetition: true});
			t.is(await fixture.getVersion(), 1);
		});

		it('of the audit trail do not hide a conflict', async t => {
			const fixture = createFixture();
			await fixture.publish(createTeamChangeSet('first', 0, 'lunch'));
			const {scan} = fixture.platform.table;
			const usedPlatform = replaceTable(fixture.platform, {scan: answerOnce(scan, () => true, [])});
			const [diagnostic] = await fixture.publishRejected(createTeamChangeSet('second', 0, 'lunch'), usedPlatform);
			t.is(diagnostic?.kind, 'ChangeSetConflicts');
		});

		it('lead to a rejection that names both versions if they persist', async t => {
			const fixture = createFixture();
			const [diagnostic] = await fixture.publishRejected(createTeamChangeSet('first', 7, 'lunch'));
			t.is(diagnostic?.kind, 'BaseUnknown');
		});
	});

	it('deletes the snapshots of old versions', async t => {
		const fixture = createFixture();
		for (let version = 0; version < retainedVersionCount + 3; version++) {
			await fixture.publish(createTeamChangeSet(`set-${version}`, version, 'lunch'));
		}

		const keys = await runUntilSettled(fixture.clock, fixture.platform.objects.list('config/', 1000));
		t.is(keys._unsafeUnwrap().length, retainedVersionCount);
	});
});

function createFixture(): Fixture {
	const clock = createFakeClock();
	const platform = createMemoryPlatform({clock});
	return {
		clock,
		platform,
		async publish(changeSet, usedPlatform = platform) {
			const result = await runUntilSettled(clock, publishChangeSet({platform: usedPlatform, clock}, changeSet));
			return result._unsafeUnwrap();
		},
		async publishRejected(changeSet, usedPlatform = platform) {
			const result = await runUntilSettled(clock, publishChangeSet({platform: usedPlatform, clock}, changeSet));
			return result._unsafeUnwrapErr();
		},
		async getVersion() {
			const newest = await runUntilSettled(clock, loadNewestSnapshot(platform));
			return newest._unsafeUnwrap().version;
		},
		async getTeams() {
			const newest = await runUntilSettled(clock, loadNewestSnapshot(platform));
			return [...newest._unsafeUnwrap().teams.keys()];
		},
	};
}

/** Returns a platform whose first transaction takes effect but loses its reply. The faults `next` are active from then on. */
function loseFirstCommitReply(platform: MemoryPlatform, next: Partial<PlatformFaults> = {}): Platform {
	const {commit} = platform.table;
	let isFirst = true;
	return replaceTable(platform, {
		commit(transaction) {
			if (!isFirst) {
				return commit(transaction);
			}

			isFirst = false;
			platform.setFaults({repliesToLose: 1});
			return commit(transaction).orTee(() => {
				platform.setFaults(next);
			});
		},
	});
}

function replaceTable(platform: Platform, calls: Partial<TableStore>): Platform {
	return {...platform, table: {...platform.table, ...calls}};
}

/** Wraps `read` so that the first call with a selected key returns `staleValue`. */
function answerOnce<A extends readonly unknown[], T>(
	read: (key: string, ...rest: A) => ResultAsync<T, PlatformError>,
	isSelected: (key: string) => boolean,
	staleValue: T,
): (key: string, ...rest: A) => ResultAsync<T, PlatformError> {
	let isAnswered = false;
	return (key, ...rest) => {
		if (isAnswered || !isSelected(key)) {
			return read(key, ...rest);
		}

		isAnswered = true;
		return okAsync(staleValue);
	};
}
