/**
 * Tells whether the client of a request still waits. A request that waited in its connection while this process stood still, or was
 * slow, looks like a new one, since the end of its connection is read only after it.
 */
import type {Socket} from 'node:net';
import type {Clock, Milliseconds} from './clock.js';
import {afterInputRead, type AfterPoll, type ReadConnection} from './input-reading.js';
import type {Log} from './log.js';
import type {Metrics} from './metrics.js';

/** Dependencies of the arrivals. */
export type RequestArrivalsHost = {
	readonly clock: Pick<Clock, 'now'>;
	readonly log: Pick<Log, 'info'>;
	readonly metrics: Pick<Metrics, 'time'>;
	readonly afterPoll: AfterPoll;
	/** Returns for how long input that is read now may have waited while this process stood still; 0 if it did not. */
	getInputDelay(): Milliseconds;
};

/** The connection of a request. */
export type RequestConnection = ReadConnection & Pick<Socket, 'readableEnded'>;

/** The requests of clients at one process. */
export type RequestArrivals = {
	/**
	 * Resolves to whether the client still waits, once everything has been read that its connection had received when this was called. To be
	 * called when all bytes of the request were read, and again before it is acted on after another wait.
	 */
	isClientWaiting(request: string, connection: RequestConnection): Promise<boolean>;
};

/** Creates the arrivals of a process. */
export function createRequestArrivals({
	clock, log, metrics, afterPoll, getInputDelay,
}: RequestArrivalsHost): RequestArrivals {
	return {
		async isClientWaiting(request, connection) {
			const delay = getInputDelay();
			const readAt = clock.now();
			await new Promise<void>(resolve => {
				afterInputRead([connection], afterPoll, resolve);
			});
			const isWaiting = !connection.destroyed && !connection.readableEnded;
			if (delay > 0 || !isWaiting) {
				report(request, {isWaiting, delay, polled: clock.now() - readAt});
			}

			return isWaiting;
		},
	};

	function report(request: string, {isWaiting, delay, polled}: Arrival): void {
		const fields = {request, waitedUpTo: Math.round(delay), polled: Math.round(polled)};
		log.info(fields, isWaiting ? 'request was read late' : 'request dropped, as its client has hung up; it has not run');
		metrics.time('request.input.delay', delay, {client: isWaiting ? 'waiting' : 'gone'});
	}
}

type Arrival = {
	readonly isWaiting: boolean;
	/** For how long the request may have waited while this process stood still. */
	readonly delay: Milliseconds;
	/** Time until the rest of the connection was read. */
	readonly polled: Milliseconds;
};
