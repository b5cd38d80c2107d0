/**
 * Serves the jobs of the platform's clients, whether they arrive at this entry or are forwarded by another one. A job comes
 * under a name that its client chose. It becomes a submission under a ticket of this entry, and its answer becomes the reply.
 */
import {Buffer} from 'node:buffer';
import type {Cancellation, RelayResult} from '../connection/peer-types.js';
import type {ForwardedJob} from '../generated/kingcuplane.js';
import {createEndedNames} from '../process/cancelled-names.js';
import type {Clock, Milliseconds} from '../process/clock.js';
import type {Entry} from '../process/entry-types.js';
import type {JobTarget} from '../process/job-cancellation.js';
import {declinedResult} from '../process/job-forwarding.js';
import type {Log} from '../process/log.js';
import type {RecentNames} from '../request/recent-names.js';
import type {JobHandle} from '../request/tracked-job.js';
import type {Answer} from '../request/types.js';
import {createRouteTable, type RouteTable} from '../version/route-table.js';
import type {Route, Snapshot} from '../version/types.js';
import {clientTeam} from './desired-state.js';
import {
	isTooLongFor, readWireJob, toSubmissionRequest, tryGetUnsupportedReason, type WireJob,
} from './wire-job.js';

/** Dependencies of the desk. */
export type JobDeskHost = {
	readonly entry: Pick<Entry, 'coordinator' | 'issueTicket' | 'getRemainingDrainTime'>;
	readonly log: Pick<Log, 'info'>;
	readonly clock: Clock;
	readonly cancelledNames: RecentNames;
	tryGetSnapshot(): Snapshot | undefined;
	/** Must be called before a job is accepted: its client may have left while this process was paused, which is not read yet then. */
	checkPause(): void;
};

/** The reply to a request of a client. */
export type JobReply = {
	readonly status: number;
	/** JSON text. */
	readonly body: string;
	/** Present if the job has not run and may be sent again after this time. */
	readonly retryAfter?: Milliseconds;
};

/** The response to a job that is refused and has not run. */
export type Refusal = {
	readonly status: 429 | 503;
	readonly retryAfter: Milliseconds;
	readonly reason: string;
};

/** A job on its way to the coordinator. */
export type ReceivedJob = {
	readonly route: Route;
	/** The client's name for the job. */
	readonly name: string;
	readonly body: Uint8Array;
	/** Time that the client waits; not a positive number if it stated none. */
	readonly timeLeft: Milliseconds;
};

/** The route that serves a request, and the client's name for the job. */
export type RouteMatch = {
	readonly route: Route;
	readonly name: string;
	/** Version of the configuration that has the route. */
	readonly configVersion: number;
};

/** Serves jobs at one entry. */
export type JobDesk = {
	/** Finds the route of a request by its host and path, or returns the reply if there is none. */
	findRoute(host: string, path: string): RouteMatch | JobReply;
	/** Whether a job of this name has no answer yet. */
	isOpen(name: string): boolean;
	/** Whether such a job was sent to this host and path, whose route may have been dropped since. */
	isOpenAt(name: string, target: JobTarget): boolean;
	/** Submits a job, or joins the one under the same name. Undefined if all its clients have gone before its answer. */
	submit(job: ReceivedJob, cancellation: Cancellation): Promise<JobReply | undefined>;
	/** Serves a job that another entry has forwarded. */
	submitForwarded(job: ForwardedJob, cancellation: Cancellation): Promise<RelayResult>;
	/** Cancels the job of this name, and remembers that for requests that arrive later. Returns false if there is none. */
	cancel(name: string): boolean;
	/** Cancels the job of this name if it is open. Returns false if it is not. */
	cancelOpen(name: string): boolean;
	/** Whether the job of this name was cancelled recently. */
	wasCancelled(name: string): boolean;
	/** Whether the job of this name has ended recently for clients of this entry. */
	hasEnded(name: string): boolean;
	/** Records that a job has ended for clients of this entry, which another one has served. */
	recordEnd(name: string): void;
	/**
	 * Returns for how long the senders of the forwarded job with this ticket have been silent, that is the one that was heard last;
	 * undefined for any other job.
	 */
	tryGetSenderSilence(ticket: string): Milliseconds | undefined;
	/** Returns the number of jobs of a route of which no task has started. */
	countWaiting(route: Route): number;
	/** Logs a refusal and returns its reply. */
	refuse(name: string | undefined, refusal: Refusal): JobReply;
};

/** A job without an answer yet. */
type OpenJob = {
	readonly job: JobHandle;
	readonly route: Route;
	/** Requests that wait for its answer. */
	readonly waiters: Set<Cancellation>;
};

const caller = {name: clientTeam, team: clientTeam};
const jobNamePattern = /^[\da-f]{16}$/v;
/** Some of its tasks may have run. */
export const cancelledReply = createReply(504, {error: 'the job was cancelled'});
const notReadyRetryMs: Milliseconds = 1000;
/** Long, since these kinds of jobs are not supported on this platform and an early retry is useless. */
const unsupportedRetryMs: Milliseconds = 60_000;
/** Short, since other entries accept the job at once. */
const drainRetryMs: Milliseconds = 100;

/** Creates a desk without jobs. */
export function createJobDesk({
	entry, log, clock, cancelledNames, tryGetSnapshot, checkPause,
}: JobDeskHost): JobDesk {
	/** Jobs that have ended and whose clients know that. */
	const endedNames = createEndedNames(clock);
	const openJobs = new Map<string, OpenJob>();
	/** Open jobs that other entries have forwarded, by ticket. Every batch to an agent looks its tasks up here. */
	const forwardedJobs = new Map<string, OpenJob>();
	let routeTable: {readonly snapshot: Snapshot; readonly table: RouteTable} | undefined;

	return {
		findRoute,
		isOpen: name => openJobs.has(name),
		isOpenAt(name, {host, path}) {
			const route = openJobs.get(name)?.route;
			return route?.host === host && `${route.pathPrefix}${name}` === path;
		},
		submit,
		submitForwarded,
		cancel(name) {
			cancelledNames.add(name);
			return cancelOpen(name);
		},
		cancelOpen,
		wasCancelled: cancelledNames.has,
		hasEnded: endedNames.has,
		recordEnd: endedNames.add,
		tryGetSenderSilence(ticket) {
			const forwarded = forwardedJobs.get(ticket);
			return forwarded === undefined || forwarded.waiters.size === 0
				? undefined
				: Math.min(...[...forwarded.waiters].map(waiter => waiter.getSenderSilence?.() ?? 0));
		},
		countWaiting(route) {
			let waiting = 0;
			for (const {job} of openJobs.values()) {
				waiting += job.submission === route.submission && job.tryGetAnswer() === undefined && job.getExecutionStatus() === 'not-run' ? 1 : 0;
			}

			return waiting;
		},
		refuse,
	};

	function cancelOpen(name: string): boolean {
		const found = openJobs.get(name);
		if (found !== undefined) {
			endedNames.add(name);
			entry.coordinator.cancel(found.job.ticket.text, 'its client');
		}

		return found !== undefined;
	}

	function findRoute(host: string, path: string): RouteMatch | JobReply {
		const snapshot = tryGetSnapshot();
		if (snapshot === undefined) {
			return refuse(undefined, {status: 503, retryAfter: notReadyRetryMs, reason: 'no configuration is in force'});
		}

		const route = getRouteTable(snapshot).tryFind(host, path);
		return route === undefined
			? createReply(404, {error: 'no such queue'})
			: {route, name: path.slice(route.pathPrefix.length), configVersion: snapshot.version};
	}

	function getRouteTable(snapshot: Snapshot): RouteTable {
		if (routeTable?.snapshot !== snapshot) {
			routeTable = {snapshot, table: createRouteTable(snapshot.routes ?? [])};
		}

		return routeTable.table;
	}

	async function submitForwarded(job: ForwardedJob, cancellation: Cancellation): Promise<RelayResult> {
		// The client was answered under the sender's configuration before, so an older one must not be used.
		if ((tryGetSnapshot()?.version ?? 0) < job.configVersion) {
			return declinedResult;
		}

		const match = findRoute(job.host, job.path);
		const reply = 'status' in match ? match : await submit({...match, body: job.body, timeLeft: job.timeLeftMs}, cancellation);
		return reply === undefined ? declinedResult : toRelayResult(reply);
	}

	async function submit({
		route, name, body, timeLeft,
	}: ReceivedJob, cancellation: Cancellation): Promise<JobReply | undefined> {
		checkPause();
		if (!isJobName(name)) {
			return createReply(400, {error: 'a job is named by 16 hexadecimal digits'});
		}

		if (cancelledNames.has(name)) {
			log.info({request: name, status: cancelledReply.status}, 'job was cancelled before this request; nothing is started for it');
			return cancelledReply;
		}

		const parsed = readWireJob(body);
		if (parsed.isErr()) {
			log.info({request: name, status: 400, reason: parsed.error}, 'unreadable job; it has not run');
			return createReply(400, {error: parsed.error});
		}

		const unsupportedReason = tryGetUnsupportedReason(parsed.value, route);
		if (unsupportedReason !== undefined) {
			return refuse(name, {status: 503, retryAfter: unsupportedRetryMs, reason: unsupportedReason});
		}

		if (!openJobs.has(name) && isTooLongFor(entry.getRemainingDrainTime(), parsed.value)) {
			return refuse(name, {status: 503, retryAfter: drainRetryMs, reason: 'this entry stops before the job could be done'});
		}

		return waitForAnswer(name, openJobs.get(name) ?? accept(parsed.value, route, name, timeLeft), cancellation);
	}

	function accept(body: WireJob, route: Route, name: string, timeLeft: Milliseconds): OpenJob {
		const ticket = entry.issueTicket(caller.name);
		const req = toSubmissionRequest(body, route, name, timeLeft);
		// The client never sees the ticket, so no second request can use it and the digest may stay empty.
		const outcome = entry.coordinator.submit(caller, {...req, ticket, digest: ''});
		if (outcome.kind !== 'accepted') {
			throw new Error(`a submission under a new ticket was not accepted: ${outcome.kind}`);
		}

		const accepted: OpenJob = {job: outcome.job, route, waiters: new Set()};
		if (outcome.job.tryGetAnswer() === undefined) {
			openJobs.set(name, accepted);
		}

		return accepted;
	}

	/** Waits for the answer; cancels the job if the last client that waits for it disconnects. */
	async function waitForAnswer(name: string, openJob: OpenJob, cancellation: Cancellation): Promise<JobReply | undefined> {
		openJob.waiters.add(cancellation);
		if (cancellation.getSenderSilence !== undefined) {
			forwardedJobs.set(openJob.job.ticket.text, openJob);
		}

		const answer = await new Promise<Answer | undefined>(resolve => {
			openJob.job.whenAnswered(resolve);
			cancellation.onCancelled(() => {
				resolve(undefined);
			});
		});
		openJob.waiters.delete(cancellation);
		if (answer !== undefined) {
			forget(name, openJob);
			const reply = toReply(name, answer);
			if (isFinal(reply)) {
				endedNames.add(name);
			}

			return reply;
		}

		if (openJob.waiters.size === 0) {
			entry.coordinator.cancel(openJob.job.ticket.text, 'its client, who hung up');
			forget(name, openJob);
		}

		return undefined;
	}

	/** Removes an open job, unless another one under the same name has taken its place. */
	function forget(name: string, openJob: OpenJob): void {
		forwardedJobs.delete(openJob.job.ticket.text);
		if (openJobs.get(name) === openJob) {
			openJobs.delete(name);
		}
	}

	function toReply(name: string, answer: Answer): JobReply {
		if (answer.state === 'complete') {
			return createReply(200, {state: 'completed'});
		}

		// The diagnostics of a task that failed in all allowed attempts. With any other one the job's outcome is unknown, and the
		// client may send it again.
		if (answer.diagnostic?.kind === 'TaskFailed' || answer.diagnostic?.kind === 'TaskCrashedUpstreams') {
			return createReply(200, {state: 'failed'});
		}

		if (answer.ran === 'not-run') {
			return refuse(name, {
				status: answer.diagnostic?.kind === 'QueueFull' ? 429 : 503, retryAfter: answer.retryAfter ?? notReadyRetryMs, reason: answer.diagnostic?.message ?? '',
			});
		}

		return createReply(504, {error: answer.diagnostic?.message});
	}

	function refuse(name: string | undefined, {status, retryAfter, reason}: Refusal): JobReply {
		log.info({
			request: name, status, retryAfter, reason,
		}, 'request refused; it has not run');
		return {...createReply(status, {error: reason}), retryAfter};
	}
}

/** Whether a reply tells how the job has ended; after any other one, its client may send it again. */
export function isFinal({status}: JobReply): boolean {
	return status === 200;
}

/** Whether clients may name a job like this. */
export function isJobName(name: string): boolean {
	return jobNamePattern.test(name);
}

/** Creates a reply with a JSON body. */
export function createReply(status: number, body: Readonly<Record<string, unknown>>): JobReply {
	return {status, body: JSON.stringify(body)};
}

function toRelayResult({status, body, retryAfter}: JobReply): RelayResult {
	return {status, body: Buffer.from(body), retryAfterMs: retryAfter ?? 0};
}
