/**
 * The utility of answers to the users: full within the objective, a fifth up to three times the objective, none later.
 */
import type {Milliseconds} from '../../src/process/clock.js';
import {groupBy} from '../group-by.js';
import type {JobGroupResult, SiteResult, SiteJob} from './site-types.js';

/** The state of one job, and its result when it has ended. */
export type SiteJobRecord = {
	readonly job: SiteJob;
	startedAt: Milliseconds | undefined;
	end: {readonly kind: 'completed' | 'refused' | 'failed'; readonly after: Milliseconds} | undefined;
};

const lateUtilityShare = 0.2;
const maxLateFactor = 3;
const windowMs: Milliseconds = 2000;
const worstWindowCount = 2;
/** Share of the jobs of a kind that count as its largest. */
const largestShare = 0.1;

/** Computes the result of a run. */
export function summarizeSite(records: readonly SiteJobRecord[], counts: Pick<SiteResult, 'scenario' | 'load' | 'starts' | 'refusedStarts' | 'messages'>): SiteResult {
	const byKind = groupBy(records, record => record.job.kind.name);
	const windows = [...groupBy(records, record => Math.floor(record.job.arrivedAt / windowMs)).values()].map(group => summarizeGroup(group).utility);
	const startDelays = records.flatMap(({job, startedAt}) => startedAt === undefined ? [] : [startedAt - job.arrivedAt]);
	return {
		...counts,
		all: summarizeGroup(records),
		byKind: new Map([...byKind].map(([kind, group]) => [kind, summarizeGroup(group)])),
		largestTenth: summarizeGroup([...byKind.values()].flatMap(group => getLargest(group))),
		worstWindowsUtility: windows.toSorted((a, b) => a - b).slice(0, worstWindowCount).reduce((sum, utility) => sum + (utility / worstWindowCount), 0),
		heldUtility: getHeldUtility(records),
		firstStartDelay: getQuantiles(startDelays),
	};
}

function getQuantiles(values: readonly Milliseconds[]): {readonly p50: Milliseconds; readonly p99: Milliseconds} {
	const sorted = values.toSorted((a, b) => a - b);
	return {p50: sorted[Math.floor(sorted.length / 2)] ?? Number.NaN, p99: sorted[Math.floor(sorted.length * 0.99)] ?? Number.NaN};
}

function summarizeGroup(records: readonly SiteJobRecord[]): JobGroupResult {
	const count = (isCounted: (record: SiteJobRecord) => boolean) => records.filter(record => isCounted(record)).length;
	const responses = records.flatMap(({end}) => end?.kind === 'completed' ? [end.after] : []);
	let possible = 0;
	let earned = 0;
	for (const record of records) {
		possible += record.job.utility;
		earned += getEarnedUtility(record);
	}

	return {
		jobs: records.length,
		inTime: count(record => getEarnedUtility(record) === record.job.utility),
		late: count(record => record.end?.kind === 'completed' && getEarnedUtility(record) < record.job.utility),
		refused: count(record => record.end?.kind === 'refused'),
		utility: earned / possible,
		response: getQuantiles(responses),
	};
}

/** Returns the share of the utility of jobs that waited for over half their deadline and ended without a start. */
function getHeldUtility(records: readonly SiteJobRecord[]): number {
	const isHeld = ({job, startedAt, end}: SiteJobRecord) => startedAt === undefined && (end?.after ?? job.deadline) > job.deadline / 2;
	const sum = (some: readonly SiteJobRecord[]) => some.reduce((total, {job}) => total + job.utility, 0);
	return sum(records.filter(record => isHeld(record))) / sum(records);
}

function getEarnedUtility({job, end}: SiteJobRecord): number {
	if (end?.kind !== 'completed' || end.after > job.objective * maxLateFactor) {
		return 0;
	}

	return end.after <= job.objective ? job.utility : job.utility * lateUtilityShare;
}

function getLargest(records: readonly SiteJobRecord[]): readonly SiteJobRecord[] {
	return records.toSorted((a, b) => b.job.utility - a.job.utility).slice(0, Math.ceil(records.length * largestShare));
}
