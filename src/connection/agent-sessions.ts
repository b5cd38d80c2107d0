/**
 * The entry's side of its links to agents. It gives each start, a message that makes an agent start a task, a sequence
 * number, so that no task is started twice after a link was lost, and it reports the outcome of each start.
 *
 * A session belongs to one agent incarnation and is kept for a grace period after its link was lost. If the agent
 * reconnects within that period, its hello contains the number of the last start that it received; later starts
 * certainly did not run. If it does not reconnect, or comes back as another incarnation, every start without a result
 * may have run.
 */
import type {Result} from 'neverthrow';
import type {Clock, Milliseconds, Timer} from '../process/clock.js';
import {assert} from '../process/debug.js';
import type {
	AgentHello, AgentState, TaskResult, TaskStart,
} from '../generated/kingcuplane.js';
import {createHelloOrder, type OutdatedHello, type SentWelcome} from './hello-order.js';
import type {AgentInfo, QueuedTask} from './types.js';

/** A start that was sent and whose result is pending. */
export type SentStart = QueuedTask & {
	readonly agent: AgentInfo;
};

/** A start of an earlier link, and its sequence number. */
export type ResumedStart = SentStart & {
	readonly seq: number;
};

/** Outcome of a sent start. */
export type SentStartOutcome =
	| {readonly kind: 'result'; readonly result: TaskResult}
	/** The agent did not receive the start and never will. */
	| {readonly kind: 'not-received'}
	/** The agent is gone, so the outcome stays unknown. */
	| {readonly kind: 'agent-gone'};

/** A session that has ended, and the starts whose outcome stays unknown with it. */
export type EndedSession = {
	readonly agent: AgentInfo;
	readonly cause: SessionEndCause;
	readonly starts: readonly SentStart[];
};

/** Why a session has ended. */
export type SessionEndCause =
	/** Another incarnation of the agent has sent a hello, `age` after the welcome that it answers. */
	| {readonly kind: 'superseded'; readonly incarnation: string; readonly helloNumber: number; readonly age: Milliseconds}
	/** Its link was lost, and the agent has not returned within `grace`. */
	| {readonly kind: 'link-lost'; readonly isSilent: boolean; readonly grace: Milliseconds};

/** Dependencies of the sessions. */
export type AgentSessionsHost = {
	readonly clock: Clock;
	/** Time for which an agent may stay disconnected after its link was closed before its starts are abandoned. */
	readonly graceMs: Milliseconds;
	/**
	 * The same time if the link was closed because of its silence timeout, in which case the agent may notice the loss later
	 * than the entry. Equals `graceMs` if undefined.
	 */
	readonly silentGraceMs?: Milliseconds;
	/** Time for which a start remains valid after it was sent; unlimited if undefined. It must have ended when a start is abandoned. */
	readonly startValidityMs?: Milliseconds;
	/** Whether an agent that returns as another incarnation guarantees that all runs of its earlier incarnations have ended. */
	readonly endsEarlierIncarnations?: boolean;
	onAgentConnected(agent: AgentInfo): void;
	onAgentDisconnected(agent: AgentInfo): void;
	onAgentState(agent: AgentInfo, state: AgentState): void;
	onCreditsGranted(agent: AgentInfo, granted: number): void;
	/** Called exactly once for each sent start. */
	onStartEnded(start: SentStart, outcome: SentStartOutcome): void;
	/** Called when a session has ended, before its starts are reported as ended. */
	onSessionEnded?(ended: EndedSession): void;
	/** Called on a new link with the starts of earlier links that the agent has received and that have no outcome yet. */
	onStartsResumed?(agent: AgentInfo, starts: readonly ResumedStart[]): void;
	/** Called when a result arrives for a start that was abandoned. */
	onLateResult(agent: AgentInfo, result: TaskResult): void;
};

/** A start without its sequence number and the end of its validity, which the session assigns. */
export type UnsequencedStart = Omit<TaskStart, 'seq' | 'validUntilMs'>;

/** The sessions of one entry incarnation with all agents. */
export type AgentSessions = {
	/** Records that a welcome is sent on a new link now, before any hello can answer it. */
	recordWelcome(): SentWelcome;
	/**
	 * Opens a session for a link on which this hello has answered the welcome. Replaces an earlier link of the same agent incarnation, and
	 * ends the sessions of its earlier incarnations. Has no effect if the hello may be outdated.
	 */
	open(hello: AgentHello, welcome: SentWelcome): Result<AgentSession, OutdatedHello>;
	/** Calls `action` for each session whose link is open. */
	forEachOpen(action: (session: AgentSession) => void): void;
	tryGet(incarnation: string): AgentSession | undefined;
	/** Returns the number of agents whose link is open. */
	getOpenCount(): number;
	/** Returns the number of starts without an outcome, over all agents. */
	getOutstandingStarts(): number;
};

/** The session as seen by one link. Calls on a link that was replaced have no effect, but `prepareStart` throws. */
export type AgentSession = {
	readonly agent: AgentInfo;
	/** Assigns a sequence number to a start and records it as sent. The returned message must then be sent on the link. */
	prepareStart(unsequenced: UnsequencedStart): TaskStart;
	receiveResult(result: TaskResult): void;
	receiveState(state: AgentState): void;
	receiveGrantedCredits(granted: number): void;
	/** Reports the starts of earlier links. To be called once output can be sent on this link. */
	resumeStarts(): void;
	/** Returns the time on the agent's clock, rather early by the time that its last state was under way; undefined until it has reported its clock. */
	tryGetAgentTime(): Milliseconds | undefined;
	/** Whether the outcome of a start is pending. */
	hasOutstandingStarts(): boolean;
	/** Returns the starts whose outcome is pending, by sequence number. */
	getSentStarts(): ReadonlyMap<number, SentStart>;
	/** Returns the highest sequence number up to which all results were handled. */
	getAckedResultSeq(): number;
	/** Closes the session of this link; `isSilent` if the silence timeout ended it. */
	close(isSilent?: boolean): void;
};

type SessionRecord = {
	readonly agent: AgentInfo;
	readonly sentStarts: Map<number, SentStart>;
	nextSeq: number;
	lastResultSeq: number;
	/** Number of the newest link; identifies calls from links that were replaced. */
	linkNumber: number;
	isOpen: boolean;
	/** The agent's clock minus this process's clock, at most; undefined until the agent has reported its clock. */
	clockOffset?: Milliseconds;
	graceTimer?: Timer;
	session?: AgentSession;
};

/** Creates an empty set of sessions. */
export function createAgentSessions(host: AgentSessionsHost): AgentSessions {
	const records = new Map<string, SessionRecord>();
	const helloOrder = createHelloOrder({clock: host.clock, hasSession: incarnation => records.has(incarnation)});

	return {
		recordWelcome: helloOrder.recordWelcome,
		open: (hello, welcome) => helloOrder.accept(hello, welcome).map(() => openSession(hello, host.clock.now() - welcome.sentAt)),
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
		getOpenCount: () => [...records.values()].filter(record => record.isOpen).length,
		getOutstandingStarts() {
			let count = 0;
			for (const record of records.values()) {
				count += record.sentStarts.size;
			}

			return count;
		},
	};

	function openSession(hello: AgentHello, age: Milliseconds): AgentSession {
		abandonEarlierIncarnations(hello, age);
		const record = records.get(hello.incarnation) ?? createRecord(hello);
		records.set(hello.incarnation, record);
		if (record.isOpen) {
			host.onAgentDisconnected(record.agent);
		}

		record.graceTimer?.cancel();
		record.isOpen = true;
		record.linkNumber++;
		const session = createSession(record, record.linkNumber);
		record.session = session;
		host.onAgentConnected(record.agent);
		endUnreceivedStarts(record, hello.lastStartSeq);
		return session;
	}

	// With `endsEarlierIncarnations`, an agent sends its hello only after all runs of its earlier incarnations have ended.
	function abandonEarlierIncarnations({agent, incarnation, helloNumber}: AgentHello, age: Milliseconds): void {
		for (const record of records.values()) {
			if (host.endsEarlierIncarnations && record.agent.name === agent && record.agent.incarnation !== incarnation) {
				if (record.isOpen) {
					closeLink(record, false);
				}

				record.graceTimer?.cancel();
				abandonSession(record, {
					kind: 'superseded', incarnation, helloNumber, age,
				});
			}
		}
	}

	// Starts with a higher number than the last one received were lost with the earlier link, which the agent no longer
	// reads.
	function endUnreceivedStarts(record: SessionRecord, lastStartSeq: number): void {
		for (const [seq, start] of record.sentStarts) {
			if (seq > lastStartSeq) {
				record.sentStarts.delete(seq);
				host.onStartEnded(start, {kind: 'not-received'});
			}
		}
	}

	function createSession(record: SessionRecord, linkNumber: number): AgentSession {
		const isCurrent = () => record.isOpen && record.linkNumber === linkNumber;

		return {
			agent: record.agent,
			prepareStart(unsequenced) {
				assert(isCurrent(), 'a start can only be sent on the open link');
				const seq = record.nextSeq++;
				record.sentStarts.set(seq, {
					ticket: unsequenced.task!.ticket, index: unsequenced.task!.index, attempt: unsequenced.attempt, agent: record.agent,
				});
				return {...unsequenced, seq, validUntilMs: getValidityEnd(record)};
			},
			receiveResult(result) {
				if (isCurrent()) {
					handleResult(record, result);
				}
			},
			receiveState(state) {
				if (isCurrent()) {
					// The report was under way for a while, so the difference is a lower bound, and starts expire rather early.
					record.clockOffset = state.clockMs === 0 ? undefined : state.clockMs - host.clock.now();
					host.onAgentState(record.agent, state);
				}
			},
			receiveGrantedCredits(granted) {
				if (isCurrent()) {
					host.onCreditsGranted(record.agent, granted);
				}
			},
			resumeStarts() {
				if (isCurrent() && record.sentStarts.size > 0) {
					host.onStartsResumed?.(record.agent, [...record.sentStarts].map(([seq, start]) => ({...start, seq})));
				}
			},
			tryGetAgentTime: () => record.clockOffset === undefined ? undefined : host.clock.now() + record.clockOffset,
			hasOutstandingStarts: () => record.sentStarts.size > 0,
			getSentStarts: () => record.sentStarts,
			getAckedResultSeq: () => record.lastResultSeq,
			close(isSilent = false) {
				if (isCurrent()) {
					closeLink(record, isSilent);
				}
			},
		};
	}

	/** Returns the end of validity of a start that is sent now, on the agent's clock; 0 if it is unlimited. */
	function getValidityEnd({clockOffset}: SessionRecord): Milliseconds {
		return host.startValidityMs === undefined || clockOffset === undefined ? 0 : host.clock.now() + clockOffset + host.startValidityMs;
	}

	function handleResult(record: SessionRecord, result: TaskResult): void {
		if (result.seq <= record.lastResultSeq) {
			return;
		}

		record.lastResultSeq = result.seq;
		const start = record.sentStarts.get(result.startSeq);
		if (start === undefined) {
			host.onLateResult(record.agent, result);
			return;
		}

		record.sentStarts.delete(result.startSeq);
		host.onStartEnded(start, {kind: 'result', result});
	}

	function closeLink(record: SessionRecord, isSilent: boolean): void {
		record.isOpen = false;
		host.onAgentDisconnected(record.agent);
		const grace = isSilent ? host.silentGraceMs ?? host.graceMs : host.graceMs;
		record.graceTimer = host.clock.after(grace, () => {
			abandonSession(record, {kind: 'link-lost', isSilent, grace});
		});
	}

	function abandonSession(record: SessionRecord, cause: SessionEndCause): void {
		records.delete(record.agent.incarnation);
		host.onSessionEnded?.({agent: record.agent, cause, starts: [...record.sentStarts.values()]});
		for (const start of record.sentStarts.values()) {
			host.onStartEnded(start, {kind: 'agent-gone'});
		}

		record.sentStarts.clear();
	}
}

// The agent may have had an earlier session that was abandoned. Start numbers therefore continue from the last one that it
// received, and results that it still retains are reported as late.
function createRecord(hello: AgentHello): SessionRecord {
	return {
		agent: toAgentInfo(hello),
		sentStarts: new Map(),
		nextSeq: hello.lastStartSeq + 1,
		lastResultSeq: 0,
		linkNumber: 0,
		isOpen: false,
	};
}

function toAgentInfo(hello: AgentHello): AgentInfo {
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
		upstreamIncarnation: hello.upstreamIncarnation === '' ? undefined : hello.upstreamIncarnation,
	};
}
