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

type Bench = {
	readonly clock: FakeClock;
	readonly platform: MemoryPlatform;
	publish(changeSet: ChangeSet, through?: Platform): Promise<PublishResult>;
	refuse(changeSet: ChangeSet, through?: Platform): Promise<readonly Diagnostic[]>;
	getVersion(): Promise<number>;
	getTeams(): Promise<string[]>;
};

describe('publish', () => {
	it('writes head, object and audit record, and the next version follows', async t => {
		const bench = createBench();
		t.deepEqual(await bench.publish(createChangeSet('first', 0, sampleObjectsToml)), {version: 1, isRepetition: false});
		t.deepEqual(await bench.publish(createTeamChangeSet('second', 1, 'dinner')), {version: 2, isRepetition: false});
		t.deepEqual(await bench.getTeams(), ['lunch', 'dinner']);
		const audit = await runUntilSettled(bench.clock, loadAuditRecords(bench.platform, 0, 10));
		const records = audit._unsafeUnwrap();
		t.deepEqual(records.map(record => [record.version, record.changeSet, record.author, record.reason]), [
			[1, 'first', 'ana', 'lunch rush'],
			[2, 'second', 'ana', 'lunch rush'],
		]);
		t.deepEqual(records[1]?.summary, ['put team dinner']);
	});

	it('publishes nothing of a set with a fault', async t => {
		const bench = createBench();
		const faults = await bench.refuse(createChangeSet('bad', 0, `${sampleObjectsToml}\n[[upstream]]\nname = "x"\nservice = "booking"\nslots = 0\n`));
		t.deepEqual(faults.map(fault => fault.kind), ['FieldOutOfRange', 'ReferenceBroken']);
		t.deepEqual(bench.platform.getStats().objectWrites + bench.platform.getStats().tableWrites, 0);
	});

	describe('a lost reply', () => {
		it('gives the same version once, though the write took effect', async t => {
			const bench = createBench();
			const changeSet = createTeamChangeSet('first', 0, 'lunch');
			const through = loseFirstCommitReply(bench.platform);
			t.deepEqual(await bench.publish(changeSet, through), {version: 1, isRepetition: true});
			t.is(bench.platform.getStats().repliesLost, 1);
			t.deepEqual(await bench.publish(changeSet), {version: 1, isRepetition: true});
			t.is(await bench.getVersion(), 1);
		});

		it('of the object leads to one version too', async t => {
			const bench = createBench();
			bench.platform.setFaults({repliesToLose: 1});
			t.deepEqual(await bench.publish(createTeamChangeSet('first', 0, 'lunch')), {version: 1, isRepetition: false});
			t.is(bench.platform.getStats().repliesLost, 1);
		});

		it('is recognised also after others have published and while reads are old', async t => {
			const bench = createBench();
			const changeSet = createTeamChangeSet('first', 0, 'lunch');
			await bench.publish(changeSet);
			await bench.publish(createTeamChangeSet('second', 1, 'dinner'));
			bench.platform.setFaults({oldReadsMs: 1000});
			t.deepEqual(await bench.publish(changeSet), {version: 1, isRepetition: true});
			bench.platform.setFaults({oldReadsMs: 0});
			t.is(await bench.getVersion(), 2);
		});

		it('is reported as uncertain, with the identifier, if the platform stays away', async t => {
			const bench = createBench();
			const through = loseFirstCommitReply(bench.platform, {down: true});
			const [fault] = await bench.refuse(createTeamChangeSet('first', 0, 'lunch'), through);
			t.is(fault?.kind, 'PublishUncertain');
			t.regex(fault!.remedy, /--id first/v);
		});

		it('is reported as not published if no transaction was sent', async t => {
			const bench = createBench();
			bench.platform.setFaults({down: true});
			const [fault] = await bench.refuse(createTeamChangeSet('first', 0, 'lunch'));
			t.is(fault?.kind, 'PublishFailed');
		});

		it('does not take another set under the same identifier for a repetition', async t => {
			const bench = createBench();
			await bench.publish(createTeamChangeSet('first', 0, 'lunch'));
			const [fault] = await bench.refuse(createTeamChangeSet('first', 1, 'dinner'));
			t.is(fault?.kind, 'ChangeSetIdTaken');
		});
	});

	describe('racing operators', () => {
		it('are told of version, author and objects in conflict', async t => {
			const bench = createBench();
			await bench.publish(createChangeSet('first', 0, sampleObjectsToml));
			await bench.publish(createTeamChangeSet('second', 1, 'lunch', 'ben'));
			await bench.publish(createTeamChangeSet('third', 2, 'dinner', 'cleo'));
			const faults = await bench.refuse(createTeamChangeSet('fourth', 1, 'lunch'));
			t.deepEqual(faults.map(fault => fault.message), ['Version 2 by ben (lunch rush) has changed the same objects meanwhile: team lunch.']);
			t.is(await bench.getVersion(), 3);
		});

		it('both publish, in some order, if their objects differ', async t => {
			const bench = createBench();
			const [ana, ben] = await runUntilSettled(bench.clock, Promise.all([
				publishChangeSet(bench, createTeamChangeSet('ana-1', 0, 'lunch')),
				publishChangeSet(bench, createTeamChangeSet('ben-1', 0, 'dinner', 'ben')),
			]));
			t.deepEqual([ana._unsafeUnwrap().version, ben._unsafeUnwrap().version].toSorted((a, b) => a - b), [1, 2]);
			t.deepEqual(await bench.getTeams(), ['lunch', 'dinner']);
		});

		it('do not leave a broken reference behind by sets that are whole by themselves', async t => {
			const bench = createBench();
			await bench.publish(createChangeSet('first', 0, '[[policy]]\nname = "default"\n'));
			await bench.publish(createChangeSet('ben-1', 1, '[[delete]]\nkind = "policy"\nname = "default"\n', 'ben'));
			const [fault] = await bench.refuse(createChangeSet('ana-1', 1, '[[service]]\nname = "ordering"\npolicy = "default"\n'));
			t.is(fault?.kind, 'ReferenceBroken');
		});

		it('never both take one version: of twenty sets each gets its own', async t => {
			const bench = createBench();
			const pending = Array.from({length: 20}, (_, index) => publishChangeSet({...bench, maxAttempts: 40}, createTeamChangeSet(`set-${index}`, 0, `team-${index}`)));
			const results = await runUntilSettled(bench.clock, Promise.all(pending));
			const versions = results.map(result => result._unsafeUnwrap().version);
			t.deepEqual(versions.toSorted((a, b) => a - b), Array.from({length: 20}, (_, index) => index + 1));
			t.is(new Set(await bench.getTeams()).size, 20);
		});
	});

	describe('old reads', () => {
		it('are found out by the transaction', async t => {
			const bench = createBench();
			await bench.publish(createTeamChangeSet('first', 0, 'lunch'));
			bench.clock.advance(400);
			await bench.publish(createTeamChangeSet('second', 1, 'dinner'));
			bench.platform.setFaults({oldReadsMs: 300});
			t.deepEqual(await bench.publish(createTeamChangeSet('third', 1, 'supper')), {version: 3, isRepetition: false});
			bench.platform.setFaults({oldReadsMs: 0});
			t.deepEqual(await bench.getTeams(), ['lunch', 'dinner', 'supper']);
		});

		it('of the row of the change set do not publish it twice, though its base is newer than it', async t => {
			const bench = createBench();
			const changeSet = createTeamChangeSet('first', 0, 'lunch');
			await bench.publish(changeSet);
			const {get} = bench.platform.table;
			const through = replaceTable(bench.platform, {get: answerOnce(get, key => key === 'config/changeset/first', undefined)});
			t.deepEqual(await bench.publish({...changeSet, base: 1}, through), {version: 1, isRepetition: true});
			t.is(await bench.getVersion(), 1);
		});

		it('of the audit trail do not hide a conflict', async t => {
			const bench = createBench();
			await bench.publish(createTeamChangeSet('first', 0, 'lunch'));
			const {scan} = bench.platform.table;
			const through = replaceTable(bench.platform, {scan: answerOnce(scan, () => true, [])});
			const [fault] = await bench.refuse(createTeamChangeSet('second', 0, 'lunch'), through);
			t.is(fault?.kind, 'ChangeSetConflicts');
		});

		it('end in a refusal that names both versions if they do not pass', async t => {
			const bench = createBench();
			const [fault] = await bench.refuse(createTeamChangeSet('first', 7, 'lunch'));
			t.is(fault?.kind, 'BaseUnknown');
		});
	});

	it('deletes the objects of old versions', async t => {
		const bench = createBench();
		for (let version = 0; version < retainedVersionCount + 3; version++) {
			await bench.publish(createTeamChangeSet(`set-${version}`, version, 'lunch'));
		}

		const keys = await runUntilSettled(bench.clock, bench.platform.objects.list('config/', 1000));
		t.is(keys._unsafeUnwrap().length, retainedVersionCount);
	});
});

function createBench(): Bench {
	const clock = createFakeClock();
	const platform = createMemoryPlatform({clock});
	return {
		clock,
		platform,
		async publish(changeSet, through = platform) {
			const result = await runUntilSettled(clock, publishChangeSet({platform: through, clock}, changeSet));
			return result._unsafeUnwrap();
		},
		async refuse(changeSet, through = platform) {
			const result = await runUntilSettled(clock, publishChangeSet({platform: through, clock}, changeSet));
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

/** A platform that loses the reply to its first transaction, which takes effect, and then has the faults `next`. */
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

/** A read that answers `old` to the first call whose key is selected. */
function answerOnce<A extends readonly unknown[], T>(
	read: (key: string, ...rest: A) => ResultAsync<T, PlatformError>,
	isSelected: (key: string) => boolean,
	old: T,
): (key: string, ...rest: A) => ResultAsync<T, PlatformError> {
	let isAnswered = false;
	return (key, ...rest) => {
		if (isAnswered || !isSelected(key)) {
			return read(key, ...rest);
		}

		isAnswered = true;
		return okAsync(old);
	};
}
