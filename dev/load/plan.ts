/**
 * What a load run sends and when: seeded, and independent of the answers (open loop).
 */
import type {Milliseconds} from '../../src/process/clock.js';
import {createRandom, drawExponential, drawInteger} from '../random.js';

/** The shape of the load. */
export type LoadShape = {
	readonly seed: number;
	/** Jobs a second, as a mean; arrivals are a Poisson process. */
	readonly rate: number;
	readonly durationMs: Milliseconds;
	/** Number of entries that jobs are spread over. */
	readonly entries: number;
	/** Bounds of the tasks in a job, each number as likely. */
	readonly tasksMin: number;
	readonly tasksMax: number;
	/** Run times of tasks: the minimum and an exponential rest. */
	readonly runMsMin: Milliseconds;
	readonly runMsMean: Milliseconds;
	/** Share of jobs, 0 to 1, that are sent a second time under the same ticket. */
	readonly resubmitShare: number;
	/** Share of jobs, 0 to 1, that are cancelled while they may be running. */
	readonly cancelShare: number;
};

/** One job to send. */
export type PlannedJob = {
	readonly index: number;
	/** Time of arrival after the start of the run. */
	readonly arrivalOffset: Milliseconds;
	/** Position of the entry that it is sent to. */
	readonly entry: number;
	/** Run time of each task. */
	readonly runMs: readonly Milliseconds[];
	/** A second sending, `after` milliseconds after the first. */
	readonly resubmission?: {readonly after: Milliseconds; readonly entry: number};
	/** When the job is cancelled, in milliseconds after its first sending. */
	readonly cancelAfter?: Milliseconds;
};

/** Plans all jobs in order of arrival. The same shape gives the same jobs. */
export function * planJobs(shape: LoadShape): Generator<PlannedJob> {
	const random = createRandom(shape.seed);
	let at = 0;
	for (let index = 0; ; index++) {
		at += drawExponential(random, 1000 / shape.rate);
		if (at >= shape.durationMs) {
			return;
		}

		const entry = drawInteger(random, 0, shape.entries - 1);
		const taskCount = drawInteger(random, shape.tasksMin, shape.tasksMax);
		const runMs = Array.from({length: taskCount}, () => drawRunTime());
		// All draws are made for every job, so that a change of one share leaves the rest of the plan as it is.
		const isResubmitted = random() < shape.resubmitShare;
		const resubmission = {after: random() * shape.runMsMean * 2, entry: drawInteger(random, 0, shape.entries - 1)};
		const isCancelled = random() < shape.cancelShare;
		const cancelAfter = random() * shape.runMsMean * 2;
		yield {
			index,
			arrivalOffset: at,
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

/** The shortest response of a job that has all slots for itself: its longest task, or its work spread over the slots. */
export function getIdealResponse(runMs: readonly Milliseconds[], slots: number): Milliseconds {
	const sum = runMs.reduce((total, ms) => total + ms, 0);
	return Math.max(1, sum / slots, ...runMs);
}
