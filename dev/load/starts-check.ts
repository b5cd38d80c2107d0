/**
 * Compares what callers were told with the starts that stand-in upstreams counted.
 */
import {request} from 'undici';
import {z} from 'zod';
import type {JobResult} from './results.js';

const countsSchema = z.object({
	total: z.number(),
	violations: z.number(),
	tasks: z.record(z.string(), z.object({starts: z.number()})),
});

/** Counts of one upstream. */
export type StartCounts = z.infer<typeof countsSchema>;

/** Faults found; all but `total` are 0 if the promises were kept. */
export type StartsReport = {
	/** Starts at all upstreams, of all tasks. */
	readonly total: number;
	/** Starts at an upstream whose slots were all taken. */
	readonly violations: number;
	/** Tasks that were started more than once. */
	readonly startedTwice: number;
	/** Jobs answered with `not-run`, of which a task was started. */
	readonly startedThoughNotRun: number;
	/** Complete jobs of which a task was never started. */
	readonly completeThoughNotStarted: number;
};

/** Reads the counts of a stand-in upstream. */
export async function fetchStartCounts(url: string): Promise<StartCounts> {
	const {body} = await request(`${url}/counts`);
	return countsSchema.parse(await body.json());
}

/** Compares the results with the counts of all upstreams. Tasks of other runs are ignored, but for the totals. */
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
