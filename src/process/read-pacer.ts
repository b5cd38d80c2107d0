/**
 * Spreads the reading from connections whose data comes in very small chunks: each costs the same time whatever its size, so one read
 * of such data takes as long as the reads of many ordinary requests.
 */
import type {Clock, Milliseconds} from './clock.js';

/** A connection whose reading can be paused. */
export type PacedConnection = {
	pause(): void;
	resume(): void;
	/** Ends the connection, as too many others wait to be read. */
	refuse(): void;
};

/** Paces the connections of a process. */
export type ReadPacer = {
	/** Pauses a connection. It is resumed for one read when it is its turn. If too many wait, the one that has waited longest is refused. */
	pause(connection: PacedConnection): void;
};

/** Time from one read to the next; a body of the largest size in chunks of one byte needs some 25 reads. */
const intervalMs: Milliseconds = 25;
/** Connections that wait at most: what their clients have sent takes time to read even after the clients have left. */
const maxWaiting = 16;

/** Creates a pacer that has paused nothing. */
export function createReadPacer(clock: Pick<Clock, 'after'>): ReadPacer {
	const waiting = new Set<PacedConnection>();

	return {
		pause(connection) {
			connection.pause();
			if (waiting.has(connection)) {
				return;
			}

			waiting.add(connection);
			if (waiting.size === 1) {
				clock.after(intervalMs, resumeNext);
			} else if (waiting.size > maxWaiting) {
				const [refused] = waiting;
				waiting.delete(refused!);
				refused!.refuse();
			}
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
