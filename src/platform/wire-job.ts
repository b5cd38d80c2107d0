/**
 * A job as clients send it: the format of its body, which kinds are served, and the submission that it becomes.
 */
import {Buffer} from 'node:buffer';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import type {Milliseconds} from '../process/clock.js';
import {amountSchema, createListSchema, labelSchema} from '../process/input-schemas.js';
import {readJson} from '../process/json.js';
import {decodeText, isEncodable} from '../process/text.js';
import type {SubmissionRequest} from '../request/submission-rules.js';
import type {Route} from '../version/types.js';

/** Largest number of tasks of a job. */
export const maxTasks = 1100;
/** Largest number of steps: each has a task at least. */
const maxSteps = maxTasks;
/** Largest `spec` in UTF-8, the form in which it is carried. */
const maxSpecBytes = 4000;
/** Bound on declared run times and deadlines; timers of the runtime overflow at 24 days. */
const maxRunMs: Milliseconds = 3_600_000;
/** Nineteen in twenty tasks take less than this multiple of their declared run time. */
const runTimeMarginFactor = 2.3;

const neededAmountSchema = amountSchema.default(0);
const stepSchema = z.object({
	count: z.int().min(1).default(1),
	cpu: neededAmountSchema,
	'mem-mb': neededAmountSchema,
	gpu: neededAmountSchema,
	'est-runtime-ms': z.number().min(0).max(maxRunMs).default(0),
	requires: labelSchema.optional(),
	'data-rack': labelSchema.optional(),
	'max-per-server': z.int().min(0).default(0),
	gang: z.boolean().default(false),
	'long-running': z.boolean().default(false),
	fills: z.boolean().default(false),
});
/** Format of the body of a job. */
const jobSchema = z.object({
	spec: z.string(),
	steps: createListSchema(stepSchema, {min: 1, max: maxSteps}),
	// If true, the job need not be stored, since the response carries its outcome.
	'best-effort': z.boolean().default(false),
	times: z.int().min(0).default(0),
});
/** The body of a job. */
export type WireJob = z.infer<typeof jobSchema>;

/** Reads the body of a job. Fails if an executor could not be told to start exactly what the client sent. */
export function readWireJob(body: Uint8Array): Result<WireJob, string> {
	return decodeText(body).andThen(text => readJson(jobSchema, text)).andThen(job => {
		if (!isEncodable(job.spec)) {
			return err('spec has a lone surrogate, which has no form in UTF-8');
		}

		const length = Buffer.byteLength(job.spec);
		return length > maxSpecBytes ? err(`spec has ${length} bytes, more than ${maxSpecBytes}`) : ok(job);
	});
}

/** Returns why jobs of this kind are not supported on this platform; undefined if they are. */
export function tryGetUnsupportedReason(job: WireJob, route: Pick<Route, 'isAdvised'>): string | undefined {
	const [step] = job.steps;
	if (route.isAdvised) {
		return 'jobs of queues with advice are not served';
	}

	if (!job['best-effort']) {
		return 'jobs that must be stored are not served';
	}

	if (job.steps.length > 1 || job.times > 0) {
		return 'jobs of several steps or occurrences are not served';
	}

	if (step!.count > maxTasks) {
		return `jobs of more than ${maxTasks} tasks are not served`;
	}

	return step!.gang || step!['long-running'] || step!.fills ? 'gangs, tasks that last and tasks that fill are not served' : undefined;
}

/** Whether a job would probably take longer than `timeLeft`. */
export function isTooLongFor(timeLeft: Milliseconds, job: WireJob): boolean {
	return job.steps[0]!['est-runtime-ms'] * runTimeMarginFactor > timeLeft;
}

/** Returns the submission that a job of the client's name `name` becomes; `deadlineMs` is the time that the client waits, if it stated one. */
export function toSubmissionRequest(job: WireJob, route: Route, name: string, deadlineMs: Milliseconds): Omit<SubmissionRequest, 'ticket' | 'digest'> {
	const step = job.steps[0]!;
	const payload = Buffer.from(job.spec);
	return {
		submission: route.submission,
		reference: name,
		deadlineMs: Number.isFinite(deadlineMs) && deadlineMs > 0 ? Math.min(deadlineMs, maxRunMs) : route.deadline,
		payloads: Array.from({length: step.count}, () => payload),
		isSingleRequest: false,
		expectedRun: step['est-runtime-ms'],
		need: {
			resources: {cpu: step.cpu, memory: step['mem-mb'], accelerators: step.gpu},
			label: step.requires,
			rack: step['data-rack'],
			maxPerUpstream: step['max-per-server'] > 0 ? step['max-per-server'] : undefined,
		},
		objective: {stretch: route.stretch, margin: route.margin},
		maxFailedRuns: route.attempts,
	};
}
