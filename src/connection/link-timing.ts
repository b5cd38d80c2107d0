/**
 * Heartbeat interval and timeouts of the links between agents and entries.
 */
import type {Milliseconds} from '../process/clock.js';

/** Timing of one link; both ends must use the same values. */
export type LinkTiming = {
	/** Interval between batches on a link while an outcome of a start is pending on it. */
	readonly heartbeatMs: Milliseconds;
	/** Interval between batches on any other link; equal to `heartbeatMs` if undefined. */
	readonly idleHeartbeatMs?: Milliseconds;
	/** When a link without an incoming batch is closed and reopened; undefined leaves this to gRPC's keepalive. */
	readonly silence?: SilenceTimeouts;
	/** Maximum time that the acknowledgement of a result waits for another batch to carry it. */
	readonly ackDelayMs: Milliseconds;
	/** Time after a lost link for which an agent lets the runs of that entry continue; undefined lets them run to their end. */
	readonly orphanGraceMs?: Milliseconds;
	/**
	 * Time after the last message of an entry until which its runs may go on at the upstream, even if they cannot be stopped. For
	 * those of a forwarded job it also counts from the last message of the entry that forwarded it. Unlimited if undefined. Longer than
	 * the silence timeout and `orphanGraceMs`, so that stop calls come first.
	 */
	readonly maxSilentRunMs?: Milliseconds;
	/** Time after a closed link for which an entry waits for the agent to return; undefined leaves this to the settings. */
	readonly closedGraceMs?: Milliseconds;
	/** The same time for a link that was closed because of the silence timeout. */
	readonly silentGraceMs?: Milliseconds;
	/** Time for which a start remains valid after it was sent; unlimited if undefined. */
	readonly startValidityMs?: Milliseconds;
	/**
	 * Pause of an agent's process up to which it keeps its links and runs: no entry can have started their tasks elsewhere.
	 * 0 if undefined.
	 */
	readonly harmlessPauseMs?: Milliseconds;
	/**
	 * Silence of the entry that forwarded a job at which an agent stops its runs unless the serving entry has told it that more was heard.
	 * Longer than the silence timeout and a heartbeat interval, as that entry decides itself while it is linked; shorter than
	 * `maxSilentRunMs`, which bounds them even if they cannot be stopped. The serving entry alone stops them if undefined.
	 */
	readonly maxSenderSilenceMs?: Milliseconds;
	/**
	 * Age of the messages by which a start is permitted up to which an agent sends it without asking first whether its upstream has restarted.
	 * An upstream that has restarted unnoticed holds a run for the longest lease that it grants, whatever the start says. Unlimited if undefined.
	 */
	readonly maxUnverifiedAgeMs?: Milliseconds;
	/** Number of entries that each agent is linked to; all if undefined. */
	readonly maxLinksPerAgent?: number;
	/** Maximum delay between two connection attempts. */
	readonly maxReconnectDelayMs: Milliseconds;
};

/** Numbers of batches that were sent and received on all links of a process. */
export type BatchCounts = {
	readonly batchesSent: number;
	readonly batchesReceived: number;
};

/** Time without an incoming batch after which a link counts as lost. */
export type SilenceTimeouts = {
	/** While an outcome of a start is pending on the link. */
	readonly activeMs: Milliseconds;
	readonly idleMs: Milliseconds;
};

/** Timing for upstreams whose runs end by themselves, so that a lost link costs only time. */
export const relaxedTiming: LinkTiming = {heartbeatMs: 500, ackDelayMs: 200, maxReconnectDelayMs: 2000};

/** Returns after which time without an outgoing batch a heartbeat is due. */
export function getHeartbeatInterval(timing: LinkTiming, hasPendingOutcomes: boolean): Milliseconds {
	return hasPendingOutcomes ? timing.heartbeatMs / 2 : timing.idleHeartbeatMs ?? timing.heartbeatMs / 2;
}
