/**
 * Recognizes a writer that goes on: announcements with increasing numbers over a longer time than late ones arrive.
 */
import type {Clock, Milliseconds} from './clock.js';

/** A series of announcements of one writer. */
export type SteadySeries = {
	/**
	 * Adds an announcement, which continues the series if its number is higher than the last one; otherwise a new series begins. Returns
	 * whether the series is long enough.
	 */
	add(sequence: number): boolean;
	/** Forgets the series. */
	clear(): void;
};

/** Least duration of a series: longer than the second for which an announcement may be under way, so that late ones are no series. */
const steadyMs: Milliseconds = 2500;
/** Least number of announcements in a series. */
const steadyCount = 3;

/** Creates an empty series. */
export function createSteadySeries(clock: Clock): SteadySeries {
	let series: {readonly since: Milliseconds; readonly count: number; readonly sequence: number} | undefined;

	return {
		add(sequence) {
			series = series !== undefined && sequence > series.sequence
				? {...series, count: series.count + 1, sequence}
				: {since: clock.now(), count: 1, sequence};
			return series.count >= steadyCount && clock.now() - series.since >= steadyMs;
		},
		clear() {
			series = undefined;
		},
	};
}
