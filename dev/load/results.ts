/**
 * Collects what became of the jobs of a load run and sums it up.
 */
import {build, type Histogram} from 'hdr-histogram-js';
import type {Milliseconds} from '../../src/process/clock.js';
import type {AnswerVerdict} from './answer-check.js';
import type {EntryAnswer} from './entry-client.js';

/** What became of one job. */
export type JobResult = {
	/** Undefined if no entry gave a ticket. */
	readonly ticket: string | undefined;
	readonly taskCount: number;
	/** The first final answer; undefined if none came in time. */
	readonly answer: Omit<EntryAnswer, 'tasks'> | undefined;
	/** Time from the planned arrival to the first final answer. */
	readonly response: Milliseconds;
	/** The response if the job had all slots for itself. */
	readonly ideal: Milliseconds;
	/** Verdicts over all answers under the ticket. */
	readonly verdicts: readonly AnswerVerdict[];
	/** Times that the submission was sent again because no final answer had come. */
	readonly resends: number;
	readonly resubmitted: boolean;
	readonly cancelled: boolean;
};

/** Points of a distribution. */
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

/** Sums of a load run. Percentiles are over complete jobs. */
export type LoadSummary = {
	readonly jobs: number;
	readonly tasks: number;
	/** By state of the first final answer, or `unanswered`. */
	readonly states: Counts;
	/** By what the first final answer says about the work. */
	readonly ran: Counts;
	/** By kind of diagnostic of answers that are not complete. */
	readonly kinds: Counts;
	/** By verdict over all answers, also those to resubmissions. */
	readonly verdicts: Counts;
	readonly resubmitted: number;
	readonly cancelled: number;
	readonly resends: number;
	readonly responseMs: Percentiles;
	/** Response over ideal. */
	readonly slowdown: Percentiles;
	/** How late the load tool itself sent jobs. */
	readonly lagMs: Percentiles;
};

/** Collects results. */
export type ResultCollector = {
	record(result: JobResult): void;
	/** Records how late a job was sent. */
	recordLag(lag: Milliseconds): void;
	/** Results so far, in order of their end. */
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

/** Values are kept in thousandths, because histograms take integers only. */
const unit = 1000;
const significantDigits = 3;

function createDistribution(): Distribution {
	const histogram: Histogram = build({numberOfSignificantValueDigits: significantDigits});

	return {
		record(value) {
			histogram.recordValue(Math.max(0, Math.round(value * unit)));
		},
		getPercentiles: () => ({
			count: histogram.totalCount,
			mean: round(histogram.mean / unit),
			p50: at(50),
			p90: at(90),
			p99: at(99),
			p999: at(99.9),
			max: round(histogram.maxValue / unit),
		}),
	};

	function at(percentile: number): number {
		if (histogram.totalCount === 0) {
			return 0;
		}

		// A percentile is the upper end of its bucket, which may lie above every value in it.
		const value = Math.min(histogram.getValueAtPercentile(percentile), histogram.maxValue);
		return round(value / unit);
	}
}

function round(value: number): number {
	return Math.round(value * unit) / unit;
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
