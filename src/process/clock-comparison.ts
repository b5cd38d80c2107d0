/**
 * Compares the steady clock of this process with that of another one, by the times in its messages. A process that is
 * suspended stands still with its clock, so the other clock then gets ahead. Unlike the time of day, no such clock is
 * ever stepped.
 */
import type {Clock, Milliseconds} from './clock.js';

/** The comparison with one other process. */
export type ClockComparison = {
	/**
	 * Records that a message shows `time` on the other clock. Returns how far that is from what the earlier messages let
	 * expect. If positive, this process was suspended since then, at least for that long. If negative, the message was under
	 * way for longer than they were, or its sender was suspended. 0 for the first message.
	 */
	record(time: Milliseconds): Milliseconds;
};

/** Time after which the highest offset is forgotten: after a suspension of the other process, it is not reached again. */
const windowMs: Milliseconds = 2000;
/** Bound on the difference between the rates of two clocks. */
const maxRateError = 0.03;
/** Differences up to this are not distinguished from the different times that messages take. */
const toleranceMs: Milliseconds = 150;

/** Creates the comparison with a process that has not reported its clock yet. */
export function createClockComparison(clock: Pick<Clock, 'now'>): ClockComparison {
	let recordedAt: Milliseconds = -Infinity;
	let windowStartedAt: Milliseconds = -Infinity;
	/** Highest offset of the other clock in this window and in the one before. The time on the way only lowers an offset. */
	let highest = -Infinity;
	let highestBefore = -Infinity;

	return {
		record(time) {
			const now = clock.now();
			const offset = time - now;
			const isFirst = highest === -Infinity;
			const knownOffset = Math.max(highest, highestBefore);
			const difference = offset - knownOffset;
			const error = maxRateError * (now - recordedAt);
			const isClear = Math.abs(difference) > error + toleranceMs;
			if (now - windowStartedAt > windowMs) {
				windowStartedAt = now;
				highestBefore = highest - error;
				highest = offset;
			} else {
				// Messages that were sent during a suspension, shortly after each other, show it in small steps, which add up.
				highestBefore -= error;
				highest = Math.max(highest - error, isClear ? offset : Math.min(offset, knownOffset));
			}

			recordedAt = now;
			return isFirst || !isClear ? 0 : difference - (Math.sign(difference) * error);
		},
	};
}
