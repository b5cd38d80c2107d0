/**
 * A fake link between one entry and one agent: whatever is due at the same instant goes in one batch and
 * arrives after the one-way latency, in order.
 */
import type {Clock, Milliseconds} from '../../src/process/clock.js';

/** One direction of a link. */
export type Pipe = {
	/** Something is due: sends a batch at the end of this instant. */
	scheduleSend(): void;
	/** Sends nothing more and drops what is on the way. */
	close(): void;
};

/** Effects of a pipe. */
export type PipeHost<Batch> = {
	readonly clock: Clock;
	readonly latency: Milliseconds;
	/** Time by which the next batch is later than that; batches stay in order. */
	drawDelay?(): Milliseconds;
	/** Everything that is due now. */
	takeBatch(): Batch;
	receive(batch: Batch): void;
};

/** Creates one direction of a link. */
export function createPipe<Batch>(host: PipeHost<Batch>): Pipe {
	let isPlanned = false;
	let isClosed = false;
	let lastArrival = 0;

	return {
		scheduleSend() {
			if (!isPlanned && !isClosed) {
				isPlanned = true;
				host.clock.after(0, send);
			}
		},
		close() {
			isClosed = true;
		},
	};

	function send(): void {
		isPlanned = false;
		if (isClosed) {
			return;
		}

		const batch = host.takeBatch();
		const now = host.clock.now();
		lastArrival = Math.max(lastArrival, now + host.latency + (host.drawDelay?.() ?? 0));
		host.clock.after(lastArrival - now, () => {
			if (!isClosed) {
				host.receive(batch);
			}
		});
	}
}
