/**
 * The entry's end of the gRPC streams that agents open. All output for one agent within a turn of the event loop is sent
 * in one batch.
 */
import type {
	AgentBatch, AgentHello, ConfigUpdate, EntryAddress, EntryBatch, HeldReply, LinkServer, LossReport, SenderSilence, TaskStart, TaskStop,
} from '../generated/kingcuplane.js';
import type {Clock, Milliseconds} from '../process/clock.js';
import type {EvacuationList} from '../version/evacuations.js';
import type {AgentSession, AgentSessions} from './agent-sessions.js';
import type {OutdatedHello, SentWelcome} from './hello-order.js';
import {getHeartbeatInterval, type BatchCounts, type LinkTiming} from './link-timing.js';
import {createPayloadCompressor} from './payload-compressor.js';
import {sharePayloads} from './shared-payloads.js';
import {createSilenceMonitor, type SilenceMonitor} from './silence-monitor.js';
import type {AgentInfo, Scheduler} from './types.js';

/** Dependencies of the link server. */
export type LinkServerHost = {
	readonly entry: string;
	readonly incarnation: string;
	readonly sessions: AgentSessions;
	/** Source of the demand that each batch reports to its agent; read when the batch is assembled. */
	readonly scheduler: Pick<Scheduler, 'getDemand' | 'tryGetHead' | 'getReturnedCredits' | 'awaitReport'>;
	readonly timing: LinkTiming;
	readonly clock: Clock;
	/** Returns the part of the active configuration that concerns this agent. */
	tryGetConfig(agent: AgentInfo): ConfigUpdate | undefined;
	/** Returns the evacuated data centres; undefined while they are not known. */
	tryGetEvacuations?(): EvacuationList | undefined;
	/** Returns the live entries, to which agents keep links. */
	getEntries(): readonly EntryAddress[];
	/** Returns the incarnations of entries that were declared dead. */
	getFencedIncarnations(): readonly string[];
	isDraining(): boolean;
	/** Called with the configuration version that an agent reports as active. */
	onConfigVersion(agent: AgentInfo, version: number): void;
	onHeldReply(agent: AgentInfo, reply: HeldReply): void;
	/** Called with each report of a lost upstream, before the results of the lost runs are handled. */
	onLossReport?(report: LossReport): void;
	/** Runs an action at the end of this turn of the event loop. */
	defer(action: () => void): void;
	/** Whether the network link is so full that payloads are compressed; never if undefined. */
	isNetworkBusy?(): boolean;
	/** Called with the approximate size of a start that is sent at the end of this turn. */
	onStartQueued?(bytes: number): void;
	/** Returns for how long the sender of the forwarded job with this ticket has been silent; undefined for any other job. */
	tryGetSenderSilence?(ticket: string): Milliseconds | undefined;
	/** Called when a link has opened or was lost. */
	onLinkChanged?(agent: AgentInfo, change: LinkChange): void;
	/** Called with a hello that may have been sent before another one that has arrived; its link was closed. */
	onOutdatedHello?(hello: AgentHello, outdated: OutdatedHello): void;
	/** Called with an unexpected error while a batch was processed; its link has been closed. `agent` names the sender, once it is known. */
	onUnexpectedError?(error: unknown, agent: string | undefined): void;
	/** Called before a received batch is processed. */
	onBatchReceived?(): void;
};

/** A change of a link, and the number of links that are open afterwards. */
export type LinkChange =
	/** Its hello has arrived, `age` after the welcome that it answers. */
	| {readonly kind: 'opened'; readonly linked: number; readonly helloNumber: number; readonly lastStartSeq: number; readonly age: Milliseconds}
	| {readonly kind: LinkEnd; readonly linked: number};

/** How a link ended; silent if its silence timeout ended it. */
type LinkEnd = 'closed' | 'silent';

/** The links of one entry to all agents. */
export type LinkHub = {
	/** The service to add to the gRPC server. */
	readonly service: LinkServer;
	/** Accepts a stream that an agent opened. */
	accept(stream: LinkStream): void;
	sendStart(agent: string, start: TaskStart): void;
	/** Sends an agent a request to stop a run. */
	sendStop(agent: string, stop: TaskStop): void;
	/** Reports the wanted and returned credits, which have changed, to this agent. */
	scheduleReport(agent: string): void;
	/** Acknowledges the handled results of this agent with the next batch, or in a batch of its own after a short delay. */
	scheduleAck(agent: string): void;
	/**
	 * Sends a batch on every link with pending outcomes that was idle for half a heartbeat interval, and on every other link
	 * that was idle for the interval of idle links. To be called every `heartbeatMs`.
	 */
	sendHeartbeats(): void;
	/** Sends a changed configuration or changed evacuations to all agents. */
	scheduleConfig(): void;
	/** Sends the entries, the fenced incarnations and the draining flag to all agents, besides a changed configuration. */
	scheduleBroadcast(): void;
	/** Queries every linked agent for its records of the tasks of a ticket, and returns the number of these agents. */
	broadcastQuery(id: number, ticket: string): number;
	/** Returns the number of open links. */
	getLinkCount(): number;
	getBatchCounts(): BatchCounts;
};

/** The part of a gRPC stream that the entry uses. */
export type LinkStream = {
	on(event: 'data', listener: (batch: AgentBatch) => void): unknown;
	on(event: 'end' | 'error' | 'cancelled', listener: () => void): unknown;
	write(batch: EntryBatch): unknown;
	end(): void;
	/** Closes the stream without sending what is still buffered. */
	destroy?(): void;
};

type Link = {
	readonly session: AgentSession;
	readonly stream: LinkStream;
	starts: TaskStart[];
	stops: TaskStop[];
	queries: Array<{id: number; ticket: string}>;
	isFlushDeferred: boolean;
	isReportPending: boolean;
	isAckScheduled: boolean;
	/** Whether the agent is to report its state at once. */
	isAnswerWanted: boolean;
	heardAt: Milliseconds;
	readonly silence: SilenceMonitor | undefined;
	sentAt: Milliseconds;
	isBroadcastPending: boolean;
	sentAckedSeq: number;
	sentConfigVersion: number;
	sentEvacuationRevision: number;
};

/** Size of a start without its payload, with that of its batch, and of one that shares the payload of another start. */
const startOverheadBytes = 150;
const sharedStartBytes = 50;

/** Creates a hub without links. */
export function createLinkHub(host: LinkServerHost): LinkHub {
	const {timing} = host;
	const tryCompress = createPayloadCompressor(host.isNetworkBusy ?? (() => false));
	const links = new Map<string, Link>();
	let batchesSent = 0;
	let batchesReceived = 0;

	return {
		service: {open: accept},
		accept,
		sendStart(agent, start) {
			const link = links.get(agent);
			if (link !== undefined) {
				const isShared = link.starts.some(({payload}) => payload === start.payload);
				link.starts.push(start);
				host.onStartQueued?.(isShared ? sharedStartBytes : startOverheadBytes + (tryCompress(start.payload) ?? start.payload).length);
				link.silence?.setActive(true);
				deferFlush(link);
			}
		},
		sendStop(agent, stop) {
			const link = links.get(agent);
			if (link !== undefined) {
				link.stops.push(stop);
				deferFlush(link);
			}
		},
		scheduleReport(agent) {
			const link = links.get(agent);
			if (link !== undefined) {
				link.isReportPending = true;
				deferFlush(link);
			}
		},
		scheduleAck(agent) {
			const link = links.get(agent);
			if (link !== undefined && !link.isAckScheduled) {
				link.isAckScheduled = true;
				host.clock.after(timing.ackDelayMs, () => {
					flushAck(link);
				});
			}
		},
		sendHeartbeats() {
			const now = host.clock.now();
			for (const link of links.values()) {
				if (now - link.sentAt > getHeartbeatInterval(timing, link.session.hasOutstandingStarts())) {
					link.isReportPending = true;
					deferFlush(link);
				}
			}
		},
		scheduleConfig() {
			for (const link of links.values()) {
				deferFlush(link);
			}
		},
		scheduleBroadcast() {
			for (const link of links.values()) {
				link.isBroadcastPending = true;
				deferFlush(link);
			}
		},
		broadcastQuery(id, ticket) {
			for (const link of links.values()) {
				link.queries.push({id, ticket});
				// The broadcast contains the fenced incarnations: once an agent has replied, it must refuse their starts.
				link.isBroadcastPending = true;
				deferFlush(link);
			}

			return links.size;
		},
		getLinkCount: () => links.size,
		getBatchCounts: () => ({batchesSent, batchesReceived}),
	};

	function accept(stream: LinkStream): void {
		let link: Link | undefined;
		const welcome = host.sessions.recordWelcome();
		// The agent reconnects and repeats what was not acknowledged, so one batch costs at most one link.
		stream.on('data', (batch: AgentBatch) => {
			try {
				handleBatch(batch);
			} catch (err) {
				close(link);
				stream.destroy?.();
				host.onUnexpectedError?.(err, link?.session.agent.name);
			}
		});
		stream.on('end', () => {
			close(link);
			stream.end();
		});
		stream.on('error', () => {
			close(link);
		});
		stream.on('cancelled', () => {
			close(link);
		});
		stream.write(createBatch({welcome: {entry: host.entry, incarnation: host.incarnation}}));

		function handleBatch(batch: AgentBatch): void {
			batchesReceived++;
			host.onBatchReceived?.();
			if (batch.hello !== undefined && link === undefined) {
				link = tryOpenLink(batch.hello, welcome, stream);
			}

			if (link !== undefined) {
				link.heardAt = host.clock.now();
				link.silence?.recordMessage();
				receive(link, batch);
				link.silence?.setActive(link.session.hasOutstandingStarts());
			}
		}
	}

	function close(link: Link | undefined, kind: LinkEnd = 'closed'): void {
		if (link === undefined) {
			return;
		}

		const agent = link.session.agent.incarnation;
		if (links.get(agent) === link) {
			links.delete(agent);
			host.onLinkChanged?.(link.session.agent, {kind, linked: links.size});
		}

		link.silence?.stop();
		link.session.close(kind === 'silent');
		if (kind === 'silent') {
			queryNeighbours(link.session.agent);
		}
	}

	/**
	 * A data centre that is cut off is found out by one start that is lost on the way. Without this, it would take one at each of its
	 * agents, most of which report seldom.
	 */
	function queryNeighbours({dataCentre}: AgentInfo): void {
		const latest = host.clock.now() - timing.heartbeatMs;
		for (const [incarnation, link] of links) {
			if (link.session.agent.dataCentre === dataCentre && link.heardAt < latest) {
				host.scheduler.awaitReport?.(incarnation);
				link.isAnswerWanted = true;
				link.silence?.setActive(true);
				deferFlush(link);
			}
		}
	}

	function tryOpenLink(hello: AgentHello, welcome: SentWelcome, stream: LinkStream): Link | undefined {
		const session = host.sessions.open(hello, welcome);
		if (session.isErr()) {
			host.onOutdatedHello?.(hello, session.error);
			// Tells an agent that lives, which then opens another link.
			stream.end();
			return undefined;
		}

		const link = createLink(session.value, stream, createMonitor(), host.clock.now());
		const {agent} = link.session;
		links.set(agent.incarnation, link);
		const {helloNumber, lastStartSeq} = hello;
		host.onLinkChanged?.(agent, {
			kind: 'opened', linked: links.size, helloNumber, lastStartSeq, age: Math.round(host.clock.now() - welcome.sentAt),
		});
		link.session.resumeStarts();
		deferFlush(link);
		return link;

		// The keepalive of gRPC takes seconds, and a stream whose data is delayed on the way reports no error.
		function createMonitor(): SilenceMonitor | undefined {
			return timing.silence && createSilenceMonitor({
				clock: host.clock,
				timeoutMs: timing.silence.activeMs,
				idleTimeoutMs: timing.silence.idleMs,
				onSilent() {
					close(link, 'silent');
					stream.destroy?.();
				},
			});
		}
	}

	function receive(link: Link, batch: AgentBatch): void {
		const {session} = link;
		if (batch.state !== undefined) {
			session.receiveState(batch.state);
			host.onConfigVersion(session.agent, batch.state.configVersion);
		}

		for (const report of batch.losses) {
			host.onLossReport?.(report);
		}

		for (const result of batch.results) {
			session.receiveResult(result);
		}

		session.receiveGrantedCredits(batch.granted);
		for (const reply of batch.held) {
			host.onHeldReply(session.agent, reply);
		}
	}

	function deferFlush(link: Link): void {
		if (!link.isFlushDeferred) {
			link.isFlushDeferred = true;
			host.defer(() => {
				flush(link);
			});
		}
	}

	function flushAck(link: Link): void {
		link.isAckScheduled = false;
		if (link.session.getAckedResultSeq() !== link.sentAckedSeq) {
			link.isReportPending = true;
			flush(link);
		}
	}

	function flush(link: Link): void {
		link.isFlushDeferred = false;
		const agent = link.session.agent.incarnation;
		if (links.get(agent) !== link) {
			return;
		}

		const config = host.tryGetConfig(link.session.agent);
		const isNewConfig = config !== undefined && config.version > link.sentConfigVersion;
		const evacuations = host.tryGetEvacuations?.();
		const areNewEvacuations = evacuations !== undefined && evacuations.revision > link.sentEvacuationRevision;
		if (link.starts.length === 0 && link.stops.length === 0 && link.queries.length === 0 && !link.isBroadcastPending && !isNewConfig && !areNewEvacuations && !link.isReportPending && !link.isAnswerWanted) {
			return;
		}

		const ackedSeq = link.session.getAckedResultSeq();
		link.sentAt = host.clock.now();
		batchesSent++;
		link.stream.write(createBatch({
			starts: sharePayloads(link.starts, tryCompress),
			stops: link.stops,
			queries: link.queries,
			resultsAcked: ackedSeq,
			queued: host.scheduler.getDemand(agent),
			head: host.scheduler.tryGetHead(agent),
			returned: host.scheduler.getReturnedCredits(agent),
			config: isNewConfig ? config : undefined,
			entries: link.isBroadcastPending ? [...host.getEntries()] : [],
			fenced: link.isBroadcastPending ? [...host.getFencedIncarnations()] : [],
			draining: host.isDraining(),
			senderSilences: listSenderSilences(link),
			sentAtMs: link.session.tryGetAgentTime() ?? 0,
			evacuations: areNewEvacuations ? {...evacuations, dataCentres: [...evacuations.dataCentres]} : undefined,
			reportWanted: link.isAnswerWanted,
		}));
		link.starts = [];
		link.stops = [];
		link.queries = [];
		link.isBroadcastPending = false;
		link.isReportPending = false;
		link.isAnswerWanted = false;
		link.sentAckedSeq = ackedSeq;
		link.sentConfigVersion = isNewConfig ? config.version : link.sentConfigVersion;
		link.sentEvacuationRevision = areNewEvacuations ? evacuations.revision : link.sentEvacuationRevision;
	}

	function listSenderSilences({session}: Link): SenderSilence[] {
		if (host.tryGetSenderSilence === undefined) {
			return [];
		}

		const silences: SenderSilence[] = [];
		for (const [startSeq, {ticket}] of session.getSentStarts()) {
			const silence = host.tryGetSenderSilence(ticket);
			if (silence !== undefined) {
				silences.push({startSeq, silentMs: Math.ceil(silence)});
			}
		}

		return silences;
	}
}

function createLink(session: AgentSession, stream: LinkStream, silence: SilenceMonitor | undefined, now: Milliseconds): Link {
	return {
		session,
		stream,
		starts: [],
		stops: [],
		silence,
		sentAt: -Infinity,
		queries: [],
		isFlushDeferred: false,
		isReportPending: false,
		isAckScheduled: false,
		isAnswerWanted: false,
		heardAt: now,
		isBroadcastPending: true,
		sentAckedSeq: 0,
		sentConfigVersion: 0,
		sentEvacuationRevision: -1,
	};
}

function createBatch(fields: Partial<EntryBatch>): EntryBatch {
	return {
		welcome: undefined,
		starts: [],
		resultsAcked: 0,
		queued: 0,
		returned: 0,
		config: undefined,
		queries: [],
		fenced: [],
		draining: false,
		entries: [],
		head: undefined,
		stops: [],
		evacuations: undefined,
		senderSilences: [],
		sentAtMs: 0,
		reportWanted: false,
		...fields,
	};
}
