/**
 * What answers are worth to the users: all by the objective, a fifth up to three times the objective, nothing later.
 */
import type {Milliseconds} from '../../src/process/clock.js';
import {groupBy} from '../group-by.js';
import type {JobGroupResult, SiteResult, SiteJob} from './site-types.js';

/** What became of one job. */
export type SiteJobRecord = {
	readonly job: SiteJob;
	startedAt: Milliseconds | undefined;
	end: {readonly kind: 'completed' | 'refused' | 'failed'; readonly after: Milliseconds} | undefined;
};

const latePart = 0.2;
const lateFactor = 3;
const windowMs: Milliseconds = 2000;
const worstWindowCount = 2;
/** Part of the jobs of a kind that count as its largest. */
const largestPart = 0.1;

/** Works out the figures of a run. */
export function summarizeSite(records: readonly SiteJobRecord[], counts: Pick<SiteResult, 'scenario' | 'load' | 'starts' | 'refusedStarts' | 'messages'>): SiteResult {
	const byKind = groupBy(records, record => record.job.kind.name);
	const windows = [...groupBy(records, record => Math.floor(record.job.arrivedAt / windowMs)).values()].map(part => getServed(part).utility);
	const waits = records.flatMap(({job, startedAt}) => startedAt === undefined ? [] : [startedAt - job.arrivedAt]).toSorted((a, b) => a - b);
	return {
		...counts,
		all: getServed(records),
		byKind: new Map([...byKind].map(([kind, part]) => [kind, getServed(part)])),
		largestTenth: getServed([...byKind.values()].flatMap(part => getLargest(part))),
		worstWindowsUtility: windows.toSorted((a, b) => a - b).slice(0, worstWindowCount).reduce((sum, worth) => sum + (worth / worstWindowCount), 0),
		heldUtility: getHeldWorth(records),
		firstStartDelay: {p50: waits[Math.floor(waits.length / 2)] ?? Number.NaN, p99: waits[Math.floor(waits.length * 0.99)] ?? Number.NaN},
	};
}

function getServed(records: readonly SiteJobRecord[]): JobGroupResult {
	const count = (isCounted: (record: SiteJobRecord) => boolean) => records.filter(record => isCounted(record)).length;
	let owed = 0;
	let earned = 0;
	for (const record of records) {
		owed += record.job.utility;
		earned += getEarned(record);
	}

	return {
		jobs: records.length,
		inTime: count(record => getEarned(record) === record.job.utility),
		late: count(record => record.end?.kind === 'completed' && getEarned(record) < record.job.utility),
		refused: count(record => record.end?.kind === 'refused'),
		utility: earned / owed,
	};
}

/** Part of the worth that belongs to jobs that waited over half their time and were refused without having been begun. */
function getHeldWorth(records: readonly SiteJobRecord[]): number {
	const isHeld = ({job, startedAt, end}: SiteJobRecord) => startedAt === undefined && (end?.after ?? job.deadline) > job.deadline / 2;
	const sum = (some: readonly SiteJobRecord[]) => some.reduce((total, {job}) => total + job.utility, 0);
	return sum(records.filter(record => isHeld(record))) / sum(records);
}

function getEarned({job, end}: SiteJobRecord): number {
	if (end?.kind !== 'completed' || end.after > job.objective * lateFactor) {
		return 0;
	}

	return end.after <= job.objective ? job.utility : job.utility * latePart;
}

function getLargest(records: readonly SiteJobRecord[]): readonly SiteJobRecord[] {
	return records.toSorted((a, b) => b.job.utility - a.job.utility).slice(0, Math.ceil(records.length * largestPart));
}
