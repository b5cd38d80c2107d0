/**
 * The clock: monotonic time, wall time and timers, all replaceable in tests.
 */

/** A point in time or a duration, in milliseconds. */
export type Milliseconds = number;

/** A pending timer. */
export type Timer = {
	/** Cancels the timer; does nothing once it has fired. */
	cancel(): void;
};

/** Source of time. Code that makes decisions reads time from here only, so that tests can control it. */
export type Clock = {
	/** Returns monotonic time in milliseconds. Only differences between two values are meaningful. */
	now(): Milliseconds;
	/** Returns wall time in milliseconds since 1970, for records that people read. Decisions must not depend on it. */
	wall(): Milliseconds;
	/** Calls `action` once after `delay` milliseconds. */
	after(delay: Milliseconds, action: () => void): Timer;
};

/** Creates a clock over the system's time. Its timers do not keep the process alive. */
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
