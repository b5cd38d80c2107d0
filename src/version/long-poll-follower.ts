/**
 * Follows a configuration that its store announces by itself. Reads wait at the store for a change, so that a new
 * version is in force within milliseconds and an idle store is asked seldom.
 */
import type {ResultAsync} from 'neverthrow';
import {sleep, type Clock, type Milliseconds} from '../process/clock.js';
import type {Diagnostic} from '../process/diagnostics.js';
import type {PlatformError} from '../process/platform/types.js';
import type {ConfigFollower} from './polling-follower.js';
import {createSnapshotHolder, type SnapshotCodec} from './snapshot-holder.js';

/** Where versions come from. */
export type EncodedSnapshotSource = {
	/** Waits for a version that was not given yet; undefined if none came in the time that the source allows. */
	next(): ResultAsync<Uint8Array | undefined, PlatformError>;
};

/** What a follower needs. */
export type LongPollFollowerHost = {
	readonly clock: Clock;
	readonly source: EncodedSnapshotSource;
	readonly codec: SnapshotCodec;
	/** A random number from 0 to below 1, for jitter. */
	random(): number;
	/** Told of every read that failed or was ignored; the version in force stays. */
	onDiagnostic(diagnostic: Diagnostic): void;
};

/** Pause after a failed read, and the longest one after several in a row; peers tell of new versions meanwhile. */
const firstRetryMs: Milliseconds = 100;
const maxRetryMs: Milliseconds = 400;

/** Creates a follower that has no version yet. */
export function createLongPollFollower(host: LongPollFollowerHost): ConfigFollower {
	const {applyIfNewer: take, ...inForce} = createSnapshotHolder(host.codec, host.onDiagnostic);
	let failures = 0;
	let isRunning = false;
	let isStopped = false;

	return {
		start() {
			isRunning = true;
			void run();
		},
		stop() {
			isRunning = false;
			isStopped = true;
		},
		poll,
		...inForce,
	};

	function isStarted(): boolean {
		return isRunning;
	}

	async function run(): Promise<void> {
		while (isStarted()) {
			await poll();
			if (failures > 0) {
				const delay = Math.min(maxRetryMs, firstRetryMs * (2 ** (failures - 1)));
				await sleep(host.clock, delay * (0.5 + host.random()));
			}
		}
	}

	async function poll(): Promise<void> {
		const read = await host.source.next();
		if (read.isErr()) {
			failures++;
			// The end of this process ends a read that waits.
			if (!isStopped) {
				host.onDiagnostic(read.error.diagnostic);
			}

			return;
		}

		failures = 0;
		if (read.value !== undefined) {
			host.codec.decode(read.value, 'the store').map(snapshot => take(snapshot)).orTee(host.onDiagnostic);
		}
	}
}
