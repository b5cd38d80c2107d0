/**
 * In-memory entries that share their jobs and run them on one upstream, with a fault for chosen submissions.
 */
import {Buffer} from 'node:buffer';
import {errAsync, okAsync, ResultAsync} from 'neverthrow';
import type {
	EntryAnswer, EntryClient, LostReply, SubmissionRequest,
} from '../../../dev/load/entry-client.js';
import {createUpstream, type Upstream} from '../../../dev/upstream.js';
import type {Clock} from '../../../src/process/clock.js';

/** A fault of an entry, or its reply instead of the answer. */
export type EntryFault = 'refuse' | 'lose' | 'defer' | 'undecided' | 'cross' | 'partial' | 'contradict' | 'run-twice';

/** The entries and the upstream that runs their tasks. */
export type FakeEntries = {
	readonly entries: readonly EntryClient[];
	readonly upstream: Upstream;
	/** Returns the number of submissions received, including repeated ones. */
	getSubmissions(): number;
};

/** Creates `count` entries; `getFault` is called with the number of each submission received, from 1. */
export function createFakeEntries(clock: Clock, count: number, getFault: (submission: number) => EntryFault | undefined): FakeEntries {
	const upstream = createUpstream({
		clock, seed: 1, slots: 10_000, runTimes: {kind: 'fixed', ms: 100},
	});
	const jobs = new Map<string, Promise<EntryAnswer>>();
	let tickets = 0;
	let submissions = 0;

	return {
		upstream,
		getSubmissions: () => submissions,
		entries: Array.from({length: count}, (_, index) => ({
			url: `http://entry-${index}`,
			issueTickets: (block: number) => okAsync<{tickets: string[]; lifetimeMs: number}, LostReply>({
				tickets: Array.from({length: block}, () => `T${++tickets}`), lifetimeMs: 10_000,
			}),
			submit,
			waitForAnswer: (ticket: string) => ResultAsync.fromSafePromise<EntryAnswer, LostReply>(jobs.get(ticket)!),
			cancel: () => okAsync<EntryAnswer, LostReply>({state: 'running', ran: 'may-have-run'}),
			async close() {
				jobs.clear();
			},
		})),
	};

	function submit(request: SubmissionRequest): ResultAsync<EntryAnswer, LostReply> {
		const fault = getFault(++submissions);
		if (fault === 'refuse') {
			return okAsync({state: 'refused', ran: 'not-run', diagnostic: {kind: 'QueueFull', message: ''}});
		}

		if (fault === 'undecided') {
			return okAsync({state: 'refused', ran: 'may-have-run', diagnostic: {kind: 'HomeUnreachable', message: ''}});
		}

		if (fault === 'run-twice') {
			void runJob(request);
		}

		const job = jobs.get(request.ticket) ?? runJob(request);
		jobs.set(request.ticket, job);
		switch (fault) {
			case 'lose': {
				return errAsync({kind: 'lost', detail: 'reset'});
			}

			case 'defer': {
				return okAsync({state: 'running', ran: 'may-have-run'});
			}

			default: {
				return ResultAsync.fromSafePromise(job.then(answer => applyFault(answer, fault)));
			}
		}
	}

	async function runJob({ticket, tasks}: SubmissionRequest): Promise<EntryAnswer> {
		const answers = await Promise.all(tasks.map(async ({payload}, index) => runTask(`${ticket}/${index}`, payload)));
		return {state: 'complete', ran: 'ran', tasks: answers};
	}

	async function runTask(task: string, payload: string): Promise<{readonly payload: string}> {
		return new Promise(resolve => {
			upstream.run({task, attempt: '1', payload: Buffer.from(payload, 'base64')}, ({body}) => {
				resolve({payload: Buffer.from(JSON.stringify(body)).toString('base64')});
			});
		});
	}
}

function applyFault(answer: EntryAnswer, fault: EntryFault | undefined): EntryAnswer {
	switch (fault) {
		case 'cross': {
			return {...answer, tasks: answer.tasks?.toReversed()};
		}

		case 'partial': {
			return {...answer, tasks: answer.tasks?.slice(1)};
		}

		case 'contradict': {
			return {state: 'failed', ran: 'may-have-run'};
		}

		default: {
			return answer;
		}
	}
}
