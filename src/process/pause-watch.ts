/**
 * Notices that this process stood still: its timers came late, or the time of day ran on while the steady clock did
 * not. A step of the time of day looks the same, so what follows from a pause has to be confirmed by somebody else.
 */
import {every, type Clock, type Milliseconds} from './clock.js';

/** Watches for pauses. */
export type PauseWatch = {
	/** Length of the pauses since this was last asked; 0 if there were none. */
	take(): Milliseconds;
	stop(): void;
};

const tickMs: Milliseconds = 100;
/** Lateness up to this is taken for load. */
const toleranceMs: Milliseconds = 200;

/** Creates a watch; it ticks by itself, so that a pause is noticed although nobody asks. */
export function createPauseWatch(clock: Clock): PauseWatch {
	let seenAt = clock.now();
	let drift = clock.wall() - seenAt;
	let pause: Milliseconds = 0;
	const timer = every(clock, tickMs, look);

	return {
		take() {
			look();
			const taken = pause;
			pause = 0;
			return taken;
		},
		stop() {
			timer.cancel();
		},
	};

	function look(): void {
		const now = clock.now();
		const newDrift = clock.wall() - now;
		const late = Math.max(0, now - seenAt - tickMs);
		const jump = Math.max(0, newDrift - drift);
		if (late + jump > toleranceMs) {
			pause += late + jump;
		}

		seenAt = now;
		drift = newDrift;
	}
}
