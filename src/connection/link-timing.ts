/**
 * How closely the two ends of a link watch each other.
 */
import type {Milliseconds} from '../process/clock.js';

/** Times of one link; both ends must be given the same. */
export type LinkTiming = {
	/** Time between two batches on a link that has nothing else to carry. */
	readonly heartbeatMs: Milliseconds;
	/** A link on which nothing arrives for this time is closed and dialed again; undefined leaves that to gRPC's keepalive. */
	readonly silenceTimeoutMs?: Milliseconds;
	/** How long after a cut an agent lets the runs of an entry go on; undefined lets them end by themselves. */
	readonly orphanGraceMs?: Milliseconds;
	/** How long after a closed link an entry waits for its agent; undefined leaves that to the settings. */
	readonly closedGraceMs?: Milliseconds;
	/** The same after a link that went silent. */
	readonly silentGraceMs?: Milliseconds;
	/** Longest pause between two attempts to dial. */
	readonly maxReconnectDelayMs: Milliseconds;
};

/** For upstreams whose runs end by themselves, where a lost link costs nothing but time. */
export const relaxedTiming: LinkTiming = {heartbeatMs: 500, maxReconnectDelayMs: 2000};
