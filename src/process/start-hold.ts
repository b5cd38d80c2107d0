/**
 * Holds back the starts of an entry after a pause of its process. During the pause callers may have disconnected and
 * submitted their work elsewhere, and agents may have abandoned its runs, so all input waiting in the sockets is read
 * before tasks are started again, however long that takes.
 */
import type {Scheduler} from '../connection/types.js';
import type {Clock, Milliseconds} from './clock.js';
import type {Log} from './log.js';
import {createPauseBacklog} from './pause-backlog.js';
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

/** Holds starts back for a moment after each pause, and after each step backward of the wall clock, which may have hidden one. */
export function holdStartsAfterPauses({
	clock, setHeld, pauseDetector, log, afterInputRead,
}: StartHoldHost): StartHold {
	const backlog = createPauseBacklog({
		clock,
		afterInputRead,
		onRead(elapsed) {
			log.info({heldFor: Math.round(elapsed)}, 'starts are no longer held');
			setHeld(false);
		},
	});
	// A step of the wall clock backward costs no more than this hold, so it counts as a pause here.
	pauseDetector.onPossiblePause(pause => {
		log.warn({pause}, 'this process may have stood still; starts are held');
		setHeld(true);
		backlog.recordPause(pause);
	});
	return {
		areStartsHeld() {
			pauseDetector.check();
			return backlog.isPending();
		},
		getInputDelay() {
			pauseDetector.check();
			return backlog.getDelay();
		},
	};
}

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
