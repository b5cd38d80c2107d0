/**
 * The accepting end of the streams between entries: serves the requests of other entries and receives their state.
 */
import type {
	EntryAddress, PeerBatch, PeerLoad, RelayRequest,
} from '../generated/kingcuplane.js';
import type {Milliseconds} from '../process/clock.js';
import {createPeerStream} from './peer-stream.js';
import type {
	Cancellation, IncomingPeerStream, PeerHubHost, RelayResult,
} from './peer-types.js';

/** Dependencies of the server. */
export type PeerServerHost = Pick<PeerHubHost, 'clock' | 'timing' | 'defer' | 'tryGetLoad' | 'getInputDelay' | 'onBatchReceived' | 'serveRequest' | 'receiveState' | 'receiveShares' | 'receiveLoss' | 'onUnexpectedError'> & {
	/** Returns what this entry says first on a stream. */
	createHello(): Partial<PeerBatch>;
	receiveLoad(peer: EntryAddress, load: PeerLoad): void;
	/** Processes a message of `source` and reports an unexpected error. */
	guard(source: string | undefined, handle: () => void): void;
};

/** All streams that other entries have opened. */
export type PeerServerStreams = {
	/** Accepts a stream that another entry has opened. */
	accept(stream: IncomingPeerStream): void;
	/** Sends a batch on each stream on which replies are pending and that was idle. */
	sendHeartbeats(): void;
	/** Cancels all requests that are being served, and closes their streams. */
	abandonRequests(): void;
	/** Records a suspension of this process that its clock did not count. */
	recordPause(uncounted: Milliseconds): void;
	/** Closes all streams. */
	stop(): void;
};

type AcceptedStream = {
	abandonRequests(): void;
	recordPause(uncounted: Milliseconds): void;
	sendHeartbeat(): void;
	end(): void;
};

/** Status of the reply to a request that failed unexpectedly; its outcome is unknown. */
const unexpectedErrorStatus = 500;

/** Creates a server that has accepted no stream. */
export function createPeerServer(host: PeerServerHost): PeerServerStreams {
	const streams = new Set<AcceptedStream>();

	return {
		accept,
		sendHeartbeats() {
			for (const stream of streams) {
				stream.sendHeartbeat();
			}
		},
		abandonRequests() {
			for (const stream of streams) {
				stream.abandonRequests();
			}
		},
		recordPause(uncounted) {
			for (const stream of streams) {
				stream.recordPause(uncounted);
			}
		},
		stop() {
			for (const stream of streams) {
				stream.end();
			}
		},
	};

	function accept(stream: IncomingPeerStream): void {
		let peer: EntryAddress | undefined;
		/** Cancels the requests that are being served, by number. */
		const servedRequests = new Map<number, () => void>();
		const output = createPeerStream({
			...host,
			write(batch) {
				stream.write(batch);
			},
			onSilent: abort,
		});
		const accepted: AcceptedStream = {
			abandonRequests() {
				if (servedRequests.size > 0) {
					abort();
				}
			},
			recordPause: output.recordPause,
			sendHeartbeat: output.sendHeartbeat,
			end() {
				stream.end();
			},
		};
		streams.add(accepted);
		stream.on('data', batch => {
			host.onBatchReceived?.();
			// A request on a closed stream would be served without heartbeats, and no loss of its sender would be noticed.
			if (!streams.has(accepted)) {
				return;
			}

			output.recordMessage(batch);
			host.guard(peer?.name, () => {
				receive(batch);
			});
		});
		stream.on('end', () => {
			close();
			stream.end();
		});
		stream.on('error', close);
		stream.on('cancelled', close);
		output.send(host.createHello());

		function receive(batch: PeerBatch): void {
			peer = batch.hello?.address ?? peer;
			if (batch.state !== undefined && peer !== undefined) {
				host.receiveState(peer, batch.state);
				// The other end states its time by the clock of this one, which otherwise only heartbeats show.
				output.send({});
			}

			if (batch.load !== undefined && peer !== undefined) {
				host.receiveLoad(peer, batch.load);
			}

			if (batch.shares !== undefined && peer !== undefined) {
				host.receiveShares(peer, batch.shares);
			}

			for (const report of batch.losses) {
				host.receiveLoss(report);
			}

			for (const req of batch.requests) {
				void serve(req);
			}

			for (const id of batch.cancelled) {
				servedRequests.get(id)?.();
			}
		}

		async function serve(req: RelayRequest): Promise<void> {
			const actions: Array<() => void> = [];
			let isCancelled = false;
			servedRequests.set(req.id, () => {
				isCancelled = true;
				servedRequests.delete(req.id);
				for (const action of actions) {
					action();
				}
			});
			output.setPending(true);
			const reply = await tryServe(req, {
				onCancelled(action) {
					if (isCancelled) {
						action();
					} else {
						actions.push(action);
					}
				},
				getSenderSilence: output.getSilence,
			});
			servedRequests.delete(req.id);
			output.setPending(servedRequests.size > 0);
			if (!isCancelled) {
				output.send({replies: [{declined: false, ...reply, id: req.id}]});
			}
		}

		function abort(): void {
			close();
			stream.destroy?.();
		}

		/** Cancels all requests, whose replies can no longer be delivered. */
		function close(): void {
			if (!streams.delete(accepted)) {
				return;
			}

			output.stop();
			for (const cancel of servedRequests.values()) {
				cancel();
			}
		}
	}

	async function tryServe(req: RelayRequest, cancellation: Cancellation): Promise<RelayResult> {
		try {
			return await host.serveRequest(req, cancellation);
		} catch (err) {
			host.onUnexpectedError(err, `request ${req.operation}`);
			return {status: unexpectedErrorStatus, body: new Uint8Array(), retryAfterMs: 0};
		}
	}
}
