/**
 * The objects that operators publish, and the snapshots and change sets that consist of them.
 */
import type {Milliseconds} from '../process/clock.js';

/** Kinds of objects, in the order in which they are printed. */
export const objectKinds = ['service', 'upstream', 'policy', 'submission', 'team', 'data-centre'] as const;

/** One kind of object. */
export type ObjectKind = (typeof objectKinds)[number];

/** Identifies one object. */
export type ObjectName = {
	readonly kind: ObjectKind;
	readonly name: string;
};

/**
 * How a service's waiting tasks are matched with slots. `response` minimizes the response time: a freed slot is granted
 * at once to the entry with the longest queue. `messages` minimizes the number of messages: slots stay with the entry
 * that they were granted to until another one needs them.
 */
export type PlacementMode = 'response' | 'messages';

/** Rules for the tasks of the services that name it. */
export type PolicyObject = {
	readonly kind: 'policy';
	readonly name: string;
	readonly placement: PlacementMode;
	/** Longest queue of one entry for one service, in tasks. */
	readonly maxQueuedTasks: number;
	/** Longest run time of one task at its upstream. */
	readonly taskTimeout: Milliseconds;
	/** Longest time from acceptance to the answer, unless the submission sets a shorter one. */
	readonly deadline: Milliseconds;
	/** Extra attempts allowed for each hundred first attempts, for idempotent requests only. */
	readonly retryPercent: number;
	/** Whether acceptance is recorded at the platform before any task starts. */
	readonly recordBeforeStart: boolean;
	/** Whether resources are reserved for large tasks that wait, where resources limit the upstreams; no if undefined. */
	readonly lookAhead?: boolean;
};

/** A kind of work that upstreams offer. */
export type ServiceObject = {
	readonly kind: 'service';
	readonly name: string;
	/** Name of a policy. */
	readonly policy: string;
	readonly maxTasksPerJob: number;
	/** Largest payload of one task in bytes. */
	readonly maxPayload: number;
};

/** Limits for one upstream that announces itself under this name. */
export type UpstreamObject = {
	readonly kind: 'upstream';
	readonly name: string;
	/** Name of a service. */
	readonly service: string;
	/** Maximum number of tasks that run at the same time; the number of slots that the agent announces is a further limit. */
	readonly slots: number;
	/** Whether the upstream gets no new tasks. */
	readonly drain: boolean;
};

/** Rules for one kind of request. Callers give its name when they submit a job. */
export type SubmissionObject = {
	readonly kind: 'submission';
	readonly name: string;
	/** Name of a service. */
	readonly service: string;
	/** Name of the team whose quota is used. */
	readonly team: string;
	/** Whether a task may run more than once; false, for instance, for charges and confirmations. */
	readonly idempotent: boolean;
	readonly deadline: Milliseconds;
	/** Expected run time of one task; a hint for the first tasks only. */
	readonly expectedRun: Milliseconds;
};

/** Maps requests for a host and a path prefix to a submission; the longest matching prefix takes precedence. */
export type Route = {
	readonly host: string;
	readonly pathPrefix: string;
	/** Name of a submission. */
	readonly submission: string;
	/** Deadline of requests that state none. */
	readonly deadline: Milliseconds;
	/** Number of failed runs of one task after which its job fails. */
	readonly attempts: number;
	/** An answer has its full utility within this multiple of the run time plus `margin`. */
	readonly stretch: number;
	readonly margin: Milliseconds;
	/** The operators' order of urgency, the most urgent first. The order of jobs does not depend on it. */
	readonly priority: number;
	/** Whether a service outside the system decides which upstreams may run its tasks. Such jobs are not served. */
	readonly isAdvised?: boolean;
};

/** A group of callers that shares a quota. */
export type TeamObject = {
	readonly kind: 'team';
	readonly name: string;
	/** Maximum number of tasks waiting or running at the same time, over all entries. */
	readonly maxTasks: number;
	/** Share of the slots relative to other teams when slots are short. */
	readonly weight: number;
};

/** State of the data centre in which agents announce themselves under this name. One without an object is in use. */
export type DataCentreObject = {
	readonly kind: 'data-centre';
	readonly name: string;
	/** Whether it is evacuated: its upstreams get no new tasks. */
	readonly drain: boolean;
};

/** An object of any kind. */
export type ConfigObject = PolicyObject | ServiceObject | UpstreamObject | SubmissionObject | TeamObject | DataCentreObject;

/** One published version: all objects that are active together, in maps by name. */
export type Snapshot = {
	/** Counts published change sets; 0 is the empty configuration. */
	readonly version: number;
	readonly services: ReadonlyMap<string, ServiceObject>;
	readonly upstreams: ReadonlyMap<string, UpstreamObject>;
	readonly policies: ReadonlyMap<string, PolicyObject>;
	readonly submissions: ReadonlyMap<string, SubmissionObject>;
	readonly teams: ReadonlyMap<string, TeamObject>;
	readonly dataCentres: ReadonlyMap<string, DataCentreObject>;
	/** Undefined where requests name their submission themselves. */
	readonly routes?: readonly Route[];
};

/** What a change set does to one object. */
export type Change =
	| {readonly kind: 'put'; readonly object: ConfigObject}
	| {readonly kind: 'delete'; readonly objectKind: ObjectKind; readonly name: string};

/** Changes that are checked and published together. */
export type ChangeSet = {
	/** Chosen by the operator's command line; makes a repeated publication idempotent. */
	readonly id: string;
	/** The version that the changes were made against. */
	readonly base: number;
	readonly author: string;
	readonly reason: string;
	readonly changes: readonly Change[];
};

/** The record of one published change set. */
export type AuditRecord = {
	readonly version: number;
	readonly changeSet: string;
	readonly author: string;
	readonly reason: string;
	/** Wall time of the publication in milliseconds. */
	readonly at: Milliseconds;
	/** The objects that were put or deleted. */
	readonly changed: readonly ObjectName[];
	/** One line per changed object, for instance "put service ordering". */
	readonly summary: readonly string[];
};
