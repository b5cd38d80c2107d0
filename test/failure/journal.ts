/**
 * What the judge of a run knows: what callers were told, what upstreams counted and what was recorded.
 */
import type {Milliseconds} from '../../src/process/clock.js';
import type {AnswerBody} from '../../src/request/reply.js';

/** One observation. */
export type JournalEvent =
	| {readonly kind: 'submitted'; readonly ticket: string; readonly taskCount: number; readonly idempotent: boolean; readonly deadlineMs: Milliseconds}
	/** A caller was told something about its ticket. */
	| {readonly kind: 'replied'; readonly ticket: string; readonly via: string; readonly body: AnswerBody}
	/** A caller gave up without a final answer at the end of the run. */
	| {readonly kind: 'unanswered'; readonly ticket: string}
	/** An upstream started a task. */
	| {readonly kind: 'started'; readonly upstream: string; readonly ticket: string; readonly index: number; readonly attempt: number}
	/** An upstream starts to leave, or is back. */
	| {readonly kind: 'leaving' | 'returned'; readonly upstream: string}
	/** A graceful shutdown ended; `cut` counts the tasks, results or jobs that it left behind. */
	| {readonly kind: 'shut-down'; readonly process: string; readonly cut: number}
	/** What one process held at the end of the run. */
	| {readonly kind: 'left-over'; readonly process: string; readonly what: string; readonly count: number}
	| {readonly kind: 'published'; readonly version: number}
	/** A configuration version came into force in a process. */
	| {readonly kind: 'in-force'; readonly process: string; readonly version: number}
	/** The processes that were alive and not frozen for the bound before, and the version in force there. */
	| {readonly kind: 'version-check'; readonly process: string; readonly version: number; readonly published: number}
	/** An answer for a dead entry's ticket stands; `wasSaved` tells whether that entry's own answer stands at the platform. */
	| {readonly kind: 'settled'; readonly ticket: string; readonly wasSaved: boolean}
	/** A fault was brought about; for people who read the log. */
	| {readonly kind: 'fault'; readonly text: string};

/** An observation and when it was made, in milliseconds of the run. */
export type RecordedEvent = JournalEvent & {readonly at: Milliseconds};

/** The observations of one run, in order. */
export type Journal = {
	readonly events: readonly RecordedEvent[];
	record(event: JournalEvent): void;
};

/** Creates an empty journal. */
export function createJournal(now: () => Milliseconds): Journal {
	const entries: RecordedEvent[] = [];

	return {
		events: entries,
		record(event) {
			entries.push({...event, at: now()});
		},
	};
}

/** Writes one observation on a line. */
export function formatEvent({at, kind, ...rest}: RecordedEvent): string {
	return `${String(Math.round(at)).padStart(7)} ${kind} ${JSON.stringify(rest)}`;
}
