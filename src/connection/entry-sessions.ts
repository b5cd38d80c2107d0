/**
 * The agent's side of its links to entries, and the only place that starts work on the upstream. It runs
 * each start number of an entry incarnation at most once, refuses truthfully, and keeps each result until
 * the entry has acknowledged it.
 */
import type {Clock, Milliseconds, Timer} from '../process/clock.js';
import {
	RefusalReason, TaskOutcome,
	type AgentHello, type EntryBatch, type HeldReply, type HeldTask, type TaskResult, type TaskStart,
} from '../generated/kingcuplane.js';
import type {AgentInfo, CreditGranter} from './types.js';

/** How a run at the upstream ended. */
export type RunResult = {
	readonly outcome: TaskOutcome;
	readonly reason: RefusalReason;
	readonly payload: Uint8Array;
	readonly duration: Milliseconds;
	/** Failure text; empty on success. */
	readonly detail: string;
};

/** Effects of the agent's side. */
export type EntrySessionsHost = {
	readonly clock: Clock;
	readonly agent: AgentInfo;
	/** How long records of ended tasks, and the payloads of results that cannot be delivered, are kept. */
	readonly retentionMs: Milliseconds;
	/** Bound on the payload bytes of kept records. */
	readonly maxRetainedBytes: number;
	/** How long after a cut the runs of an entry go on; undefined if they always end by themselves. */
	readonly orphanGraceMs?: Milliseconds;
	/** Hands the task to the upstream; `done` is called once. */
	run(start: TaskStart, done: (end: RunResult) => void): void;
	/** Ends a run whose answer nobody waits for; `done` follows. Does nothing if it has ended. */
	stop(start: TaskStart): void;
	/** Something is to be sent to this entry incarnation. */
	onOutputPending(entry: string): void;
};

/** What is due to one entry. */
export type PendingOutput = {
	readonly granted: number;
	readonly results: readonly TaskResult[];
	/** Starts received on the open link. */
	readonly receivedStarts: number;
	readonly held: readonly HeldReply[];
};

/** The agent's sessions with all entries. */
export type EntrySessions = {
	/** A link to this entry incarnation opened; the hello to answer with. Earlier links must be dropped first. */
	open(entry: string): AgentHello;
	/** The link was cut. Running tasks go on, or are stopped if the entry stays away for the host's `abandonMs`. */
	close(entry: string): void;
	receive(entry: string, batch: EntryBatch): void;
	/** What has not been sent on the open link yet; counts as sent from now on. */
	takePendingOutput(entry: string): PendingOutput;
	/** While draining every start is refused. */
	setDraining(draining: boolean): void;
	getRunningTasks(): number;
	/** Results that an entry is still to acknowledge: one that is linked, or was until a few seconds ago. */
	getUnacknowledgedResults(): number;
};

type SessionRecord = {
	lastStartSeq: number;
	lastResultSeq: number;
	/** Unacknowledged results by number, oldest first. */
	readonly results: Map<number, TaskResult>;
	/** Highest result number sent on the open link. */
	sentSeq: number;
	/** Starts received on the open link. */
	receivedStarts: number;
	/** Runs under way by number of their start. */
	readonly running: Map<number, TaskStart>;
	abandonTimer?: Timer;
	held: HeldReply[];
	isOpen: boolean;
	closedAt: Milliseconds;
};

/** A task that was started here, for questions about a ticket. */
type Recollection = {
	readonly task: HeldTask;
	endedAt?: Milliseconds;
};

const noPayload = new Uint8Array();
/** An entry that stays away for longer has given this agent up, or is gone. */
const returnMs: Milliseconds = 3000;

/** Creates the agent's side without any session. */
export function createEntrySessions(host: EntrySessionsHost, granter: CreditGranter): EntrySessions {
	const records = new Map<string, SessionRecord>();
	const recollections = new Map<string, Recollection[]>();
	const ended: Array<{readonly ticket: string; readonly recollection: Recollection}> = [];
	const fenced = new Set<string>();
	let endedBytes = 0;
	let running = 0;
	let isDraining = false;

	return {
		open(entry) {
			const record = records.get(entry) ?? createRecord();
			records.set(entry, record);
			if (record.isOpen) {
				granter.removeEntry(entry);
			}

			record.abandonTimer?.cancel();
			record.isOpen = true;
			record.sentSeq = 0;
			record.receivedStarts = 0;
			granter.addEntry(entry);
			return toHello(host.agent, entry, record);
		},
		close(entry) {
			const record = records.get(entry);
			if (record?.isOpen) {
				record.isOpen = false;
				record.closedAt = host.clock.now();
				granter.removeEntry(entry);
				planAbandon(record);
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

			const results = [...record.results.values()].filter(result => result.seq > record.sentSeq);
			record.sentSeq = record.lastResultSeq;
			const {held} = record;
			record.held = [];
			return {
				granted: granter.getGrantedCredits(entry), results, receivedStarts: record.receivedStarts, held,
			};
		},
		setDraining(draining) {
			isDraining = draining;
			granter.setDraining(draining);
		},
		getRunningTasks: () => running,
		getUnacknowledgedResults() {
			const oldest = host.clock.now() - returnMs;
			let count = 0;
			for (const record of records.values()) {
				count += record.isOpen || record.closedAt >= oldest ? record.results.size : 0;
			}

			return count;
		},
	};

	function receive(entry: string, batch: EntryBatch): void {
		const record = records.get(entry);
		if (!record?.isOpen) {
			return;
		}

		for (const incarnation of batch.fenced) {
			fenced.add(incarnation);
		}

		acknowledge(record, batch.resultsAcked);
		granter.setReturnedCredits(entry, batch.returned);
		for (const start of batch.starts) {
			receiveStart(entry, record, start);
		}

		for (const {startSeq} of batch.stops) {
			const start = record.running.get(startSeq);
			if (start !== undefined) {
				host.stop(start);
			}
		}

		granter.setQueued(entry, batch.queued, batch.head);
		for (const query of batch.queries) {
			record.held.push({id: query.id, tasks: getHeldTasks(query.ticket)});
			host.onOutputPending(entry);
		}
	}

	function receiveStart(entry: string, record: SessionRecord, start: TaskStart): void {
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
		record.running.set(start.seq, start);
		const recollection = recall(start);
		host.run(start, end => {
			running--;
			record.running.delete(start.seq);
			granter.release(entry, start.need);
			const result = addResult(entry, record, start, end);
			rememberEnd(start, recollection, result);
		});
	}

	// The entry may have died, or may have given its starts up; either way nobody waits for these runs, and their
	// tasks may be started elsewhere soon.
	function planAbandon(record: SessionRecord): void {
		if (host.orphanGraceMs !== undefined) {
			record.abandonTimer = host.clock.after(host.orphanGraceMs, () => {
				stopRuns(record);
			});
		}
	}

	function stopRuns(record: SessionRecord): void {
		for (const start of record.running.values()) {
			host.stop(start);
		}
	}

	function tryGetRefusal(entry: string, start: TaskStart): RefusalReason | undefined {
		if (fenced.has(entry)) {
			return RefusalReason.REFUSAL_REASON_FENCED;
		}

		if (granter.tryAcquire(entry, start.need)) {
			return undefined;
		}

		return isDraining ? RefusalReason.REFUSAL_REASON_DRAINING : RefusalReason.REFUSAL_REASON_FULL;
	}

	function addResult(entry: string, record: SessionRecord, start: TaskStart, end: RunResult): TaskResult {
		record.lastResultSeq++;
		const result: TaskResult = {
			task: start.task,
			seq: record.lastResultSeq,
			attempt: start.attempt,
			outcome: end.outcome,
			reason: end.reason,
			payload: end.payload,
			runMs: Math.round(end.duration),
			detail: end.detail,
			startSeq: start.seq,
		};
		record.results.set(result.seq, result);
		compactAbandoned();
		if (record.isOpen) {
			host.onOutputPending(entry);
		}

		return result;
	}

	// The numbers of an entry incarnation are kept for good: if they were forgotten, a paused entry that comes
	// back would take its starts for lost. After the cut no start arrives, so few results wait.
	function compactAbandoned(): void {
		const oldest = host.clock.now() - host.retentionMs;
		for (const record of records.values()) {
			if (!record.isOpen && record.closedAt < oldest) {
				dropPayloads(record);
			}
		}
	}

	function recall(start: TaskStart): Recollection {
		const recollection: Recollection = {
			task: {
				task: start.task, taskCount: start.taskCount, running: true, result: undefined, startedAt: Math.round(host.clock.wall()), caller: start.caller,
			},
		};
		const {ticket} = (start.task!);
		const list = recollections.get(ticket);
		if (list === undefined) {
			recollections.set(ticket, [recollection]);
		} else {
			list.push(recollection);
		}

		return recollection;
	}

	function rememberEnd(start: TaskStart, recollection: Recollection, result: TaskResult): void {
		recollection.task.running = false;
		recollection.task.result = result;
		recollection.endedAt = host.clock.now();
		ended.push({ticket: start.task!.ticket, recollection});
		endedBytes += result.payload.length;
		forgetOld();
	}

	function forgetOld(): void {
		const oldest = host.clock.now() - host.retentionMs;
		while (ended[0] !== undefined && (ended[0].recollection.endedAt! < oldest || endedBytes > host.maxRetainedBytes)) {
			const {ticket, recollection} = ended.shift()!;
			endedBytes -= recollection.task.result?.payload.length ?? 0;
			const rest = recollections.get(ticket)?.filter(other => other !== recollection) ?? [];
			if (rest.length === 0) {
				recollections.delete(ticket);
			} else {
				recollections.set(ticket, rest);
			}
		}
	}

	function getHeldTasks(ticket: string): HeldTask[] {
		return (recollections.get(ticket) ?? []).map(recollection => recollection.task);
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
		closedAt: 0,
	};
}

function acknowledge(record: SessionRecord, seq: number): void {
	for (const known of record.results.keys()) {
		if (known > seq) {
			return;
		}

		record.results.delete(known);
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

function toHello(agent: AgentInfo, entry: string, record: SessionRecord): AgentHello {
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
		entryIncarnation: entry,
		lastStartSeq: record.lastStartSeq,
		lastResultSeq: record.lastResultSeq,
	};
}
