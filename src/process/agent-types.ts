/**
 * Types of the agent: its dependencies and the interface that it offers to the program that runs it.
 */
import type {RunPermission} from '../connection/entry-sessions.js';
import type {LinkConnection} from '../connection/link-client.js';
import type {BatchCounts, LinkTiming} from '../connection/link-timing.js';
import type {LossLog} from '../connection/loss-log.js';
import type {Resources, TaskStart} from '../generated/kingcuplane.js';
import type {UpstreamClient} from '../request/upstream-client.js';
import type {EvacuationHolder} from '../version/evacuations.js';
import type {every, Clock, Milliseconds} from './clock.js';
import type {Log} from './log.js';
import type {Metrics} from './metrics.js';
import type {PauseDetector} from './pause-detector.js';
import type {AgentSettings} from './settings.js';

/** Dependencies of an agent. */
export type AgentHost = {
	readonly clock: Clock;
	readonly settings: AgentSettings;
	/** Unique over all processes and restarts. */
	readonly incarnation: string;
	readonly upstream: UpstreamClient;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly timing?: LinkTiming;
	/** Detects pauses of this process, after which the agent reopens its links; undefined disables this. */
	readonly pauseDetector?: PauseDetector;
	/** Calls `action` once all messages have been read that wait in the connections of this process now; not known if undefined. */
	readonly afterInputRead?: (action: () => void) => void;
	/** Resources of the upstream at first. If given, they bound the runs on it instead of its slots. */
	readonly capacity?: Resources;
	/** Properties of the upstream that a task may require. */
	readonly labels?: readonly string[];
	/** Identifies the incarnation of the upstream; that of the agent if undefined. */
	readonly upstreamIncarnation?: string;
	/** Losses of the upstream, which the agent reports to the entries; none are reported if undefined. */
	readonly lossLog?: LossLog;
	/** The evacuated data centres that this process knows of, kept over several agents; a list of its own if undefined. */
	readonly evacuations?: EvacuationHolder;
	/** Returns a number in [0, 1), for jitter. */
	random(): number;
	/** Reads the addresses ("IP:port") of all live entries from the platform's directory; undefined if it cannot be read. */
	readEntryDirectory(): Promise<readonly string[] | undefined>;
	/** Runs an action at the end of this turn of the event loop. */
	defer(action: () => void): void;
	/** Creates the connection to an entry at "IP:port"; if undefined, gRPC is used. */
	connect?(address: string): LinkConnection;
};

/** A running agent. */
export type Agent = {
	/** Refuses new work, then waits until all running tasks have ended and their results are acknowledged. */
	drain(): Promise<DrainReport>;
	/** Sets whether the upstream is shutting down. While it is, the agent drains: it refuses all starts. */
	setUpstreamLeaving(isLeaving: boolean): void;
	/** Records the projected slowdowns of the current runs: projected divided by declared run time. */
	recordProjectedSlowdowns(projections: readonly number[]): void;
	/** Records that the run of a start is at this percentage of its work, by which the release of its resources is expected. */
	recordProgress(start: TaskStart, elapsed: Milliseconds, percent: number): void;
	/** Sets the resources of the upstream, which have changed. */
	setCapacity(capacity: Resources): void;
	/** Records that the upstream has refused a start for lack of resources, so it has less than it has announced. */
	recordShortage(): void;
	/** Reports new losses of the upstream to the entries. */
	reportLosses(): void;
	/** Called when the upstream may be unreachable. Offers no slots until the upstream answers a probe. */
	probeUpstream(): void;
	/** Returns the time until which the tasks that run may go on if none of their entries sends anything more; Infinity if it is unlimited. */
	getSilentRunLimit(): Milliseconds;
	/** Returns by what a run may go on; undefined if it has ended. */
	tryGetPermission(start: TaskStart): RunPermission | undefined;
	/** Returns the numbers of batches on the present links and of tasks that were started. */
	getCounts(): BatchCounts & {readonly tasksStarted: number};
	stop(): void;
};

/** What was still open when a drain ended; all zero if it completed. */
export type DrainReport = {
	readonly running: number;
	/** Results that no entry has acknowledged. */
	readonly unacknowledged: number;
	/** Outstanding credits: entries may have sent starts with them that have not arrived yet. */
	readonly outstanding: number;
};
