/**
 * Spreads the reading from connections whose data comes in very small chunks: each costs the same time whatever its size, so one read
 * of such data takes as long as the reads of many ordinary requests.
 */
import type {Clock, Milliseconds} from './clock.js';

/** A connection whose reading can be paused. */
export type PacedConnection = {
	pause(): unknown;
	resume(): unknown;
};

/** Paces the connections of a process. */
export type ReadPacer = {
	/** Pauses a connection. It is resumed for one read when it is its turn. */
	pause(connection: PacedConnection): void;
};

/** Time from one read to the next; a body of the largest size in chunks of one byte needs some 25 reads. */
const intervalMs: Milliseconds = 25;

/** Creates a pacer that has paused nothing. */
export function createReadPacer(clock: Pick<Clock, 'after'>): ReadPacer {
	const waiting = new Set<PacedConnection>();

	return {
		pause(connection) {
			// Also one that waits already: its stream may have resumed it on its own.
			connection.pause();
			if (waiting.size === 0) {
				clock.after(intervalMs, resumeNext);
			}

			waiting.add(connection);
		},
	};

	function resumeNext(): void {
		const [next] = waiting;
		if (next === undefined) {
			return;
		}

		waiting.delete(next);
		next.resume();
		if (waiting.size > 0) {
			clock.after(intervalMs, resumeNext);
		}
	}
}
