/**
 * The entry's end of the gRPC streams that agents open. Everything due to one agent within a turn of the
 * event loop travels in one batch.
 */
import type {
	AgentBatch, ConfigUpdate, EntryAddress, EntryBatch, HeldReply, LinkServer, TaskStart, TaskStop,
} from '../generated/kingcuplane.js';
import type {Milliseconds, Timer} from '../process/clock.js';
import type {AgentSession, AgentSessions} from './agent-sessions.js';
import type {AgentInfo, Scheduler} from './types.js';

/** What the link server needs from its entry. */
export type LinkServerHost = {
	readonly entry: string;
	readonly incarnation: string;
	readonly sessions: AgentSessions;
	/** What it wants from each agent, read when a batch is made up. */
	readonly scheduler: Pick<Scheduler, 'getQueued' | 'tryGetHead' | 'getReturned'>;
	/** Time between two batches on a link that has nothing else to carry. */
	readonly heartbeatMs: Milliseconds;
	/** A link on which nothing arrives for this time is closed. */
	readonly silenceTimeoutMs?: Milliseconds;
	/** The part of the configuration in force that concerns this agent. */
	tryGetConfig(agent: AgentInfo): ConfigUpdate | undefined;
	getEntries(): readonly EntryAddress[];
	/** Incarnations of entries declared dead. */
	getFencedIncarnations(): readonly string[];
	isDraining(): boolean;
	/** Time on the monotonic clock. */
	now(): Milliseconds;
	/** The configuration version that an agent acts on. */
	onConfigVersion(agent: AgentInfo, version: number): void;
	onHeldReply(agent: AgentInfo, reply: HeldReply): void;
	/** Runs an action at the end of this turn of the event loop. */
	defer(action: () => void): void;
	/** Runs an action after a delay. */
	after(delay: Milliseconds, action: () => void): Timer;
	/** A link opened or was cut. */
	onLinkChanged?(agent: AgentInfo, change: LinkChange): void;
	/** A batch has arrived and is about to be read. */
	onBatchReceived?(): void;
};

/** What became of a link, and how many are open now. */
export type LinkChange = {
	readonly kind: 'opened' | 'closed' | 'silent';
	readonly linked: number;
};

/** The links of one entry to all agents. */
export type LinkHub = {
	/** The service to add to the gRPC server. */
	readonly service: LinkServer;
	/** Takes a stream that an agent opened. */
	accept(stream: LinkStream): void;
	sendStart(agent: string, start: TaskStart): void;
	/** Asks an agent to end a run. */
	sendStop(agent: string, stop: TaskStop): void;
	/** Wanted or returned credits are to be told to this agent. */
	scheduleReport(agent: string): void;
	/** Results of this agent were handled; the acknowledgement travels with the next batch, or soon by itself. */
	scheduleAck(agent: string): void;
	/** Sends a batch on every link on which nothing was sent lately, as is to be done every `heartbeatMs`. */
	sendHeartbeats(): void;
	/** Configuration, entries, fences or draining have changed for all agents. */
	scheduleBroadcast(): void;
	/** Asks every linked agent for what it holds of a ticket; gives the number of agents asked. */
	broadcastQuery(id: number, ticket: string): number;
	getLinkCount(): number;
};

/** Longest time that an acknowledgement waits for a batch to travel with. */
const ackDelayMs: Milliseconds = 200;

/** The part of a gRPC stream that a link needs at the entry. */
export type LinkStream = {
	on(event: 'data', listener: (batch: AgentBatch) => void): unknown;
	on(event: 'end' | 'error' | 'cancelled', listener: () => void): unknown;
	write(batch: EntryBatch): unknown;
	end(): void;
	/** Cuts the stream without waiting for what is still to be sent. */
	destroy?(): void;
};

type Link = {
	readonly session: AgentSession;
	readonly stream: LinkStream;
	starts: TaskStart[];
	stops: TaskStop[];
	queries: Array<{id: number; ticket: string}>;
	isFlushPlanned: boolean;
	isReportDue: boolean;
	isAckPlanned: boolean;
	silence: Timer | undefined;
	sentAt: Milliseconds;
	hasNewsForAll: boolean;
	sentAcked: number;
	sentConfigVersion: number;
};

/** Creates the hub without any link. */
export function createLinkHub(host: LinkServerHost): LinkHub {
	const links = new Map<string, Link>();

	return {
		service: {open: accept},
		accept,
		sendStart(agent, start) {
			const link = links.get(agent);
			if (link !== undefined) {
				link.starts.push(start);
				planFlush(link);
			}
		},
		sendStop(agent, stop) {
			const link = links.get(agent);
			if (link !== undefined) {
				link.stops.push(stop);
				planFlush(link);
			}
		},
		scheduleReport(agent) {
			const link = links.get(agent);
			if (link !== undefined) {
				link.isReportDue = true;
				planFlush(link);
			}
		},
		scheduleAck(agent) {
			const link = links.get(agent);
			if (link !== undefined && !link.isAckPlanned) {
				link.isAckPlanned = true;
				host.after(ackDelayMs, () => {
					flushAck(link);
				});
			}
		},
		sendHeartbeats() {
			const recently = host.now() - (host.heartbeatMs / 2);
			for (const link of links.values()) {
				if (link.sentAt < recently) {
					link.isReportDue = true;
					planFlush(link);
				}
			}
		},
		scheduleBroadcast() {
			for (const link of links.values()) {
				link.hasNewsForAll = true;
				planFlush(link);
			}
		},
		broadcastQuery(id, ticket) {
			for (const link of links.values()) {
				link.queries.push({id, ticket});
				// An agent that answers must refuse starts of dead entries from then on.
				link.hasNewsForAll = true;
				planFlush(link);
			}

			return links.size;
		},
		getLinkCount: () => links.size,
	};

	function accept(stream: LinkStream): void {
		let link: Link | undefined;
		stream.on('data', (batch: AgentBatch) => {
			host.onBatchReceived?.();
			if (batch.hello !== undefined && link === undefined) {
				link = createLink(host.sessions.open(batch.hello), stream);
				links.set(link.session.agent.incarnation, link);
				host.onLinkChanged?.(link.session.agent, {kind: 'opened', linked: links.size});
				planFlush(link);
			}

			if (link !== undefined) {
				watchSilence(link);
				receive(link, batch);
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
	}

	function close(link: Link | undefined, kind: LinkChange['kind'] = 'closed'): void {
		if (link === undefined) {
			return;
		}

		const agent = link.session.agent.incarnation;
		if (links.get(agent) === link) {
			links.delete(agent);
			host.onLinkChanged?.(link.session.agent, {kind, linked: links.size});
		}

		link.silence?.cancel();
		link.session.close(kind === 'silent');
	}

	// GRPC's own keepalive takes seconds, and a stream whose bytes are held up shows no error.
	function watchSilence(link: Link): void {
		if (host.silenceTimeoutMs === undefined) {
			return;
		}

		link.silence?.cancel();
		link.silence = host.after(host.silenceTimeoutMs, () => {
			close(link, 'silent');
			link.stream.destroy?.();
		});
	}

	function receive(link: Link, batch: AgentBatch): void {
		const {session} = link;
		if (batch.state !== undefined) {
			session.receiveState(batch.state);
			host.onConfigVersion(session.agent, batch.state.configVersion);
		}

		for (const result of batch.results) {
			session.receiveResult(result);
		}

		session.receiveGrantedCredits(batch.granted);
		for (const reply of batch.held) {
			host.onHeldReply(session.agent, reply);
		}
	}

	function planFlush(link: Link): void {
		if (!link.isFlushPlanned) {
			link.isFlushPlanned = true;
			host.defer(() => {
				flush(link);
			});
		}
	}

	function flushAck(link: Link): void {
		link.isAckPlanned = false;
		if (link.session.getAckedResultSeq() !== link.sentAcked) {
			link.isReportDue = true;
			flush(link);
		}
	}

	function flush(link: Link): void {
		link.isFlushPlanned = false;
		const agent = link.session.agent.incarnation;
		if (links.get(agent) !== link) {
			return;
		}

		const config = host.tryGetConfig(link.session.agent);
		const isNewConfig = config !== undefined && config.version > link.sentConfigVersion;
		if (link.starts.length === 0 && link.stops.length === 0 && link.queries.length === 0 && !link.hasNewsForAll && !isNewConfig && !link.isReportDue) {
			return;
		}

		const acked = link.session.getAckedResultSeq();
		link.sentAt = host.now();
		link.stream.write(createBatch({
			starts: link.starts,
			stops: link.stops,
			queries: link.queries,
			resultsAcked: acked,
			queued: host.scheduler.getQueued(agent),
			head: host.scheduler.tryGetHead(agent),
			returned: host.scheduler.getReturned(agent),
			config: isNewConfig ? config : undefined,
			entries: link.hasNewsForAll ? [...host.getEntries()] : [],
			fenced: link.hasNewsForAll ? [...host.getFencedIncarnations()] : [],
			draining: host.isDraining(),
		}));
		link.starts = [];
		link.stops = [];
		link.queries = [];
		link.hasNewsForAll = false;
		link.isReportDue = false;
		link.sentAcked = acked;
		link.sentConfigVersion = isNewConfig ? config.version : link.sentConfigVersion;
	}
}

function createLink(session: AgentSession, stream: LinkStream): Link {
	return {
		session,
		stream,
		starts: [],
		stops: [],
		silence: undefined,
		sentAt: -Infinity,
		queries: [],
		isFlushPlanned: false,
		isReportDue: false,
		isAckPlanned: false,
		hasNewsForAll: true,
		sentAcked: 0,
		sentConfigVersion: 0,
	};
}

function createBatch(part: Partial<EntryBatch>): EntryBatch {
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
		...part,
	};
}
