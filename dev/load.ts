/**
 * Load tool: sends jobs to entries in an open loop, checks every answer, and prints one line of JSON on standard
 * output and a table on standard error. Exits with status 1 if an answer or a start was wrong.
 */
import fs from 'node:fs';
import process from 'node:process';
import sade from 'sade';
import {z} from 'zod';
import {createSystemClock} from '../src/process/clock.js';
import {createEntryClient} from './load/entry-client.js';
import {planJobs} from './load/plan.js';
import {formatReport} from './load/report.js';
import {createResultCollector, type JobResult, type LoadSummary} from './load/results.js';
import {runLoad} from './load/runner.js';
import {
	checkStarts, fetchStartCounts, hasStartFaults, type StartsReport,
} from './load/starts-check.js';

const share = z.coerce.number().min(0).max(1);
const milliseconds = z.coerce.number().min(0);
const count = z.coerce.number().int().min(1);
const urls = z.string().transform(text => text.split(',').filter(url => url !== ''));

const optionsSchema = z.object({
	entries: urls.refine(list => list.length > 0, 'expected at least one URL'),
	token: z.string().min(1),
	submission: z.string().min(1),
	kind: z.enum(['job', 'request']),
	rate: z.coerce.number().positive(),
	seconds: z.coerce.number().positive(),
	seed: z.coerce.number().int(),
	'tasks-min': count,
	'tasks-max': count,
	'run-ms-min': milliseconds,
	'run-ms-mean': milliseconds,
	'resubmit-share': share,
	'cancel-share': share,
	'deadline-ms': milliseconds,
	slots: count,
	'give-up-ms': milliseconds,
	'ticket-block': count,
	upstreams: urls,
	'may-repeat': z.boolean(),
	answers: z.string(),
});

type Options = z.infer<typeof optionsSchema>;

sade('load', true)
	.describe('Sends jobs to entries at seeded times and checks every answer.')
	.option('--entries', 'URLs of entries, separated by commas', '')
	.option('--token', 'Bearer token of a caller', '')
	.option('--submission', 'Name of the submission object', '')
	.option('--kind', 'job or request', 'job')
	.option('--rate', 'Mean number of jobs per second', 10)
	.option('--seconds', 'Duration of the run', 10)
	.option('--seed', 'Seed of arrivals, sizes and run times', 1)
	.option('--tasks-min', 'Fewest tasks in a job', 1)
	.option('--tasks-max', 'Most tasks in a job', 1)
	.option('--run-ms-min', 'Shortest run time of a task', 50)
	.option('--run-ms-mean', 'Mean run time of a task', 200)
	.option('--resubmit-share', 'Share of jobs that are sent twice under the same ticket, the second time to a random entry', 0)
	.option('--cancel-share', 'Share of jobs that are cancelled', 0)
	.option('--deadline-ms', 'Deadline that each submission states; 0 for none', 0)
	.option('--slots', 'Number of slots of all upstreams, for the ideal response time', 88)
	.option('--give-up-ms', 'Time after which a job counts as unanswered', 60_000)
	.option('--ticket-block', 'Tickets requested at a time', 100)
	.option('--upstreams', 'URLs of stand-in upstreams whose counts are compared with the answers', '')
	.option('--may-repeat', 'Allow tasks to start more than once, as those of idempotent requests may', false)
	.option('--answers', 'File to write one line of JSON per job to', '')
	.action(main)
	.parse(process.argv, {string: ['token', 'entries', 'upstreams', 'answers', 'submission']});

async function main(raw: unknown): Promise<void> {
	const parsed = optionsSchema.safeParse(raw);
	if (!parsed.success) {
		for (const {path, message} of parsed.error.issues) {
			console.error(`--${path.join('.')}: ${message}`);
		}

		process.exitCode = 2;
		return;
	}

	const options = parsed.data;
	const collector = createResultCollector();
	await run(options, collector);
	const summary = collector.summarize();
	const starts = options.upstreams.length === 0
		? undefined
		: checkStarts(collector.getResults(), await Promise.all(options.upstreams.map(async url => fetchStartCounts(url))));
	console.error(formatReport(summary, starts));
	console.log(JSON.stringify({options: describeOptions(options), ...summary, starts}));
	if (options.answers !== '') {
		writeAnswers(options.answers, collector.getResults());
	}

	process.exitCode = isRunCorrect(summary, starts, options['may-repeat']) ? 0 : 1;
}

async function run(options: Options, collector: ReturnType<typeof createResultCollector>): Promise<void> {
	// Keeps the process alive between two arrivals; the clock's timers do not.
	const keepAlive = setInterval(() => undefined, 1000);
	const entries = options.entries.map(url => createEntryClient(url, options.token, options['give-up-ms']));
	await runLoad({
		clock: createSystemClock(),
		entries,
		results: collector,
		submission: options.submission,
		kind: options.kind,
		deadlineMs: options['deadline-ms'] === 0 ? undefined : options['deadline-ms'],
		slots: options.slots,
		answerTimeoutMs: options['give-up-ms'],
		ticketBlockSize: options['ticket-block'],
		jobs: planJobs({
			seed: options.seed,
			rate: options.rate,
			durationMs: options.seconds * 1000,
			entries: entries.length,
			tasksMin: options['tasks-min'],
			tasksMax: options['tasks-max'],
			runMsMin: options['run-ms-min'],
			runMsMean: options['run-ms-mean'],
			resubmitShare: options['resubmit-share'],
			cancelShare: options['cancel-share'],
		}),
	});
	await Promise.all(entries.map(async entry => entry.close()));
	clearInterval(keepAlive);
}

/** Returns the options without the bearer token, for the output. */
function describeOptions({token, ...rest}: Options): Omit<Options, 'token'> {
	return rest;
}

function writeAnswers(file: string, results: readonly JobResult[]): void {
	fs.writeFileSync(file, results.map(result => `${JSON.stringify(result)}\n`).join(''));
}

function isRunCorrect({verdicts}: LoadSummary, starts: StartsReport | undefined, mayRepeat: boolean): boolean {
	const areAllAnswersRight = Object.keys(verdicts).every(verdict => verdict === 'right');
	return areAllAnswersRight && (starts === undefined || !hasStartFaults(starts, mayRepeat));
}
