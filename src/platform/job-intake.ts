/**
 * Decides where the jobs that clients send to this entry are served: here or, while this entry is busy, at another one. A job is
 * forwarded before its body is parsed.
 */
import {Buffer} from 'node:buffer';
import type {Cancellation} from '../connection/peer-types.js';
import type {RelayReply} from '../generated/kingcuplane.js';
import type {Clock, Milliseconds} from '../process/clock.js';
import type {Entry} from '../process/entry-types.js';
import type {CancelOutcome, JobTarget, LocalCancelOutcome} from '../process/job-cancellation.js';
import type {LoadDecision} from '../request/load-sharing.js';
import {
	cancelledReply, createReply, isFinal, isJobName, type JobDesk, type JobReply, type RouteMatch,
} from './job-desk.js';

/** Dependencies of the intake. */
export type JobIntakeHost = {
	readonly clock: Clock;
	readonly entry: Pick<Entry, 'decideByLoad' | 'tryForwardJob' | 'cancelJob' | 'isIntroduced' | 'whenIntroduced'>;
	readonly desk: JobDesk;
};

/** A job that is to be served, and where. */
export type AdmittedJob = RouteMatch & JobTarget & {
	readonly decision: Exclude<LoadDecision, {readonly kind: 'refuse'}>;
};

/** The client of a request. */
export type WaitingClient = Cancellation & {
	/** Resolves to whether the client still waits, once it is known that nothing else has come from it until now. */
	isWaiting(): Promise<boolean>;
};

/** The jobs of the clients of one entry. */
export type JobIntake = {
	/** Decides whether and where a job is served; the reply if it is not. */
	admit(target: JobTarget, match: RouteMatch): AdmittedJob | JobReply;
	/**
	 * Serves an admitted job; `timeLeft` is the time that the client waits, not a positive number if it stated none. Undefined if
	 * all its clients have gone before its answer.
	 */
	submit(job: AdmittedJob, body: Uint8Array, timeLeft: Milliseconds, client: WaitingClient): Promise<JobReply | undefined>;
	/** Cancels the job of this name, which its target states, at all entries. */
	cancel(name: string, target: JobTarget): Promise<JobReply>;
	/**
	 * Cancels the job that was sent to this host and path, which select no route any more. Undefined if there is none, or it is not known
	 * whether there is one.
	 */
	cancelAtDroppedRoute(target: JobTarget): Promise<JobReply | undefined>;
	/** Cancels the job of this name at this entry, and with a target, only one that was sent there. */
	cancelHere(name: string, target?: JobTarget): LocalCancelOutcome;
	/** Cancels the job of this name if it is open here. */
	cancelOpen(name: string): void;
};

/** A job that another entry serves for clients of this one. */
type ForwardedOpenJob = {
	readonly target: JobTarget;
	readonly reply: Promise<RelayReply | undefined>;
	/** Number of requests that wait for its reply. */
	waiters: number;
	isCancelled: boolean;
	cancel(): void;
};

type Arrival = 'waiting' | 'gone' | 'cancelled';

const serveHere = {kind: 'serve'} as const;
/** The job may have run. Its client may send it again after the platform's time for that, when all its runs have ended. */
const lostReply = createReply(504, {error: 'the entry that served this job was lost'});
const cancelRetryMs: Milliseconds = 1000;
/** Stands for a time that has passed, since 0 would mean that none was stated. */
const shortestTimeLeftMs: Milliseconds = 1;
const notFoundReply = createReply(410, {error: 'no such job'});
const cancelReplies: Readonly<Record<CancelOutcome, JobReply>> = {
	cancelled: createReply(200, {}),
	'not-found': notFoundReply,
	ended: notFoundReply,
	unconfirmed: {...createReply(503, {error: 'an entry that may have the job cannot be asked now'}), retryAfter: cancelRetryMs},
};

/** Creates an intake without jobs. */
export function createJobIntake({clock, entry, desk}: JobIntakeHost): JobIntake {
	const forwardedJobs = new Map<string, ForwardedOpenJob>();
	/** Number of requests for each job of which it is not known yet whether their clients still wait. */
	const arrivingJobs = new Map<string, number>();

	return {
		admit(target, match) {
			if (desk.wasCancelled(match.name)) {
				return cancelledReply;
			}

			const isOpen = desk.isOpen(match.name) || forwardedJobs.has(match.name);
			const decision = isOpen ? serveHere : entry.decideByLoad();
			return decision.kind === 'refuse'
				? desk.refuse(match.name, {status: 503, retryAfter: decision.retryAfter, reason: 'this entry is busy, and so are the others'})
				: {...match, ...target, decision};
		},
		async submit(job, body, timeLeft, client) {
			const startedAt = clock.now();
			for (let isDeclined = false; ; isDeclined = true) {
				const arrival = await awaitClient(job.name, client);
				if (arrival !== 'waiting') {
					return toEndReply(arrival);
				}

				const remaining = reduceTimeLeft(timeLeft, clock.now() - startedAt);
				const forwarded = forwardedJobs.get(job.name) ?? (isDeclined || desk.isOpen(job.name) ? undefined : tryForward(job, body, remaining));
				if (forwarded === undefined) {
					return desk.submit({...job, body, timeLeft: remaining}, client);
				}

				const reply = await waitForForwarded(job.name, forwarded, client);
				if (reply !== undefined) {
					return reply;
				}
			}
		},
		async cancel(name, target) {
			// Another route may cover the path of one that was dropped.
			return isJobName(name) ? cancelReplies[await entry.cancelJob(name)] : await cancelAtDroppedRoute(target) ?? notFoundReply;
		},
		cancelAtDroppedRoute,
		cancelHere(name, target) {
			if (target !== undefined && !isOpenAt(name, target)) {
				return 'unknown';
			}

			const hasEnded = desk.hasEnded(name);
			// One that is still arriving finds its name remembered.
			const isFound = desk.cancel(name) || arrivingJobs.has(name);
			const forwarded = forwardedJobs.get(name);
			if (forwarded !== undefined) {
				cancelForwarded(name, forwarded);
			}

			return isFound || forwarded !== undefined ? 'cancelled' : (hasEnded ? 'ended' : 'unknown');
		},
		cancelOpen(name) {
			desk.cancelOpen(name);
			const forwarded = forwardedJobs.get(name);
			if (forwarded !== undefined) {
				cancelForwarded(name, forwarded);
			}
		},
	};

	function cancelForwarded(name: string, forwarded: ForwardedOpenJob): void {
		desk.recordEnd(name);
		forwarded.isCancelled = true;
		forwarded.cancel();
	}

	async function cancelAtDroppedRoute(target: JobTarget): Promise<JobReply | undefined> {
		const name = target.path.slice(target.path.lastIndexOf('/') + 1);
		const outcome = isJobName(name) ? await entry.cancelJob(name, target) : 'not-found';
		// The queue does not exist, so the request is not answered as if it did, but the job is gone.
		return outcome === 'cancelled' ? notFoundReply : undefined;
	}

	function isOpenAt(name: string, target: JobTarget): boolean {
		const forwarded = forwardedJobs.get(name)?.target;
		return desk.isOpenAt(name, target) || (forwarded?.host === target.host && forwarded.path === target.path);
	}

	/**
	 * Waits until it is known whether the client still waits, or has cancelled the job meanwhile. An entry that has just started learns
	 * first which jobs were cancelled.
	 */
	async function awaitClient(name: string, client: WaitingClient): Promise<Arrival> {
		countArriving(name, 1);
		if (!entry.isIntroduced()) {
			await entry.whenIntroduced();
		}

		const isWaiting = await client.isWaiting();
		countArriving(name, -1);
		if (!isWaiting) {
			return 'gone';
		}

		return desk.wasCancelled(name) ? 'cancelled' : 'waiting';
	}

	function countArriving(name: string, change: 1 | -1): void {
		const count = (arrivingJobs.get(name) ?? 0) + change;
		if (count === 0) {
			arrivingJobs.delete(name);
		} else {
			arrivingJobs.set(name, count);
		}
	}

	function tryForward({
		decision, name, host, path, configVersion,
	}: AdmittedJob, body: Uint8Array, timeLeft: Milliseconds): ForwardedOpenJob | undefined {
		const pending = decision.kind === 'serve'
			? undefined
			: entry.tryForwardJob(decision.peer.incarnation, name, {
				host, path, body, timeLeftMs: Number.isFinite(timeLeft) ? timeLeft : 0, configVersion,
			});
		if (pending === undefined) {
			return undefined;
		}

		const forwarded: ForwardedOpenJob = {
			...pending, target: {host, path}, waiters: 0, isCancelled: false,
		};
		forwardedJobs.set(name, forwarded);
		return forwarded;
	}

	/** Waits for the reply of another entry. Undefined if that entry has declined the job, which then may be served here. */
	async function waitForForwarded(name: string, forwarded: ForwardedOpenJob, cancellation: Cancellation): Promise<JobReply | undefined> {
		forwarded.waiters++;
		cancellation.onCancelled(() => {
			forwarded.waiters--;
			if (forwarded.waiters === 0) {
				forwarded.isCancelled = true;
				forwarded.cancel();
			}
		});
		const reply = await forwarded.reply;
		if (forwardedJobs.get(name) === forwarded) {
			forwardedJobs.delete(name);
		}

		if (reply === undefined) {
			return forwarded.isCancelled ? cancelledReply : lostReply;
		}

		if (reply.declined) {
			return undefined;
		}

		const jobReply = toJobReply(reply);
		if (isFinal(jobReply)) {
			desk.recordEnd(name);
		}

		return jobReply;
	}
}

/** Returns the time that a client still waits; no positive number if it stated none. */
function reduceTimeLeft(timeLeft: Milliseconds, passed: Milliseconds): Milliseconds {
	return timeLeft > 0 ? Math.max(shortestTimeLeftMs, timeLeft - passed) : timeLeft;
}

/** Returns the reply to a job that is not served; undefined if nobody waits for it. */
function toEndReply(arrival: Exclude<Arrival, 'waiting'>): JobReply | undefined {
	return arrival === 'gone' ? undefined : cancelledReply;
}

function toJobReply({status, body, retryAfterMs}: RelayReply): JobReply {
	return {status, body: Buffer.from(body).toString(), retryAfter: retryAfterMs === 0 ? undefined : retryAfterMs};
}
