/**
 * Finds the submission object whose tasks crash their upstreams, from the tasks that were lost a short while ago. Every
 * crash also takes innocent tasks, and some of them are lost again by chance: the more often, the longer they run and the
 * more upstreams are lost. A task that causes its crashes is lost each time.
 */
import type {Clock, Milliseconds} from '../process/clock.js';
import type {CountedTask} from './loss-log.js';

/** Dependencies of the evidence. */
export type SuspectSubmissionsHost = {
	readonly clock: Clock;
	/** Returns the number of linked upstreams. */
	getUpstreamCount(): number;
};

/** Evidence by submission object. */
export type SuspectSubmissions = {
	/** Records that an upstream was lost, and the tasks that ran there. */
	recordLoss(upstreamIncarnation: string, tasks: readonly CountedTask[]): void;
	/** Whether any task was lost repeatedly a short while ago, or a submission object is suspect. */
	hasSuspects(): boolean;
	/** Returns the submission object that is most likely to be the cause; undefined if the evidence is too weak. */
	tryGet(): string | undefined;
};

/** Losses of the jobs of one submission object. */
type Evidence = {
	/** Time of the last loss, by job. */
	readonly lostJobs: Map<string, Milliseconds>;
	/** Time of the last repeated loss, by job. */
	readonly repeatedlyLostJobs: Map<string, Milliseconds>;
	/** Mean declared run time of the lost tasks. */
	meanRun: Milliseconds;
	suspectUntil: Milliseconds;
	/** Largest excess of repeated losses since it became suspect. */
	maxExcess: number;
};

/** Time for which a loss counts; upstreams take some seconds to return. */
const evidenceMs: Milliseconds = 5000;
/** Least time over which the rate of losses is measured: the first few come close together. */
const minRateSpanMs: Milliseconds = 1000;
/** Number of jobs with repeated losses that make their submission object suspect. */
const minRepeatedJobs = 2;
/** Factor by which the repeated losses must exceed those expected by chance. */
const minExcess = 5;
/**
 * Time from the last loss of a task of a suspect submission object until it is not suspect any more. Isolated tasks cause few
 * losses, so the evidence must outlast the time for which no upstream is left to lose.
 */
const suspicionMs: Milliseconds = 6000;
/** Weight of the newest task in the mean run time. */
const newestRunWeight = 0.1;

/** Creates the evidence of a process that knows of no losses. */
export function createSuspectSubmissions({clock, getUpstreamCount}: SuspectSubmissionsHost): SuspectSubmissions {
	const evidences = new Map<string, Evidence>();
	/** Time of the last loss, by incarnation of the upstream. */
	const lostUpstreams = new Map<string, Milliseconds>();
	let lastRepeatedLossAt = -Infinity;

	return {
		recordLoss(upstreamIncarnation, tasks) {
			deleteExpired(lostUpstreams);
			lostUpstreams.set(upstreamIncarnation, clock.now());
			for (const counted of tasks) {
				recordLostTask(counted);
			}

			for (const evidence of evidences.values()) {
				assess(evidence);
			}
		},
		hasSuspects: () => clock.now() - lastRepeatedLossAt < evidenceMs || tryGet() !== undefined,
		tryGet,
	};

	function tryGet(): string | undefined {
		let suspect: string | undefined;
		let highestExcess = 0;
		for (const [submission, {suspectUntil, maxExcess}] of evidences) {
			if (clock.now() < suspectUntil && maxExcess > highestExcess) {
				suspect = submission;
				highestExcess = maxExcess;
			}
		}

		return suspect;
	}

	function recordLostTask({task: {job, submission, expectedRunMs}, losses}: CountedTask): void {
		const evidence = evidences.get(submission) ?? createEvidence(expectedRunMs);
		evidences.set(submission, evidence);
		// Restarted tasks declare no run time.
		evidence.meanRun += expectedRunMs === 0 ? 0 : newestRunWeight * (expectedRunMs - evidence.meanRun);
		evidence.lostJobs.set(job, clock.now());
		if (losses.possible > 1) {
			evidence.repeatedlyLostJobs.set(job, clock.now());
			lastRepeatedLossAt = clock.now();
		}

		if (clock.now() < evidence.suspectUntil) {
			evidence.suspectUntil = clock.now() + suspicionMs;
		}
	}

	function assess(evidence: Evidence): void {
		const {lostJobs, repeatedlyLostJobs, meanRun} = evidence;
		deleteExpired(lostJobs);
		deleteExpired(repeatedlyLostJobs);
		const expected = lostJobs.size * computeLossRate() * Math.max(1, meanRun);
		const excess = repeatedlyLostJobs.size < minRepeatedJobs ? 0 : repeatedlyLostJobs.size / expected;
		const isSuspect = clock.now() < evidence.suspectUntil;
		if (excess >= minExcess) {
			evidence.suspectUntil = clock.now() + suspicionMs;
			evidence.maxExcess = isSuspect ? Math.max(excess, evidence.maxExcess) : excess;
		}
	}

	/** Returns the probability that a given upstream is lost within a millisecond. */
	function computeLossRate(): number {
		const [firstLossAt = clock.now()] = lostUpstreams.values();
		const span = Math.max(minRateSpanMs, clock.now() - firstLossAt);
		return lostUpstreams.size / (span * Math.max(1, getUpstreamCount()));
	}

	function deleteExpired(times: Map<string, Milliseconds>): void {
		for (const [key, at] of times) {
			if (clock.now() - at >= evidenceMs) {
				times.delete(key);
			}
		}
	}
}

function createEvidence(expectedRunMs: Milliseconds): Evidence {
	return {
		lostJobs: new Map(), repeatedlyLostJobs: new Map(), meanRun: expectedRunMs, suspectUntil: -Infinity, maxExcess: 0,
	};
}
