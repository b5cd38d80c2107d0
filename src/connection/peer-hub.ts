/**
 * Streams between entries. Each entry opens a stream to every other entry. It sends its requests on that stream and
 * receives the replies on it, and both sides send their state on it.
 */
import type {
	EntryAddress, LossReport, PeerBatch, PeerLoad, PeerServer, PeerState, RelayReply, RelayRequest, ShareNews,
} from '../generated/kingcuplane.js';
import type {Milliseconds, Timer} from '../process/clock.js';
import {createConnectAttempts, type ConnectAttempts} from './connect-attempts.js';
import {connectToPeer} from './peer-channel.js';
import {createPeerServer} from './peer-server.js';
import {createPeerStream, type PeerStream} from './peer-stream.js';
import type {
	IncomingPeerStream, PeerConnection, PeerHubHost, PeerLoadReport, PeerRequest, PendingRequest, OutgoingPeerStream,
} from './peer-types.js';

/** The streams between one entry and all others. */
export type PeerHub = {
	/** The service to add to the gRPC server. */
	readonly service: PeerServer;
	/** Accepts a stream that another entry has opened. */
	accept(stream: IncomingPeerStream): void;
	/** Connects to new addresses ("IP:port") and disconnects from addresses that are no longer listed. */
	setAddresses(addresses: readonly string[]): void;
	/** Sends a request to an entry incarnation; resolves to undefined if it is not linked or did not answer in time. */
	request(incarnation: string, req: PeerRequest): Promise<RelayReply | undefined>;
	/** Sends a request that can be cancelled; undefined if the entry incarnation is not linked. */
	tryStartRequest(incarnation: string, req: PeerRequest): PendingRequest | undefined;
	/** Sends quota share reports and grants to an entry; they are lost if it is not linked. */
	sendShares(incarnation: string, message: ShareNews): void;
	isLinked(incarnation: string): boolean;
	getLinkedPeers(): readonly EntryAddress[];
	/** Returns the loads that the linked peers have reported last, except of those that report none. */
	getLoadReports(): readonly PeerLoadReport[];
	/** Sends the state to every linked peer, with entries that it may not know yet. A new stream begins with all of them. */
	broadcastState(entries: readonly EntryAddress[]): void;
	/** Sends a report of a lost upstream to every linked peer. */
	broadcastLoss(report: LossReport): void;
	/** Sends a batch on each stream on which replies are pending and that was idle. To be called every `heartbeatMs`. */
	sendHeartbeats(): void;
	/**
	 * Cancels all requests of other entries. To be called after a pause of this process in which they may have given these up
	 * without a way to tell.
	 */
	abandonServedRequests(): void;
	/** Records a suspension of this process that its clock did not count. */
	recordPause(uncounted: Milliseconds): void;
	/** Closes all streams permanently. */
	stop(): void;
};

/** The stream that this entry has opened to one address. */
type OutgoingLink = {
	readonly address: string;
	connection: PeerConnection;
	stream?: OutgoingPeerStream;
	output?: PeerStream;
	peer?: EntryAddress;
	reconnectTimer?: Timer;
	isStopped: boolean;
	/** Undefined if the time of an attempt is not limited. */
	readonly attempts: ConnectAttempts | undefined;
	readonly pendingRequests: Map<number, (reply: RelayReply | undefined) => void>;
};

const reconnectDelayMs = 500;
/** Time added to the timeout of a request for the transport of the request and its reply. */
const replyMarginMs = 2000;

/** Creates a hub that has no connections until its addresses are set. */
export function createPeerHub(host: PeerHubHost): PeerHub {
	const links = new Map<string, OutgoingLink>();
	const loads = new Map<string, PeerLoadReport>();
	const server = createPeerServer({
		...host, createHello, guard, receiveLoad,
	});
	const connect = host.connect ?? (address => connectToPeer(address, host.timing));
	let nextId = 1;

	return {
		service: {exchange: server.accept},
		accept: server.accept,
		setAddresses(addresses) {
			const wanted = new Set(addresses.filter(address => address !== host.self.links));
			for (const [address, link] of links) {
				if (!wanted.has(address)) {
					links.delete(address);
					stopLink(link);
				}
			}

			for (const address of wanted) {
				if (!links.has(address)) {
					// An address that cannot be used costs this link only.
					guard(address, () => {
						links.set(address, startLink(address));
					});
				}
			}
		},
		request: async (incarnation, req) => tryStartRequest(incarnation, req)?.reply,
		tryStartRequest,
		sendShares(incarnation, message) {
			tryGetLink(incarnation)?.output?.send({shares: message});
		},
		isLinked: incarnation => tryGetLink(incarnation) !== undefined,
		getLinkedPeers,
		getLoadReports: () => getLinkedPeers().flatMap(({incarnation}) => loads.get(incarnation) ?? []),
		broadcastState(entries) {
			const state = host.getState(entries);
			for (const link of links.values()) {
				link.output?.send({state});
			}
		},
		broadcastLoss(report) {
			for (const link of links.values()) {
				link.output?.send({losses: [report]});
			}
		},
		sendHeartbeats() {
			for (const link of links.values()) {
				link.output?.sendHeartbeat();
			}

			server.sendHeartbeats();
		},
		abandonServedRequests: server.abandonRequests,
		recordPause(uncounted) {
			for (const link of links.values()) {
				link.output?.recordPause(uncounted);
			}

			server.recordPause(uncounted);
		},
		stop() {
			for (const link of links.values()) {
				stopLink(link);
			}

			links.clear();
			server.stop();
		},
	};

	function getLinkedPeers(): readonly EntryAddress[] {
		return [...links.values()].flatMap(link => link.peer ?? []);
	}

	function receiveLoad({incarnation}: EntryAddress, {
		utilizationPerMille, acceptsJobs, linkUtilizationPerMille, processorPerMille,
	}: PeerLoad): void {
		loads.set(incarnation, {
			incarnation,
			utilization: utilizationPerMille / 1000,
			acceptsJobs,
			linkUtilization: linkUtilizationPerMille / 1000,
			processorShare: processorPerMille === 0 ? 1 : processorPerMille / 1000,
		});
	}

	function createHello(): Partial<PeerBatch> {
		return {hello: {address: host.self}, state: host.getState(getLinkedPeers())};
	}

	function tryStartRequest(incarnation: string, req: PeerRequest): PendingRequest | undefined {
		const link = tryGetLink(incarnation);
		if (link?.output === undefined) {
			return undefined;
		}

		const {output, pendingRequests} = link;
		const id = nextId++;
		let finish: (reply: RelayReply | undefined) => void = () => undefined;
		const reply = new Promise<RelayReply | undefined>(resolve => {
			const timer = host.clock.after(req.timeoutMs + replyMarginMs, () => {
				finish(undefined);
			});
			finish = received => {
				timer.cancel();
				pendingRequests.delete(id);
				output.setPending(pendingRequests.size > 0);
				resolve(received);
			};
		});
		pendingRequests.set(id, finish);
		output.setPending(true);
		output.send({requests: [{...req, id}]});
		return {
			reply,
			cancel() {
				if (pendingRequests.has(id)) {
					output.send({cancelled: [id]});
					finish(undefined);
				}
			},
		};
	}

	function tryGetLink(incarnation: string): OutgoingLink | undefined {
		for (const link of links.values()) {
			if (link.peer?.incarnation === incarnation) {
				return link;
			}
		}

		return undefined;
	}

	function startLink(address: string): OutgoingLink {
		const link: OutgoingLink = {
			address,
			connection: connect(address),
			attempts: host.timing.silence && createConnectAttempts({clock: host.clock, firstTimeoutMs: host.timing.silence.activeMs}),
			pendingRequests: new Map(),
			isStopped: false,
		};
		open(link);
		return link;
	}

	function stopLink(link: OutgoingLink): void {
		link.isStopped = true;
		link.reconnectTimer?.cancel();
		disconnect(link);
		link.connection.close();
	}

	function open(link: OutgoingLink): void {
		const stream = link.connection.exchange();
		link.stream = stream;
		link.output = createPeerStream({
			...host,
			write(batch) {
				stream.write({...batch, requests: batch.requests.filter(req => !isAnsweredUnsent(link, req))});
			},
			onSilent() {
				replaceSilentConnection(link, stream);
			},
		});
		stream.on('data', (batch: PeerBatch) => {
			host.onBatchReceived?.();
			if (link.stream === stream) {
				link.output?.recordMessage(batch);
				guard(link.peer?.name ?? link.address, () => {
					receive(link, batch);
				});
			}
		});
		// An error also ends the stream; only the first of the two events disconnects here.
		for (const event of ['error', 'end'] as const) {
			stream.on(event, () => {
				if (link.stream === stream) {
					disconnect(link);
				}
			});
		}

		link.attempts?.begin(() => {
			replaceSilentConnection(link, stream);
		});
		link.output.send({...createHello(), losses: [...host.getLosses()]});
	}

	function isAnsweredUnsent(link: OutgoingLink, req: RelayRequest): boolean {
		const reply = host.tryAnswerUnsent?.(req);
		if (reply !== undefined) {
			link.pendingRequests.get(req.id)?.({declined: false, ...reply, id: req.id});
		}

		return reply !== undefined;
	}

	function receive(link: OutgoingLink, batch: PeerBatch): void {
		if (batch.hello?.address !== undefined) {
			link.peer = batch.hello.address;
			link.attempts?.succeed();
			host.onLinksChanged();
			host.onStreamChanged?.({kind: 'opened', peer: link.peer});
			host.onPeerConnected(link.peer);
		}

		if (batch.load !== undefined && link.peer !== undefined) {
			receiveLoad(link.peer, batch.load);
		}

		for (const reply of batch.replies) {
			link.pendingRequests.get(reply.id)?.(reply);
		}

		if (batch.state !== undefined && link.peer !== undefined) {
			host.receiveState(link.peer, batch.state);
		}
	}

	// A silent connection may never report an error, and new streams on it would stay silent too.
	function replaceSilentConnection(link: OutgoingLink, stream: OutgoingPeerStream): void {
		if (link.stream === stream) {
			const silentConnection = link.connection;
			link.connection = connect(link.address);
			disconnect(link, 'silent');
			silentConnection.close();
		}
	}

	function disconnect(link: OutgoingLink, kind: 'closed' | 'silent' = 'closed'): void {
		const {stream, peer, output} = link;
		link.stream = undefined;
		link.output = undefined;
		link.peer = undefined;
		link.attempts?.end();
		output?.stop();
		stream?.cancel();
		for (const finish of link.pendingRequests.values()) {
			finish(undefined);
		}

		if (!link.isStopped) {
			link.reconnectTimer = host.clock.after(reconnectDelayMs, () => {
				open(link);
			});
		}

		if (peer !== undefined) {
			loads.delete(peer.incarnation);
			host.onLinksChanged();
			host.onStreamChanged?.({kind, peer});
		}
	}

	/** Handles input of `source`; an unexpected error costs this input only. */
	function guard(source: string | undefined, handle: () => void): void {
		try {
			handle();
		} catch (err) {
			host.onUnexpectedError(err, source);
		}
	}
}
