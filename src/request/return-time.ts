/**
 * When the callers of refused jobs may return: after the time in which the queue is worked off, spread over as much time again, so
 * that they do not come back together.
 */
import type {Milliseconds} from '../process/clock.js';

/** Least time over which callers return; a shorter overload is over before its refusals have arrived. */
const minSpreadMs: Milliseconds = 500;
/** Longest wait that is told. The length of an overload cannot be foreseen for longer. */
const maxReturnMs: Milliseconds = 5000;

/** Returns the time after which one caller may return. `random` is a number in [0, 1). */
export function getReturnTime(expectedWait: Milliseconds, random: number): Milliseconds {
	const wait = Math.min(expectedWait, (maxReturnMs - minSpreadMs) / 2);
	return Math.ceil(wait + minSpreadMs + (random * Math.max(minSpreadMs, wait)));
}
