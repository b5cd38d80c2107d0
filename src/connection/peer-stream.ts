/**
 * One end of a stream between two entries. All output within a turn of the event loop is sent in one batch. While replies
 * are pending on the stream, both ends send heartbeats and detect that the other end has become silent.
 */
import type {PeerBatch, PeerLoad} from '../generated/kingcuplane.js';
import type {Clock, Milliseconds} from '../process/clock.js';
import type {LinkTiming} from './link-timing.js';
import {createSilenceMonitor, type SilenceMonitor} from './silence-monitor.js';

/** Dependencies of one end of a stream. */
export type PeerStreamHost = {
	readonly clock: Clock;
	/** Without silence timeouts, the stream sends no heartbeats and relies on gRPC's keepalive. */
	readonly timing: Pick<LinkTiming, 'heartbeatMs' | 'silence'>;
	/** Runs an action at the end of this turn of the event loop. */
	defer(action: () => void): void;
	/** Returns the load of this process, which each batch reports; undefined if it is not measured. */
	tryGetLoad(): PeerLoad | undefined;
	/** Returns for how long input that is read now may have waited during a pause of this process; never for one if undefined. */
	getInputDelay?(): Milliseconds;
	write(batch: PeerBatch): void;
	/** Called when the other end has been silent for too long while replies were pending. */
	onSilent(): void;
};

/** One end of a stream. */
export type PeerStream = {
	/** Adds fields to the batch that is sent at the end of this turn of the event loop. */
	send(fields: Partial<PeerBatch>): void;
	/** Sends a batch if replies are pending. To be called every `heartbeatMs`, which is the longest time between two batches. */
	sendHeartbeat(): void;
	recordMessage(batch: PeerBatch): void;
	/** Records a suspension of this process that its clock did not count. */
	recordPause(uncounted: Milliseconds): void;
	/** Returns the time since the other end sent its last message, or since this end was created. */
	getSilence(): Milliseconds;
	/** Sets whether replies are pending in either direction. */
	setPending(isPending: boolean): void;
	/** Sends nothing more. */
	stop(): void;
};

/** Age from which an offset between two clocks is not used any more, as their rates may differ. */
const maxClockAgeMs: Milliseconds = 3000;

/** Creates an end that has sent nothing. */
export function createPeerStream(host: PeerStreamHost): PeerStream {
	const {clock, timing} = host;
	let output: PeerBatch | undefined;
	let heardAt = clock.now();
	/** The clock of the other end minus that of this process, at most, and when it was shown; undefined until then. */
	let peerClock: {readonly offset: Milliseconds; readonly shownAt: Milliseconds} | undefined;
	let silence: SilenceMonitor | undefined;
	let isStopped = false;

	return {
		send(fields) {
			// Reports of quota shares refer to each other and are not merged.
			if (output?.shares !== undefined && fields.shares !== undefined) {
				flush();
			}

			output = mergeBatches(getOutput(), fields);
		},
		sendHeartbeat() {
			if (silence !== undefined) {
				getOutput();
			}
		},
		recordMessage({clockMs, sentAtMs}) {
			const now = clock.now();
			peerClock = clockMs > 0 ? {offset: clockMs - now, shownAt: now} : undefined;
			const arrivedAt = now - (host.getInputDelay?.() ?? 0);
			heardAt = Math.max(heardAt, sentAtMs > 0 ? Math.min(arrivedAt, sentAtMs) : arrivedAt);
			silence?.recordMessage();
		},
		recordPause(uncounted) {
			heardAt -= uncounted;
			peerClock &&= {...peerClock, offset: peerClock.offset + uncounted};
			silence?.recordPause(uncounted);
		},
		getSilence: () => clock.now() - heardAt,
		setPending(isPending) {
			if (!isPending || isStopped) {
				silence?.stop();
				silence = undefined;
			} else {
				silence ??= startMonitor();
			}
		},
		stop() {
			isStopped = true;
			silence?.stop();
			silence = undefined;
		},
	};

	function startMonitor(): SilenceMonitor | undefined {
		const monitor = timing.silence && createSilenceMonitor({
			clock, timeoutMs: timing.silence.activeMs, idleTimeoutMs: timing.silence.idleMs, onSilent: host.onSilent,
		});
		monitor?.setActive(true);
		return monitor;
	}

	function getOutput(): PeerBatch {
		if (output === undefined) {
			output = emptyBatch;
			host.defer(flush);
		}

		return output;
	}

	/** Returns the time on the clock of the other end, rather early by the time that its last batch was under way. */
	function tryGetPeerTime(): Milliseconds | undefined {
		const now = clock.now();
		return peerClock === undefined || now - peerClock.shownAt > maxClockAgeMs ? undefined : now + peerClock.offset;
	}

	function flush(): void {
		if (output === undefined || isStopped) {
			return;
		}

		const batch = {
			...output, load: host.tryGetLoad(), clockMs: clock.now(), sentAtMs: tryGetPeerTime() ?? 0,
		};
		output = undefined;
		host.write(batch);
	}
}

const emptyBatch: PeerBatch = {
	hello: undefined, state: undefined, requests: [], replies: [], shares: undefined, losses: [], cancelled: [], load: undefined, clockMs: 0, sentAtMs: 0,
};

function mergeBatches(first: PeerBatch, second: Partial<PeerBatch>): PeerBatch {
	return {
		hello: second.hello ?? first.hello,
		state: second.state === undefined ? first.state : {...second.state, entries: [...first.state?.entries ?? [], ...second.state.entries]},
		requests: [...first.requests, ...second.requests ?? []],
		replies: [...first.replies, ...second.replies ?? []],
		shares: second.shares ?? first.shares,
		losses: [...first.losses, ...second.losses ?? []],
		cancelled: [...first.cancelled, ...second.cancelled ?? []],
		load: undefined,
		clockMs: 0,
		sentAtMs: 0,
	};
}
