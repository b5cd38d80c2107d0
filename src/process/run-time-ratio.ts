/**
 * An estimate of how long runs take on one upstream, relative to their declared run times. Declared times are off by up
 * to 40 % for a whole job, and a few runs take many times as long as declared, so a single run says little. The estimate
 * moves slowly: an upstream that is slow for some seconds is a matter of its health, not of its speed.
 */
import type {Milliseconds} from './clock.js';

/** The estimate for one incarnation of an upstream. */
export type RunTimeRatio = {
	/** Records a completed run of a task of this job. */
	record(job: string, measured: Milliseconds, declared: Milliseconds): void;
	/** Returns measured divided by declared run time; undefined until enough jobs have run. */
	tryGet(): number | undefined;
};

/** Declared times below this are ignored: with them, the calls to the upstream would count as slowness. */
const minDeclared: Milliseconds = 20;
/** Number of jobs after which the estimate is used; its standard error is then about 9 %. */
const minJobs = 8;
/** Number of recent jobs that determine the estimate. */
const windowJobs = 120;
/** Weight of a further task of a recent job: it repeats the error of the job's declared time. */
const furtherTaskWeight = 0.15;
/** Number of recent jobs whose further tasks are recognized. */
const maxRecentJobs = 64;
/** Maximum deviation of one run from the estimate, on a logarithmic scale; larger ones count as this much. */
const maxDeviation = 0.5;

/** Creates an estimate without any completed runs. */
export function createRunTimeRatio(): RunTimeRatio {
	const recentJobs = new Set<string>();
	let logarithm = 0;
	let jobs = 0;

	return {
		record(job, measured, declared) {
			if (declared < minDeclared || measured <= 0) {
				return;
			}

			const weight = isFurtherTask(job) ? furtherTaskWeight : 1;
			jobs = Math.min(windowJobs, jobs + weight);
			const deviation = Math.log(measured / declared) - logarithm;
			logarithm += Math.max(-maxDeviation, Math.min(maxDeviation, deviation)) * weight / jobs;
		},
		tryGet: () => jobs < minJobs ? undefined : Math.exp(logarithm),
	};

	function isFurtherTask(job: string): boolean {
		if (recentJobs.has(job)) {
			return true;
		}

		recentJobs.add(job);
		if (recentJobs.size > maxRecentJobs) {
			recentJobs.delete(recentJobs.values().next().value!);
		}

		return false;
	}
}
