/**
 * The agent's side of its links to entries, and the only code that starts tasks on the upstream. It runs each start
 * number of an entry incarnation at most once, reports a start as refused only if its task did not run, and retains each
 * result until the entry has acknowledged it.
 */
import type {Clock, Milliseconds, Timer} from '../process/clock.js';
import {createPauseBacklog} from '../process/pause-backlog.js';
import {
	RefusalReason, TaskOutcome,
	type AgentHello, type EntryBatch, type HeldReply, type SenderSilence, type TaskResult, type TaskStart,
} from '../generated/kingcuplane.js';
import {createIsolationGuard} from './isolation-guard.js';
import {resolvePayloads} from './shared-payloads.js';
import {createStartedTasks} from './started-tasks.js';
import type {AgentInfo, CreditGranter} from './types.js';

/** Result of one run at the upstream. */
export type RunResult = {
	readonly outcome: TaskOutcome;
	readonly reason: RefusalReason;
	readonly payload: Uint8Array;
	readonly duration: Milliseconds;
	/** Failure text; empty on success. */
	readonly detail: string;
};

/**
 * Why a run is stopped: its job has an answer or no client any more, its entry was lost, the agent was paused, the run hardly makes progress,
 * or its executor has deregistered itself or is back with another service or other labels.
 */
export type StopCause = 'not-needed' | 'entry-lost' | 'agent-paused' | 'no-progress' | 'executor-left' | 'executor-changed';

/** Dependencies of the agent's sessions. */
export type EntrySessionsHost = {
	readonly clock: Clock;
	readonly agent: AgentInfo;
	/** Retention time for records of ended tasks and for payloads of results that cannot be delivered. */
	readonly retentionMs: Milliseconds;
	/** Limit on the payload bytes of the retained records of ended tasks. */
	readonly maxRetainedBytes: number;
	/** Time after a lost link for which the runs of that entry continue; undefined lets them run to their end. */
	readonly orphanGraceMs?: Milliseconds;
	/**
	 * Time after the last message of an entry until which its runs may go on, and after that of the entry that forwarded their jobs, if
	 * one did; unlimited if undefined.
	 */
	readonly maxSilentRunMs?: Milliseconds;
	/** Silence of the entry that forwarded a job at which its runs are stopped; never for this reason if undefined. */
	readonly maxSenderSilenceMs?: Milliseconds;
	/** Calls `action` once all messages have been read that wait in the connections of this process now; not known if undefined. */
	readonly afterInputRead?: (action: () => void) => void;
	/** Runs the task at the upstream; `done` is called exactly once. */
	run(start: TaskStart, done: (runResult: RunResult) => void): void;
	/** Stops a run that is not needed since some time; its `done` is still called. Has no effect if the run has ended. */
	stop(start: TaskStart, cause: StopCause, since: Milliseconds): void;
	/** Called when there is output to send to this entry incarnation. */
	onOutputPending(entry: string): void;
};

/** Output for one entry. */
export type PendingOutput = {
	/** Total number of credits granted since the link opened. */
	readonly granted: number;
	readonly results: readonly TaskResult[];
	/** Number of starts received on the open link. */
	readonly receivedStarts: number;
	/** Replies to queries about the tasks of a ticket. */
	readonly held: readonly HeldReply[];
};

/** The agent's sessions with all entries. */
export type EntrySessions = {
	/**
	 * Opens the session for a new link to this entry incarnation and returns the hello to send on it. Earlier links to
	 * the entry must be closed before.
	 */
	open(entry: string): AgentHello;
	/**
	 * Closes the session after its link was lost. Running tasks continue, but are stopped if the entry does not reconnect
	 * within the host's `orphanGraceMs`.
	 */
	close(entry: string): void;
	receive(entry: string, batch: EntryBatch): void;
	/** Returns the output that was not yet sent on the open link and marks it as sent. */
	takePendingOutput(entry: string): PendingOutput;
	/**
	 * To be called after a pause of this process, before messages are read that may have waited meanwhile. `uncounted` is the part
	 * of it that the clock did not count.
	 */
	recordPause(pause: Milliseconds, uncounted: Milliseconds): void;
	/** Sets whether the agent is draining; every start is refused while it is. */
	setDraining(draining: boolean): void;
	getRunningTasks(): number;
	/** Whether an isolated task runs, beside which tasks of other jobs are refused. */
	isIsolating(): boolean;
	/** Whether a task of this entry runs. */
	hasRunningTasks(entry: string): boolean;
	/** Returns the time until which the tasks that run may go on if none of their entries sends anything more; Infinity if it is unlimited. */
	getSilentRunLimit(): Milliseconds;
	/** Returns by what a run may go on; undefined if it has ended. */
	tryGetPermission(start: TaskStart): RunPermission | undefined;
	/** Returns the number of unacknowledged results for entries that are linked or were linked until a few seconds ago. */
	getUnacknowledgedResults(): number;
};

/** How old the messages are by which a run may go on. */
export type RunPermission = {
	/** The entry that has sent the start, and the time since its last message. */
	readonly entry: string;
	readonly entryAge: Milliseconds;
	readonly isLinked: boolean;
	/** Time since the last message of the entry that forwarded the job; undefined if none did. */
	readonly senderAge?: Milliseconds;
};

type RunningStart = {
	readonly start: TaskStart;
	/** When the entry that forwarded the job was heard last; undefined if none did. */
	senderHeardAt?: Milliseconds;
	/** Whether its entry no longer needs it, and tells nothing more about it. */
	isAbandoned: boolean;
};

type SessionRecord = {
	lastStartSeq: number;
	lastResultSeq: number;
	/** Unacknowledged results by number, oldest first. */
	readonly results: Map<number, TaskResult>;
	/** Highest result number sent on the open link. */
	sentSeq: number;
	/** Number of starts received on the open link. */
	receivedStarts: number;
	/** Running tasks by the number of their start. */
	readonly running: Map<number, RunningStart>;
	orphanTimer?: Timer;
	/** Stops the runs of forwarded jobs whose senders are silent for too long. It outlasts the link. */
	senderTimer?: {readonly firesAt: Milliseconds; readonly timer: Timer};
	held: HeldReply[];
	/** Pending while results of jobs that are still in progress here wait for more results. */
	partialResultTimer?: Timer;
	isOpen: boolean;
	/** When the entry sent its last message, at the earliest. */
	heardAt: Milliseconds;
	closedAt: Milliseconds;
};

const noPayload = new Uint8Array();
/** Maximum time for which the result of a task waits for those of other tasks of its job. */
const partialResultDelayMs: Milliseconds = 50;
/** An entry that has been disconnected for longer has abandoned its starts on this agent, or has died. */
const reconnectGraceMs: Milliseconds = 3000;

/** Creates an empty set of sessions. */
export function createEntrySessions(host: EntrySessionsHost, granter: CreditGranter): EntrySessions {
	const records = new Map<string, SessionRecord>();
	const startedTasks = createStartedTasks(host);
	const fencedIncarnations = new Set<string>();
	const isolation = createIsolationGuard();
	let running = 0;
	let hellos = 0;
	let isDraining = false;
	const backlog = createPauseBacklog(host);

	return {
		open(entry) {
			const record = records.get(entry) ?? createRecord();
			records.set(entry, record);
			if (record.isOpen) {
				granter.removeEntry(entry);
			}

			record.orphanTimer?.cancel();
			record.isOpen = true;
			// A welcome does not say when it was sent, so it lets no run of an earlier link go on for longer.
			if (record.running.size === 0) {
				record.heardAt = Math.max(record.heardAt, getArrivalTime());
			}

			record.sentSeq = 0;
			record.receivedStarts = 0;
			granter.addEntry(entry);
			return toHello(host.agent, entry, record, ++hellos);
		},
		close(entry) {
			const record = records.get(entry);
			if (record?.isOpen) {
				record.isOpen = false;
				record.closedAt = host.clock.now();
				granter.removeEntry(entry);
				scheduleOrphanStop(record);
			}
		},
		receive,
		takePendingOutput(entry) {
			const record = records.get(entry);
			if (!record?.isOpen) {
				return {
					granted: 0, results: [], receivedStarts: 0, held: [],
				};
			}

			record.partialResultTimer?.cancel();
			record.partialResultTimer = undefined;
			const results = [...record.results.values()].filter(result => result.seq > record.sentSeq);
			record.sentSeq = record.lastResultSeq;
			const {held} = record;
			record.held = [];
			return {
				granted: granter.getGrantedCredits(entry), results, receivedStarts: record.receivedStarts, held,
			};
		},
		recordPause(pause, uncounted) {
			for (const record of records.values()) {
				record.heardAt -= uncounted;
				for (const runningStart of record.running.values()) {
					runningStart.senderHeardAt = runningStart.senderHeardAt === undefined ? undefined : runningStart.senderHeardAt - uncounted;
				}

				scheduleSenderStop(record);
			}

			backlog.recordPause(pause);
		},
		setDraining(draining) {
			isDraining = draining;
			granter.setDraining(draining);
		},
		getRunningTasks: () => running,
		isIsolating: isolation.isActive,
		hasRunningTasks: entry => (records.get(entry)?.running.size ?? 0) > 0,
		getSilentRunLimit() {
			let limit = Infinity;
			for (const {running: starts, heardAt} of host.maxSilentRunMs === undefined ? [] : records.values()) {
				for (const {senderHeardAt = heardAt} of starts.values()) {
					limit = Math.min(limit, Math.min(heardAt, senderHeardAt) + host.maxSilentRunMs!);
				}
			}

			return limit;
		},
		tryGetPermission(start) {
			for (const [entry, {running: starts, heardAt, isOpen}] of records) {
				const runningStart = starts.get(start.seq);
				if (runningStart?.start === start) {
					const now = host.clock.now();
					const {senderHeardAt} = runningStart;
					return {
						entry, entryAge: now - heardAt, isLinked: isOpen, senderAge: senderHeardAt === undefined ? undefined : now - senderHeardAt,
					};
				}
			}

			return undefined;
		},
		getUnacknowledgedResults() {
			const oldest = host.clock.now() - reconnectGraceMs;
			let count = 0;
			for (const record of records.values()) {
				count += record.isOpen || record.closedAt >= oldest ? record.results.size : 0;
			}

			return count;
		},
	};

	/** Returns when the message that is read now has arrived, at the earliest. */
	function getArrivalTime(): Milliseconds {
		return host.clock.now() - backlog.getDelay();
	}

	// A batch may have waited on the way or in this process, for less than counts as a pause.
	function getSendingTime({sentAtMs}: EntryBatch): Milliseconds {
		return sentAtMs > 0 ? Math.min(sentAtMs, getArrivalTime()) : getArrivalTime();
	}

	function receive(entry: string, batch: EntryBatch): void {
		const record = records.get(entry);
		if (!record?.isOpen) {
			return;
		}

		const sentAt = getSendingTime(batch);
		record.heardAt = Math.max(record.heardAt, sentAt);
		// First, as it throws if the batch is faulty, which then must not be handled in part.
		const starts = resolvePayloads(batch.starts);
		for (const incarnation of batch.fenced) {
			fencedIncarnations.add(incarnation);
		}

		for (const {startSeq} of batch.stops) {
			abandonRun(record, startSeq);
		}

		const senderHeardAt = getSenderTimes(batch.senderSilences, sentAt);
		updateSenderTimes(record, senderHeardAt);
		acknowledge(record, batch.resultsAcked);
		granter.setReturnedCredits(entry, batch.returned);
		for (const start of starts) {
			receiveStart(entry, record, {start, senderHeardAt: senderHeardAt.get(start.seq), isAbandoned: false});
		}

		for (const {startSeq} of batch.stops) {
			stopRun(record, startSeq, 'not-needed', sentAt);
		}

		scheduleSenderStop(record);
		granter.setQueued(entry, batch.queued, batch.head);
		for (const query of batch.queries) {
			record.held.push({id: query.id, tasks: startedTasks.getHeldTasks(query.ticket)});
			host.onOutputPending(entry);
		}
	}

	function receiveStart(entry: string, record: SessionRecord, runningStart: RunningStart): void {
		const {start} = runningStart;
		if (start.seq <= record.lastStartSeq) {
			return;
		}

		record.lastStartSeq = start.seq;
		record.receivedStarts++;
		const refusal = tryGetRefusal(entry, start);
		if (refusal !== undefined) {
			addResult(entry, record, start, createRefusal(refusal));
			return;
		}

		running++;
		record.running.set(start.seq, runningStart);
		isolation.recordStart(start);
		const startedTask = startedTasks.recordStart(start);
		host.run(start, runResult => {
			running--;
			record.running.delete(start.seq);
			isolation.recordEnd(start);
			granter.release(entry, start.need);
			const result = addResult(entry, record, start, runResult);
			startedTasks.recordEnd(startedTask, result);
		});
	}

	// The entry is dead or has abandoned its starts. In both cases the results are no longer needed, and the tasks may soon
	// be started on other upstreams.
	function scheduleOrphanStop(record: SessionRecord): void {
		if (host.orphanGraceMs !== undefined) {
			record.orphanTimer = host.clock.after(host.orphanGraceMs, () => {
				stopRuns(record);
			});
		}
	}

	function getSenderTimes(silences: readonly SenderSilence[], sentAt: Milliseconds): ReadonlyMap<number, Milliseconds> {
		const heardAt = new Map<number, Milliseconds>();
		for (const {startSeq, silentMs} of silences) {
			heardAt.set(startSeq, sentAt - silentMs);
		}

		return heardAt;
	}

	// What was heard of a sender says nothing about a job that its entry has abandoned.
	function updateSenderTimes(record: SessionRecord, senderHeardAt: ReadonlyMap<number, Milliseconds>): void {
		for (const [seq, runningStart] of record.running) {
			if (!runningStart.isAbandoned) {
				runningStart.senderHeardAt = senderHeardAt.get(seq);
			}
		}
	}

	function abandonRun(record: SessionRecord, seq: number): void {
		const abandoned = record.running.get(seq);
		if (abandoned !== undefined) {
			abandoned.isAbandoned = true;
		}
	}

	// The entry that serves the jobs may be lost before it notices that their senders are.
	function scheduleSenderStop(record: SessionRecord): void {
		const {maxSenderSilenceMs} = host;
		if (maxSenderSilenceMs === undefined) {
			return;
		}

		let heardAt = Infinity;
		for (const {senderHeardAt = Infinity, isAbandoned} of record.running.values()) {
			heardAt = isAbandoned ? heardAt : Math.min(heardAt, senderHeardAt);
		}

		const firesAt = heardAt + maxSenderSilenceMs;
		// A later time is found when the timer fires, so that a message costs no timer.
		if (firesAt < (record.senderTimer?.firesAt ?? Infinity)) {
			record.senderTimer?.timer.cancel();
			const timer = host.clock.after(Math.max(0, firesAt - host.clock.now()), () => {
				record.senderTimer = undefined;
				stopRunsOfSilentSenders(record, maxSenderSilenceMs);
			});
			record.senderTimer = {firesAt, timer};
		}
	}

	function stopRunsOfSilentSenders(record: SessionRecord, maxSenderSilenceMs: Milliseconds): void {
		for (const [seq, {senderHeardAt = Infinity, isAbandoned}] of record.running) {
			if (!isAbandoned && host.clock.now() >= senderHeardAt + maxSenderSilenceMs) {
				stopRun(record, seq, 'entry-lost', host.clock.now());
			}
		}

		scheduleSenderStop(record);
	}

	function stopRun(record: SessionRecord, seq: number, cause: StopCause, since: Milliseconds): void {
		const stopped = record.running.get(seq);
		if (stopped !== undefined) {
			stopped.isAbandoned = true;
			host.stop(stopped.start, cause, since);
		}
	}

	function stopRuns(record: SessionRecord): void {
		for (const {start} of record.running.values()) {
			host.stop(start, 'entry-lost', host.clock.now());
		}
	}

	function tryGetRefusal(entry: string, start: TaskStart): RefusalReason | undefined {
		if (fencedIncarnations.has(entry)) {
			return RefusalReason.REFUSAL_REASON_FENCED;
		}

		// The start was held up on the way. Its entry may have given it up and started the task elsewhere.
		if (start.validUntilMs > 0 && host.clock.now() > start.validUntilMs) {
			return RefusalReason.REFUSAL_REASON_EXPIRED;
		}

		if (!isolation.allows(start)) {
			return RefusalReason.REFUSAL_REASON_FULL;
		}

		if (granter.tryAcquire(entry, start.need)) {
			return undefined;
		}

		return isDraining ? RefusalReason.REFUSAL_REASON_DRAINING : RefusalReason.REFUSAL_REASON_FULL;
	}

	function addResult(entry: string, record: SessionRecord, start: TaskStart, runResult: RunResult): TaskResult {
		record.lastResultSeq++;
		const result: TaskResult = {
			task: start.task,
			seq: record.lastResultSeq,
			attempt: start.attempt,
			outcome: runResult.outcome,
			reason: runResult.reason,
			payload: runResult.payload,
			runMs: Math.round(runResult.duration),
			detail: runResult.detail,
			startSeq: start.seq,
		};
		record.results.set(result.seq, result);
		dropUndeliverablePayloads();
		if (isPartialResult(record, start, result)) {
			record.partialResultTimer ??= host.clock.after(partialResultDelayMs, () => {
				record.partialResultTimer = undefined;
				notifyOutput(entry, record);
			});
		} else {
			notifyOutput(entry, record);
		}

		return result;
	}

	function notifyOutput(entry: string, record: SessionRecord): void {
		if (record.isOpen) {
			host.onOutputPending(entry);
		}
	}

	/**
	 * Whether the job cannot end with this result, since other tasks of it still run here. Such results travel together.
	 * Where slots limit the upstream, a result also tells its entry of a free slot and is sent at once.
	 */
	function isPartialResult(record: SessionRecord, {task, need}: TaskStart, {outcome}: TaskResult): boolean {
		if (need === undefined || outcome !== TaskOutcome.TASK_OUTCOME_COMPLETED) {
			return false;
		}

		for (const {start: running} of record.running.values()) {
			if (running.task!.ticket === task!.ticket) {
				return true;
			}
		}

		return false;
	}

	// Only the payloads are dropped. The sequence numbers of an entry incarnation are retained forever: without them, an
	// entry that reconnects after a pause would classify its starts as not received. No start arrives after the link was
	// lost, so few results remain.
	function dropUndeliverablePayloads(): void {
		const oldest = host.clock.now() - host.retentionMs;
		for (const record of records.values()) {
			if (!record.isOpen && record.closedAt < oldest) {
				dropPayloads(record);
			}
		}
	}
}

function createRecord(): SessionRecord {
	return {
		lastStartSeq: 0,
		lastResultSeq: 0,
		results: new Map(),
		sentSeq: 0,
		receivedStarts: 0,
		running: new Map(),
		held: [],
		isOpen: false,
		heardAt: -Infinity,
		closedAt: 0,
	};
}

function acknowledge(record: SessionRecord, seq: number): void {
	for (const resultSeq of record.results.keys()) {
		if (resultSeq > seq) {
			return;
		}

		record.results.delete(resultSeq);
	}
}

function dropPayloads(record: SessionRecord): void {
	for (const [seq, result] of record.results) {
		if (result.payload.length > 0) {
			record.results.set(seq, {
				...result, payload: noPayload, outcome: TaskOutcome.TASK_OUTCOME_FAILED, detail: 'The answer was dropped because its entry stayed away.',
			});
		}
	}
}

function createRefusal(reason: RefusalReason): RunResult {
	return {
		outcome: TaskOutcome.TASK_OUTCOME_REFUSED, reason, payload: noPayload, duration: 0, detail: '',
	};
}

function toHello(agent: AgentInfo, entry: string, record: SessionRecord, helloNumber: number): AgentHello {
	return {
		agent: agent.name,
		incarnation: agent.incarnation,
		upstream: agent.upstream,
		service: agent.service,
		dataCentre: agent.dataCentre,
		rack: agent.rack,
		slots: agent.slots,
		room: agent.capacity,
		labels: [...agent.labels ?? []],
		upstreamIncarnation: agent.upstreamIncarnation ?? '',
		entryIncarnation: entry,
		lastStartSeq: record.lastStartSeq,
		lastResultSeq: record.lastResultSeq,
		helloNumber,
	};
}
