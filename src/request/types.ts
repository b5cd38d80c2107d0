/**
 * Types of submissions: tickets, answers, and the records that are stored about them.
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
	/** The encoded ticket, as callers send it. */
	readonly text: string;
};

/** Whether any work was executed under a ticket. `not-run` and `ran` are certain. */
export type ExecutionStatus = 'not-run' | 'ran' | 'may-have-run';

/**
 * How a submission ended. `refused` means that it was never accepted; the other two are final answers to accepted
 * submissions.
 */
export type AnswerState = 'complete' | 'failed' | 'refused';

/** The final answer to one submission. */
export type Answer = {
	readonly state: AnswerState;
	readonly ran: ExecutionStatus;
	/** Present unless the state is `complete`. */
	readonly diagnostic?: Diagnostic;
	/** Time after which a new submission may succeed; present for refusals and failures with a temporary cause. */
	readonly retryAfter?: Milliseconds;
	/** Payloads of the tasks in order of index; present only if the state is `complete`. */
	readonly payloads?: readonly Uint8Array[];
};

/** How one attempt at a task ended. */
export type AttemptOutcome = 'completed' | 'failed' | 'unknown' | 'refused';

/** One attempt at one task. `sentAt` and `endedAt` are wall clock times of the recording entry. */
export type AttemptRecord = {
	readonly attempt: number;
	/** Name and incarnation of the agent, as `name/incarnation`. */
	readonly agent: string;
	readonly upstream: string;
	readonly sentAt: Milliseconds;
	endedAt?: Milliseconds;
	outcome?: AttemptOutcome;
	/** Refusal reason or failure text. */
	detail?: string;
	/** Run time on the upstream. */
	runMs?: Milliseconds;
};

/** One task with all its attempts. */
export type TaskRecord = {
	readonly index: number;
	readonly attempts: AttemptRecord[];
};

/** The part of a record that is known when the submission is accepted or refused. */
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

/** One delivery of the final answer to a caller. */
export type DeliveryRecord = {
	readonly at: Milliseconds;
	/** Name of the entry that sent the answer to the caller. */
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

/** Retains and saves the records of all submissions that one entry incarnation accepted. */
export type SubmissionRecorder = {
	/**
	 * Opens a record. Returns Fate_memory_is_full at the memory bound, or Ticket_has_expired; then nothing is retained.
	 */
	openRecord(info: SubmissionInfo): Diagnostic | undefined;
	/** Records that an attempt was sent. */
	recordSent(ticket: string, index: number, attempt: AttemptRecord): void;
	/** Records how the attempt ended. */
	recordEnded(ticket: string, index: number, attempt: number, end: Pick<AttemptRecord, 'endedAt' | 'outcome' | 'detail' | 'runMs'>): void;
	recordCancelled(ticket: string, by: string): void;
	recordAnswer(ticket: string, answer: Answer): void;
	recordDelivery(ticket: string, via: string): void;
	/** Returns the record, or undefined if it is not in memory. */
	tryGet(ticket: string): SubmissionRecord | undefined;
	/** Calls `action` once the current state of the record is saved at the platform. */
	whenSaved(ticket: string, action: () => void): void;
	/** Saves all changes, within the bound on writes. Resolves when everything is saved or a write has failed. */
	flush(): Promise<void>;
	/** Returns the number of records in blocks with unsaved changes. */
	getUnsavedCount(): number;
};

/** Where a record was found: this entry, the coordinator of the ticket, the object store, or the agents. */
export type RecordSource = 'own' | 'home' | 'store' | 'agents';

/** The result of a lookup of one ticket. */
export type RecordReport = {
	/** Text of the ticket that was looked up. */
	readonly ticket: string;
	/** Undefined if no record was found. */
	readonly fate: SubmissionRecord | undefined;
	/** Sources from which `fate` was assembled. */
	readonly sources: readonly RecordSource[];
	/** Whether a later lookup may return a more complete record. */
	readonly mayChange: boolean;
	/** What could not be determined, one sentence for each item. */
	readonly unknown: readonly string[];
};
