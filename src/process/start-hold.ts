/**
 * Holds back the starts of an entry after a pause of its process. During the pause callers may have disconnected and
 * submitted their work elsewhere, and agents may have abandoned its runs, so all input waiting in the sockets is read
 * before tasks are started again.
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
	/** Holds all starts back, or lets them go. */
	setHeld(isHeld: boolean): void;
};

/** Time to read the input that arrived during a pause: some turns of the event loop on a slow machine. */
const holdMs: Milliseconds = 60;

/** Holds starts back for a moment after each pause, and after each step backward of the wall clock, which may have hidden one. Returns a function that tells whether they are held now. */
export function holdStartsAfterPauses({
	clock, setHeld, pauseDetector, log,
}: StartHoldHost): () => boolean {
	let timer: Timer | undefined;
	// A step of the wall clock backward costs no more than this hold, so it counts as a pause here.
	pauseDetector.onPossiblePause(pause => {
		log.warn({pause, heldFor: holdMs}, 'this process may have stood still; starts are held');
		setHeld(true);
		timer?.cancel();
		timer = clock.after(holdMs, () => {
			timer = undefined;
			setHeld(false);
		});
	});
	return () => {
		pauseDetector.check();
		return timer !== undefined;
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
