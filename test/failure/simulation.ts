/**
 * Simulated time, random sources and processes. A simulated process has its own drifting clock and can be frozen, thawed
 * and killed. Actions that are due while it is frozen are performed when it is thawed.
 */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Clock, Milliseconds, Timer} from '../../src/process/clock.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';

/** Seeded random source. */
export type RandomSource = {
	/** Returns an integer from `min` to `max`, both included. */
	integer(min: number, max: number): number;
	/** Returns true with this probability. */
	chance(probability: number): boolean;
	/** Returns a random item. */
	pick<T>(items: readonly T[]): T;
	/** Returns a number in [0, 1). */
	fraction(): number;
};

/** Clock and random source shared by all parts of one run. */
export type Simulation = {
	readonly clock: FakeClock;
	readonly random: RandomSource;
};

/** One simulated process. */
export type SimulatedProcess = {
	readonly name: string;
	readonly clock: Clock;
	isAlive(): boolean;
	isFrozen(): boolean;
	/** Performs an action in the process: now, when it is thawed, or not at all if it is dead by then. */
	perform(action: () => void): void;
	/** Resolves to the value of `pending` as an action of the process, that is, only while it is running. */
	deliver<T>(pending: PromiseLike<T>): Promise<T>;
	kill(): void;
	freeze(): void;
	thaw(): void;
	/** Steps the time of day, forward or, if negative, backward. */
	stepWallClock(by: Milliseconds): void;
	/** Uses processor time, for which the next action waits. */
	spend(time: Milliseconds): void;
	/** Returns the total processor time that was used until now. */
	getActiveTime(): Milliseconds;
};

const fractionSteps = 1_000_000;
const wallClockStart: Milliseconds = Date.UTC(2026, 0);

/** Creates a simulation that is determined by the seed. */
export function createSimulation(seed: number): Simulation {
	return {clock: createFakeClock(), random: createRandomSource(seed)};
}

/** Creates the random source of one part of a run. */
export function createRandomSource(seed: number): RandomSource {
	const generator = xoroshiro128plus(seed);
	const uniformInteger = (min: number, max: number) => uniformInt(generator, min, max);
	const fraction = () => uniformInteger(0, fractionSteps - 1) / fractionSteps;

	return {
		integer: uniformInteger,
		fraction,
		chance: probability => fraction() < probability,
		pick: items => items[uniformInteger(0, items.length - 1)]!,
	};
}

/** Behaviour of the clocks of a process. */
export type ProcessOptions = {
	/** Maximum error of the time of day, in both directions. */
	readonly skewMs?: Milliseconds;
	/** Whether the monotonic clock stops while the process is frozen, as on the users' machines. */
	readonly isClockFrozen?: boolean;
	/** Processor time of each action; actions take no time if undefined. */
	readonly actionCostMs?: Milliseconds;
};

/** Real timers take whole milliseconds. A timer as short as a rounding error would never let time pass. */
const minTimerMs: Milliseconds = 0.1;
const roundingMs: Milliseconds = 0.001;

/** Creates a process whose clock runs up to 1 % too fast or too slow. */
export function createProcess({clock, random}: Simulation, name: string, {skewMs = 5000, isClockFrozen = false, actionCostMs}: ProcessOptions = {}): SimulatedProcess {
	const rate = 1 + (random.integer(-10, 10) / 1000);
	let skew = random.integer(-skewMs, skewMs);
	let state: 'running' | 'frozen' | 'dead' = 'running';
	let frozenAt: Milliseconds = 0;
	/** Total time for which the monotonic clock was stopped. */
	let frozenFor: Milliseconds = 0;
	let backlog: Array<() => void> = [];
	/** Actions that wait for the processor. */
	let queue: Array<() => void> = [];
	let isQueueScheduled = false;
	let busyUntil: Milliseconds = 0;
	let activeTime: Milliseconds = 0;

	return {
		name,
		clock: {now, wall: () => wallClockStart + clock.now() + skew, after},
		isAlive: () => state !== 'dead',
		isFrozen: () => state === 'frozen',
		perform,
		async deliver(pending) {
			const value = await pending;
			return new Promise(resolve => {
				perform(() => {
					resolve(value);
				});
			});
		},
		kill() {
			state = 'dead';
			backlog = [];
			queue = [];
		},
		freeze() {
			if (state === 'running') {
				state = 'frozen';
				frozenAt = clock.now();
			}
		},
		thaw() {
			if (state === 'frozen') {
				state = 'running';
				frozenFor += isClockFrozen ? clock.now() - frozenAt : 0;
			}

			const waiting = backlog;
			backlog = [];
			for (const action of waiting) {
				perform(action);
			}

			scheduleQueue();
		},
		stepWallClock(by) {
			skew += by;
		},
		spend(time) {
			busyUntil = Math.max(busyUntil, clock.now()) + time;
			activeTime += time;
		},
		getActiveTime: () => activeTime - Math.max(0, busyUntil - clock.now()),
	};

	function now(): Milliseconds {
		const isClockStopped = isClockFrozen && state === 'frozen';
		return ((isClockStopped ? frozenAt : clock.now()) - frozenFor) * rate;
	}

	function perform(action: () => void): void {
		if (state === 'frozen') {
			backlog.push(action);
		} else if (state === 'running' && actionCostMs === undefined) {
			action();
		} else if (state === 'running') {
			queue.push(action);
			scheduleQueue();
		}
	}

	function scheduleQueue(): void {
		if (!isQueueScheduled && queue.length > 0) {
			isQueueScheduled = true;
			clock.after(Math.max(0, busyUntil - clock.now()), runQueue);
		}
	}

	/** Runs the action that has waited longest. The next one waits until its processor time has passed. */
	function runQueue(): void {
		isQueueScheduled = false;
		if (state !== 'running') {
			return;
		}

		const action = queue.shift();
		busyUntil = Math.max(busyUntil, clock.now()) + actionCostMs!;
		activeTime += actionCostMs!;
		action?.();
		scheduleQueue();
	}

	function after(delay: Milliseconds, action: () => void): Timer {
		const dueAt = now() + delay;
		let isCancelled = false;
		let timer = arm(delay);
		return {
			cancel() {
				isCancelled = true;
				timer.cancel();
			},
		};

		function arm(remaining: Milliseconds): Timer {
			return clock.after(remaining > 0 ? Math.max(remaining, minTimerMs) / rate : 0, () => {
				perform(fire);
			});
		}

		// After a freeze during which the clock was stopped, the timer still has remaining time.
		function fire(): void {
			const remaining = dueAt - now();
			if (isCancelled) {
				return;
			}

			if (remaining > roundingMs) {
				timer = arm(remaining);
			} else {
				action();
			}
		}
	}
}

/** Advances the simulation by `duration`. All promise callbacks run between two steps of the clock. */
export async function advanceSimulation({clock}: Simulation, duration: Milliseconds): Promise<void> {
	const end = clock.now() + duration;
	clock.after(duration, () => undefined);
	while (clock.now() < end && clock.step()) {
		await runPromiseCallbacks();
	}
}

async function runPromiseCallbacks(): Promise<void> {
	return new Promise(resolve => {
		setImmediate(resolve);
	});
}
