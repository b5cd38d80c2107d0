/**
 * Generates the jobs of a scenario: arrivals are open loop, and each task has its own random run time.
 */
import type {Milliseconds} from '../../src/process/clock.js';
import {createRandom, type Random} from './random.js';
import type {BenchJob} from './types.js';

/** Most tasks run for 50 ms to a second, a few for several seconds. */
const shortRun = {min: 50, max: 1000} as const;
const longRun = {min: 1000, max: 5000} as const;
const longShare = 0.05;
/** Mean of the run times above; each of the two ranges is log-uniform. */
export const meanRun: Milliseconds = ((1 - longShare) * getLogUniformMean(shortRun)) + (longShare * getLogUniformMean(longRun));

/** Parameters of a workload. */
export type WorkloadOptions = {
	readonly seed: number;
	readonly jobs: number;
	/** Arriving work over the capacity of all slots. */
	readonly load: number;
	readonly slots: number;
	readonly entries: number;
	/** Share of the jobs that entry 0 receives; the rest is distributed evenly over the other entries. */
	readonly firstEntryShare?: number;
	/** Maximum number of tasks in a job; the number is log-uniform from 1. */
	readonly maxTasks?: number;
	/** Maximum factor by which declared run times are too high or too low. */
	readonly declaredError?: number;
	/** Share of tasks that run 20 times as long. */
	readonly stragglerShare?: number;
	/** Arrival rate during a burst over the mean rate; bursts last for 200 ms of every 10 s. */
	readonly burstFactor?: number;
	/** Interval of arrivals of which half are cancelled at its end. */
	readonly cancelWave?: {readonly from: Milliseconds; readonly to: Milliseconds};
	readonly deadline?: Milliseconds;
};

const stragglerFactor = 20;
const burstPeriod: Milliseconds = 10_000;
const burstLength: Milliseconds = 200;

/** Generates the jobs in order of arrival. */
export function createJobs(options: WorkloadOptions): readonly BenchJob[] {
	const random = createRandom(options.seed);
	const maxTasks = options.maxTasks ?? 1;
	const stragglerWorkFactor = 1 + ((options.stragglerShare ?? 0) * (stragglerFactor - 1));
	const workPerJob = getMeanTasks(maxTasks) * meanRun * stragglerWorkFactor;
	const meanGap = workPerJob / (options.load * options.slots);
	const jobs: BenchJob[] = [];
	let time = 0;
	for (let i = 0; i < options.jobs; i++) {
		time += random.exponential(meanGap * getGapFactor(time, options.burstFactor ?? 1));
		jobs.push(createJob(random, options, `job-${i}`, time));
	}

	return jobs;
}

function createJob(random: Random, options: WorkloadOptions, ticket: string, arrivedAt: Milliseconds): BenchJob {
	const taskCount = Math.floor(random.logUniform(1, (options.maxTasks ?? 1) + 0.999));
	const error = options.declaredError ?? 1;
	return {
		ticket,
		entry: drawEntry(random, options),
		team: 'team',
		arrivedAt,
		runTimes: Array.from({length: taskCount}, () => drawRunTime(random, options.stragglerShare ?? 0)),
		declaredRun: meanRun * random.logUniform(1 / error, error),
		deadline: options.deadline ?? Infinity,
		cancelAfter: getCancelAfter(random, options, arrivedAt),
	};
}

function drawRunTime(random: Random, stragglerShare: number): Milliseconds {
	const {min, max} = random.float() < longShare ? longRun : shortRun;
	const runTime = random.logUniform(min, max);
	return random.float() < stragglerShare ? runTime * stragglerFactor : runTime;
}

function drawEntry(random: Random, options: WorkloadOptions): number {
	const {entries, firstEntryShare} = options;
	if (firstEntryShare === undefined || entries === 1) {
		return random.integerBelow(entries);
	}

	return random.float() < firstEntryShare ? 0 : 1 + random.integerBelow(entries - 1);
}

function getCancelAfter(random: Random, {cancelWave}: WorkloadOptions, arrivedAt: Milliseconds): Milliseconds | undefined {
	if (cancelWave === undefined || arrivedAt < cancelWave.from || arrivedAt > cancelWave.to) {
		return undefined;
	}

	return random.float() < 0.5 ? cancelWave.to - arrivedAt : undefined;
}

/** Returns the factor on the mean gap between arrivals. Between bursts the rate is lower, so that the overall mean is kept. */
function getGapFactor(time: Milliseconds, burstFactor: number): number {
	const share = burstLength / burstPeriod;
	const isBurst = time % burstPeriod < burstLength;
	return isBurst ? 1 / burstFactor : (1 - share) / (1 - (share * burstFactor));
}

function getMeanTasks(maxTasks: number): number {
	let sum = 0;
	const span = Math.log(maxTasks + 0.999);
	for (let count = 1; count <= maxTasks; count++) {
		const upperBound = Math.min(count + 1, maxTasks + 0.999);
		sum += count * Math.log(upperBound / count) / span;
	}

	return sum;
}

function getLogUniformMean({min, max}: {readonly min: number; readonly max: number}): number {
	return (max - min) / Math.log(max / min);
}
