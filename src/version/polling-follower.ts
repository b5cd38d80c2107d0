/**
 * Follows the published configuration by polling. The active version only increases, whatever the store or a peer serves
 * and in whatever order answers arrive, and it stays active while no newer one can be read.
 */
import {err, ok, type Result} from 'neverthrow';
import type {Clock, Milliseconds, Timer} from '../process/clock.js';
import {createDiagnostic, Diagnostics, type Diagnostic} from '../process/diagnostics.js';
import type {Platform} from '../process/platform/types.js';
import {loadHead, loadSnapshot, type LoadError} from './load.js';
import {decodeSnapshot, encodeSnapshot} from './snapshot-codec.js';
import {createSnapshotHolder, type SnapshotHolder} from './snapshot-holder.js';

/** Dependencies and options of the follower. */
export type PollingFollowerHost = {
	readonly platform: Platform;
	readonly clock: Clock;
	/** Interval between reads of the head row. Default 1000 ms, plus or minus a fifth. */
	readonly pollMs?: Milliseconds;
	/** Longest interval while reads fail. Default 8000 ms, plus or minus a fifth. */
	readonly maxPollMs?: Milliseconds;
	/** A random number from 0 to below 1, for jitter. */
	random(): number;
	/** Called for every read that failed or was ignored; the active version stays. */
	onDiagnostic(diagnostic: Diagnostic): void;
};

/** Holds the active configuration of this process and keeps it up to date. */
export type ConfigFollower = Omit<SnapshotHolder, 'applyIfNewer'> & {
	/** Starts reading; the first read is sent at once. */
	start(): void;
	/** Stops reading. */
	stop(): void;
	/** Reads once, and applies the version that was found if it is newer. */
	poll(): Promise<void>;
};

const defaultPoll: Milliseconds = 1000;
const defaultMaxPoll: Milliseconds = 8000;

/** Jitter on each side of an interval, as a share of it. */
const jitter = 0.2;

/** Creates a follower that has no version yet. */
export function createPollingFollower(host: PollingFollowerHost): ConfigFollower {
	const {platform, clock, pollMs = defaultPoll, maxPollMs = defaultMaxPoll} = host;
	const {applyIfNewer, ...holder} = createSnapshotHolder({encode: encodeSnapshot, decode: decodeSnapshot}, host.onDiagnostic);
	let failures = 0;
	let timer: Timer | undefined;
	let isRunning = false;

	return {
		start() {
			isRunning = true;
			void run();
		},
		stop() {
			isRunning = false;
			timer?.cancel();
		},
		poll,
		...holder,
	};

	async function run(): Promise<void> {
		await poll();
		if (isRunning) {
			timer = clock.after(getInterval(), run);
		}
	}

	async function poll(): Promise<void> {
		const outcome = await load();
		if (outcome.isOk()) {
			failures = 0;
			return;
		}

		failures++;
		host.onDiagnostic(outcome.error.diagnostic);
	}

	/** Reads the head row, and the snapshot that it names only if that is newer. */
	async function load(): Promise<Result<void, LoadError>> {
		const head = await loadHead(platform);
		if (head.isErr()) {
			return err(head.error);
		}

		const current = getVersion();
		if (head.value.version <= current) {
			reportStaleRead(head.value.version, current);
			return ok();
		}

		const snapshot = await loadSnapshot(platform, head.value);
		if (snapshot.isErr()) {
			return err(snapshot.error);
		}

		applyIfNewer(snapshot.value);
		return ok();
	}

	function getVersion(): number {
		return holder.tryGet()?.version ?? 0;
	}

	function reportStaleRead(served: number, current: number): void {
		if (served < current) {
			host.onDiagnostic(createDiagnostic(Diagnostics.Version_was_overtaken, served, current));
		}
	}

	function getInterval(): Milliseconds {
		const interval = Math.min(pollMs * (2 ** Math.min(failures, 16)), Math.max(pollMs, maxPollMs));
		return interval * (1 + (jitter * ((2 * host.random()) - 1)));
	}
}
