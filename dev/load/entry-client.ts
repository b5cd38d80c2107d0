/**
 * HTTP client of one entry for the load tool.
 */
import {
	err, ok, ResultAsync, type Result,
} from 'neverthrow';
import {Pool} from 'undici';
import {z} from 'zod';
import type {Milliseconds} from '../../src/process/clock.js';

const answerSchema = z.object({
	state: z.enum(['complete', 'failed', 'refused', 'running']),
	ran: z.enum(['not-run', 'ran', 'may-have-run']),
	tasks: z.array(z.object({payload: z.string()})).optional(),
	diagnostic: z.object({kind: z.string(), message: z.string()}).optional(),
	retryAfterMs: z.number().optional(),
});

const ticketsSchema = z.object({tickets: z.array(z.string()), lifetimeMs: z.number()});

/** An entry's answer to a submission, or the present state of the submission. */
export type EntryAnswer = z.infer<typeof answerSchema>;

/** Tickets and the time within which they must be used. */
export type IssuedTickets = z.infer<typeof ticketsSchema>;

/** The request failed, or the body of the response did not match its schema. */
export type LostReply = {
	readonly kind: 'lost';
	readonly detail: string;
};

/** Body of a submission. */
export type SubmissionRequest = {
	readonly ticket: string;
	readonly submission: string;
	readonly reference: string;
	readonly kind: 'job' | 'request';
	readonly deadlineMs?: Milliseconds;
	/** Payloads in base64. */
	readonly tasks: ReadonlyArray<{readonly payload: string}>;
	readonly wait: boolean;
};

/** A client of one entry. */
export type EntryClient = {
	readonly url: string;
	issueTickets(count: number): ResultAsync<IssuedTickets, LostReply>;
	submit(request: SubmissionRequest): ResultAsync<EntryAnswer, LostReply>;
	/** Requests the answer; the entry waits up to `waitMs` for it. */
	waitForAnswer(ticket: string, waitMs: Milliseconds): ResultAsync<EntryAnswer, LostReply>;
	cancel(ticket: string): ResultAsync<EntryAnswer, LostReply>;
	close(): Promise<void>;
};

/** Creates a client, which opens one connection for each concurrent call. */
export function createEntryClient(url: string, token: string, timeoutMs: Milliseconds): EntryClient {
	const pool = new Pool(url, {pipelining: 1, headersTimeout: timeoutMs, bodyTimeout: timeoutMs});

	return {
		url,
		issueTickets: count => call('POST', '/v1/tickets', ticketsSchema, {count}),
		submit: request => call('POST', '/v1/submissions', answerSchema, request),
		waitForAnswer: (ticket, waitMs) => call('GET', `/v1/submissions/${ticket}?waitMs=${waitMs}`, answerSchema),
		cancel: ticket => call('DELETE', `/v1/submissions/${ticket}`, answerSchema),
		close: async () => pool.close(),
	};

	function call<T>(method: 'GET' | 'POST' | 'DELETE', path: string, schema: z.ZodType<T>, body?: Record<string, unknown>): ResultAsync<T, LostReply> {
		return new ResultAsync(runCall(method, path, schema, body));
	}

	async function runCall<T>(method: 'GET' | 'POST' | 'DELETE', path: string, schema: z.ZodType<T>, body?: Record<string, unknown>): Promise<Result<T, LostReply>> {
		try {
			const res = await pool.request({
				method,
				path,
				headers: {authorization: `Bearer ${token}`, 'content-type': 'application/json'},
				body: body === undefined ? undefined : JSON.stringify(body),
			});
			const parsed = schema.safeParse(await res.body.json());
			return parsed.success ? ok(parsed.data) : err({kind: 'lost', detail: `status ${res.statusCode} with an unexpected body`});
		} catch (err_) {
			return err({kind: 'lost', detail: err_ instanceof Error ? err_.message : String(err_)});
		}
	}
}
