/**
 * What an agent needs and what it offers to the program that runs it.
 */
import type {LinkConnection} from '../connection/link-client.js';
import type {LinkTiming} from '../connection/link-timing.js';
import type {Resources} from '../generated/kingcuplane.js';
import type {UpstreamClient} from '../request/upstream-client.js';
import type {every, Clock} from './clock.js';
import type {Log} from './log.js';
import type {Metrics} from './metrics.js';
import type {PauseDetector} from './pause-detector.js';
import type {AgentSettings} from './settings.js';

/** Effects of the agent. */
export type AgentHost = {
	readonly clock: Clock;
	readonly settings: AgentSettings;
	/** Unique over all processes and restarts. */
	readonly incarnation: string;
	readonly upstream: UpstreamClient;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly timing?: LinkTiming;
	/** Notices that this process stood still; undefined if nothing is to follow from that. */
	readonly pauseDetector?: PauseDetector;
	/** Bounds the upstream by its room instead of its slots. */
	readonly capacity?: Resources;
	readonly labels?: readonly string[];
	/** A number in [0, 1), for jitter. */
	random(): number;
	/** Addresses ("IP:port") of the entries in the platform's directory; undefined if it cannot be read. */
	readEntryDirectory(): Promise<readonly string[] | undefined>;
	/** Runs an action at the end of this turn of the event loop. */
	defer(action: () => void): void;
	/** Prepares streams to "IP:port"; over gRPC if undefined. */
	connect?(address: string): LinkConnection;
};

/** A running agent. */
export type Agent = {
	/** Refuses new work, waits for the running tasks and for the acknowledgement of their results. */
	drain(): Promise<DrainReport>;
	/** Whether the upstream itself leaves: while it does, starts are refused. */
	setUpstreamLeaving(isLeaving: boolean): void;
	/** Run times over the declared ones that the present runs are heading for. */
	recordProjectedSlowdowns(projections: readonly number[]): void;
	/** The upstream may be unreachable: nothing is started there until it answers. */
	probeUpstream(): void;
	stop(): void;
};

/** What a drain left behind; all zero after a whole one. */
export type DrainReport = {
	readonly running: number;
	readonly unacknowledged: number;
	/** Credits with which entries may still have sent starts. */
	readonly outstanding: number;
};
