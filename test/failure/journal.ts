/**
 * The journal of a run, on which its checks are based: the replies to callers, the starts that upstreams counted and other
 * events.
 */
import type {Milliseconds} from '../../src/process/clock.js';
import type {AnswerBody} from '../../src/request/reply.js';

/** One observed event. */
export type JournalEvent =
	| {readonly kind: 'submitted'; readonly ticket: string; readonly taskCount: number; readonly idempotent: boolean; readonly deadlineMs: Milliseconds}
	/** A caller received a reply about its ticket. */
	| {readonly kind: 'replied'; readonly ticket: string; readonly via: string; readonly body: AnswerBody}
	/** A caller had no final answer at the end of the run. */
	| {readonly kind: 'unanswered'; readonly ticket: string}
	/** An upstream started a task. */
	| {readonly kind: 'started'; readonly upstream: string; readonly ticket: string; readonly index: number; readonly attempt: number}
	/** An upstream began to leave, or has returned. */
	| {readonly kind: 'leaving' | 'returned'; readonly upstream: string}
	/** A graceful shutdown ended; `cut` is the number of tasks, results or jobs that it left behind. */
	| {readonly kind: 'shut-down'; readonly process: string; readonly cut: number}
	/** Number of items that one process still held at the end of the run. */
	| {readonly kind: 'left-over'; readonly process: string; readonly what: string; readonly count: number}
	| {readonly kind: 'published'; readonly version: number}
	/** A configuration version became active in a process. */
	| {readonly kind: 'in-force'; readonly process: string; readonly version: number}
	/** The version active in a process that had enough time to load the newest one, and the newest accepted version. */
	| {readonly kind: 'version-check'; readonly process: string; readonly version: number; readonly published: number}
	/** The entries agreed on an answer to a dead entry's ticket; `wasSaved` if that entry had saved its own answer. */
	| {readonly kind: 'settled'; readonly ticket: string; readonly wasSaved: boolean}
	/** A fault was injected; not used by the checks, only by readers of the log. */
	| {readonly kind: 'fault'; readonly text: string};

/** An event and its time since the start of the run, in milliseconds. */
export type RecordedEvent = JournalEvent & {readonly at: Milliseconds};

/** The events of one run in order of time. */
export type Journal = {
	readonly events: readonly RecordedEvent[];
	record(event: JournalEvent): void;
};

/** Creates an empty journal. */
export function createJournal(now: () => Milliseconds): Journal {
	const recordedEvents: RecordedEvent[] = [];

	return {
		events: recordedEvents,
		record(event) {
			recordedEvents.push({...event, at: now()});
		},
	};
}

/** Formats an event as one line of text. */
export function formatEvent({at, kind, ...rest}: RecordedEvent): string {
	return `${String(Math.round(at)).padStart(7)} ${kind} ${JSON.stringify(rest)}`;
}
