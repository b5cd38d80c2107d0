/**
 * Detects pauses of this process: its timers fired late, or wall time advanced while the monotonic clock did not. A step
 * of the wall clock looks the same, so before an action that cannot be undone, another source has to confirm the pause. A
 * step backward may also hide a pause, which then only the clock of another process shows.
 */
import {every, type Clock, type Milliseconds} from './clock.js';

/** Called with the length of a pause, and the part of it that the monotonic clock did not count. */
export type PauseListener = (pause: Milliseconds, uncounted: Milliseconds) => void;

/** Detects pauses of this process. */
export type PauseDetector = {
	/** Checks for a pause now, for instance before reading input that may have arrived during one. */
	check(): void;
	/** Calls `action` with each pause as soon as it is detected. Returns a function that unsubscribes it. */
	onPause(action: PauseListener): () => void;
	/**
	 * Calls `action` with the length of each pause, and with 0 when the wall clock was stepped backward, which may have hidden a
	 * pause of any length.
	 */
	onPossiblePause(action: (pause: Milliseconds) => void): void;
	/** Reports a pause that the clock of another process has shown, unless it was detected here. */
	recordWitnessed(pause: Milliseconds): void;
	stop(): void;
};

const checkIntervalMs: Milliseconds = 100;
/** A delay up to this is attributed to load. */
const toleranceMs: Milliseconds = 200;
/** Time within which a pause that was detected here is shown by the clock of another process, too. */
const witnessDelayMs: Milliseconds = 2500;

/** Creates a detector. It also checks at regular intervals, so that a pause is detected without a call of `check`. */
export function createPauseDetector(clock: Clock): PauseDetector {
	const listeners = new Set<PauseListener>();
	const possiblePauseListeners: Array<(pause: Milliseconds) => void> = [];
	/** Recent pauses that the monotonic clock did not count. */
	let uncounted: Array<{readonly at: Milliseconds; readonly pause: Milliseconds}> = [];
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
		onPossiblePause(action) {
			possiblePauseListeners.push(action);
		},
		recordWitnessed(pause) {
			check();
			const now = clock.now();
			uncounted = uncounted.filter(({at}) => at >= now - witnessDelayMs);
			const detected = uncounted.reduce((sum, known) => sum + known.pause, 0);
			if (pause - detected > toleranceMs) {
				uncounted.push({at: now, pause: pause - detected});
				report(pause - detected, pause - detected);
			}
		},
		stop() {
			timer.cancel();
		},
	};

	function check(): void {
		const now = clock.now();
		const newWallOffset = clock.wall() - now;
		const wallStep = newWallOffset - wallOffset;
		const pause = Math.max(0, now - checkedAt - checkIntervalMs) + Math.max(0, wallStep);
		checkedAt = now;
		wallOffset = newWallOffset;
		if (wallStep > toleranceMs) {
			uncounted.push({at: now, pause: wallStep});
		}

		if (pause > toleranceMs) {
			report(pause, Math.max(0, wallStep));
		} else if (wallStep < -toleranceMs) {
			reportPossiblePause(0);
		}
	}

	function report(pause: Milliseconds, uncountedPause: Milliseconds): void {
		for (const listener of listeners) {
			listener(pause, uncountedPause);
		}

		reportPossiblePause(pause);
	}

	function reportPossiblePause(pause: Milliseconds): void {
		for (const listener of possiblePauseListeners) {
			listener(pause);
		}
	}
}

/**
 * Returns a clock whose timers check for a pause before they act: several timers that were due during a pause fire before any input is
 * read, in any order.
 */
export function createPauseCheckedClock(clock: Clock, detector: Pick<PauseDetector, 'check'>): Clock {
	return {
		now: clock.now,
		wall: clock.wall,
		after: (delay, action) => clock.after(delay, () => {
			detector.check();
			action();
		}),
	};
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
