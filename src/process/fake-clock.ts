/**
 * A clock that moves only when told to, for tests and benches of the decision parts.
 */
import type {Clock, Milliseconds, Timer} from './clock.js';

/** A clock whose time is advanced by hand. */
export type FakeClock = {
	/** Moves time forward, firing every timer that falls due in order of its time. */
	advance(duration: Milliseconds): void;
	/** Moves time to the next timer and fires it; false if there is none. */
	step(): boolean;
} & Clock;

type Entry = {
	readonly at: Milliseconds;
	readonly order: number;
	readonly action: () => void;
	cancelled: boolean;
};

/** Creates a clock that starts at `start` milliseconds, both monotonic and wall. */
export function createFakeClock(start: Milliseconds = 0): FakeClock {
	const heap: Entry[] = [];
	let time = start;
	let order = 0;

	return {
		now: () => time,
		wall: () => time,
		after,
		advance(duration) {
			const end = time + duration;
			while (heap[0] !== undefined && heap[0].at <= end) {
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
		const entry: Entry = {
			at: time + Math.max(0, delay), order: order++, action, cancelled: false,
		};
		push(heap, entry);
		return {
			cancel() {
				entry.cancelled = true;
			},
		};
	}

	function fireNext(): void {
		const entry = pop(heap);
		if (entry === undefined || entry.cancelled) {
			return;
		}

		time = Math.max(time, entry.at);
		entry.action();
	}
}

function isBefore(a: Entry, b: Entry): boolean {
	return a.at < b.at || (a.at === b.at && a.order < b.order);
}

function push(heap: Entry[], entry: Entry): void {
	let i = heap.length;
	heap.push(entry);
	while (i > 0) {
		const parent = Math.floor((i - 1) / 2);
		if (!isBefore(entry, heap[parent]!)) {
			break;
		}

		heap[i] = heap[parent]!;
		i = parent;
	}

	heap[i] = entry;
}

function pop(heap: Entry[]): Entry | undefined {
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
