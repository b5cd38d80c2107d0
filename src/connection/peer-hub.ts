/**
 * Streams between entries. Each entry opens a stream to every other entry. It sends its requests on that stream and
 * receives the replies on it, and both sides send their state on it.
 */
import {credentials, type ClientDuplexStream, type ServerDuplexStream} from '@grpc/grpc-js';
import {
	PeerClient,
	type EntryAddress, type LossReport, type PeerBatch, type PeerServer, type PeerState, type RelayReply, type RelayRequest, type ShareNews,
} from '../generated/kingcuplane.js';
import type {Clock, Milliseconds, Timer} from '../process/clock.js';
import {channelOptions} from './channel-options.js';

/** Dependencies of the hub. */
export type PeerHubHost = {
	readonly clock: Clock;
	readonly self: EntryAddress;
	/** Called with an unexpected error while a message of a peer was processed. */
	onUnexpectedError(error: unknown): void;
	/** Serves a request that another entry has relayed. */
	serveRequest(req: RelayRequest): Promise<Omit<RelayReply, 'id'>>;
	/** Returns the state to send, which reports these entries. */
	getState(entries: readonly EntryAddress[]): PeerState;
	receiveState(peer: EntryAddress, state: PeerState): void;
	receiveShares(peer: EntryAddress, message: ShareNews): void;
	/** Returns the reports of lost upstreams with which a new stream begins. */
	getLosses(): readonly LossReport[];
	receiveLoss(report: LossReport): void;
	/** Called when a stream to this entry has opened. */
	onPeerConnected(peer: EntryAddress): void;
	/** Called when a stream to another entry has opened or closed. */
	onLinksChanged(): void;
};

/** A request to another entry; the hub assigns its number. */
export type PeerRequest = Omit<RelayRequest, 'id'>;

/** The streams between one entry and all others. */
export type PeerHub = {
	/** The service to add to the gRPC server. */
	readonly service: PeerServer;
	/** Connects to new addresses ("IP:port") and disconnects from addresses that are no longer listed. */
	setAddresses(addresses: readonly string[]): void;
	/** Sends a request to an entry incarnation; resolves to undefined if it is not linked or did not answer in time. */
	request(incarnation: string, req: PeerRequest): Promise<RelayReply | undefined>;
	/** Sends quota share reports and grants to an entry; they are lost if it is not linked. */
	sendShares(incarnation: string, message: ShareNews): void;
	isLinked(incarnation: string): boolean;
	getLinkedPeers(): readonly EntryAddress[];
	/** Sends the state to every linked peer, with entries that it may not know yet. A new stream begins with all of them. */
	broadcastState(entries: readonly EntryAddress[]): void;
	/** Sends a report of a lost upstream to every linked peer. */
	broadcastLoss(report: LossReport): void;
	/** Closes all streams permanently. */
	stop(): void;
};

type OutgoingStream = ClientDuplexStream<PeerBatch, PeerBatch>;

type PeerConnection = {
	readonly client: PeerClient;
	stream?: OutgoingStream;
	peer?: EntryAddress;
	reconnectTimer?: Timer;
	isStopped: boolean;
	readonly pendingRequests: Map<number, (reply: RelayReply | undefined) => void>;
};

const reconnectDelayMs: Milliseconds = 500;
/** Status of the reply to a request that failed unexpectedly; its outcome is unknown. */
const unexpectedErrorStatus = 500;
/** Time added to the timeout of a request for the transport of the request and its reply. */
const replyMarginMs: Milliseconds = 2000;

/** Creates a hub that has no connections until its addresses are set. */
export function createPeerHub(host: PeerHubHost): PeerHub {
	const connections = new Map<string, PeerConnection>();
	const acceptedStreams = new Set<ServerDuplexStream<PeerBatch, PeerBatch>>();
	let nextId = 1;

	return {
		service: {exchange: accept},
		setAddresses(addresses) {
			const wanted = new Set(addresses.filter(address => address !== host.self.links));
			for (const [address, connection] of connections) {
				if (!wanted.has(address)) {
					connections.delete(address);
					stopConnection(connection);
				}
			}

			for (const address of wanted) {
				if (!connections.has(address)) {
					connections.set(address, startConnection(address));
				}
			}
		},
		request,
		sendShares(incarnation, message) {
			tryGetConnection(incarnation)?.stream?.write(createBatch({shares: message}));
		},
		isLinked: incarnation => tryGetConnection(incarnation) !== undefined,
		getLinkedPeers,
		broadcastState(entries) {
			const state = host.getState(entries);
			for (const connection of connections.values()) {
				connection.stream?.write(createBatch({state}));
			}
		},
		broadcastLoss(report) {
			for (const connection of connections.values()) {
				connection.stream?.write(createBatch({losses: [report]}));
			}
		},
		stop() {
			for (const connection of connections.values()) {
				stopConnection(connection);
			}

			connections.clear();
			for (const stream of acceptedStreams) {
				stream.end();
			}
		},
	};

	function getLinkedPeers(): readonly EntryAddress[] {
		return [...connections.values()].flatMap(connection => connection.peer ?? []);
	}

	async function request(incarnation: string, req: PeerRequest): Promise<RelayReply | undefined> {
		const connection = tryGetConnection(incarnation);
		if (connection?.stream === undefined) {
			return undefined;
		}

		const id = nextId++;
		const {stream} = connection;
		return new Promise(resolve => {
			const timer = host.clock.after(req.timeoutMs + replyMarginMs, () => {
				finish(undefined);
			});
			connection.pendingRequests.set(id, finish);
			stream.write(createBatch({requests: [{...req, id}]}));

			function finish(reply: RelayReply | undefined): void {
				timer.cancel();
				connection!.pendingRequests.delete(id);
				resolve(reply);
			}
		});
	}

	function tryGetConnection(incarnation: string): PeerConnection | undefined {
		for (const connection of connections.values()) {
			if (connection.peer?.incarnation === incarnation) {
				return connection;
			}
		}

		return undefined;
	}

	function startConnection(address: string): PeerConnection {
		const connection: PeerConnection = {
			client: new PeerClient(address, credentials.createInsecure(), channelOptions), pendingRequests: new Map(), isStopped: false,
		};
		open(connection);
		return connection;
	}

	function stopConnection(connection: PeerConnection): void {
		connection.isStopped = true;
		connection.reconnectTimer?.cancel();
		disconnect(connection);
		connection.client.close();
	}

	function open(connection: PeerConnection): void {
		const stream = connection.client.exchange();
		connection.stream = stream;
		stream.on('data', (batch: PeerBatch) => {
			if (connection.stream === stream) {
				guard(() => {
					receiveOnOutgoing(connection, batch);
				});
			}
		});
		stream.on('error', () => {
			disconnectIfCurrent(connection, stream);
		});
		stream.on('end', () => {
			disconnectIfCurrent(connection, stream);
		});
		stream.write(createBatch({hello: {address: host.self}, state: host.getState(getLinkedPeers()), losses: [...host.getLosses()]}));
	}

	function receiveOnOutgoing(connection: PeerConnection, batch: PeerBatch): void {
		if (batch.hello?.address !== undefined) {
			connection.peer = batch.hello.address;
			host.onLinksChanged();
			host.onPeerConnected(connection.peer);
		}

		for (const reply of batch.replies) {
			connection.pendingRequests.get(reply.id)?.(reply);
		}

		if (batch.state !== undefined && connection.peer !== undefined) {
			host.receiveState(connection.peer, batch.state);
		}
	}

	function disconnectIfCurrent(connection: PeerConnection, stream: OutgoingStream): void {
		if (connection.stream === stream) {
			disconnect(connection);
		}
	}

	function disconnect(connection: PeerConnection): void {
		const {stream, peer} = connection;
		connection.stream = undefined;
		connection.peer = undefined;
		stream?.cancel();
		for (const finish of connection.pendingRequests.values()) {
			finish(undefined);
		}

		if (!connection.isStopped) {
			connection.reconnectTimer = host.clock.after(reconnectDelayMs, () => {
				open(connection);
			});
		}

		if (peer !== undefined) {
			host.onLinksChanged();
		}
	}

	function accept(stream: ServerDuplexStream<PeerBatch, PeerBatch>): void {
		let peer: EntryAddress | undefined;
		acceptedStreams.add(stream);
		stream.on('data', (batch: PeerBatch) => {
			guard(() => {
				receiveOnAccepted(batch);
			});
		});
		stream.on('end', () => {
			acceptedStreams.delete(stream);
			stream.end();
		});
		stream.on('error', () => {
			acceptedStreams.delete(stream);
		});
		stream.write(createBatch({hello: {address: host.self}, state: host.getState(getLinkedPeers())}));

		function receiveOnAccepted(batch: PeerBatch): void {
			peer = batch.hello?.address ?? peer;
			if (batch.state !== undefined && peer !== undefined) {
				host.receiveState(peer, batch.state);
			}

			if (batch.shares !== undefined && peer !== undefined) {
				host.receiveShares(peer, batch.shares);
			}

			for (const report of batch.losses) {
				host.receiveLoss(report);
			}

			for (const req of batch.requests) {
				void serve(stream, req);
			}
		}
	}

	/** Processes a message; an unexpected error costs this message only. */
	function guard(handle: () => void): void {
		try {
			handle();
		} catch (err) {
			host.onUnexpectedError(err);
		}
	}

	async function tryServe(req: RelayRequest): Promise<Omit<RelayReply, 'id'>> {
		try {
			return await host.serveRequest(req);
		} catch (err) {
			host.onUnexpectedError(err);
			return {status: unexpectedErrorStatus, body: new Uint8Array(), retryAfterMs: 0};
		}
	}

	async function serve(stream: ServerDuplexStream<PeerBatch, PeerBatch>, req: RelayRequest): Promise<void> {
		const reply = await tryServe(req);
		if (acceptedStreams.has(stream)) {
			stream.write(createBatch({replies: [{...reply, id: req.id}]}));
		}
	}
}

function createBatch(fields: Partial<PeerBatch>): PeerBatch {
	return {
		hello: undefined, state: undefined, requests: [], replies: [], shares: undefined, losses: [], ...fields,
	};
}
