/**
 * Finds the submission object whose tasks crash their upstreams, from the tasks that were lost a short while ago. Every
 * crash also takes innocent tasks, but these are seldom lost again, and the less likely so the shorter they run: their
 * chance of a second loss grows with their run time. A task that causes its crashes is lost each time.
 */
import type {LostTask} from '../generated/kingcuplane.js';
import type {Clock, Milliseconds} from '../process/clock.js';

/** Evidence by submission object. */
export type SuspectSubmissions = {
	/** Records the loss of a task; `isRepeated` if it was lost before. */
	recordLoss(task: LostTask, isRepeated: boolean): void;
	/** Whether any task was lost repeatedly a short while ago. */
	hasRepeatedLosses(): boolean;
	/** Returns the submission object that is most likely to be the cause; undefined if the evidence is too weak. */
	tryGet(): string | undefined;
};

/** Losses of the jobs of one submission object. */
type Evidence = {
	/** Time of the last loss, by job. */
	readonly lostJobs: Map<string, Milliseconds>;
	/** Time of the last repeated loss, by job. */
	readonly repeatedlyLostJobs: Map<string, Milliseconds>;
	/** Longest declared run time among the lost tasks. */
	maxRun: Milliseconds;
};

/** Time for which a loss counts; upstreams take some seconds to return. */
const evidenceMs: Milliseconds = 5000;
/** Number of jobs with repeated losses that make their submission object suspect. */
const minRepeatedJobs = 2;

/** Creates the evidence of a process that knows of no losses. */
export function createSuspectSubmissions(clock: Clock): SuspectSubmissions {
	const evidences = new Map<string, Evidence>();
	let lastRepeatedLossAt = -Infinity;

	return {
		recordLoss({job, submission, expectedRunMs}, isRepeated) {
			const evidence = evidences.get(submission) ?? {lostJobs: new Map(), repeatedlyLostJobs: new Map(), maxRun: 1};
			evidences.set(submission, evidence);
			deleteExpired(evidence);
			evidence.maxRun = Math.max(evidence.maxRun, expectedRunMs);
			evidence.lostJobs.set(job, clock.now());
			if (isRepeated) {
				evidence.repeatedlyLostJobs.set(job, clock.now());
				lastRepeatedLossAt = clock.now();
			}
		},
		hasRepeatedLosses,
		tryGet() {
			return hasRepeatedLosses() ? findMostSuspect() : undefined;
		},
	};

	function hasRepeatedLosses(): boolean {
		return clock.now() - lastRepeatedLossAt < evidenceMs;
	}

	function findMostSuspect(): string | undefined {
		let suspect: string | undefined;
		let highestRate = 0;
		for (const [submission, evidence] of evidences) {
			deleteExpired(evidence);
			const {lostJobs, repeatedlyLostJobs, maxRun} = evidence;
			const rate = repeatedlyLostJobs.size < minRepeatedJobs ? 0 : repeatedlyLostJobs.size / (lostJobs.size * maxRun);
			if (rate > highestRate) {
				suspect = submission;
				highestRate = rate;
			}
		}

		return suspect;
	}

	function deleteExpired({lostJobs, repeatedlyLostJobs}: Evidence): void {
		const oldest = clock.now() - evidenceMs;
		for (const jobs of [lostJobs, repeatedlyLostJobs]) {
			for (const [job, at] of jobs) {
				if (at < oldest) {
					jobs.delete(job);
				}
			}
		}
	}
}
