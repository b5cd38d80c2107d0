/**
 * Timing of entries and agents as the platform's rules require it. A client whose entry has died sends its job again 1.3 s
 * later (`bounds.retry-ms`); all runs of the first copy must have ended by then.
 */
import type {LinkTiming} from '../connection/link-timing.js';
import type {Milliseconds} from '../process/clock.js';

/** How long an entry waits for an agent whose link timed out before it starts that agent's tasks elsewhere; see {@link platformTiming}. */
export const agentGraceMs: Milliseconds = 1250;

/**
 * An agent stops the runs of an entry that no longer responds at most 0.82 s after the last message from it. An entry
 * starts the tasks of a lost agent elsewhere only after the agent has stopped them, or the lease of its executor has
 * expired. An agent may hear an entry until the entry has closed the silent link, so that is 1.22 s after the link was closed:
 * 1.1 s on the slowest clock of an executor, the margin of that clock's estimate and the time in which runs end.
 *
 * Stop calls may stay without an answer while polls are answered. The agent renews the lease of its executor only up to
 * 1.1 s after the last message of an entry whose runs go on there, and up to 0.5 s after a stop that is not confirmed; the
 * executor then ends all its runs before a client that lost its entry sends its job again.
 *
 * A start that was held up on the way is refused 0.6 s after it was sent: a run that began later could still be stopping
 * when its entry starts the task elsewhere.
 *
 * An agent that stood still for up to 0.5 s keeps its links and runs; small shares of a core stand still that long under
 * load. A start that was held up may then begin 1.1 s after it was sent, and ends before its entry gives it up.
 *
 * The silence of the sender of a forwarded job and that of its server may follow one another. Their timeouts add up to 1.52 s, so the
 * server passes on for how long the sender has been silent. An agent stops the runs 0.95 s after the last message of the sender and
 * renews the lease for them up to 1.1 s after it, whatever it still hears of the server.
 *
 * An executor may restart under its identifier before its agent notices. Its next incarnation then holds a run for the longest lease that
 * it grants, 1 s, so the run has ended 1.11 s after its start. An agent asks first whether the executor has restarted if the messages that
 * permit a start are older than 0.14 s.
 *
 * Links on which no outcome is pending are checked seldom. Their state is then up to two seconds old, which costs a few
 * refused starts, while their heartbeats would cost most of the processor time at a few hundred machines.
 *
 * Each agent is linked to 12 entries. With 35 entries, each is then linked to about a third of the agents, which loses no
 * utility in the replay (docs/BENCH.md).
 */
export const platformTiming: LinkTiming = {
	heartbeatMs: 220,
	idleHeartbeatMs: 2000,
	silence: {activeMs: 700, idleMs: 5000},
	ackDelayMs: 1000,
	orphanGraceMs: 120,
	maxSilentRunMs: 1100,
	closedGraceMs: 1520,
	silentGraceMs: agentGraceMs,
	startValidityMs: 600,
	harmlessPauseMs: 500,
	maxSenderSilenceMs: 950,
	maxUnverifiedAgeMs: 140,
	maxReconnectDelayMs: 300,
	maxLinksPerAgent: 12,
};

/**
 * Share of its drain time during which an entry still accepts jobs that it can finish. Clients with open connections keep
 * sending requests after the balancer has stopped routing to the entry.
 */
export const drainNoticeShare = 0.95;

/** Longest wait for an answer of the store; a healthy store answers within some milliseconds. */
export const storeTimeoutMs: Milliseconds = 800;

/** Part of the grace period reserved for closing connections and saving the last submission records. */
export const shutdownReserveMs: Milliseconds = 700;

/** Executors announce themselves every 1.5 s, so when all processes start together, the last agent is linked within about 2 s. */
export const startupGraceMs: Milliseconds = 2500;
