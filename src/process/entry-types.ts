/**
 * What an entry needs and what it offers to the program that runs it.
 */
import type {Hono} from 'hono';
import type {Result} from 'neverthrow';
import type {LinkTiming} from '../connection/link-timing.js';
import type {Scheduler, SchedulerHost, TeamQuota} from '../connection/types.js';
import type {LinkServer, PeerServer} from '../generated/kingcuplane.js';
import type {Coordinator} from '../request/coordinator-types.js';
import type {Principal} from '../request/router.js';
import type {SubmissionRecorder, Ticket} from '../request/types.js';
import type {ConfigFollower} from '../version/polling-follower.js';
import type {Clock, Milliseconds} from './clock.js';
import type {Diagnostic} from './diagnostics.js';
import type {Log} from './log.js';
import type {Metrics} from './metrics.js';
import type {PauseDetector} from './pause-detector.js';
import type {Platform} from './platform/types.js';
import type {EntrySettings} from './settings.js';

/** Effects and parts of an entry. */
export type EntryHost = {
	readonly clock: Clock;
	readonly settings: EntrySettings;
	/** Unique over all processes and restarts. */
	readonly incarnation: string;
	readonly platform: Platform;
	readonly follower: ConfigFollower;
	readonly recorder: SubmissionRecorder;
	/** Key of the hash in tickets. */
	readonly ticketKey: Uint8Array;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly timing?: LinkTiming;
	/** Notices that this process stood still; undefined if nothing is to follow from that. */
	readonly pauseDetector?: PauseDetector;
	/** Time after a request to stop during which work is still taken, until the balancer has turned away. */
	readonly drainNoticeMs?: Milliseconds;
	/** Bounds the tasks of each team; by shares that entries settle among themselves if undefined. */
	readonly quota?: TeamQuota;
	authenticate(token: string): Result<Principal, Diagnostic>;
	/** Whether tokens can be checked. */
	areTokensLoaded(): boolean;
	/** Another entry has declared this one dead. */
	onDeclaredDead(): void;
	/** Runs an action at the end of this turn of the event loop. */
	defer(action: () => void): void;
	/** Chooses where tasks run; by credits if undefined. */
	createScheduler?(host: SchedulerHost): Scheduler;
};

/** A running entry. */
export type Entry = {
	/** The home of what this entry takes itself. */
	readonly coordinator: Coordinator;
	readonly http: Hono<{Variables: {principal: Principal}}>;
	readonly links: LinkServer;
	readonly peers: PeerServer;
	/** A ticket for a submission that arrives over another interface. */
	issueTicket(owner: string): Ticket;
	/** Whether it was asked to stop, so that callers had better turn to others. */
	isShuttingDown(): boolean;
	/** Time until open jobs are given up because this process stops; infinite while it was not asked to. */
	getRemainingDrainTime(): Milliseconds;
	/** Links to agents that are open. */
	getOpenLinkCount(): number;
	/** Refuses new work and waits until every job has its answer. */
	drain(): Promise<DrainReport>;
	/** Gives up the lease and closes all streams. */
	stop(): Promise<void>;
};

/** What a drain left behind; zero after a whole one. */
export type DrainReport = {
	readonly openJobs: number;
};

/** One process in the status report. */
export type ProcessStatus = {
	readonly role: 'entry' | 'agent';
	readonly name: string;
	readonly incarnation: string;
	/** Configuration version in force there, as last told. */
	readonly version: number;
	readonly isReady: boolean;
};
