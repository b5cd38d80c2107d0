/**
 * The entry's side of its links to agents: numbers the starts, survives cuts without starting anything
 * twice, and tells what became of each start.
 *
 * A session belongs to one agent incarnation and outlives a cut of its link for a grace period. When the
 * agent returns in time, its hello tells which starts never arrived; those were certainly not run. When it
 * does not return, or returns as another incarnation, every start without a result may have run.
 */
import type {Clock, Milliseconds, Timer} from '../process/clock.js';
import {assert} from '../process/debug.js';
import type {
	AgentHello, AgentState, TaskResult, TaskStart,
} from '../generated/kingcuplane.js';
import type {AgentInfo, QueuedTask} from './types.js';

/** One start that was sent and whose result is awaited. */
export type SentStart = QueuedTask & {
	readonly agent: AgentInfo;
};

/** What became of a sent start. */
export type SentStartOutcome =
	| {readonly kind: 'result'; readonly result: TaskResult}
	/** The agent never received it and never will. */
	| {readonly kind: 'not-received'}
	/** The agent is gone, so the end will not be known. */
	| {readonly kind: 'agent-gone'};

/** Effects of the sessions. */
export type AgentSessionsHost = {
	readonly clock: Clock;
	/** How long an agent may stay away after its link was closed before its starts are given up. */
	readonly graceMs: Milliseconds;
	/** The same after its link went silent, where the agent may notice later; as `graceMs` if undefined. */
	readonly silentGraceMs?: Milliseconds;
	/** Whether an agent that comes back as another incarnation vouches that all runs of its earlier ones are over. */
	readonly endsEarlierIncarnations?: boolean;
	onAgentConnected(agent: AgentInfo): void;
	onAgentDisconnected(agent: AgentInfo): void;
	onAgentState(agent: AgentInfo, state: AgentState): void;
	onCreditsGranted(agent: AgentInfo, granted: number): void;
	/** Called once for each sent start. */
	onStartEnded(start: SentStart, end: SentStartOutcome): void;
	/** A result arrived for a start that had been given up. */
	onLateResult(agent: AgentInfo, result: TaskResult): void;
};

/** The part of a start that the session does not fill in. */
export type UnsequencedStart = Omit<TaskStart, 'seq'>;

/** All sessions of one entry incarnation. */
export type AgentSessions = {
	/** A link opened with this hello. Replaces an earlier link of the same agent incarnation. */
	open(hello: AgentHello): AgentSession;
	/** Sessions whose link is open. */
	forEachOpen(action: (session: AgentSession) => void): void;
	tryGet(incarnation: string): AgentSession | undefined;
	/** Starts sent and not yet ended, over all agents. */
	getOutstandingStarts(): number;
};

/** One link's view of a session. Calls on a replaced link do nothing. */
export type AgentSession = {
	readonly agent: AgentInfo;
	/** Numbers a start and records it as sent; the caller puts the returned message on the link. */
	prepareStart(order: UnsequencedStart): TaskStart;
	receiveResult(result: TaskResult): void;
	receiveState(state: AgentState): void;
	receiveGrantedCredits(granted: number): void;
	/** Highest result number up to which all results were handled. */
	getAckedResultSeq(): number;
	/** The link was closed, or nothing came on it any more. */
	close(isSilent?: boolean): void;
};

type SessionRecord = {
	readonly agent: AgentInfo;
	readonly sent: Map<number, SentStart>;
	nextSeq: number;
	lastResultSeq: number;
	/** Counts the links, so that calls from replaced ones can be told apart. */
	link: number;
	isOpen: boolean;
	graceTimer?: Timer;
	session?: AgentSession;
};

/** Creates the empty set of sessions. */
export function createAgentSessions(host: AgentSessionsHost): AgentSessions {
	const records = new Map<string, SessionRecord>();

	return {
		open,
		forEachOpen(action) {
			for (const record of records.values()) {
				if (record.isOpen && record.session !== undefined) {
					action(record.session);
				}
			}
		},
		tryGet(incarnation) {
			const record = records.get(incarnation);
			return record?.isOpen ? record.session : undefined;
		},
		getOutstandingStarts() {
			let count = 0;
			for (const record of records.values()) {
				count += record.sent.size;
			}

			return count;
		},
	};

	function open(hello: AgentHello): AgentSession {
		giveUpEarlierLives(hello);
		const record = records.get(hello.incarnation) ?? createRecord(hello);
		records.set(hello.incarnation, record);
		if (record.isOpen) {
			host.onAgentDisconnected(record.agent);
		}

		record.graceTimer?.cancel();
		record.isOpen = true;
		record.link++;
		const session = createSession(record, record.link);
		record.session = session;
		host.onAgentConnected(record.agent);
		giveUpLostStarts(record, hello.lastStartSeq);
		return session;
	}

	// An agent says hello only once nothing of its earlier life runs on its upstream any more.
	function giveUpEarlierLives(hello: AgentHello): void {
		for (const record of records.values()) {
			if (host.endsEarlierIncarnations && record.agent.name === hello.agent && record.agent.incarnation !== hello.incarnation) {
				if (record.isOpen) {
					closeLink(record, false);
				}

				record.graceTimer?.cancel();
				giveUp(record);
			}
		}
	}

	// Starts above the highest number that the agent received were lost with the earlier link, from which the
	// agent reads no more.
	function giveUpLostStarts(record: SessionRecord, lastStartSeq: number): void {
		for (const [seq, start] of record.sent) {
			if (seq > lastStartSeq) {
				record.sent.delete(seq);
				host.onStartEnded(start, {kind: 'not-received'});
			}
		}
	}

	function createSession(record: SessionRecord, link: number): AgentSession {
		const isCurrent = () => record.isOpen && record.link === link;

		return {
			agent: record.agent,
			prepareStart(order) {
				assert(isCurrent(), 'starts are sent on the open link only');
				const seq = record.nextSeq++;
				record.sent.set(seq, {
					ticket: order.task!.ticket, index: order.task!.index, attempt: order.attempt, agent: record.agent,
				});
				return {...order, seq};
			},
			receiveResult(result) {
				if (isCurrent()) {
					handleResult(record, result);
				}
			},
			receiveState(state) {
				if (isCurrent()) {
					host.onAgentState(record.agent, state);
				}
			},
			receiveGrantedCredits(granted) {
				if (isCurrent()) {
					host.onCreditsGranted(record.agent, granted);
				}
			},
			getAckedResultSeq: () => record.lastResultSeq,
			close(isSilent = false) {
				if (isCurrent()) {
					closeLink(record, isSilent);
				}
			},
		};
	}

	function handleResult(record: SessionRecord, result: TaskResult): void {
		if (result.seq <= record.lastResultSeq) {
			return;
		}

		record.lastResultSeq = result.seq;
		const start = record.sent.get(result.startSeq);
		if (start === undefined) {
			host.onLateResult(record.agent, result);
			return;
		}

		record.sent.delete(result.startSeq);
		host.onStartEnded(start, {kind: 'result', result});
	}

	function closeLink(record: SessionRecord, isSilent: boolean): void {
		record.isOpen = false;
		host.onAgentDisconnected(record.agent);
		record.graceTimer = host.clock.after(isSilent ? host.silentGraceMs ?? host.graceMs : host.graceMs, () => {
			giveUp(record);
		});
	}

	function giveUp(record: SessionRecord): void {
		records.delete(record.agent.incarnation);
		for (const start of record.sent.values()) {
			host.onStartEnded(start, {kind: 'agent-gone'});
		}

		record.sent.clear();
	}
}

// The agent may have been known before and given up; its numbers go on from what it has received, and
// results that it still holds arrive late.
function createRecord(hello: AgentHello): SessionRecord {
	return {
		agent: toFacts(hello),
		sent: new Map(),
		nextSeq: hello.lastStartSeq + 1,
		lastResultSeq: 0,
		link: 0,
		isOpen: false,
	};
}

function toFacts(hello: AgentHello): AgentInfo {
	return {
		incarnation: hello.incarnation,
		name: hello.agent,
		upstream: hello.upstream,
		service: hello.service,
		dataCentre: hello.dataCentre,
		rack: hello.rack,
		slots: hello.slots,
		capacity: hello.room,
		labels: hello.labels,
	};
}
