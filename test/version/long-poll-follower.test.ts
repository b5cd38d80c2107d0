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

async function follow(reads: readonly Read[]): Promise<{readonly versions: number[]; readonly diagnosticCount: number; readonly unread: number}> {
	const clock = createFakeClock();
	const queue = [...reads];
	const versions: number[] = [];
	let diagnosticCount = 0;
	const follower = createLongPollFollower({
		clock,
		codec,
		source: {
			next: () => queue.shift() ?? new ResultAsync(new Promise(() => {
			// Never resolves: there are no further changes.
			})),
		},
		random: () => 0.5,
		onDiagnostic() {
			diagnosticCount++;
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
	return {versions, diagnosticCount, unread: queue.length};
}

function deliver(version: number): Read {
	return okAsync(new Uint8Array([version]));
}

describe('long-poll follower', () => {
	it('applies each newer version and never an older one', async t => {
		const {versions} = await follow([deliver(3), deliver(2), okAsync(undefined), deliver(3), deliver(5)]);
		t.deepEqual(versions, [3, 5]);
	});

	it('keeps the active version through failed and invalid reads, and continues reading', async t => {
		const failedRead: Read = errAsync(createUnreachableError('away', false, 100));
		const {versions, diagnosticCount, unread} = await follow([deliver(1), failedRead, failedRead, deliver(255), deliver(2)]);
		t.deepEqual(versions, [1, 2]);
		t.is(diagnosticCount, 3);
		t.is(unread, 0);
	});
});
