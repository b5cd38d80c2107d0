/**
 * Notices that this process stood still: its timers came late, or the time of day ran on while the steady clock did
 * not. A step of the time of day looks the same, so what cannot be undone has to be confirmed by somebody else first.
 */
import {every, type Clock, type Milliseconds} from './clock.js';

/** Watches for pauses. */
export type PauseDetector = {
	/** Looks now, as before news is read that may have waited through a pause. */
	check(): void;
	/** Calls `action` with the length of each pause, as soon as it is noticed; gives a function that ends this. */
	onPause(action: (pause: Milliseconds) => void): () => void;
	stop(): void;
};

const tickMs: Milliseconds = 100;
/** Lateness up to this is taken for load. */
const toleranceMs: Milliseconds = 200;

/** Creates a watch; it also looks by itself, so that a pause is noticed although nobody asks. */
export function createPauseDetector(clock: Clock): PauseDetector {
	const listeners = new Set<(pause: Milliseconds) => void>();
	let seenAt = clock.now();
	let drift = clock.wall() - seenAt;
	const timer = every(clock, tickMs, check);

	return {
		check,
		onPause(action) {
			listeners.add(action);
			return () => {
				listeners.delete(action);
			};
		},
		stop() {
			timer.cancel();
		},
	};

	function check(): void {
		const now = clock.now();
		const newDrift = clock.wall() - now;
		const pause = Math.max(0, now - seenAt - tickMs) + Math.max(0, newDrift - drift);
		seenAt = now;
		drift = newDrift;
		if (pause > toleranceMs) {
			for (const listener of listeners) {
				listener(pause);
			}
		}
	}
}

/** Adds pauses up; the returned function looks for one and takes the sum, so that each pause counts once. */
export function createPauseAccumulator(pauses: PauseDetector): () => Milliseconds {
	let sum: Milliseconds = 0;
	pauses.onPause(pause => {
		sum += pause;
	});
	return () => {
		pauses.check();
		const taken = sum;
		sum = 0;
		return taken;
	};
}
