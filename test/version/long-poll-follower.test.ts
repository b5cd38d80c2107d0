import {
	err, errAsync, ok, okAsync, ResultAsync,
} from 'neverthrow';
import {createDiagnostic, Diagnostics} from '../../src/process/diagnostics.js';
import {createFakeClock} from '../../src/process/fake-clock.js';
import {createUnreachableError} from '../../src/process/platform/errors.js';
import type {PlatformError} from '../../src/process/platform/types.js';
import {createSnapshot} from '../../src/version/snapshot.js';
import type {SnapshotCodec} from '../../src/version/snapshot-holder.js';
import {createLongPollFollower} from '../../src/version/long-poll-follower.js';
import {describe, it} from '../describe.js';

const codec: SnapshotCodec = {
	encode: snapshot => new Uint8Array([snapshot.version]),
	decode: bytes => bytes[0] === 255 ? err(createDiagnostic(Diagnostics.Snapshot_is_invalid, 'test', 'broken')) : ok(createSnapshot(bytes[0]!, [])),
};

type Read = ResultAsync<Uint8Array | undefined, PlatformError>;

async function follow(reads: readonly Read[]): Promise<{readonly versions: number[]; readonly faults: number; readonly left: number}> {
	const clock = createFakeClock();
	const queue = [...reads];
	const versions: number[] = [];
	let faults = 0;
	const follower = createLongPollFollower({
		clock,
		codec,
		source: {
			next: () => queue.shift() ?? new ResultAsync(new Promise(() => {
			// Nothing changes any more.
			})),
		},
		random: () => 0.5,
		onDiagnostic() {
			faults++;
		},
	});
	follower.onChange(snapshot => versions.push(snapshot.version));
	follower.start();
	for (let i = 0; i < 100; i++) {
		clock.advance(20);
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	follower.stop();
	return {versions, faults, left: queue.length};
}

function give(version: number): Read {
	return okAsync(new Uint8Array([version]));
}

describe('watched follower', () => {
	it('takes each newer version and never goes back', async t => {
		const {versions} = await follow([give(3), give(2), okAsync(undefined), give(3), give(5)]);
		t.deepEqual(versions, [3, 5]);
	});

	it('keeps the version in force through failed and broken reads, and reads on', async t => {
		const lost: Read = errAsync(createUnreachableError('away', false, 100));
		const {versions, faults, left} = await follow([give(1), lost, lost, give(255), give(2)]);
		t.deepEqual(versions, [1, 2]);
		t.is(faults, 3);
		t.is(left, 0);
	});
});
