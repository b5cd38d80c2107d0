/**
 * What entries and agents know of each other, and the parts that divide slots and choose what runs next.
 */
import type {Resources, Soundness} from '../generated/kingcuplane.js';
import type {Clock, Milliseconds} from '../process/clock.js';
import type {PlacementMode} from '../version/types.js';

/** What an agent announces when its link opens. */
export type AgentInfo = {
	/** Incarnation of the agent; unique over all restarts. */
	readonly incarnation: string;
	/** Name of the agent, the same after a restart. */
	readonly name: string;
	/** Name of the upstream that it starts work on. */
	readonly upstream: string;
	readonly service: string;
	readonly dataCentre: string;
	readonly rack: string;
	/** Tasks that the upstream runs at the same time. */
	readonly slots: number;
	/** What the upstream has in all; undefined where slots bound it. */
	readonly capacity?: Resources;
	/** Properties that a task may require. */
	readonly labels?: readonly string[];
};

/** What one task needs of an upstream that is bounded by room. */
export type TaskRequirements = {
	readonly resources: Resources;
	/** The upstream must have this label. */
	readonly label?: string;
	/** Rack that holds the data of the task; it runs longer elsewhere. */
	readonly rack?: string;
	/** Most tasks of the job on one upstream at the same time. */
	readonly maxPerUpstream?: number;
};

/** When an answer has its full worth: a multiple of the expected run time after arrival, and a margin. */
export type LatencyObjective = {
	readonly stretch: number;
	readonly margin: Milliseconds;
};

/** The condition that an agent restates when it changes. */
export type AgentStatus = {
	readonly draining: boolean;
	readonly running: number;
	readonly slots: number;
	readonly meanRun: Milliseconds;
	/** Share of recent tasks that failed, in thousandths. */
	readonly failedPerMille: number;
	/** Free slots granted to nobody: a start without a credit may use one. Undefined if the agent does not tell. */
	readonly free?: number;
	/** Room that no run uses; undefined where slots bound the upstream. */
	readonly freeRoom?: Resources;
	/** Starts that the agent had received from this entry on the open link when it told this. */
	readonly receivedStarts?: number;
	/** The agent's judgement of its upstream; sound if undefined. */
	readonly soundness?: Soundness;
};

/** A job whose tasks wait for slots. */
export type QueuedJob = {
	/** Text of its ticket. */
	readonly ticket: string;
	readonly service: string;
	/** Name of the submission object; run times are learned for each. */
	readonly submission?: string;
	readonly team: string;
	/** Tasks with the indexes 0 to taskCount - 1 wait. */
	readonly taskCount: number;
	/** Declared run time of one task: a hint that may be far off. */
	readonly expectedRun: Milliseconds;
	/** Time on the monotonic clock. */
	readonly arrivedAt: Milliseconds;
	/** Time on the monotonic clock by which the answer is due. */
	readonly deadlineAt: Milliseconds;
	/** Undefined where slots bound the upstreams. */
	readonly need?: TaskRequirements;
	readonly objective?: LatencyObjective;
};

/** One task that waits for a slot or is about to start. */
export type QueuedTask = {
	readonly ticket: string;
	readonly index: number;
	/** From 1; grows with each start that was refused before it happened, and with each retry. */
	readonly attempt: number;
	/** Names of agents on which the task has failed; others are tried first. */
	readonly failedOn?: readonly string[];
};

/** The waiting job that an entry would start next. Entries are compared by it when a slot becomes free. */
export type WaitingHead = {
	/** Time that it has waited. */
	readonly waited: Milliseconds;
	/**
	 * Expected run time of all its tasks together, at most what all slots do in a few rounds, and at most the
	 * time allowed for its answer.
	 */
	readonly size: Milliseconds;
};

/** Why a job is given up: it cannot be done by its deadline, or its objective has passed and none of it was begun. */
export type InfeasibleReason = 'deadline' | 'objective';

/** Effects of the scheduler. */
export type SchedulerHost = {
	readonly clock: Clock;
	/**
	 * Sends the start of a task to an agent. One credit of that agent is spent. `newsAge` is the age of what the
	 * choice was based on, where it was based on news.
	 */
	start(agent: string, task: QueuedTask, newsAge?: Milliseconds): void;
	/** It makes no sense to wait any longer for room for this job. */
	onInfeasible?(ticket: string, reason: InfeasibleReason): void;
	/** The queue length or the returned credits to be told to this agent have changed. */
	onReportChanged(agent: string): void;
};

/** Rules of one service that the scheduler follows; they come from its policy. */
export type SchedulingRules = {
	readonly placement: PlacementMode;
	readonly maxQueuedTasks: number;
};

/** Weight and bound of one team at this entry. */
export type TeamShare = {
	readonly weight: number;
	/** Most tasks of the team running at the same time through this entry. */
	readonly maxRunning: number;
};

/** Whether a job can be taken, and when its answer may be expected. */
export type Admission =
	| {readonly kind: 'admitted'; readonly wait: Milliseconds}
	/** No upstream has announced itself for the service. */
	| {readonly kind: 'no-upstream'; readonly retryAfter: Milliseconds}
	| {readonly kind: 'queue-full'; readonly queued: number; readonly retryAfter: Milliseconds}
	/** The expected wait is longer than the time left. */
	| {readonly kind: 'too-late'; readonly wait: Milliseconds; readonly retryAfter: Milliseconds};

/**
 * Chooses which waiting task starts next and on which agent, at one entry. Single-threaded; every call
 * returns at once, and starts happen through the host before it returns.
 */
export type Scheduler = {
	/** Sets the rules of a service; defaults apply to a service that has none. */
	setRules(service: string, rules: SchedulingRules): void;
	setTeamShare(team: string, share: TeamShare): void;
	/** A link opened: the agent has granted nothing yet. */
	addAgent(agent: AgentInfo): void;
	/** A link was lost: its credits are void. */
	removeAgent(incarnation: string): void;
	setAgentStatus(incarnation: string, condition: AgentStatus): void;
	/** Credits that the agent has granted since the link opened; a lower figure than before is ignored. */
	setGrantedCredits(incarnation: string, granted: number): void;
	/** Whether a job may be taken now; changes nothing. */
	checkAdmission(job: QueuedJob): Admission;
	enqueue(job: QueuedJob): void;
	/** Puts one task back that was refused before it started, or that is to be tried again. */
	requeue(job: QueuedJob, task: QueuedTask): void;
	/** Takes the waiting tasks of a job out; gives their indexes. Running tasks are not affected. */
	remove(ticket: string): readonly number[];
	/** A task that was started has ended, whatever its outcome; `run` is undefined if it did not run. */
	recordTaskEnd(incarnation: string, ticket: string, outcome: 'completed' | 'failed' | 'unknown' | 'refused', run: Milliseconds | undefined): void;
	/**
	 * Credits wanted from this agent for waiting tasks. The tasks are divided among the agents, so this is less
	 * than the length of the queue. Read it when a batch is made up: what was read counts as told.
	 */
	getQueued(incarnation: string): number;
	/** The job that would start next on this agent; undefined if none waits. */
	tryGetHead(incarnation: string): WaitingHead | undefined;
	/** Credits handed back unused to this agent since the link opened. */
	getReturned(incarnation: string): number;
	/** Starts nothing while held, as after a pause until news that came meanwhile has been read. */
	setHeld?(isHeld: boolean): void;
};

/** Effects of the credit granter. */
export type CreditGranterHost = {
	readonly clock: Clock;
	/** The granted figure of this entry has changed. */
	onGrantChanged(entry: string): void;
};

/**
 * Divides the slots of one upstream among the entries, at its agent. A credit allows one start. All
 * counters restart from zero when a link opens.
 */
export type CreditGranter = {
	setSlots(slots: number): void;
	/** While draining nothing is granted, and unused credits no longer allow a start. */
	setDraining(draining: boolean): void;
	/** A link to this entry incarnation opened. */
	addEntry(entry: string): void;
	/** The link was lost: its unused credits are void and their slots free again. */
	removeEntry(entry: string): void;
	/** Credits that the entry wants for waiting tasks, as last told, and the job that it would start next. */
	setQueued(entry: string, queued: number, head?: WaitingHead): void;
	/** Credits handed back since the link opened; a lower figure than before is ignored. */
	setReturnedCredits(entry: string, returned: number): void;
	/**
	 * A start from this entry has arrived: spends a credit. Without one, a slot that is free and granted to
	 * nobody is granted and spent at once; false if there is none, and then the start must be refused.
	 */
	tryAcquire(entry: string, need?: Resources): boolean;
	/**
	 * A task that used a credit has ended: its slot is free. `entry` is the one that started it; a grant to it
	 * costs no message of its own, as it goes with the result.
	 */
	release(entry?: string, need?: Resources): void;
	/** Credits granted to this entry since its link opened. */
	getGrantedCredits(entry: string): number;
	/** Credits that entries on open links still count as their own; none of them can start a task once this is 0. */
	getOutstandingCredits(): number;
	/** Free slots granted to nobody. */
	getFreeSlots(): number;
};

/** Bounds the tasks that one team has waiting or running, over all entries. */
export type TeamQuota = {
	/**
	 * Takes quota for tasks about to be accepted. `done` is called once, at once unless other entries may still
	 * give up some of their part: with true if it was taken, with false if nothing was.
	 */
	acquire(team: string, tasks: number, done: (isTaken: boolean) => void): void;
	release(team: string, tasks: number): void;
};
