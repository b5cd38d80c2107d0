/**
 * The agent's end of one gRPC stream to one entry: dials, answers the entry's welcome, and dials again
 * after a cut until it is stopped.
 */
import {credentials} from '@grpc/grpc-js';
import {
	LinkClient,
	type AgentBatch, type AgentState, type ConfigUpdate, type EntryAddress, type EntryBatch,
} from '../generated/kingcuplane.js';
import type {Clock, Milliseconds, Timer} from '../process/clock.js';
import type {EntrySessions} from './entry-sessions.js';
import {channelOptions} from './channel-options.js';
import type {LinkTiming} from './link-timing.js';

/** What one link needs from its agent. */
export type LinkClientHost = {
	readonly clock: Clock;
	readonly sessions: EntrySessions;
	readonly timing: LinkTiming;
	getState(): AgentState;
	receiveConfig(config: ConfigUpdate): void;
	receiveEntries(entries: readonly EntryAddress[]): void;
	/** A link to this entry incarnation has its welcome; the earlier link to it, if any, must stop reading. */
	replaceEarlierLink(incarnation: string, link: AgentLink): void;
	/** The link has its welcome, or has lost the entry that gave it. */
	onLinkChanged?(change: AgentLinkChange): void;
	/** A batch has arrived and is about to be read; it is dropped if this resets the link. */
	onBatchReceived?(): void;
	/** A number in [0, 1), for jitter. */
	random(): number;
	/** Runs an action at the end of this turn of the event loop. */
	defer(action: () => void): void;
	/** Prepares streams to "IP:port"; over gRPC if undefined. */
	connect?(address: string): LinkConnection;
};

/** How a link was lost. */
type Loss = 'closed' | 'silent';

/** What became of a link to an entry. */
export type AgentLinkChange = {
	readonly kind: 'opened' | Loss;
	/** "IP:port" of the entry. */
	readonly address: string;
	/** The entry's incarnation. */
	readonly entry: string;
};

/** Opens streams to one entry. */
export type LinkConnection = {
	open(): Stream;
	close(): void;
};

/** The part of a gRPC stream that a link needs at the agent. */
type Stream = {
	on(event: 'data', listener: (batch: EntryBatch) => void): unknown;
	on(event: 'error' | 'end', listener: () => void): unknown;
	write(batch: AgentBatch): unknown;
	cancel(): void;
};

/** A dialed link to one address. */
export type AgentLink = {
	/** "IP:port" of the entry. */
	readonly address: string;
	/** Something is due to the entry. */
	scheduleFlush(): void;
	/** The agent's condition has changed and is to be restated. */
	reportState(): void;
	/** Restates the condition unless something was sent within the last heartbeat interval. */
	sendHeartbeat(): void;
	/** Drops the connection with all that waits in it, and dials again. */
	reset(): void;
	/** Ends the link for good. */
	stop(): void;
	isOpen(): boolean;
};

const firstDelayMs: Milliseconds = 50;

/** Dials `address` ("IP:port") and keeps the link up. */
export function createAgentLink(host: LinkClientHost, address: string): AgentLink {
	let client = connect();
	let stream: Stream | undefined;
	let entry: string | undefined;
	let delay = firstDelayMs;
	let timer: Timer | undefined;
	let isStopped = false;
	let silence: Timer | undefined;
	let isFlushPlanned = false;
	let hasNewState = false;
	let sentGranted = 0;
	let sentAt = -Infinity;

	const link: AgentLink = {
		address,
		scheduleFlush: planFlush,
		reportState() {
			hasNewState = true;
			planFlush();
		},
		sendHeartbeat() {
			if (host.clock.now() - sentAt >= host.timing.heartbeatMs / 2) {
				hasNewState = true;
				planFlush();
			}
		},
		reset,
		stop() {
			isStopped = true;
			timer?.cancel();
			closeStream();
			client.close();
		},
		isOpen: () => entry !== undefined,
	};
	dial();
	return link;

	function connect(): LinkConnection {
		return host.connect?.(address) ?? new LinkClient(address, credentials.createInsecure(), channelOptions);
	}

	// A connection that went silent may never show an error, and new streams on it would be as silent.
	function reset(loss: Loss = 'closed'): void {
		const old = client;
		client = connect();
		closeStream(loss);
		old.close();
	}

	function dial(): void {
		if (isStopped) {
			return;
		}

		const current = client.open();
		stream = current;
		watchSilence(current);
		current.on('data', (batch: EntryBatch) => {
			host.onBatchReceived?.();
			if (stream === current) {
				watchSilence(current);
				receive(batch);
			}
		});
		// Errors also end the stream; both lead to the same place, once.
		current.on('error', () => {
			closeIfCurrent(current);
		});
		current.on('end', () => {
			closeIfCurrent(current);
		});
	}

	function watchSilence(current: Stream): void {
		silence?.cancel();
		silence = host.timing.silenceTimeoutMs === undefined
			? undefined
			: host.clock.after(host.timing.silenceTimeoutMs, () => {
				if (stream === current) {
					reset('silent');
				}
			});
	}

	function closeIfCurrent(closed: Stream): void {
		if (stream === closed) {
			closeStream();
		}
	}

	function closeStream(loss: Loss = 'closed'): void {
		const closed = stream;
		if (closed === undefined) {
			return;
		}

		stream = undefined;
		silence?.cancel();
		closed.cancel();
		if (entry !== undefined) {
			tellChange(loss);
			host.sessions.close(entry);
			entry = undefined;
		}

		if (!isStopped) {
			timer = host.clock.after(delay * (0.5 + host.random()), dial);
			delay = Math.min(host.timing.maxReconnectDelayMs, delay * 2);
		}
	}

	function receive(batch: EntryBatch): void {
		if (batch.welcome !== undefined) {
			open(batch.welcome.incarnation);
		}

		if (entry === undefined) {
			return;
		}

		if (batch.config !== undefined) {
			host.receiveConfig(batch.config);
		}

		if (batch.entries.length > 0) {
			host.receiveEntries(batch.entries);
		}

		if (batch.welcome === undefined) {
			host.sessions.receive(entry, batch);
		}
	}

	function open(incarnation: string): void {
		host.replaceEarlierLink(incarnation, link);
		entry = incarnation;
		tellChange('opened');
		delay = firstDelayMs;
		sentGranted = 0;
		const hello = host.sessions.open(incarnation);
		write({hello, state: host.getState()});
		planFlush();
	}

	function tellChange(kind: AgentLinkChange['kind']): void {
		if (entry !== undefined) {
			host.onLinkChanged?.({kind, address, entry});
		}
	}

	function planFlush(): void {
		if (!isFlushPlanned) {
			isFlushPlanned = true;
			host.defer(flush);
		}
	}

	function flush(): void {
		isFlushPlanned = false;
		if (entry === undefined) {
			return;
		}

		const due = host.sessions.takePendingOutput(entry);
		const isNews = hasNewState || due.granted !== sentGranted || due.results.length > 0 || due.held.length > 0;
		if (!isNews) {
			return;
		}

		write({
			state: {...host.getState(), receivedStarts: due.receivedStarts},
			granted: due.granted,
			results: [...due.results],
			held: [...due.held],
		});
		hasNewState = false;
		sentGranted = due.granted;
	}

	function write(part: Partial<AgentBatch>): void {
		sentAt = host.clock.now();
		stream?.write({
			hello: undefined, state: undefined, granted: 0, results: [], held: [], ...part,
		});
	}
}
