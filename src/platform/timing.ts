/**
 * Times that the platform's rules set for entries and agents. A client whose entry has died sends its job again 1.3 s
 * later (`bounds.retry-ms`), and by then no run of the first copy may be left.
 */
import type {LinkTiming} from '../connection/link-timing.js';
import type {Milliseconds} from '../process/clock.js';

/** An agent stops the runs of an entry that is silent at most 0.6 + 0.25 s after its last word. */
export const platformTiming: LinkTiming = {
	heartbeatMs: 200, silenceMs: 600, abandonMs: 250, maxRedialMs: 300,
};

/**
 * Time after a cut until an entry starts the tasks of a lost agent elsewhere. The agent has stopped them by then (0.6 s
 * of silence, 0.25 s of waiting and a stop that had to be repeated), or its lease of 0.7 s has run out.
 */
export const agentGraceMs: Milliseconds = 1100;

/** Time for which a process that stops still takes work: the balancer turns away after two missed questions, a second apart. */
export const drainNoticeMs: Milliseconds = 2300;

/** Time left of the grace for closing connections and the last records. */
export const closingMs: Milliseconds = 700;
