/**
 * Collects and summarizes the results of the jobs of a load run.
 */
import {build, type Histogram} from 'hdr-histogram-js';
import type {Milliseconds} from '../../src/process/clock.js';
import type {AnswerVerdict} from './answer-check.js';
import type {EntryAnswer} from './entry-client.js';

/** The result of one job. */
export type JobResult = {
	/** Undefined if no entry issued a ticket. */
	readonly ticket: string | undefined;
	readonly taskCount: number;
	/** The first final answer; undefined if none arrived in time. */
	readonly answer: Omit<EntryAnswer, 'tasks'> | undefined;
	/** Time from the planned arrival to the first final answer. */
	readonly response: Milliseconds;
	/** Response time of the job if it had all slots to itself. */
	readonly ideal: Milliseconds;
	/** Verdicts on all answers to the ticket. */
	readonly verdicts: readonly AnswerVerdict[];
	/** Number of times the submission was sent again because no final answer had arrived. */
	readonly resends: number;
	readonly resubmitted: boolean;
	readonly cancelled: boolean;
};

/** Mean and percentiles of a distribution. */
export type Percentiles = {
	readonly count: number;
	readonly mean: number;
	readonly p50: number;
	readonly p90: number;
	readonly p99: number;
	readonly p999: number;
	readonly max: number;
};

/** Counts by name. */
export type Counts = Readonly<Record<string, number>>;

/** Summary of a load run. Percentiles of response and slowdown cover complete jobs only. */
export type LoadSummary = {
	readonly jobs: number;
	readonly tasks: number;
	/** Jobs by state of the first final answer, or `unanswered`. */
	readonly states: Counts;
	/** Jobs by the execution status in the first final answer. */
	readonly ran: Counts;
	/** Jobs by kind of the diagnostic in the first final answer. */
	readonly kinds: Counts;
	/** Answers by verdict, including those to resubmissions. */
	readonly verdicts: Counts;
	readonly resubmitted: number;
	readonly cancelled: number;
	readonly resends: number;
	readonly responseMs: Percentiles;
	/** Response time divided by the ideal response time. */
	readonly slowdown: Percentiles;
	/** Time from the planned arrival of a job until the load tool sent it. */
	readonly lagMs: Percentiles;
};

/** Collects results. */
export type ResultCollector = {
	record(result: JobResult): void;
	/** Records the time from the planned arrival of a job until it was sent. */
	recordLag(lag: Milliseconds): void;
	/** Returns the results so far in order of their end. */
	getResults(): readonly JobResult[];
	summarize(): LoadSummary;
};

/** Creates an empty collector. */
export function createResultCollector(): ResultCollector {
	const results: JobResult[] = [];
	const response = createDistribution();
	const slowdown = createDistribution();
	const lag = createDistribution();

	return {
		record(result) {
			results.push(result);
			if (result.answer?.state === 'complete') {
				response.record(result.response);
				slowdown.record(result.response / result.ideal);
			}
		},
		recordLag: lag.record,
		getResults: () => results,
		summarize: () => ({
			jobs: results.length,
			tasks: results.reduce((sum, {taskCount}) => sum + taskCount, 0),
			states: countBy(results, ({answer}) => answer?.state ?? 'unanswered'),
			ran: countBy(results, ({answer}) => answer?.ran),
			kinds: countBy(results, ({answer}) => answer?.diagnostic?.kind),
			verdicts: countBy(results.flatMap(({verdicts}) => verdicts), verdict => verdict),
			resubmitted: results.filter(({resubmitted}) => resubmitted).length,
			cancelled: results.filter(({cancelled}) => cancelled).length,
			resends: results.reduce((sum, {resends}) => sum + resends, 0),
			responseMs: response.getPercentiles(),
			slowdown: slowdown.getPercentiles(),
			lagMs: lag.getPercentiles(),
		}),
	};
}

type Distribution = {
	record(value: number): void;
	getPercentiles(): Percentiles;
};

/** Histograms store integers only, so values are recorded in thousandths. */
const histogramScale = 1000;
const significantDigits = 3;

function createDistribution(): Distribution {
	const histogram: Histogram = build({numberOfSignificantValueDigits: significantDigits});

	return {
		record(value) {
			histogram.recordValue(Math.max(0, Math.round(value * histogramScale)));
		},
		getPercentiles: () => ({
			count: histogram.totalCount,
			mean: round(histogram.mean / histogramScale),
			p50: getPercentile(50),
			p90: getPercentile(90),
			p99: getPercentile(99),
			p999: getPercentile(99.9),
			max: round(histogram.maxValue / histogramScale),
		}),
	};

	function getPercentile(percentile: number): number {
		if (histogram.totalCount === 0) {
			return 0;
		}

		// A percentile is the upper bound of its bucket, which may exceed every recorded value.
		const value = Math.min(histogram.getValueAtPercentile(percentile), histogram.maxValue);
		return round(value / histogramScale);
	}
}

function round(value: number): number {
	return Math.round(value * histogramScale) / histogramScale;
}

function countBy<T>(items: readonly T[], getName: (item: T) => string | undefined): Counts {
	const counts: Record<string, number> = {};
	for (const item of items) {
		const name = getName(item);
		if (name !== undefined) {
			counts[name] = (counts[name] ?? 0) + 1;
		}
	}

	return counts;
}
