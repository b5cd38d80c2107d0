/**
 * Sends the planned jobs at their times, independent of the answers, and checks every answer.
 */
import {Buffer} from 'node:buffer';
import type {Result} from 'neverthrow';
import {sleep, type Clock, type Milliseconds} from '../../src/process/clock.js';
import {checkDefined} from '../../src/process/debug.js';
import {checkAnswer, isFinal, type AnswerVerdict} from './answer-check.js';
import type {
	EntryAnswer, EntryClient, LostReply, SubmissionRequest,
} from './entry-client.js';
import {getIdealResponse, type PlannedJob} from './plan.js';
import type {ResultCollector} from './results.js';
import {createTicketSource} from './ticket-source.js';

/** What a run needs. */
export type LoadHost = {
	readonly clock: Clock;
	readonly entries: readonly EntryClient[];
	readonly jobs: Iterable<PlannedJob>;
	readonly results: ResultCollector;
	/** Name of the submission object. */
	readonly submission: string;
	readonly kind: 'job' | 'request';
	/** Deadline that each submission states; undefined for none. */
	readonly deadlineMs?: Milliseconds;
	/** Number of slots of all upstreams, for the ideal response time. */
	readonly slots: number;
	/** Time after which a job without a final answer counts as unanswered. */
	readonly answerTimeoutMs: Milliseconds;
	/** Number of tickets to request at a time. */
	readonly ticketBlockSize: number;
};

/** Delay before a submission is sent again if the reply has no `retryAfterMs`. */
const defaultResendDelayMs: Milliseconds = 200;
/** Maximum time that one request waits for the answer of a running job. */
const maxPollMs: Milliseconds = 5000;
/** Delay before each such request, in case an entry responds without waiting. */
const pollDelayMs: Milliseconds = 5;

/** Runs all jobs; resolves when each has a final answer or has timed out. */
export async function runLoad(host: LoadHost): Promise<void> {
	const {clock, entries, results} = host;
	const sources = entries.map(entry => createTicketSource({clock, entry, blockSize: host.ticketBlockSize}));
	// The first blocks are fetched before the run, because callers in steady operation have tickets in reserve.
	await Promise.all(sources.map(async source => source.tryTake()));
	const startedAt = clock.now();
	const pending: Array<Promise<void>> = [];
	for (const job of host.jobs) {
		const wait = startedAt + job.arrivalOffset - clock.now();
		if (wait > 0) {
			await sleep(clock, wait);
		}

		pending.push(runJob(job, startedAt + job.arrivalOffset));
	}

	await Promise.all(pending);

	async function runJob(job: PlannedJob, arrivedAt: Milliseconds): Promise<void> {
		results.recordLag(clock.now() - arrivedAt);
		const deadline = arrivedAt + host.answerTimeoutMs;
		const ticket = await takeTicket(job.entry, deadline);
		const outcome = ticket === undefined ? undefined : await runTicket(job, ticket, deadline);
		results.record({
			ticket,
			taskCount: job.runMs.length,
			answer: outcome?.answer,
			response: (outcome?.answeredAt ?? clock.now()) - arrivedAt,
			ideal: getIdealResponse(job.runMs, host.slots),
			verdicts: outcome?.verdicts ?? [],
			resends: outcome?.resends ?? 0,
			resubmitted: job.resubmission !== undefined,
			cancelled: job.cancelAfter !== undefined,
		});
	}

	/** Returns a ticket of the preferred entry, or of the next one that issues any; undefined after the deadline. */
	async function takeTicket(preferred: number, deadline: Milliseconds): Promise<string | undefined> {
		for (let i = preferred; clock.now() < deadline; i++) {
			const ticket = await sources[i % sources.length]?.tryTake();
			if (ticket !== undefined) {
				return ticket;
			}

			await sleep(clock, defaultResendDelayMs);
		}

		return undefined;
	}

	async function runTicket(job: PlannedJob, ticket: string, deadline: Milliseconds): Promise<TicketOutcome> {
		const request = createRequest(host, job, ticket);
		const outcome: TicketOutcome = {
			answer: undefined, answeredAt: undefined, verdicts: [], resends: 0,
		};
		const pendingSends = [submitUntilFinal(request, job.entry, deadline, outcome)];
		if (job.resubmission !== undefined) {
			const {after, entry} = job.resubmission;
			pendingSends.push(sleep(clock, after).then(async () => submitUntilFinal(request, entry, deadline, outcome)));
		}

		if (job.cancelAfter !== undefined) {
			pendingSends.push(sleep(clock, job.cancelAfter).then(async () => {
				await getEntry(job.entry).cancel(ticket);
			}));
		}

		await Promise.all(pendingSends);
		return outcome;
	}

	/** Sends a submission until it has a final answer or the deadline has passed, and adds the answer to the outcome. */
	async function submitUntilFinal(request: SubmissionRequest, firstEntry: number, deadline: Milliseconds, outcome: TicketOutcome): Promise<void> {
		let entry = firstEntry;
		let isAccepted = false;
		while (clock.now() < deadline) {
			const reply: Result<EntryAnswer, LostReply> = isAccepted ? await getEntry(entry).waitForAnswer(request.ticket, maxPollMs) : await getEntry(entry).submit(request);
			if (reply.isOk() && isFinal(reply.value)) {
				recordAnswer(request, reply.value, outcome);
				return;
			}

			isAccepted = reply.isOk() && reply.value.state === 'running';
			if (isAccepted) {
				await sleep(clock, pollDelayMs);
				continue;
			}

			outcome.resends++;
			await sleep(clock, reply.isOk() ? reply.value.retryAfterMs ?? defaultResendDelayMs : defaultResendDelayMs);
			entry++;
		}
	}

	function recordAnswer(request: SubmissionRequest, answer: EntryAnswer, outcome: TicketOutcome): void {
		const sent = request.tasks.map(({payload}) => payload);
		outcome.verdicts.push(checkAnswer(request.ticket, sent, answer, outcome.answer));
		if (outcome.answer === undefined) {
			const {tasks, ...rest} = answer;
			outcome.answer = rest;
			outcome.answeredAt = clock.now();
		}
	}

	function getEntry(position: number): EntryClient {
		return checkDefined(entries[position % entries.length], 'an entry to send to');
	}
}

type TicketOutcome = {
	answer: Omit<EntryAnswer, 'tasks'> | undefined;
	answeredAt: Milliseconds | undefined;
	readonly verdicts: AnswerVerdict[];
	resends: number;
};

function createRequest(host: LoadHost, job: PlannedJob, ticket: string): SubmissionRequest {
	return {
		ticket,
		submission: host.submission,
		reference: `load-${job.index}`,
		kind: host.kind,
		deadlineMs: host.deadlineMs,
		tasks: job.runMs.map((runMs, task) => ({
			payload: Buffer.from(JSON.stringify({runMs, job: job.index, task})).toString('base64'),
		})),
		wait: true,
	};
}
