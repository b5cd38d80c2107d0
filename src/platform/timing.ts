/**
 * Times that the platform's rules set for entries and agents. A client whose entry has died sends its job again 1.3 s
 * later (`bounds.retry-ms`), and by then no run of the first copy may be left.
 */
import type {LinkTiming} from '../connection/link-timing.js';
import type {Milliseconds} from '../process/clock.js';

/** Time after a link went silent until the starts of its agent are given up; see {@link platformTiming}. */
export const agentGraceMs: Milliseconds = 1050;

/**
 * An agent stops the runs of an entry that is silent at most 0.75 s after its last word. An entry starts the tasks of a
 * lost agent elsewhere once the agent has stopped them, with two stops that had to be repeated, or its lease of 0.5 s
 * has run out. A link that is closed at the entry may just be silent at the agent; one stop may then be repeated.
 */
export const platformTiming: LinkTiming = {
	heartbeatMs: 150, silenceTimeoutMs: 550, orphanGraceMs: 150, closedGraceMs: 900, silentGraceMs: agentGraceMs, maxReconnectDelayMs: 300,
};

/**
 * Part of the time until it has to be gone during which an entry that stops still takes work that it can finish. Clients
 * whose connections stay open go on sending after the balancer has turned away.
 */
export const drainNoticeShare = 0.95;

/** Longest wait for an answer of the store; it answers within some milliseconds when it is well. */
export const storeTimeoutMs: Milliseconds = 800;

/** Time left of the grace for closing connections and the last records. */
export const shutdownReserveMs: Milliseconds = 700;

/** Executors announce themselves every 1.5 s, so after a start of everything the last agent is linked within about 2 s. */
export const startupGraceMs: Milliseconds = 2500;
