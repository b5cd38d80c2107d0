/**
 * Types shared by the connection code: what entries and agents report to each other, and the interfaces of the
 * scheduler, the credit granter and the team quota.
 */
import type {ExpectedRelease, Resources, Soundness} from '../generated/kingcuplane.js';
import type {Clock, Milliseconds} from '../process/clock.js';
import type {PlacementMode} from '../version/types.js';

/** What an agent announces about itself when its link opens. */
export type AgentInfo = {
	/** Incarnation of the agent; unique across all restarts. */
	readonly incarnation: string;
	/** Name of the agent, the same after a restart. */
	readonly name: string;
	/** Name of the upstream on which the agent starts tasks. */
	readonly upstream: string;
	readonly service: string;
	readonly dataCentre: string;
	readonly rack: string;
	/** Number of tasks that the upstream can run concurrently. */
	readonly slots: number;
	/** Total resources of the upstream when its link opened; undefined if slots limit it instead. */
	readonly capacity?: Resources;
	/** Properties that a task may require. */
	readonly labels?: readonly string[];
	/** Identifies the incarnation of the upstream; that of the agent if undefined. */
	readonly upstreamIncarnation?: string;
};

/** Requirements of one task on an upstream that is limited by its resources. */
export type TaskRequirements = {
	readonly resources: Resources;
	/** The upstream must have this label. */
	readonly label?: string;
	/** Rack that holds the data of the task; the task runs longer on other racks. */
	readonly rack?: string;
	/** Maximum number of tasks of the job that run concurrently on one upstream. */
	readonly maxPerUpstream?: number;
};

/**
 * Response time up to which an answer has its full utility: a multiple of the expected run time, plus a margin, both
 * counted from the arrival of the job.
 */
export type LatencyObjective = {
	readonly stretch: number;
	readonly margin: Milliseconds;
};

/** Status that an agent reports whenever it changes. */
export type AgentStatus = {
	readonly draining: boolean;
	readonly running: number;
	readonly slots: number;
	readonly meanRun: Milliseconds;
	/** Share of recent tasks that failed, in thousandths. */
	readonly failedPerMille: number;
	/** Free slots not granted to any entry; a start without a credit may use one. Undefined if the agent does not report it. */
	readonly free?: number;
	/** Resources that no run uses; undefined if slots limit the upstream. */
	readonly freeRoom?: Resources;
	/** Total resources of the upstream, which may change; undefined if slots limit it. */
	readonly capacity?: Resources;
	/** Number of starts that the agent had received from this entry on the open link when it sent this status. */
	readonly receivedStarts?: number;
	/** The agent's classification of its upstream; healthy if undefined. */
	readonly soundness?: Soundness;
	/** Robust mean of measured divided by declared run time on the upstream, in thousandths; 0 or undefined if it is not known yet. */
	readonly runTimeRatioPerMille?: number;
	/** Resources that running tasks are expected to release soon, in order of time. */
	readonly releases?: readonly ExpectedRelease[];
};

/** A job whose tasks wait for slots or resources. */
export type QueuedJob = {
	/** Text of the ticket of the job. */
	readonly ticket: string;
	readonly service: string;
	/** Name of the submission object. Run times are estimated per submission object. */
	readonly submission?: string;
	readonly team: string;
	/** Number of tasks; their indexes are 0 to taskCount - 1. */
	readonly taskCount: number;
	/** Declared run time of one task; a hint that may be far from the real one. */
	readonly expectedRun: Milliseconds;
	/** Time on the monotonic clock. */
	readonly arrivedAt: Milliseconds;
	/** Time on the monotonic clock by which the answer is due. */
	readonly deadlineAt: Milliseconds;
	/** Undefined if slots limit the upstreams. */
	readonly need?: TaskRequirements;
	readonly objective?: LatencyObjective;
};

/** One task that waits for a slot or is about to start. */
export type QueuedTask = {
	readonly ticket: string;
	readonly index: number;
	/** Starts at 1 and is incremented by each retry and by each start that was refused before the task ran. */
	readonly attempt: number;
	/** Names of agents on which the task has failed; other agents are preferred. */
	readonly failedOn?: readonly string[];
};

/** The waiting job that an entry would start next. A freed slot is granted by comparing the heads of the entries. */
export type WaitingHead = {
	/** Time for which the job has waited. */
	readonly waited: Milliseconds;
	/**
	 * Total expected run time of its tasks, capped at what all slots execute in a few rounds and at the time
	 * allowed for its answer.
	 */
	readonly size: Milliseconds;
	/** Resources that the agent should keep free for one of its tasks; undefined if slots limit the upstream. */
	readonly need: Resources | undefined;
	/** Time after which they need not be kept any longer. */
	readonly keepMs: Milliseconds;
};

/**
 * Why a job is infeasible: it cannot finish by its deadline, its objective has passed before any task started, or the work that
 * starts before it takes longer than it can wait.
 */
export type InfeasibleReason = 'deadline' | 'objective' | 'backlog';

/** What the choice of an agent was based on, where its free resources are reported. */
export type PlacementBasis = {
	/** Age of the agent's report of free resources. */
	readonly reportAge: Milliseconds;
	/** Whether the agent was chosen to run no tasks of other jobs beside the task. */
	readonly isolated: boolean;
	/** Run time on the agent's upstream over the declared one that was assumed; undefined if speed did not count. */
	readonly runTimeRatio?: number;
	/** Whether the task uses resources that are reserved for a later start of another job. */
	readonly backfilled: boolean;
};

/** Dependencies of the scheduler. */
export type SchedulerHost = {
	readonly clock: Clock;
	/**
	 * Sends the start of a task to an agent and uses one of its credits. `basis` is undefined if the choice was based on a
	 * credit.
	 */
	start(agent: string, task: QueuedTask, basis?: PlacementBasis): void;
	/** Called when waiting longer for resources for this job is pointless. `retryAfter` is the time after which its caller may return. */
	onInfeasible?(ticket: string, reason: InfeasibleReason, retryAfter: Milliseconds): void;
	/** Returns the share of the agents that is reserved for tasks which must be isolated; none if it is 0. */
	getIsolatedShare?(): number;
	/** Whether a task must not run beside tasks of other jobs, because it may crash its upstream. */
	mustIsolate?(task: QueuedTask): boolean;
	/** Called when the queue length or the returned credits to report to this agent have changed. */
	onReportChanged(agent: string): void;
};

/** Scheduling rules of one service, taken from its policy. */
export type SchedulingRules = {
	readonly placement: PlacementMode;
	readonly maxQueuedTasks: number;
	/** Whether resources are reserved for large tasks that wait; no if undefined. */
	readonly lookAhead?: boolean;
};

/** Numbers of events of the look-ahead since the start of this process. */
export type LookAheadCounts = {
	/** Reservations of resources for one task on one agent. */
	readonly reserved: number;
	/** Reservations that were used by their job. */
	readonly kept: number;
	/** Reservations whose job could not start there in time. */
	readonly expired: number;
	/** Starts of other jobs on reserved resources. */
	readonly backfilled: number;
};

/** Weight and limit of one team at this entry. */
export type TeamShare = {
	readonly weight: number;
	/** Maximum number of tasks of the team that this entry has running concurrently. */
	readonly maxRunning: number;
};

/** Whether a job can be accepted, with the expected wait or the time after which to retry. */
export type Admission =
	| {readonly kind: 'admitted'; readonly wait: Milliseconds}
	/** No upstream has announced itself for the service. */
	| {readonly kind: 'no-upstream'; readonly retryAfter: Milliseconds}
	| {readonly kind: 'queue-full'; readonly queued: number; readonly retryAfter: Milliseconds}
	/** The expected wait exceeds the time left until the deadline. */
	| {readonly kind: 'too-late'; readonly wait: Milliseconds; readonly retryAfter: Milliseconds};

/**
 * Chooses which waiting task starts next and on which agent, at one entry. Calls are synchronous: the starts that a
 * call causes are passed to the host before the call returns.
 */
export type Scheduler = {
	/** Sets the rules of a service; services without rules use defaults. */
	setRules(service: string, rules: SchedulingRules): void;
	setTeamShare(team: string, share: TeamShare): void;
	/** Adds an agent whose link has opened; it has granted no credits yet. */
	addAgent(agent: AgentInfo): void;
	/** Removes an agent whose link was lost; its credits become void. */
	removeAgent(incarnation: string): void;
	setAgentStatus(incarnation: string, status: AgentStatus): void;
	/** Lets nothing be started at an agent until its next report, since it may be cut off. Without effect on one that grants credits. */
	awaitReport?(incarnation: string): void;
	/** Sets the data centres in which nothing is started, whatever their agents report. */
	setEvacuatedDataCentres(dataCentres: readonly string[]): void;
	/** Sets the total number of credits granted by the agent since the link opened; a lower one than before is ignored. */
	setGrantedCredits(incarnation: string, granted: number): void;
	/** Checks whether a job may be accepted now; has no side effects. */
	checkAdmission(job: QueuedJob): Admission;
	enqueue(job: QueuedJob): void;
	/** Returns one task to the queue after its start was refused, or for a retry. */
	requeue(job: QueuedJob, task: QueuedTask): void;
	/** Removes the waiting tasks of a job and returns their indexes. Running tasks are not affected. */
	remove(ticket: string): readonly number[];
	/** Records that a started task has ended, with any outcome; `duration` is undefined if it did not run. */
	recordTaskEnd(incarnation: string, ticket: string, outcome: 'completed' | 'failed' | 'unknown' | 'refused', duration: Milliseconds | undefined): void;
	/**
	 * Returns the number of credits wanted from this agent for waiting tasks. The tasks are divided among the agents,
	 * so the number is less than the length of the queue. To be called only when a batch is assembled, because the
	 * returned number counts as reported.
	 */
	getDemand(incarnation: string): number;
	/** Returns the job that would start next on this agent, or undefined if none waits. */
	tryGetHead(incarnation: string): WaitingHead | undefined;
	/** Returns the total number of unused credits returned to this agent since the link opened. */
	getReturnedCredits(incarnation: string): number;
	/**
	 * Sets whether starts are held back. They are held after a pause of this process until the messages that arrived
	 * during the pause have been read.
	 */
	setStartsHeld?(isHeld: boolean): void;
	/** Returns the numbers of reservations, summed over the services; undefined if the scheduler reserves nothing. */
	getLookAheadCounts?(): LookAheadCounts;
};

/** Dependencies of the credit granter. */
export type CreditGranterHost = {
	readonly clock: Clock;
	/** Called when the total number of credits granted to this entry has changed. */
	onGrantChanged(entry: string): void;
};

/**
 * Divides the slots of one upstream among the entries; runs at its agent. A credit allows one start. All counters
 * start from zero when a link opens.
 */
export type CreditGranter = {
	setSlots(slots: number): void;
	/** While draining, no credits are granted and unused credits do not allow a start. */
	setDraining(draining: boolean): void;
	/** Adds an entry incarnation whose link has opened. */
	addEntry(entry: string): void;
	/** Removes an entry whose link was lost; its unused credits become void and their slots free. */
	removeEntry(entry: string): void;
	/** Sets the number of credits that the entry wants for waiting tasks, and the job that it would start next. */
	setQueued(entry: string, queued: number, head?: WaitingHead): void;
	/** Sets the total number of credits returned since the link opened; a lower one than before is ignored. */
	setReturnedCredits(entry: string, returned: number): void;
	/**
	 * Uses a credit for a start received from this entry. If the entry has no credit, a free slot that is not granted to
	 * any entry is granted and used at once. Returns false if there is none; the start must then be refused.
	 */
	tryAcquire(entry: string, need?: Resources): boolean;
	/**
	 * Frees the slot of a task that used a credit and has ended. `entry` is the entry that started the task; a grant
	 * to it needs no extra message because it travels with the result.
	 */
	release(entry?: string, need?: Resources): void;
	/** Returns the total number of credits granted to this entry since its link opened. */
	getGrantedCredits(entry: string): number;
	/**
	 * Returns the number of unused credits, voided ones included, that entries with an open link still count as theirs.
	 * Once it is 0 while draining, none of them can start a task.
	 */
	getOutstandingCredits(): number;
	/** Returns the number of free slots that are not granted to any entry. */
	getFreeSlots(): number;
};

/** Limits the tasks that each team has waiting or running, over all entries. */
export type TeamQuota = {
	/**
	 * Acquires quota for tasks that are about to be accepted. `done` is called exactly once: with true if all of it was
	 * acquired, with false if none was. It is called synchronously unless other entries may still give up a
	 * part of their shares.
	 */
	acquire(team: string, tasks: number, done: (isAcquired: boolean) => void): void;
	release(team: string, tasks: number): void;
};
