/**
 * Streams between entries. Each entry dials every other one; requests travel on the dialed stream, replies
 * come back on it, and both sides restate their shared state on it.
 */
import {credentials, type ClientDuplexStream, type ServerDuplexStream} from '@grpc/grpc-js';
import {
	PeerClient,
	type EntryAddress, type PeerBatch, type PeerServer, type PeerState, type RelayReply, type RelayRequest, type ShareNews,
} from '../generated/kingcuplane.js';
import type {Clock, Milliseconds, Timer} from '../process/clock.js';
import {channelOptions} from './channel-options.js';

/** What the hub needs from its entry. */
export type PeerHubHost = {
	readonly clock: Clock;
	readonly self: EntryAddress;
	/** Serves a request that another entry passes on. */
	serveRequest(req: RelayRequest): Promise<Omit<RelayReply, 'id'>>;
	/** The state to restate; with all known entries if `isFull`, as on a new stream. */
	getState(isFull: boolean): PeerState;
	receiveState(peer: EntryAddress, state: PeerState): void;
	receiveShares(peer: EntryAddress, news: ShareNews): void;
	/** A stream to this entry opened. */
	onPeerConnected(peer: EntryAddress): void;
	/** A stream to another entry opened or closed. */
	onLinksChanged(): void;
};

/** A request to another entry; its number is given by the hub. */
export type PeerRequest = Omit<RelayRequest, 'id'>;

/** The streams of one entry to all others. */
export type PeerHub = {
	/** The service to add to the gRPC server. */
	readonly service: PeerServer;
	/** Dials new addresses ("IP:port") and hangs up on ones that are gone. */
	setAddresses(addresses: readonly string[]): void;
	/** Sends a request to an entry incarnation; undefined if it is not linked or did not answer. */
	request(incarnation: string, req: PeerRequest): Promise<RelayReply | undefined>;
	/** Sends news about shares of quotas; lost if the entry is not linked. */
	sendShares(incarnation: string, news: ShareNews): void;
	isLinked(incarnation: string): boolean;
	getLinkedPeers(): readonly EntryAddress[];
	/** Restates the shared state to every peer; with all known entries if they have changed. */
	broadcastState(isFull: boolean): void;
	stop(): void;
};

type DialedStream = ClientDuplexStream<PeerBatch, PeerBatch>;

type Dial = {
	readonly client: PeerClient;
	stream?: DialedStream;
	peer?: EntryAddress;
	timer?: Timer;
	isStopped: boolean;
	readonly waiting: Map<number, (reply: RelayReply | undefined) => void>;
};

const redialMs: Milliseconds = 500;
/** Time added to a request's own time-out for the way there and back. */
const replyMarginMs: Milliseconds = 2000;

/** Creates the hub; it dials nobody yet. */
export function createPeerHub(host: PeerHubHost): PeerHub {
	const dials = new Map<string, Dial>();
	const accepted = new Set<ServerDuplexStream<PeerBatch, PeerBatch>>();
	let nextId = 1;

	return {
		service: {exchange: accept},
		setAddresses(addresses) {
			const wanted = new Set(addresses.filter(address => address !== host.self.links));
			for (const [address, dial] of dials) {
				if (!wanted.has(address)) {
					dials.delete(address);
					stopDial(dial);
				}
			}

			for (const address of wanted) {
				if (!dials.has(address)) {
					dials.set(address, startDial(address));
				}
			}
		},
		request,
		sendShares(incarnation, news) {
			tryGetDial(incarnation)?.stream?.write(createBatch({shares: news}));
		},
		isLinked: incarnation => tryGetDial(incarnation) !== undefined,
		getLinkedPeers: () => [...dials.values()].flatMap(dial => dial.peer ?? []),
		broadcastState(isFull) {
			const state = host.getState(isFull);
			for (const dial of dials.values()) {
				dial.stream?.write(createBatch({state}));
			}
		},
		stop() {
			for (const dial of dials.values()) {
				stopDial(dial);
			}

			dials.clear();
			for (const stream of accepted) {
				stream.end();
			}
		},
	};

	async function request(incarnation: string, req: PeerRequest): Promise<RelayReply | undefined> {
		const dial = tryGetDial(incarnation);
		if (dial?.stream === undefined) {
			return undefined;
		}

		const id = nextId++;
		const {stream} = dial;
		return new Promise(resolve => {
			const timer = host.clock.after(req.timeoutMs + replyMarginMs, () => {
				settle(undefined);
			});
			dial.waiting.set(id, settle);
			stream.write(createBatch({requests: [{...req, id}]}));

			function settle(reply: RelayReply | undefined): void {
				timer.cancel();
				dial!.waiting.delete(id);
				resolve(reply);
			}
		});
	}

	function tryGetDial(incarnation: string): Dial | undefined {
		for (const dial of dials.values()) {
			if (dial.peer?.incarnation === incarnation) {
				return dial;
			}
		}

		return undefined;
	}

	function startDial(address: string): Dial {
		const dial: Dial = {
			client: new PeerClient(address, credentials.createInsecure(), channelOptions), waiting: new Map(), isStopped: false,
		};
		open(dial);
		return dial;
	}

	function stopDial(dial: Dial): void {
		dial.isStopped = true;
		dial.timer?.cancel();
		hangUp(dial);
		dial.client.close();
	}

	function open(dial: Dial): void {
		const stream = dial.client.exchange();
		dial.stream = stream;
		stream.on('data', (batch: PeerBatch) => {
			if (dial.stream === stream) {
				receiveOnDialed(dial, batch);
			}
		});
		stream.on('error', () => {
			hangUpIfCurrent(dial, stream);
		});
		stream.on('end', () => {
			hangUpIfCurrent(dial, stream);
		});
		stream.write(createBatch({hello: {address: host.self}, state: host.getState(true)}));
	}

	function receiveOnDialed(dial: Dial, batch: PeerBatch): void {
		if (batch.hello?.address !== undefined) {
			dial.peer = batch.hello.address;
			host.onLinksChanged();
			host.onPeerConnected(dial.peer);
		}

		for (const reply of batch.replies) {
			dial.waiting.get(reply.id)?.(reply);
		}

		if (batch.state !== undefined && dial.peer !== undefined) {
			host.receiveState(dial.peer, batch.state);
		}
	}

	function hangUpIfCurrent(dial: Dial, stream: DialedStream): void {
		if (dial.stream === stream) {
			hangUp(dial);
		}
	}

	function hangUp(dial: Dial): void {
		const {stream, peer} = dial;
		dial.stream = undefined;
		dial.peer = undefined;
		stream?.cancel();
		for (const settle of dial.waiting.values()) {
			settle(undefined);
		}

		if (!dial.isStopped) {
			dial.timer = host.clock.after(redialMs, () => {
				open(dial);
			});
		}

		if (peer !== undefined) {
			host.onLinksChanged();
		}
	}

	function accept(stream: ServerDuplexStream<PeerBatch, PeerBatch>): void {
		let peer: EntryAddress | undefined;
		accepted.add(stream);
		stream.on('data', (batch: PeerBatch) => {
			peer = batch.hello?.address ?? peer;
			if (batch.state !== undefined && peer !== undefined) {
				host.receiveState(peer, batch.state);
			}

			if (batch.shares !== undefined && peer !== undefined) {
				host.receiveShares(peer, batch.shares);
			}

			for (const req of batch.requests) {
				void serve(stream, req);
			}
		});
		stream.on('end', () => {
			accepted.delete(stream);
			stream.end();
		});
		stream.on('error', () => {
			accepted.delete(stream);
		});
		stream.write(createBatch({hello: {address: host.self}, state: host.getState(true)}));
	}

	async function serve(stream: ServerDuplexStream<PeerBatch, PeerBatch>, req: RelayRequest): Promise<void> {
		const reply = await host.serveRequest(req);
		if (accepted.has(stream)) {
			stream.write(createBatch({replies: [{...reply, id: req.id}]}));
		}
	}
}

function createBatch(part: Partial<PeerBatch>): PeerBatch {
	return {
		hello: undefined, state: undefined, requests: [], replies: [], shares: undefined, ...part,
	};
}
