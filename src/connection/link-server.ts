/**
 * The entry's end of the gRPC streams that agents open. Everything due to one agent within a turn of the
 * event loop travels in one batch.
 */
import type {
	AgentBatch, ConfigUpdate, EntryAddress, EntryBatch, HeldReply, LinkServer, TaskStart,
} from '../generated/kingcuplane.js';
import type {Milliseconds} from '../process/clock.js';
import type {AgentSession, AgentSessions} from './agent-sessions.js';
import type {AgentFacts} from './types.js';

/** What the link server needs from its entry. */
export type LinkServerHost = {
	readonly entry: string;
	readonly incarnation: string;
	readonly sessions: AgentSessions;
	/** Tasks waiting here that this agent could run. */
	getQueued(agent: string): number;
	/** Credits handed back to this agent since the link opened. */
	getReturned(agent: string): number;
	/** The part of the configuration in force that concerns this agent. */
	tryGetConfig(agent: AgentFacts): ConfigUpdate | undefined;
	getEntries(): readonly EntryAddress[];
	/** Incarnations of entries declared dead. */
	getFenced(): readonly string[];
	isDraining(): boolean;
	/** The configuration version that an agent acts on. */
	reportVersion(agent: AgentFacts, version: number): void;
	receiveHeld(agent: AgentFacts, reply: HeldReply): void;
	/** Runs an action at the end of this turn of the event loop. */
	defer(action: () => void): void;
	/** Runs an action after a delay. */
	after(delay: Milliseconds, action: () => void): void;
};

/** The links of one entry to all agents. */
export type LinkHub = {
	/** The service to add to the gRPC server. */
	readonly service: LinkServer;
	/** Takes a stream that an agent opened. */
	accept(stream: LinkStream): void;
	send(agent: string, start: TaskStart): void;
	/** Queue length, returned credits or acknowledgements for this agent have changed. */
	changed(agent: string): void;
	/** Configuration, entries, fences or draining have changed for all agents. */
	changedForAll(): void;
	/** Asks every linked agent for what it holds of a ticket; gives the number of agents asked. */
	query(id: number, ticket: string): number;
	getLinked(): number;
};

/** Longest time that news other than a start waits for more to travel with. */
const newsDelayMs = 1;

/** The part of a gRPC stream that a link needs at the entry. */
export type LinkStream = {
	on(event: 'data', listener: (batch: AgentBatch) => void): unknown;
	on(event: 'end' | 'error' | 'cancelled', listener: () => void): unknown;
	write(batch: EntryBatch): unknown;
	end(): void;
};

type Link = {
	readonly session: AgentSession;
	readonly stream: LinkStream;
	starts: TaskStart[];
	queries: Array<{id: number; ticket: string}>;
	isFlushPlanned: boolean;
	hasNewsForAll: boolean;
	sentAcked: number;
	sentQueued: number;
	sentReturned: number;
	sentConfigVersion: number;
};

/** Creates the hub without any link. */
export function createLinkHub(host: LinkServerHost): LinkHub {
	const links = new Map<string, Link>();

	return {
		service: {open: accept},
		accept,
		send(agent, start) {
			const link = links.get(agent);
			if (link !== undefined) {
				link.starts.push(start);
				planFlush(link, true);
			}
		},
		changed(agent) {
			const link = links.get(agent);
			if (link !== undefined) {
				planFlush(link, false);
			}
		},
		changedForAll() {
			for (const link of links.values()) {
				link.hasNewsForAll = true;
				planFlush(link, false);
			}
		},
		query(id, ticket) {
			for (const link of links.values()) {
				link.queries.push({id, ticket});
				// An agent that answers must refuse starts of dead entries from then on.
				link.hasNewsForAll = true;
				planFlush(link, true);
			}

			return links.size;
		},
		getLinked: () => links.size,
	};

	function accept(stream: LinkStream): void {
		let link: Link | undefined;
		stream.on('data', (batch: AgentBatch) => {
			if (batch.hello !== undefined && link === undefined) {
				link = createLink(host.sessions.open(batch.hello), stream);
				links.set(link.session.agent.incarnation, link);
				planFlush(link, true);
			}

			if (link !== undefined) {
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

	function close(link: Link | undefined): void {
		if (link === undefined) {
			return;
		}

		const agent = link.session.agent.incarnation;
		if (links.get(agent) === link) {
			links.delete(agent);
		}

		link.session.close();
	}

	function receive(link: Link, batch: AgentBatch): void {
		const {session} = link;
		if (batch.state !== undefined) {
			session.receiveState(batch.state);
			host.reportVersion(session.agent, batch.state.configVersion);
		}

		for (const result of batch.results) {
			session.receiveResult(result);
		}

		session.receiveGranted(batch.granted);
		for (const reply of batch.held) {
			host.receiveHeld(session.agent, reply);
		}
	}

	function planFlush(link: Link, isUrgent: boolean): void {
		if (isUrgent) {
			host.defer(() => {
				flush(link);
			});
			return;
		}

		if (!link.isFlushPlanned) {
			link.isFlushPlanned = true;
			host.after(newsDelayMs, () => {
				flush(link);
			});
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
		const acked = link.session.getResultsAcked();
		const queued = host.getQueued(agent);
		const returned = host.getReturned(agent);
		const isNews = link.starts.length > 0 || link.queries.length > 0 || link.hasNewsForAll || isNewConfig
			|| acked !== link.sentAcked || queued !== link.sentQueued || returned !== link.sentReturned;
		if (!isNews) {
			return;
		}

		link.stream.write(createBatch({
			starts: link.starts,
			queries: link.queries,
			resultsAcked: acked,
			queued,
			returned,
			config: isNewConfig ? config : undefined,
			entries: link.hasNewsForAll ? [...host.getEntries()] : [],
			fenced: link.hasNewsForAll ? [...host.getFenced()] : [],
			draining: host.isDraining(),
		}));
		link.starts = [];
		link.queries = [];
		link.hasNewsForAll = false;
		link.sentAcked = acked;
		link.sentQueued = queued;
		link.sentReturned = returned;
		link.sentConfigVersion = isNewConfig ? config.version : link.sentConfigVersion;
	}
}

function createLink(session: AgentSession, stream: LinkStream): Link {
	return {
		session,
		stream,
		starts: [],
		queries: [],
		isFlushPlanned: false,
		hasNewsForAll: true,
		sentAcked: 0,
		sentQueued: 0,
		sentReturned: 0,
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
		...part,
	};
}
