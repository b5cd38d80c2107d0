/**
 * Simulated link between one entry and one agent: everything that becomes pending at the same instant is sent in one
 * batch, which arrives after the one-way latency. Batches arrive in order.
 */
import type {Clock, Milliseconds} from '../../src/process/clock.js';

/** One direction of a link. */
export type Pipe = {
	/** Schedules a batch for the end of the present instant. */
	scheduleSend(): void;
	/** Stops sending and drops the batches in transit. */
	close(): void;
};

/** Dependencies of a pipe. */
export type PipeHost<Batch> = {
	readonly clock: Clock;
	readonly latency: Milliseconds;
	/** Returns the delay of the next batch in addition to the latency; batches stay in order. */
	drawDelay?(): Milliseconds;
	/** Removes and returns everything that is pending. */
	takeBatch(): Batch;
	receive(batch: Batch): void;
};

/** Creates one direction of a link. */
export function createPipe<Batch>(host: PipeHost<Batch>): Pipe {
	let isSendScheduled = false;
	let isClosed = false;
	let lastArrival = 0;

	return {
		scheduleSend() {
			if (!isSendScheduled && !isClosed) {
				isSendScheduled = true;
				host.clock.after(0, send);
			}
		},
		close() {
			isClosed = true;
		},
	};

	function send(): void {
		isSendScheduled = false;
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
