/**
 * Keeps resources for waiting jobs whose tasks are larger than most and fit nowhere now, on the agents where they will fit
 * first. Without this, smaller tasks use each part of an upstream as soon as it is released, and never enough is free at one
 * time. Until then, tasks that will have ended by that time may use the resources (backfilling).
 */
import {addResources, fits} from '../connection/resources.js';
import type {LookAheadCounts, TaskRequirements, WaitingHead} from '../connection/types.js';
import {Soundness, type Resources} from '../generated/kingcuplane.js';
import type {Clock, Milliseconds} from '../process/clock.js';
import {noRequirements} from './resource-admission.js';
import {
	estimateFreeResources, hasFreeResources, isEligible, prefer, type AgentView,
} from './resource-pool.js';
import {getSlack, type PendingJob} from './resource-queue.js';

/** Dependencies of the look-ahead. */
export type LookAheadHost = {
	readonly clock: Clock;
	/** All agents of the service, by incarnation. */
	readonly agents: ReadonlyMap<string, AgentView>;
	/** Called when what the agent should keep free has changed. */
	onClaimChanged(incarnation: string): void;
};

/** The reservations of one service at one entry. */
export type LookAhead = {
	/** Sets whether resources are reserved at all. */
	setEnabled(isEnabled: boolean): void;
	/** Begins a pass over the queue; drops the reservations of jobs that no longer wait or can no longer start in time. */
	beginPass(jobs: ReadonlyMap<string, PendingJob>): void;
	/**
	 * Reserves resources for a job whose remaining tasks fit nowhere now. Nothing is reserved behind a persistent queue: what
	 * stands idle until the large task starts would then be lost to others that cannot be served either.
	 */
	reserve(pending: PendingJob, isQueuePersistent: boolean): void;
	/** Whether a task of this job may start on the agent now without delaying a job for which resources are reserved there. */
	mayStart(pending: PendingJob, agent: AgentView): boolean;
	/** Returns the agents on which a task of a usual size leaves no gap that a larger one could use, or all if there are none. */
	preferGaps(pending: PendingJob, agents: readonly AgentView[]): readonly AgentView[];
	/** Records the start of a task. Returns whether it uses resources that are reserved for another job. */
	recordStart(pending: PendingJob, agent: AgentView): boolean;
	/** Returns the reservation on this agent, which the agent should enforce against other entries. */
	tryGetClaim(incarnation: string): WaitingHead | undefined;
	getCounts(): LookAheadCounts;
};

type Reservation = {
	readonly ticket: string;
	readonly pending: PendingJob;
	readonly resources: Resources;
	/** When the resources are expected to be free. */
	readyAt: Milliseconds;
	/** When the job would start too late for its objective. */
	readonly expiresAt: Milliseconds;
};

/** A task is large if it needs this many times the share of an upstream that the tasks started before needed on average. */
const largeFactor = 1.5;
/** Weight of the newest start in that average. */
const newestStartWeight = 0.02;
/** A task is not large if it needs less than this share of an upstream: such gaps are found soon without a reservation. */
const minLargeShare = 0.25;
/** Maximum number of agents on which one entry reserves resources for one service at a time, so that little stands idle. */
const maxReservations = 1;
/** Maximum number of jobs for which agents are searched in one pass. */
const maxSearchesPerPass = 2;
/** Time for which large tasks are expected to arrive again after one has waited. */
const largeTaskMemoryMs: Milliseconds = 1000;
/** Maximum duration of a reservation. */
const maxReservationMs: Milliseconds = 300;

/** Creates a look-ahead without reservations; it is disabled at first. */
export function createLookAhead({clock, agents, onClaimChanged}: LookAheadHost): LookAhead {
	const reservations = new Map<string, Reservation>();
	let isEnabled = false;
	let searches = 0;
	let meanShare: number | undefined;
	/** Requirements of the largest task that has waited recently. */
	let recentLarge: {readonly resources: Resources; readonly until: Milliseconds} | undefined;
	let counts: LookAheadCounts = {
		reserved: 0, kept: 0, expired: 0, backfilled: 0,
	};

	return {
		setEnabled(value) {
			isEnabled = value;
			if (!isEnabled) {
				for (const incarnation of reservations.keys()) {
					release(incarnation);
				}
			}
		},
		beginPass(jobs) {
			searches = 0;
			for (const [incarnation, reservation] of reservations) {
				updateReservation(jobs, incarnation, reservation);
			}
		},
		reserve(pending, isQueuePersistent) {
			if (!isEnabled || isQueuePersistent || searches >= maxSearchesPerPass || !isLarge(pending)) {
				return;
			}

			searches++;
			const {resources} = getRequirements(pending);
			if (recentLarge === undefined || recentLarge.until < clock.now() || fits(recentLarge.resources, resources)) {
				recentLarge = {resources, until: clock.now() + largeTaskMemoryMs};
			}

			reserveAgents(pending);
		},
		mayStart(pending, agent) {
			const reservation = reservations.get(agent.info.incarnation);
			return reservation === undefined || reservation.ticket === pending.job.ticket || isGoneBy(pending, reservation) || staysFree(pending, agent, reservation);
		},
		preferGaps(pending, fitting) {
			const large = recentLarge;
			return large === undefined || large.until < clock.now() || isLarge(pending)
				? fitting
				: prefer(fitting, agent => !fits(large.resources, estimateFreeResources(agent)));
		},
		recordStart(pending, agent) {
			if (!isEnabled) {
				return false;
			}

			const {resources} = getRequirements(pending);
			const share = getShare(resources, agent.capacity);
			meanShare = meanShare === undefined ? share : meanShare + (newestStartWeight * (share - meanShare));
			const reservation = reservations.get(agent.info.incarnation);
			if (reservation === undefined) {
				return false;
			}

			if (reservation.ticket !== pending.job.ticket) {
				counts = {...counts, backfilled: counts.backfilled + 1};
				return true;
			}

			counts = {...counts, kept: counts.kept + 1};
			release(agent.info.incarnation);
			return false;
		},
		tryGetClaim(incarnation) {
			const reservation = reservations.get(incarnation);
			return reservation === undefined
				? undefined
				: {
					waited: clock.now() - reservation.pending.job.arrivedAt,
					size: reservation.pending.job.expectedRun * reservation.pending.tasks.length,
					need: reservation.resources,
					keepMs: Math.max(0, Math.round(reservation.expiresAt - clock.now())),
				};
		},
		getCounts: () => counts,
	};

	function updateReservation(jobs: ReadonlyMap<string, PendingJob>, incarnation: string, reservation: Reservation): void {
		const agent = agents.get(incarnation);
		const pending = jobs.get(reservation.ticket);
		const readyAt = agent === undefined || pending === undefined ? undefined : tryGetReadyTime(agent, reservation.resources);
		if (pending === undefined || countReservations(pending) > pending.tasks.length) {
			release(incarnation);
		} else if (readyAt === undefined || Math.max(readyAt, clock.now()) > reservation.expiresAt) {
			counts = {...counts, expired: counts.expired + 1};
			release(incarnation);
		} else {
			reservation.readyAt = readyAt;
		}
	}

	function reserveAgents(pending: PendingJob): void {
		const missing = Math.min(pending.tasks.length - countReservations(pending), maxReservations - reservations.size);
		const latestStart = Math.min(clock.now() + getSlack(pending.job, clock.now()), clock.now() + maxReservationMs);
		if (missing <= 0 || latestStart <= clock.now()) {
			return;
		}

		const requirements = getRequirements(pending);
		const candidates: Array<{readonly agent: AgentView; readonly readyAt: Milliseconds}> = [];
		for (const agent of agents.values()) {
			const readyAt = isUsable(pending, agent, requirements) ? tryGetReadyTime(agent, requirements.resources) : undefined;
			if (readyAt !== undefined && readyAt <= latestStart) {
				candidates.push({agent, readyAt});
			}
		}

		for (const {agent, readyAt} of candidates.toSorted((a, b) => a.readyAt - b.readyAt).slice(0, missing)) {
			reservations.set(agent.info.incarnation, {
				ticket: pending.job.ticket, pending, resources: requirements.resources, readyAt, expiresAt: latestStart,
			});
			counts = {...counts, reserved: counts.reserved + 1};
			onClaimChanged(agent.info.incarnation);
		}
	}

	function isUsable({job}: PendingJob, agent: AgentView, requirements: TaskRequirements): boolean {
		return !agent.isDraining && agent.health === Soundness.SOUNDNESS_SOUND && !reservations.has(agent.info.incarnation)
			&& isEligible(agent, requirements) && !hasFreeResources(agent, job.ticket, requirements);
	}

	function countReservations({job}: PendingJob): number {
		let count = 0;
		for (const {ticket} of reservations.values()) {
			count += ticket === job.ticket ? 1 : 0;
		}

		return count;
	}

	function release(incarnation: string): void {
		reservations.delete(incarnation);
		onClaimChanged(incarnation);
	}

	function isLarge(pending: PendingJob): boolean {
		const requirements = getRequirements(pending);
		if (meanShare === undefined) {
			return false;
		}

		for (const agent of agents.values()) {
			if (isEligible(agent, requirements)) {
				return getShare(requirements.resources, agent.capacity) > Math.max(meanShare * largeFactor, minLargeShare);
			}
		}

		return false;
	}

	function isGoneBy({job}: PendingJob, {readyAt}: Reservation): boolean {
		return job.expectedRun > 0 && clock.now() + job.expectedRun <= readyAt;
	}

	function staysFree(pending: PendingJob, agent: AgentView, {resources, readyAt}: Reservation): boolean {
		return fits(addResources(resources, getRequirements(pending).resources), getResourcesAt(agent, readyAt));
	}
}

/** Returns when the resources will be free on the agent; undefined if its reports do not tell. */
function tryGetReadyTime(agent: AgentView, resources: Resources): Milliseconds | undefined {
	let free = estimateFreeResources(agent);
	if (fits(resources, free)) {
		return agent.reportedAt;
	}

	for (const release of agent.releases) {
		free = addResources(free, release.resources);
		if (fits(resources, free)) {
			return release.at;
		}
	}

	return undefined;
}

function getResourcesAt(agent: AgentView, time: Milliseconds): Resources {
	let free = estimateFreeResources(agent);
	for (const {at, resources} of agent.releases) {
		free = at <= time ? addResources(free, resources) : free;
	}

	return free;
}

/** Returns the largest share of a resource of the upstream that a task needs. */
function getShare(resources: Resources, capacity: Resources): number {
	const shares = [[resources.cpu, capacity.cpu], [resources.memory, capacity.memory], [resources.accelerators, capacity.accelerators]] as const;
	return Math.max(...shares.map(([need, total]) => need === 0 || total === 0 ? 0 : need / total));
}

function getRequirements({job}: PendingJob): TaskRequirements {
	return job.need ?? noRequirements;
}
