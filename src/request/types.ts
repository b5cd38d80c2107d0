/**
 * What one submission is made of, what becomes of it, and what is recorded about it.
 */
import type {Milliseconds} from '../process/clock.js';
import type {Diagnostic} from '../process/diagnostics.js';

/**
 * The identity of one submission. Only the entry incarnation that it names may start its tasks; sending a
 * submission again means sending the same ticket.
 */
export type Ticket = {
	/** Incarnation of the entry that issued it. */
	readonly incarnation: string;
	/** Block of tickets issued in the same interval; their records are saved together. */
	readonly block: number;
	/** Position in the block, from 0. */
	readonly sequence: number;
	/** The form that callers send. */
	readonly text: string;
};

/** Whether work was done under a ticket. `not-run` and `ran` are certain. */
export type ExecutionStatus = 'not-run' | 'ran' | 'may-have-run';

/** How a submission ended. A refused one was never accepted; both other ends are final answers. */
export type AnswerState = 'complete' | 'failed' | 'refused';

/** The final answer to one submission. */
export type Answer = {
	readonly state: AnswerState;
	readonly ran: ExecutionStatus;
	/** Present unless the state is `complete`. */
	readonly diagnostic?: Diagnostic;
	/** When a new submission makes sense, for refusals and failures that pass. */
	readonly retryAfter?: Milliseconds;
	/** Payload of each task in order of index; present only if the state is `complete`. */
	readonly payloads?: readonly Uint8Array[];
};

/** How one attempt at a task ended. */
export type AttemptOutcome = 'completed' | 'failed' | 'unknown' | 'refused';

/** One attempt at one task. Times are wall times of the recording entry. */
export type AttemptRecord = {
	readonly attempt: number;
	/** Incarnation of the agent, with the agent's name before it. */
	readonly agent: string;
	readonly upstream: string;
	readonly sentAt: Milliseconds;
	endedAt?: Milliseconds;
	outcome?: AttemptOutcome;
	/** Refusal reason or failure text. */
	detail?: string;
	/** Run time at the upstream. */
	runMs?: Milliseconds;
};

/** One task with all its attempts. */
export type TaskRecord = {
	readonly index: number;
	readonly attempts: AttemptRecord[];
};

/** What is known of a submission when it is accepted or refused. */
export type SubmissionInfo = {
	readonly ticket: Ticket;
	/** Name of the entry that accepted it. */
	readonly entry: string;
	/** Name of the caller's token. */
	readonly caller: string;
	readonly team: string;
	readonly submission: string;
	readonly service: string;
	/** The caller's own name for the submission; empty if none was given. */
	readonly reference: string;
	readonly configVersion: number;
	readonly taskCount: number;
	readonly acceptedAt: Milliseconds;
};

/** The part of an answer that is recorded: everything but the payloads. */
export type AnswerRecord = {
	readonly state: AnswerState;
	readonly ran: ExecutionStatus;
	readonly diagnostic?: Diagnostic;
	readonly at: Milliseconds;
};

/** One hand-over of the final answer to a caller. */
export type DeliveryRecord = {
	readonly at: Milliseconds;
	/** Name of the entry through which the answer went. */
	readonly via: string;
};

/** The whole record of one submission. */
export type SubmissionRecord = SubmissionInfo & {
	cancelledBy?: string;
	cancelledAt?: Milliseconds;
	answer?: AnswerRecord;
	readonly deliveries: DeliveryRecord[];
	/** Tasks that were sent at least once, by index. */
	readonly tasks: Map<number, TaskRecord>;
	/** True if attempts were left out to stay within the memory bound. */
	detailDropped: boolean;
};

/** Keeps and saves the records of all submissions that one entry incarnation accepted. */
export type SubmissionRecorder = {
	/** Opens a record; fails with Fate_memory_is_full past the bound, and then nothing is kept. */
	openRecord(facts: SubmissionInfo): Diagnostic | undefined;
	/** Records that an attempt was sent. */
	recordSent(ticket: string, index: number, attempt: AttemptRecord): void;
	/** Records how the attempt ended. */
	recordEnded(ticket: string, index: number, attempt: number, end: Pick<AttemptRecord, 'endedAt' | 'outcome' | 'detail' | 'runMs'>): void;
	recordCancelled(ticket: string, by: string): void;
	recordAnswer(ticket: string, answer: Answer): void;
	recordDelivery(ticket: string, via: string): void;
	/** The record, while it is in memory. */
	tryGet(ticket: string): SubmissionRecord | undefined;
	/** Calls `action` once the record as it stands now is saved at the platform. */
	whenSaved(ticket: string, action: () => void): void;
	/** Saves what has changed, within the bound on writes; resolves when no more can be saved now. */
	flush(): Promise<void>;
	/** Records not yet saved. */
	getUnsavedCount(): number;
};

/** Where a record was found: this entry, the entry that accepted it, the object store, or what agents hold. */
export type RecordSource = 'own' | 'home' | 'store' | 'agents';

/** What could be learnt about one ticket. */
export type RecordReport = {
	/** Text of the ticket that was asked about. */
	readonly ticket: string;
	/** Undefined if no record was found. */
	readonly fate: SubmissionRecord | undefined;
	/** Where the parts of `fate` came from. */
	readonly sources: readonly RecordSource[];
	/** Whether the same question may get a fuller answer later. */
	readonly mayChange: boolean;
	/** What is not known, one sentence each. */
	readonly unknown: readonly string[];
};
