/**
 * A clock that advances only when told to, for deterministic tests and benchmarks.
 */
import type {Clock, Milliseconds, Timer} from './clock.js';

/** A clock whose time is advanced explicitly. */
export type FakeClock = {
	/** Advances time by `duration`, firing every timer that becomes due, in order of due time. */
	advance(duration: Milliseconds): void;
	/** Advances time to the next timer and fires it. Returns false if there is none. */
	step(): boolean;
} & Clock;

type ScheduledTimer = {
	readonly firesAt: Milliseconds;
	readonly sequence: number;
	readonly action: () => void;
	cancelled: boolean;
};

/** Creates a clock that starts at `start` milliseconds, both monotonic and wall. */
export function createFakeClock(start: Milliseconds = 0): FakeClock {
	const heap: ScheduledTimer[] = [];
	let time = start;
	let nextSequence = 0;

	return {
		now: () => time,
		wall: () => time,
		after,
		advance(duration) {
			const end = time + duration;
			while (heap[0] !== undefined && heap[0].firesAt <= end) {
				fireNext();
			}

			time = end;
		},
		step() {
			while (heap[0]?.cancelled) {
				pop(heap);
			}

			if (heap[0] === undefined) {
				return false;
			}

			fireNext();
			return true;
		},
	};

	function after(delay: Milliseconds, action: () => void): Timer {
		const timer: ScheduledTimer = {
			firesAt: time + Math.max(0, delay), sequence: nextSequence++, action, cancelled: false,
		};
		push(heap, timer);
		return {
			cancel() {
				timer.cancelled = true;
			},
		};
	}

	function fireNext(): void {
		const timer = pop(heap);
		if (timer === undefined || timer.cancelled) {
			return;
		}

		time = Math.max(time, timer.firesAt);
		timer.action();
	}
}

function isBefore(a: ScheduledTimer, b: ScheduledTimer): boolean {
	return a.firesAt < b.firesAt || (a.firesAt === b.firesAt && a.sequence < b.sequence);
}

function push(heap: ScheduledTimer[], timer: ScheduledTimer): void {
	let i = heap.length;
	heap.push(timer);
	while (i > 0) {
		const parent = Math.floor((i - 1) / 2);
		if (!isBefore(timer, heap[parent]!)) {
			break;
		}

		heap[i] = heap[parent]!;
		i = parent;
	}

	heap[i] = timer;
}

function pop(heap: ScheduledTimer[]): ScheduledTimer | undefined {
	const top = heap[0];
	const last = heap.pop();
	if (top === undefined || last === undefined || heap.length === 0) {
		return top;
	}

	let i = 0;
	for (;;) {
		let child = (2 * i) + 1;
		if (child >= heap.length) {
			break;
		}

		if (child + 1 < heap.length && isBefore(heap[child + 1]!, heap[child]!)) {
			child++;
		}

		if (!isBefore(heap[child]!, last)) {
			break;
		}

		heap[i] = heap[child]!;
		i = child;
	}

	heap[i] = last;
	return top;
}
