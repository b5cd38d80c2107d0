/**
 * Types of the streams between entries.
 */
import type {
	EntryAddress, LossReport, PeerBatch, PeerLoad, PeerState, RelayReply, RelayRequest, ShareNews,
} from '../generated/kingcuplane.js';
import type {Clock, Milliseconds} from '../process/clock.js';
import type {LinkTiming} from './link-timing.js';

/** Dependencies of the hub. */
export type PeerHubHost = {
	readonly clock: Clock;
	readonly self: EntryAddress;
	readonly timing: Pick<LinkTiming, 'heartbeatMs' | 'silence'>;
	/** Runs an action at the end of this turn of the event loop. */
	defer(action: () => void): void;
	/** Called with an unexpected error while a message of a peer was processed or its address was used. `source` names the peer, its address or the request. */
	onUnexpectedError(error: unknown, source: string | undefined): void;
	/** Serves a request of another entry. */
	serveRequest(req: RelayRequest, cancellation: Cancellation): Promise<RelayResult>;
	/**
	 * Called right before a request is sent, since this process may have stood still after it was made. Returns the reply if the request must
	 * not be sent any more; all are sent if undefined.
	 */
	tryAnswerUnsent?(req: RelayRequest): RelayResult | undefined;
	/** Returns the state to send, which reports these entries. */
	getState(entries: readonly EntryAddress[]): PeerState;
	/** Returns the load of this process; undefined if it is not measured. */
	tryGetLoad(): PeerLoad | undefined;
	/** Returns for how long input that is read now may have waited during a pause of this process; never for one if undefined. */
	getInputDelay?(): Milliseconds;
	/** Called before a received batch is processed, for instance to check for a pause. */
	onBatchReceived?(): void;
	receiveState(peer: EntryAddress, state: PeerState): void;
	receiveShares(peer: EntryAddress, message: ShareNews): void;
	/** Returns the reports of lost upstreams with which a new stream begins. */
	getLosses(): readonly LossReport[];
	receiveLoss(report: LossReport): void;
	/** Called when a stream to this entry has opened. */
	onPeerConnected(peer: EntryAddress): void;
	/** Called when a stream to another entry has opened or closed. */
	onLinksChanged(): void;
	/** Called with the same changes, for the log. */
	onStreamChanged?(change: PeerStreamChange): void;
	/** Creates a connection to "IP:port"; gRPC is used if undefined. */
	connect?(address: string): PeerConnection;
};

/** A change of the stream that this entry has opened to another one; silent if its silence timeout ended it. */
export type PeerStreamChange = {
	readonly kind: 'opened' | 'closed' | 'silent';
	readonly peer: EntryAddress;
};

/** A request to another entry; the hub assigns its number. */
export type PeerRequest = Omit<RelayRequest, 'id'>;

/** The reply to a request of another entry, without its number. */
export type RelayResult = Omit<RelayReply, 'id' | 'declined'> & {readonly declined?: boolean};

/** A request that waits for its reply. */
export type PendingRequest = {
	/** Undefined if the entry was lost, did not answer in time, or the request was cancelled. */
	readonly reply: Promise<RelayReply | undefined>;
	/** Tells the other entry that the reply is no longer needed. */
	cancel(): void;
};

/** Tells the server of a request whether its reply is still needed. */
export type Cancellation = {
	/** Calls `action` once if the sender cancels the request or its stream is lost. */
	onCancelled(action: () => void): void;
	/** Returns for how long nothing was heard from the sender; a client of this entry has none if undefined. */
	getSenderSilence?(): Milliseconds;
};

/** The load that a peer has reported last. */
export type PeerLoadReport = {
	readonly incarnation: string;
	/** Share of the time in which its event loop does not wait for input, from 0 to 1. */
	readonly utilization: number;
	readonly acceptsJobs: boolean;
	/** Share of its network link that is in use, from 0 to 1; 0 if it is not known. */
	readonly linkUtilization: number;
	/** Processor time that it gets for each unit of time in which its event loop is busy; 1 if it is not known. */
	readonly processorShare: number;
};

/** Opens streams to one entry. */
export type PeerConnection = {
	exchange(): OutgoingPeerStream;
	close(): void;
};

/** The part of a gRPC stream that the entry that opened it uses. */
export type OutgoingPeerStream = {
	on(event: 'data', listener: (batch: PeerBatch) => void): unknown;
	on(event: 'error' | 'end', listener: () => void): unknown;
	write(batch: PeerBatch): unknown;
	cancel(): void;
};

/** The part of a gRPC stream that the entry that accepted it uses. */
export type IncomingPeerStream = {
	on(event: 'data', listener: (batch: PeerBatch) => void): unknown;
	on(event: 'end' | 'error' | 'cancelled', listener: () => void): unknown;
	write(batch: PeerBatch): unknown;
	end(): void;
	/** Closes the stream without sending what is still buffered. */
	destroy?(): void;
};
