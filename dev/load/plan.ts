/**
 * Plans the jobs of a load run and their arrival times from a seed, independent of the answers (open loop).
 */
import type {Milliseconds} from '../../src/process/clock.js';
import {createRandom, drawExponential, drawInteger} from '../random.js';

/** Parameters of the load. */
export type LoadShape = {
	readonly seed: number;
	/** Mean number of jobs per second; arrivals are a Poisson process. */
	readonly rate: number;
	readonly durationMs: Milliseconds;
	/** Number of entries over which the jobs are distributed. */
	readonly entries: number;
	/** Bounds of the number of tasks in a job, which is uniform. */
	readonly tasksMin: number;
	readonly tasksMax: number;
	/** Run time of a task: `runMsMin` plus an exponential part; `runMsMean` is the mean of the sum. */
	readonly runMsMin: Milliseconds;
	readonly runMsMean: Milliseconds;
	/** Share of jobs, 0 to 1, that are submitted a second time under the same ticket. */
	readonly resubmitShare: number;
	/** Share of jobs, 0 to 1, that are cancelled while they may be running. */
	readonly cancelShare: number;
};

/** One job to send. */
export type PlannedJob = {
	readonly index: number;
	/** Time from the start of the run to the arrival of the job. */
	readonly arrivalOffset: Milliseconds;
	/** Index of the entry that the job is sent to. */
	readonly entry: number;
	/** Run time of each task. */
	readonly runMs: readonly Milliseconds[];
	/** A second submission, `after` milliseconds after the first. */
	readonly resubmission?: {readonly after: Milliseconds; readonly entry: number};
	/** Time from the first submission to the cancellation of the job. */
	readonly cancelAfter?: Milliseconds;
};

/** Generates all jobs in order of arrival. The same parameters give the same jobs. */
export function * planJobs(shape: LoadShape): Generator<PlannedJob> {
	const random = createRandom(shape.seed);
	let arrivalOffset = 0;
	for (let index = 0; ; index++) {
		arrivalOffset += drawExponential(random, 1000 / shape.rate);
		if (arrivalOffset >= shape.durationMs) {
			return;
		}

		const entry = drawInteger(random, 0, shape.entries - 1);
		const taskCount = drawInteger(random, shape.tasksMin, shape.tasksMax);
		const runMs = Array.from({length: taskCount}, () => drawRunTime());
		// Every random number is drawn for every job, so that a change of one share does not change the rest of the plan.
		const isResubmitted = random() < shape.resubmitShare;
		const resubmission = {after: random() * shape.runMsMean * 2, entry: drawInteger(random, 0, shape.entries - 1)};
		const isCancelled = random() < shape.cancelShare;
		const cancelAfter = random() * shape.runMsMean * 2;
		yield {
			index,
			arrivalOffset,
			entry,
			runMs,
			resubmission: isResubmitted ? resubmission : undefined,
			cancelAfter: isCancelled ? cancelAfter : undefined,
		};
	}

	function drawRunTime(): Milliseconds {
		return Math.round(shape.runMsMin + drawExponential(random, Math.max(0, shape.runMsMean - shape.runMsMin)));
	}
}

/**
 * Returns the ideal response time of a job that has all slots to itself: its longest task, or its total run time divided
 * by the number of slots if that is longer.
 */
export function getIdealResponse(runMs: readonly Milliseconds[], slots: number): Milliseconds {
	const sum = runMs.reduce((total, ms) => total + ms, 0);
	return Math.max(1, sum / slots, ...runMs);
}
