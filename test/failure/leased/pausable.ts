/**
 * A simulated process whose steady clock does not count the time for which it is frozen, as on the users' machines.
 */
import type {Milliseconds, Timer} from '../../../src/process/clock.js';
import type {SimulatedProcess, Simulation} from '../simulation.js';

const wallStart: Milliseconds = Date.UTC(2026, 0);

/** Creates a process whose clock runs up to 1 % too fast or too slow. */
export function createPausableProcess({clock, dice}: Simulation, name: string): SimulatedProcess {
	const rate = 1 + (dice.between(-10, 10) / 1000);
	const skew = dice.between(-2000, 2000);
	let state: 'running' | 'frozen' | 'dead' = 'running';
	let frozenAt: Milliseconds = 0;
	let frozenFor: Milliseconds = 0;
	let backlog: Array<() => void> = [];

	return {
		name,
		clock: {now, wall: () => wallStart + clock.now() + skew, after},
		isAlive: () => state !== 'dead',
		isFrozen: () => state === 'frozen',
		perform,
		async carry(pending) {
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
			if (state !== 'frozen') {
				return;
			}

			state = 'running';
			frozenFor += clock.now() - frozenAt;
			const waiting = backlog;
			backlog = [];
			for (const action of waiting) {
				perform(action);
			}
		},
	};

	function now(): Milliseconds {
		return ((state === 'frozen' ? frozenAt : clock.now()) - frozenFor) * rate;
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

const roundingMs: Milliseconds = 0.001;
/** Real timers take whole milliseconds; one of a rounding error would never let time pass. */
const leastTimerMs: Milliseconds = 0.1;
