/**
 * Types of the entry: its dependencies and the interface that it offers to the program that runs it.
 */
import type {Hono} from 'hono';
import type {Result} from 'neverthrow';
import type {LinkTiming} from '../connection/link-timing.js';
import type {Cancellation, PendingRequest, RelayResult} from '../connection/peer-types.js';
import type {Scheduler, SchedulerHost, TeamQuota} from '../connection/types.js';
import type {ForwardedJob, LinkServer, PeerServer} from '../generated/kingcuplane.js';
import type {Coordinator} from '../request/coordinator-types.js';
import type {LoadDecision} from '../request/load-sharing.js';
import type {Principal} from '../request/router.js';
import type {RecentNames} from '../request/recent-names.js';
import type {SubmissionRecorder, Ticket} from '../request/types.js';
import type {EvacuationHolder} from '../version/evacuations.js';
import type {ConfigFollower} from '../version/polling-follower.js';
import type {Clock, Milliseconds} from './clock.js';
import type {Diagnostic} from './diagnostics.js';
import type {HttpApiEnv} from './http-api.js';
import type {AfterPoll} from './input-reading.js';
import type {
	CancelOutcome, JobCancellationHost, JobTarget, LocalCancelOutcome,
} from './job-cancellation.js';
import type {LinkBudget} from './link-budget.js';
import type {LoadMonitor} from './load-monitor.js';
import type {Log} from './log.js';
import type {Metrics} from './metrics.js';
import type {Platform} from './platform/types.js';
import type {RequestArrivals} from './request-arrivals.js';
import type {EntrySettings} from './settings.js';
import type {SocketTraffic} from './socket-traffic.js';
import type {StartHoldHost} from './start-hold.js';

/** Dependencies of an entry. */
export type EntryHost = {
	readonly clock: Clock;
	readonly settings: EntrySettings;
	/** Unique over all processes and restarts. */
	readonly incarnation: string;
	readonly platform: Platform;
	readonly follower: ConfigFollower;
	/** The evacuated data centres; known before the first configuration is. If undefined, the configuration states them. */
	readonly evacuations?: EvacuationHolder;
	readonly recorder: SubmissionRecorder;
	/** Key of the hash that authenticates tickets. */
	readonly ticketKey: Uint8Array;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly afterPoll: AfterPoll;
	readonly timing?: LinkTiming;
	/** Tells of pauses of this process, after which the entry holds its starts back for a moment; undefined disables this. */
	readonly pauses?: Pick<StartHoldHost, 'pauseDetector' | 'afterInputRead'>;
	/**
	 * Time at the start of a drain during which new work is still accepted, until the balancer sends its requests to other
	 * entries. If undefined, new work is refused at once.
	 */
	readonly drainNoticeMs?: Milliseconds;
	/** Measures how busy this process is; not reported if undefined. */
	readonly loadMonitor?: LoadMonitor;
	/** Counts the bytes of this process's connections; not reported if undefined. */
	readonly traffic?: Pick<SocketTraffic, 'getCounts'>;
	/** Use of this process's network link; not limited if undefined. */
	readonly linkBudget?: LinkBudget;
	/** Names of cancelled jobs, which entries tell each other; undefined if jobs have no names here. */
	readonly cancelledNames?: RecentNames;
	/** Bounds the tasks of each team. If undefined, the entries divide each quota into shares among themselves. */
	readonly quota?: TeamQuota;
	/** Serves a job that another entry has forwarded; if undefined, such jobs are declined. */
	serveForwardedJob?(job: ForwardedJob, cancellation: Cancellation): Promise<RelayResult>;
	/** Called with names of cancelled jobs that this entry has learnt from another one. Such a job may be open here. */
	onCancelsLearnt?(names: readonly string[]): void;
	/** Cancels the job of this name at this entry, as {@link JobCancellationHost.cancelHere}. Undefined if jobs have no names here. */
	cancelJob?(name: string, target?: JobTarget): LocalCancelOutcome;
	/** Returns for how long the sender of the forwarded job with this ticket has been silent; undefined for any other job. */
	tryGetSenderSilence?(ticket: string): Milliseconds | undefined;
	authenticate(token: string): Result<Principal, Diagnostic>;
	/** Whether the bearer tokens have been loaded, so that requests can be authenticated. */
	areTokensLoaded(): boolean;
	/** Returns a number in [0, 1). */
	random(): number;
	/** Called when another entry has declared this one dead. */
	onDeclaredDead(): void;
	/** Runs an action at the end of this turn of the event loop. */
	defer(action: () => void): void;
	/** Creates the scheduler that places tasks on agents; if undefined, the one based on credits is used. */
	createScheduler?(host: SchedulerHost): Scheduler;
};

/** A running entry. */
export type Entry = {
	/** Coordinator of the submissions that this entry has accepted. */
	readonly coordinator: Coordinator;
	readonly http: Hono<HttpApiEnv>;
	/** Tells of each request whether its client still waits. */
	readonly arrivals: RequestArrivals;
	readonly links: LinkServer;
	readonly peers: PeerServer;
	/** Issues a ticket for a submission that does not arrive over this HTTP interface. */
	issueTicket(owner: string): Ticket;
	/** Decides whether a new job is served here or by another entry; always here unless the load of this process is measured. */
	decideByLoad(): LoadDecision;
	/** Forwards a job of the client's name `name` to another entry; undefined if it has to be served here after all. */
	tryForwardJob(peer: string, name: string, job: ForwardedJob): PendingRequest | undefined;
	/** Cancels the job of the client's name `name` at all entries; with a target, only one that was sent there. */
	cancelJob(name: string, target?: JobTarget): Promise<CancelOutcome>;
	/** Whether this entry and the others know of each other and of cancelled jobs, so that it may take jobs of clients. */
	isIntroduced(): boolean;
	/** Resolves when this entry may take jobs of clients, after about a second at most. */
	whenIntroduced(): Promise<void>;
	/** Whether the entry was asked to stop, so that callers should use another one. */
	isShuttingDown(): boolean;
	/** Returns the time until open jobs are abandoned because this process stops; infinite unless it was asked to stop. */
	getRemainingDrainTime(): Milliseconds;
	/** Returns the number of open links to agents. */
	getOpenLinkCount(): number;
	/** Refuses new work and waits until every job is answered, at most for the configured time. */
	drain(): Promise<DrainReport>;
	/** Releases the lease and closes all streams to peers. */
	stop(): Promise<void>;
};

/** What was still open when a drain ended; zero if it completed. */
export type DrainReport = {
	readonly openJobs: number;
};

/** One process in the status report. */
export type ProcessStatus = {
	readonly role: 'entry' | 'agent';
	readonly name: string;
	readonly incarnation: string;
	/** Active configuration version, as last reported. */
	readonly version: number;
	readonly isReady: boolean;
};

/** What an entry reports of the system. */
export type StatusReport = {
	readonly processes: readonly ProcessStatus[];
	/** The data centres that this entry knows as evacuated. */
	readonly evacuatedDataCentres: readonly string[];
};
