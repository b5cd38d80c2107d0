/**
 * Time limits of successive attempts to open a stream to one process. Without a limit, an attempt whose first packets were lost
 * lasts until the operating system sends them again, which it does ever more seldom. A process that is busy answers late, and
 * an attempt that is given up early was work for nothing, so the limit after one that was given up is longer.
 */
import type {Clock, Milliseconds, Timer} from '../process/clock.js';

/** Dependencies of the attempts. */
export type ConnectAttemptsHost = {
	readonly clock: Clock;
	/** Limit of the first attempt. */
	readonly firstTimeoutMs: Milliseconds;
};

/** The attempts to open a stream to one process. */
export type ConnectAttempts = {
	/** Begins an attempt. Calls `onTimeout` when its limit is over, unless it has ended before. */
	begin(onTimeout: () => void): void;
	/** Ends the attempt, if there is one. */
	end(): void;
	/** Ends the attempt, since the stream has opened; the next one begins with the first limit again. */
	succeed(): void;
};

const growthFactor = 2;
/** Longest limit, as a multiple of the first one. It bounds the time from the end of an outage to the next attempt. */
const maxFactor = 4;

/** Creates the attempts, without one that lasts. */
export function createConnectAttempts({clock, firstTimeoutMs}: ConnectAttemptsHost): ConnectAttempts {
	let timeout = firstTimeoutMs;
	let timer: Timer | undefined;

	return {
		begin(onTimeout) {
			end();
			timer = clock.after(timeout, () => {
				timeout = Math.min(timeout * growthFactor, firstTimeoutMs * maxFactor);
				onTimeout();
			});
		},
		end,
		succeed() {
			end();
			timeout = firstTimeoutMs;
		},
	};

	function end(): void {
		timer?.cancel();
		timer = undefined;
	}
}
