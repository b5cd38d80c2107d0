/**
 * The agent's end of one gRPC stream to one entry: connects, answers the entry's welcome with a hello, and reconnects
 * after a lost link until it is stopped.
 */
import {credentials} from '@grpc/grpc-js';
import {
	LinkClient,
	type AgentBatch, type AgentState, type ConfigUpdate, type EntryAddress, type EntryBatch, type Evacuations, type LossReport,
} from '../generated/kingcuplane.js';
import type {Clock, Milliseconds, Timer} from '../process/clock.js';
import type {EntrySessions} from './entry-sessions.js';
import type {LossLog} from './loss-log.js';
import {createChannelOptions} from './channel-options.js';
import {createConnectAttempts} from './connect-attempts.js';
import {getHeartbeatInterval, type BatchCounts, type LinkTiming} from './link-timing.js';
import {createSilenceMonitor, type SilenceMonitor} from './silence-monitor.js';

/** Dependencies of one link. */
export type LinkClientHost = {
	readonly clock: Clock;
	readonly sessions: EntrySessions;
	readonly timing: LinkTiming;
	/** Losses of the upstream, which are reported to the entry; none are reported if undefined. */
	readonly lossLog?: Pick<LossLog, 'getReportsSince'>;
	/** Returns the state to report to this entry incarnation. */
	getState(entry: string | undefined): AgentState;
	receiveConfig(config: ConfigUpdate): void;
	/** Called with the evacuated data centres before the starts of the same batch are handled. */
	receiveEvacuations?(evacuations: Evacuations): void;
	receiveEntries(entries: readonly EntryAddress[]): void;
	/**
	 * Called when a link has received the welcome of this entry incarnation. The earlier link to the incarnation, if any,
	 * must stop reading.
	 */
	replaceEarlierLink(incarnation: string, link: AgentLink): void;
	/** Called when the link has received the entry's welcome, and when it is lost after that. */
	onLinkChanged?(change: AgentLinkChange): void;
	/** Called with an unexpected error while a batch from `address` was processed, after which the link is reset, or while a link to it was created. */
	onUnexpectedError?(error: unknown, address: string): void;
	/** Called before a received batch is processed; the batch is dropped if the callback resets the link. */
	onBatchReceived?(): void;
	/** Returns a number in [0, 1) for jitter. */
	random(): number;
	/** Runs an action at the end of this turn of the event loop. */
	defer(action: () => void): void;
	/** Creates a connection to "IP:port"; gRPC is used if undefined. */
	connect?(address: string): LinkConnection;
};

/** Why a link was lost; silent if its silence timeout ended it. */
type LossReason = 'closed' | 'silent';

/** A change of the link to an entry. */
export type AgentLinkChange = {
	readonly kind: 'opened' | LossReason;
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

/** The part of a gRPC stream that the agent uses. */
type Stream = {
	on(event: 'data', listener: (batch: EntryBatch) => void): unknown;
	on(event: 'error' | 'end', listener: () => void): unknown;
	write(batch: AgentBatch): unknown;
	cancel(): void;
};

/** The link of the agent to one address. */
export type AgentLink = {
	/** "IP:port" of the entry. */
	readonly address: string;
	/** Sends pending output to the entry at the end of this turn of the event loop. */
	scheduleFlush(): void;
	/** Reports the agent's state, which has changed, to the entry. */
	reportState(): void;
	/** Reports the state unless a batch was sent recently; see {@link getHeartbeatInterval}. */
	sendHeartbeat(): void;
	/** Drops the connection with everything that is buffered in it, and reconnects. */
	reset(): void;
	/** Closes the link permanently. */
	stop(): void;
	isOpen(): boolean;
	/** Sets whether the entry is told to start nothing more on this link, because the link is about to be closed. */
	setRetired(isRetired: boolean): void;
	/** Returns the time since which the link has been retired; undefined if it is not. */
	getRetiredAt(): Milliseconds | undefined;
	getBatchCounts(): BatchCounts;
};

const initialReconnectDelayMs: Milliseconds = 50;

/** Opens a link to `address` ("IP:port") and reconnects whenever it is lost. */
export function createAgentLink(host: LinkClientHost, address: string): AgentLink {
	let client = connect();
	let stream: Stream | undefined;
	let entry: string | undefined;
	let reconnectDelay = initialReconnectDelayMs;
	let reconnectTimer: Timer | undefined;
	let isStopped = false;
	let silence: SilenceMonitor | undefined;
	const attempts = host.timing.silence && createConnectAttempts({clock: host.clock, firstTimeoutMs: host.timing.silence.activeMs});
	let isFlushDeferred = false;
	let hasNewState = false;
	let sentGranted = 0;
	let sentLossPosition = 0;
	let sentAt = -Infinity;
	let retiredAt: Milliseconds | undefined;
	let batchesSent = 0;
	let batchesReceived = 0;

	const link: AgentLink = {
		address,
		scheduleFlush: deferFlush,
		reportState() {
			hasNewState = true;
			deferFlush();
		},
		sendHeartbeat() {
			if (host.clock.now() - sentAt >= getHeartbeatInterval(host.timing, hasRunningTasks())) {
				hasNewState = true;
				deferFlush();
			}
		},
		reset,
		stop() {
			isStopped = true;
			reconnectTimer?.cancel();
			closeStream();
			client.close();
		},
		isOpen: () => entry !== undefined,
		setRetired(isRetired) {
			retiredAt = isRetired ? host.clock.now() : undefined;
			hasNewState = true;
			deferFlush();
		},
		getRetiredAt: () => retiredAt,
		getBatchCounts: () => ({batchesSent, batchesReceived}),
	};
	openStream();
	return link;

	function connect(): LinkConnection {
		return host.connect?.(address) ?? new LinkClient(address, credentials.createInsecure(), createChannelOptions(host.timing, 'links'));
	}

	// A silent connection may never report an error, and new streams on it would stay silent too.
	function reset(reason: LossReason = 'closed'): void {
		const previousClient = client;
		client = connect();
		closeStream(reason);
		previousClient.close();
	}

	function openStream(): void {
		if (isStopped) {
			return;
		}

		const current = client.open();
		stream = current;
		attempts?.begin(() => {
			reset('silent');
		});
		current.on('data', (batch: EntryBatch) => {
			batchesReceived++;
			host.onBatchReceived?.();
			if (stream === current) {
				silence?.recordMessage();
				tryReceive(batch);
				silence?.setActive(hasRunningTasks());
			}
		});
		// An error also ends the stream; only the first of the two events closes it here.
		current.on('error', () => {
			closeIfCurrent(current);
		});
		current.on('end', () => {
			closeIfCurrent(current);
		});
	}

	function monitorSilence(): void {
		const timeouts = host.timing.silence;
		const current = stream;
		silence ??= timeouts && createSilenceMonitor({
			clock: host.clock,
			timeoutMs: timeouts.activeMs,
			idleTimeoutMs: timeouts.idleMs,
			onSilent() {
				if (stream === current) {
					reset('silent');
				}
			},
		});
	}

	function hasRunningTasks(): boolean {
		return entry !== undefined && host.sessions.hasRunningTasks(entry);
	}

	function closeIfCurrent(closed: Stream): void {
		if (stream === closed) {
			closeStream();
		}
	}

	function closeStream(reason: LossReason = 'closed'): void {
		const closed = stream;
		if (closed === undefined) {
			return;
		}

		stream = undefined;
		attempts?.end();
		silence?.stop();
		silence = undefined;
		closed.cancel();
		if (entry !== undefined) {
			reportChange(reason);
			host.sessions.close(entry);
			entry = undefined;
		}

		if (!isStopped) {
			reconnectTimer = host.clock.after(reconnectDelay * (0.5 + host.random()), openStream);
			reconnectDelay = Math.min(host.timing.maxReconnectDelayMs, reconnectDelay * 2);
		}
	}

	// What a faulty batch has left undone is resolved when the link opens again, so one batch costs at most one link.
	function tryReceive(batch: EntryBatch): void {
		try {
			receive(batch);
		} catch (err) {
			reset();
			host.onUnexpectedError?.(err, address);
		}
	}

	function receive(batch: EntryBatch): void {
		if (batch.welcome !== undefined) {
			handleWelcome(batch.welcome.incarnation);
		}

		if (entry === undefined) {
			return;
		}

		if (batch.config !== undefined) {
			host.receiveConfig(batch.config);
		}

		if (batch.evacuations !== undefined) {
			host.receiveEvacuations?.(batch.evacuations);
		}

		if (batch.entries.length > 0) {
			host.receiveEntries(batch.entries);
		}

		if (batch.reportWanted) {
			link.reportState();
		}

		if (batch.welcome === undefined) {
			host.sessions.receive(entry, batch);
		}
	}

	function handleWelcome(incarnation: string): void {
		host.replaceEarlierLink(incarnation, link);
		attempts?.succeed();
		monitorSilence();
		entry = incarnation;
		reportChange('opened');
		reconnectDelay = initialReconnectDelayMs;
		sentGranted = 0;
		sentLossPosition = 0;
		const hello = host.sessions.open(incarnation);
		write({hello, state: getState()});
		deferFlush();
	}

	function reportChange(kind: AgentLinkChange['kind']): void {
		if (entry !== undefined) {
			host.onLinkChanged?.({kind, address, entry});
		}
	}

	function deferFlush(): void {
		if (!isFlushDeferred) {
			isFlushDeferred = true;
			host.defer(flush);
		}
	}

	function flush(): void {
		isFlushDeferred = false;
		if (entry === undefined) {
			return;
		}

		const pending = host.sessions.takePendingOutput(entry);
		const losses = takeUnsentLosses();
		const hasOutput = hasNewState || pending.granted !== sentGranted || pending.results.length > 0 || pending.held.length > 0 || losses.length > 0;
		if (!hasOutput) {
			return;
		}

		write({
			state: {...getState(), receivedStarts: pending.receivedStarts},
			granted: pending.granted,
			results: [...pending.results],
			held: [...pending.held],
			losses: [...losses],
		});
		hasNewState = false;
		sentGranted = pending.granted;
		silence?.setActive(hasRunningTasks());
	}

	function takeUnsentLosses(): readonly LossReport[] {
		if (host.lossLog === undefined) {
			return [];
		}

		const {reports, position} = host.lossLog.getReportsSince(sentLossPosition);
		sentLossPosition = position;
		return reports;
	}

	function getState(): AgentState {
		const state = host.getState(entry);
		return retiredAt === undefined ? state : {...state, draining: true};
	}

	function write(fields: Partial<AgentBatch>): void {
		sentAt = host.clock.now();
		batchesSent++;
		stream?.write({
			hello: undefined, state: undefined, granted: 0, results: [], held: [], losses: [], ...fields,
		});
	}
}
