/**
 * Checks the promises of the system during a soak, from what clients and executors have seen.
 */
import type {Milliseconds} from '../../src/process/clock.js';
import type {PlatformEvent} from '../platform-system.js';
import type {SoakJob} from './soak-clients.js';

/** A broken promise. */
export type SoakViolation = {
	readonly rule: string;
	readonly subject: string;
	readonly detail: string;
};

/** Collects events of executors while a soak runs, and judges the jobs at its end. */
export type SoakChecker = {
	/** Adds events that happened since the last call, in order of time. Returns the promises that they break. */
	addEvents(events: readonly PlatformEvent[]): readonly SoakViolation[];
	/** Judges the jobs once nothing runs any more. */
	judgeJobs(jobs: readonly SoakJob[]): readonly SoakViolation[];
	getStarts(): number;
};

type Run = {
	readonly executor: string;
	readonly number: number;
	readonly startedAt: Milliseconds;
	endedAt?: Milliseconds;
	what?: PlatformEvent['what'];
};

/** Time after which nothing may run for a job that nobody waits for. */
const abandonedGraceMs: Milliseconds = 3000;
/** Time beyond a client's limit within which it must have its end. */
const answerGraceMs: Milliseconds = 1000;
const refusalStatuses: ReadonlySet<number | undefined> = new Set([429, 503]);

/** Creates a checker that has seen nothing. */
export function createSoakChecker(): SoakChecker {
	const runsByTask = new Map<string, Run[]>();
	/** Ends whose starts come after them, since both happened in the same millisecond. */
	const earlyEnds: PlatformEvent[] = [];
	let starts = 0;

	return {
		addEvents(events) {
			return events.toSorted(compareEvents).flatMap(event => addEvent(event));
		},
		judgeJobs: jobs => jobs.flatMap(job => judgeJob(job)),
		getStarts: () => starts,
	};

	function addEvent(event: PlatformEvent): readonly SoakViolation[] {
		const {task, what, at, executor, run: number} = event;
		const runs = runsByTask.get(task) ?? [];
		runsByTask.set(task, runs);
		if (what !== 'start') {
			const open = runs.findLast(run => run.executor === executor && run.number === number && run.endedAt === undefined);
			if (open === undefined) {
				earlyEnds.push(event);
			} else {
				open.endedAt = at;
				open.what = what;
			}

			return [];
		}

		starts++;
		const other = runs.find(run => run.endedAt === undefined || run.endedAt > at);
		const end = earlyEnds.find(early => early.task === task && early.executor === executor && early.run === number && early.at === at);
		runs.push({
			executor, number, startedAt: at, endedAt: end?.at, what: end?.what,
		});
		return other === undefined
			? []
			: [{rule: 'no task runs twice at the same time', subject: task, detail: `${describe(other)}; ${executor} from ${at}`}];
	}

	function judgeJob(job: SoakJob): readonly SoakViolation[] {
		const runs = Array.from({length: job.tasks}, (_, index) => runsByTask.get(`${job.name}.0.0.${index}`) ?? []);
		const violations: SoakViolation[] = [];
		const report = (rule: string, detail: string) => {
			violations.push({rule, subject: job.name, detail: `${detail}; answers ${job.statuses.join(', ')}`});
		};

		if (job.statuses.every(status => refusalStatuses.has(status)) && runs.some(list => list.length > 0)) {
			report('a refused job has not run', runs.flat().map(run => describe(run)).join(', '));
		}

		if (job.body === '{"state":"completed"}' && !runs.every(list => list.some(({what}) => what === 'done'))) {
			report('a completed job is complete', `${runs.filter(list => list.some(({what}) => what === 'done')).length} of ${job.tasks} tasks are done`);
		}

		if (job.body === '{"state":"failed"}' && !job.isFaulty) {
			report('a sound job is not reported as failed', '');
		}

		if (job.endedAt === undefined) {
			report('every client gets an end', `sent at ${job.sentAt}`);
		}

		for (const run of runs.flat()) {
			if ((run.endedAt ?? Infinity) > (job.endedAt ?? Infinity) + abandonedGraceMs) {
				report('nothing runs for a job that nobody waits for', `${describe(run)}, left at ${job.endedAt}`);
			}
		}

		return violations;
	}
}

/** Time within which all clients must have ended after the last one has started. */
export const maxAnswerMs: Milliseconds = 3000 + answerGraceMs;

/** Ends come before starts of the same millisecond. */
function compareEvents(a: PlatformEvent, b: PlatformEvent): number {
	return a.at - b.at || Number(a.what === 'start') - Number(b.what === 'start');
}

function describe({executor, startedAt, endedAt, what}: Run): string {
	return `${executor} ${startedAt} to ${endedAt ?? '?'} ${what ?? ''}`;
}
