/**
 * The input that arrived while this process stood still, until it is read.
 */
import type {Clock, Milliseconds, Timer} from './clock.js';

/** Dependencies of a backlog. */
export type PauseBacklogHost = {
	readonly clock: Clock;
	/** Calls `action` once the input has been read that waits in the connections of this process now; taken for read at once if undefined. */
	readonly afterInputRead?: (action: () => void) => void;
	/** Called when the backlog is read, with the time that this took. */
	onRead?(elapsed: Milliseconds): void;
};

/** The backlog of one process. */
export type PauseBacklog = {
	/** Records a pause that was just noticed. */
	recordPause(pause: Milliseconds): void;
	/** Whether input of a pause may be unread. */
	isPending(): boolean;
	/** Returns for how long input that is read now may have waited; 0 if nothing is pending. */
	getDelay(): Milliseconds;
};

/** A sender that waited because its window was full sends the rest when this process has read what it had; that is not seen here. */
const minPendingMs: Milliseconds = 60;

/** Creates an empty backlog. */
export function createPauseBacklog({clock, afterInputRead, onRead}: PauseBacklogHost): PauseBacklog {
	/** When the oldest input that is pending may have arrived, and when it was noticed; undefined if nothing is pending. */
	let pending: {readonly since: Milliseconds; readonly noticedAt: Milliseconds} | undefined;
	let timer: Timer | undefined;
	/** Identifies the last pause while its input is unread. */
	let unread: symbol | undefined;

	return {
		recordPause(pause) {
			const now = clock.now();
			pending = {since: Math.min(pending?.since ?? Infinity, now - pause), noticedAt: pending?.noticedAt ?? now};
			timer?.cancel();
			timer = clock.after(minPendingMs, () => {
				timer = undefined;
				endIfRead();
			});
			const id = Symbol('pause');
			unread = afterInputRead && id;
			afterInputRead?.(() => {
				// Another pause may have followed, whose input is not read yet.
				if (unread === id) {
					unread = undefined;
					endIfRead();
				}
			});
		},
		isPending: () => pending !== undefined,
		getDelay: () => pending === undefined ? 0 : clock.now() - pending.since,
	};

	function endIfRead(): void {
		if (pending !== undefined && timer === undefined && unread === undefined) {
			const {noticedAt} = pending;
			pending = undefined;
			onRead?.(clock.now() - noticedAt);
		}
	}
}
