/**
 * Simulated time, chance and processes. A simulated process has its own drifting clock and can be frozen,
 * thawed and killed; whatever would happen in it while it is frozen happens at once when it is thawed.
 */
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Clock, Milliseconds, Timer} from '../../src/process/clock.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';

/** Seeded chance. */
export type RandomSource = {
	/** An integer from `min` to `max`, both included. */
	integer(min: number, max: number): number;
	/** True with this probability. */
	chance(probability: number): boolean;
	pick<T>(items: readonly T[]): T;
	/** A number in [0, 1). */
	fraction(): number;
};

/** What everything in one run shares. */
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
	/** Does something in the process: now, when it is thawed, or never if it is dead by then. */
	perform(action: () => void): void;
	/** Carries a result into the process. */
	deliver<T>(pending: PromiseLike<T>): Promise<T>;
	kill(): void;
	freeze(): void;
	thaw(): void;
};

const fractionSteps = 1_000_000;
const wallStart: Milliseconds = Date.UTC(2026, 0);

/** Creates a simulation whose course follows from the seed. */
export function createSimulation(seed: number): Simulation {
	return {clock: createFakeClock(), random: createRandomSource(seed)};
}

/** Creates the source of chance of one part of a run. */
export function createRandomSource(seed: number): RandomSource {
	const generator = xoroshiro128plus(seed);
	const between = (min: number, max: number) => uniformInt(generator, min, max);
	const fraction = () => between(0, fractionSteps - 1) / fractionSteps;

	return {
		integer: between,
		fraction,
		chance: probability => fraction() < probability,
		pick: items => items[between(0, items.length - 1)]!,
	};
}

/** How the clocks of a process behave. */
export type ProcessOptions = {
	/** Most by which the time of day is off, both ways. */
	readonly skewMs?: Milliseconds;
	/** Whether the steady clock stands still while the process is frozen, as on the users' machines. */
	readonly isClockFrozen?: boolean;
};

/** Real timers take whole milliseconds; one of a rounding error would never let time pass. */
const leastTimerMs: Milliseconds = 0.1;
const roundingMs: Milliseconds = 0.001;

/** Creates a process whose clock runs up to 1 % too fast or too slow. */
export function createProcess({clock, random: dice}: Simulation, name: string, {skewMs = 5000, isClockFrozen = false}: ProcessOptions = {}): SimulatedProcess {
	const rate = 1 + (dice.integer(-10, 10) / 1000);
	const skew = dice.integer(-skewMs, skewMs);
	let state: 'running' | 'frozen' | 'dead' = 'running';
	let frozenAt: Milliseconds = 0;
	/** Time that the steady clock has left out. */
	let frozenFor: Milliseconds = 0;
	let backlog: Array<() => void> = [];

	return {
		name,
		clock: {now, wall: () => wallStart + clock.now() + skew, after},
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
		},
	};

	function now(): Milliseconds {
		const isStandingStill = isClockFrozen && state === 'frozen';
		return ((isStandingStill ? frozenAt : clock.now()) - frozenFor) * rate;
	}

	function perform(action: () => void): void {
		if (state === 'running') {
			action();
		} else if (state === 'frozen') {
			backlog.push(action);
		}
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

		function arm(rest: Milliseconds): Timer {
			return clock.after(rest > 0 ? Math.max(rest, leastTimerMs) / rate : 0, () => {
				perform(fire);
			});
		}

		// A timer that was overtaken by a freeze has the rest of its time before it.
		function fire(): void {
			const rest = dueAt - now();
			if (isCancelled) {
				return;
			}

			if (rest > roundingMs) {
				timer = arm(rest);
			} else {
				action();
			}
		}
	}
}

/** Runs for `duration`, letting every promise settle between two points in time. */
export async function advanceSimulation({clock}: Simulation, duration: Milliseconds): Promise<void> {
	const end = clock.now() + duration;
	clock.after(duration, () => undefined);
	while (clock.now() < end && clock.step()) {
		await settle();
	}
}

async function settle(): Promise<void> {
	return new Promise(resolve => {
		setImmediate(resolve);
	});
}
