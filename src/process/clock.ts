/**
 * Time as the decision parts see it: monotonic milliseconds and timers, both replaceable in tests.
 */

/** A point or length of time in milliseconds. */
export type Milliseconds = number;

/** A pending timer. */
export type Timer = {
	/** Stops the timer; does nothing once it has fired. */
	cancel(): void;
};

/** The only source of time for every part that decides. */
export type Clock = {
	/** Monotonic time in milliseconds; only differences have a meaning. */
	now(): Milliseconds;
	/** Wall time in milliseconds since 1970, for records that people read; never for a decision. */
	wall(): Milliseconds;
	/** Calls `action` once after `delay` milliseconds. */
	after(delay: Milliseconds, action: () => void): Timer;
};

/** Creates the clock of a real process. Its timers do not keep the process alive. */
export function createSystemClock(): Clock {
	return {
		now: () => performance.now(),
		wall: () => Date.now(),
		after(delay, action) {
			const handle = setTimeout(action, delay);
			handle.unref();
			return {
				cancel() {
					clearTimeout(handle);
				},
			};
		},
	};
}

/** Calls `action` every `interval` milliseconds until the returned timer is cancelled. */
export function every(clock: Clock, interval: Milliseconds, action: () => void): Timer {
	let cancelled = false;
	let timer = clock.after(interval, fire);

	function fire(): void {
		if (cancelled) {
			return;
		}

		timer = clock.after(interval, fire);
		action();
	}

	return {
		cancel() {
			cancelled = true;
			timer.cancel();
		},
	};
}

/** Resolves after `delay` milliseconds. */
export async function sleep(clock: Clock, delay: Milliseconds): Promise<void> {
	return new Promise(resolve => {
		clock.after(delay, resolve);
	});
}
