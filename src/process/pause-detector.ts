/**
 * Detects pauses of this process: its timers fired late, or wall time advanced while the monotonic clock did not. A step
 * of the wall clock looks the same, so before an action that cannot be undone, another source has to confirm the pause.
 */
import {every, type Clock, type Milliseconds} from './clock.js';

/** Detects pauses of this process. */
export type PauseDetector = {
	/** Checks for a pause now, for instance before reading input that may have arrived during one. */
	check(): void;
	/** Calls `action` with the length of each pause as soon as it is detected. Returns a function that unsubscribes it. */
	onPause(action: (pause: Milliseconds) => void): () => void;
	stop(): void;
};

const checkIntervalMs: Milliseconds = 100;
/** A delay up to this is attributed to load. */
const toleranceMs: Milliseconds = 200;

/** Creates a detector. It also checks at regular intervals, so that a pause is detected without a call of `check`. */
export function createPauseDetector(clock: Clock): PauseDetector {
	const listeners = new Set<(pause: Milliseconds) => void>();
	let checkedAt = clock.now();
	let wallOffset = clock.wall() - checkedAt;
	const timer = every(clock, checkIntervalMs, check);

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
		const newWallOffset = clock.wall() - now;
		const pause = Math.max(0, now - checkedAt - checkIntervalMs) + Math.max(0, newWallOffset - wallOffset);
		checkedAt = now;
		wallOffset = newWallOffset;
		if (pause > toleranceMs) {
			for (const listener of listeners) {
				listener(pause);
			}
		}
	}
}

/**
 * Sums up pauses. The returned function checks for a pause, then returns the sum and resets it to 0, so that each pause
 * counts once.
 */
export function createPauseAccumulator(detector: PauseDetector): () => Milliseconds {
	let sum: Milliseconds = 0;
	detector.onPause(pause => {
		sum += pause;
	});
	return () => {
		detector.check();
		const total = sum;
		sum = 0;
		return total;
	};
}
