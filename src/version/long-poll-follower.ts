/**
 * Follows a published configuration by long polling. Each read waits at the store for a change, so that a new version
 * becomes active within milliseconds and an unchanged configuration causes few requests.
 */
import type {ResultAsync} from 'neverthrow';
import {sleep, type Clock, type Milliseconds} from '../process/clock.js';
import type {Diagnostic} from '../process/diagnostics.js';
import type {PlatformError} from '../process/platform/types.js';
import type {ConfigFollower} from './polling-follower.js';
import {createSnapshotHolder, type SnapshotCodec} from './snapshot-holder.js';

/** Delivers new versions in encoded form. */
export type EncodedSnapshotSource = {
	/** Waits for a version that was not delivered yet; undefined if there was none within the time limit of the source. */
	next(): ResultAsync<Uint8Array | undefined, PlatformError>;
};

/** Dependencies of the follower. */
export type LongPollFollowerHost = {
	readonly clock: Clock;
	readonly source: EncodedSnapshotSource;
	readonly codec: SnapshotCodec;
	/** A random number from 0 to below 1, for jitter. */
	random(): number;
	/** Called for every read that failed or was ignored; the active version stays. */
	onDiagnostic(diagnostic: Diagnostic): void;
};

/** Delay after the first failed read, which doubles with each further failure up to `maxRetryMs`. Peers still offer new versions meanwhile. */
const firstRetryMs: Milliseconds = 100;
const maxRetryMs: Milliseconds = 400;

/** Creates a follower that has no version yet. */
export function createLongPollFollower(host: LongPollFollowerHost): ConfigFollower {
	const {applyIfNewer, ...holder} = createSnapshotHolder(host.codec, host.onDiagnostic);
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
		...holder,
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
			// A pending read fails when this process shuts down, which needs no diagnostic.
			if (!isStopped) {
				host.onDiagnostic(read.error.diagnostic);
			}

			return;
		}

		failures = 0;
		if (read.value !== undefined) {
			host.codec.decode(read.value, 'the store').map(snapshot => applyIfNewer(snapshot)).orTee(host.onDiagnostic);
		}
	}
}
