/**
 * Heartbeat interval and timeouts of the links between agents and entries.
 */
import type {Milliseconds} from '../process/clock.js';

/** Timing of one link; both ends must use the same values. */
export type LinkTiming = {
	/** Interval between batches on an otherwise idle link. */
	readonly heartbeatMs: Milliseconds;
	/** Time without an incoming batch after which a link is closed and reopened; undefined leaves this to gRPC's keepalive. */
	readonly silenceTimeoutMs?: Milliseconds;
	/** Time after a lost link for which an agent lets the runs of that entry continue; undefined lets them run to their end. */
	readonly orphanGraceMs?: Milliseconds;
	/** Time after a closed link for which an entry waits for the agent to return; undefined leaves this to the settings. */
	readonly closedGraceMs?: Milliseconds;
	/** The same time for a link that was closed because of the silence timeout. */
	readonly silentGraceMs?: Milliseconds;
	/** Maximum delay between two connection attempts. */
	readonly maxReconnectDelayMs: Milliseconds;
};

/** Timing for upstreams whose runs end by themselves, so that a lost link costs only time. */
export const relaxedTiming: LinkTiming = {heartbeatMs: 500, maxReconnectDelayMs: 2000};
