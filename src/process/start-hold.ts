/**
 * Holds an entry's starts after it stood still. Callers may have hung up meanwhile and sent their work elsewhere, and
 * agents may have given it up, so all that is in the sockets is read before anything is started again.
 */
import type {Scheduler} from '../connection/types.js';
import type {Clock, Milliseconds, Timer} from './clock.js';
import type {Log} from './log.js';
import type {PauseDetector} from './pause-detector.js';

/** What holding the starts needs. */
export type StartHoldHost = {
	readonly clock: Clock;
	readonly scheduler: Pick<Scheduler, 'setHeld'>;
	readonly pauseDetector: PauseDetector;
	readonly log: Log;
};

/** Time for reading what came during a pause; some turns of the event loop on a slow machine. */
const holdMs: Milliseconds = 60;

/** Holds the starts after each pause from now on. */
export function holdStartsAfterPauses({
	clock, scheduler, pauseDetector: pauses, log,
}: StartHoldHost): void {
	let timer: Timer | undefined;
	pauses.onPause(pause => {
		log.warn({pause, heldFor: holdMs}, 'this process may have stood still; starts are held');
		scheduler.setHeld?.(true);
		timer?.cancel();
		timer = clock.after(holdMs, () => {
			scheduler.setHeld?.(false);
		});
	});
}
