/**
 * Holds back the starts of an entry after a pause of its process. During the pause callers may have disconnected and
 * submitted their work elsewhere, and agents may have abandoned its runs, so all input waiting in the sockets is read
 * before tasks are started again, however long that takes.
 */
import type {Scheduler} from '../connection/types.js';
import type {Clock, Milliseconds, Timer} from './clock.js';
import type {Log} from './log.js';
import type {PauseDetector} from './pause-detector.js';

/** Dependencies of the start hold. */
export type StartHoldHost = {
	readonly clock: Clock;
	readonly pauseDetector: PauseDetector;
	readonly log: Log;
	/** Calls `action` once all input has been read that waits in the connections of this process now. */
	afterInputRead(action: () => void): void;
	/** Holds all starts back, or lets them go. */
	setHeld(isHeld: boolean): void;
};

/** The hold of one entry. */
export type StartHold = {
	/** Whether starts are held back now because of a pause. */
	areStartsHeld(): boolean;
	/** Returns for how long input that is read now may have waited during a pause; 0 if all of that was read. */
	getInputDelay(): Milliseconds;
};

/** A sender that waited because its window was full sends the rest when this process has read what it had; that is not seen here. */
const minHoldMs: Milliseconds = 60;

/** Holds starts back for a moment after each pause, and after each step backward of the wall clock, which may have hidden one. */
export function holdStartsAfterPauses({
	clock, setHeld, pauseDetector, log, afterInputRead,
}: StartHoldHost): StartHold {
	let timer: Timer | undefined;
	let unread: NoticedPause | undefined;
	// A step of the wall clock backward costs no more than this hold, so it counts as a pause here.
	pauseDetector.onPossiblePause(pause => {
		log.warn({pause}, 'this process may have stood still; starts are held');
		setHeld(true);
		const noticed: NoticedPause = {pause, noticedAt: clock.now()};
		timer?.cancel();
		timer = clock.after(minHoldMs, () => {
			timer = undefined;
			releaseIfRead(noticed);
		});
		unread = noticed;
		afterInputRead(() => {
			// Another pause may have followed, whose input is not read yet.
			if (unread === noticed) {
				unread = undefined;
				releaseIfRead(noticed);
			}
		});
	});
	return {
		areStartsHeld() {
			pauseDetector.check();
			return timer !== undefined || unread !== undefined;
		},
		getInputDelay() {
			pauseDetector.check();
			return unread === undefined ? 0 : unread.pause + clock.now() - unread.noticedAt;
		},
	};

	function releaseIfRead({pause, noticedAt}: NoticedPause): void {
		if (timer === undefined && unread === undefined) {
			log.info({pause, heldFor: Math.round(clock.now() - noticedAt)}, 'starts are no longer held');
			setHeld(false);
		}
	}
}

type NoticedPause = {
	readonly pause: Milliseconds;
	readonly noticedAt: Milliseconds;
};

/** Returns the switch of one of several causes that hold starts back: they are held while at least one of them lasts. */
export function createHoldSwitches(scheduler: Pick<Scheduler, 'setStartsHeld'>): () => StartHoldHost['setHeld'] {
	const lastingCauses = new Set<symbol>();
	return () => {
		const cause = Symbol('cause');
		return isHeld => {
			if (isHeld) {
				lastingCauses.add(cause);
				scheduler.setStartsHeld?.(true);
			} else if (lastingCauses.delete(cause) && lastingCauses.size === 0) {
				scheduler.setStartsHeld?.(false);
			}
		};
	};
}
