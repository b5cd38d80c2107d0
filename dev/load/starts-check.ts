/**
 * Compares the answers to callers with the starts that the stand-in upstreams counted.
 */
import {request} from 'undici';
import {z} from 'zod';
import type {JobResult} from './results.js';

const countsSchema = z.object({
	total: z.number(),
	violations: z.number(),
	tasks: z.record(z.string(), z.object({starts: z.number()})),
});

/** Starts counted by one upstream. */
export type StartCounts = z.infer<typeof countsSchema>;

/** Faults found; all counts but `total` are 0 if no guarantee was violated. */
export type StartsReport = {
	/** Starts of all tasks at all upstreams. */
	readonly total: number;
	/** Starts at an upstream whose slots were all in use. */
	readonly violations: number;
	/** Tasks that were started more than once. */
	readonly startedTwice: number;
	/** Jobs answered with `not-run` although one of their tasks was started. */
	readonly startedThoughNotRun: number;
	/** Complete jobs with a task that was never started. */
	readonly completeThoughNotStarted: number;
};

/** Fetches the counts of a stand-in upstream. */
export async function fetchStartCounts(url: string): Promise<StartCounts> {
	const {body} = await request(`${url}/counts`);
	return countsSchema.parse(await body.json());
}

/** Compares the results with the counts of all upstreams. Tasks of other runs are included in the totals only. */
export function checkStarts(results: readonly JobResult[], upstreams: readonly StartCounts[]): StartsReport {
	const startsByTask = sumStarts(upstreams);
	let startedTwice = 0;
	let startedThoughNotRun = 0;
	let completeThoughNotStarted = 0;
	for (const result of results) {
		const starts = getStarts(result, startsByTask);
		startedTwice += starts.filter(count => count > 1).length;
		if (result.answer?.ran === 'not-run' && starts.some(count => count > 0)) {
			startedThoughNotRun++;
		}

		if (result.answer?.state === 'complete' && starts.includes(0)) {
			completeThoughNotStarted++;
		}
	}

	return {
		total: upstreams.reduce((sum, {total}) => sum + total, 0),
		violations: upstreams.reduce((sum, {violations}) => sum + violations, 0),
		startedTwice,
		startedThoughNotRun,
		completeThoughNotStarted,
	};
}

/** Whether any fault was found. `mayRepeat` allows tasks to start more than once. */
export function hasStartFaults(report: StartsReport, mayRepeat: boolean): boolean {
	const {violations, startedTwice, startedThoughNotRun, completeThoughNotStarted} = report;
	const repeats = mayRepeat ? 0 : startedTwice;
	return violations + repeats + startedThoughNotRun + completeThoughNotStarted > 0;
}

function sumStarts(upstreams: readonly StartCounts[]): ReadonlyMap<string, number> {
	const startsByTask = new Map<string, number>();
	for (const {tasks} of upstreams) {
		for (const [task, {starts}] of Object.entries(tasks)) {
			startsByTask.set(task, (startsByTask.get(task) ?? 0) + starts);
		}
	}

	return startsByTask;
}

function getStarts({ticket, taskCount}: JobResult, startsByTask: ReadonlyMap<string, number>): readonly number[] {
	return ticket === undefined
		? []
		: Array.from({length: taskCount}, (_, index) => startsByTask.get(`${ticket}/${index}`) ?? 0);
}
