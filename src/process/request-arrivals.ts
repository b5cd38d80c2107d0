/**
 * Tells which requests were read late, and which of their clients had hung up by then. A request that waited in its connection
 * while this process stood still, or was slow, looks like a new one: the end of its connection is read only after it.
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
	/** Reports a request of which all bytes were read, if it was read late or its client has hung up. */
	record(request: string, connection: RequestConnection): void;
};

/** Creates the arrivals of a process. */
export function createRequestArrivals({
	clock, log, metrics, afterPoll, getInputDelay,
}: RequestArrivalsHost): RequestArrivals {
	return {
		record(request, connection) {
			const delay = getInputDelay();
			const readAt = clock.now();
			afterInputRead([connection], afterPoll, () => {
				const hasLeft = connection.destroyed || connection.readableEnded;
				if (delay === 0 && !hasLeft) {
					return;
				}

				const client = hasLeft ? 'gone' : 'waiting';
				log.info({
					request, client, waitedUpTo: Math.round(delay), polled: Math.round(clock.now() - readAt),
				}, 'request was read late');
				metrics.time('request.input.delay', delay, {client});
			});
		},
	};
}
