/**
 * Routes each request about a ticket to the ticket's coordinator. The request is served here if this entry issued the
 * ticket, and relayed to the entry that did otherwise. If that entry is dead, the request is answered from the
 * submission record and from what agents retain.
 */
import {createHash} from 'node:crypto';
import {Buffer} from 'node:buffer';
import {z} from 'zod';
import type {RecoveryResult} from '../connection/held-task-queries.js';
import type {PeerRequest, RelayResult} from '../connection/peer-types.js';
import type {RelayReply} from '../generated/kingcuplane.js';
import type {Clock, Milliseconds} from '../process/clock.js';
import {assertNever} from '../process/debug.js';
import {createDiagnostic, Diagnostics} from '../process/diagnostics.js';
import type {EntryDirectory, EntryStatus} from '../process/entry-directory.js';
import {createListSchema, maxTasksLimit} from '../process/input-schemas.js';
import {readJson} from '../process/json.js';
import type {Coordinator} from './coordinator-types.js';
import type {JobHandle} from './tracked-job.js';
import {
	tryFromRelayReply, toUnreachableReply, toAnswerReply, toRecordReply, toRelayReply, toRefusalReply, toAgreedReply, type AnswerBody, type Reply,
} from './reply.js';
import type {AgreedAnswer} from './agreed-answers.js';
import type {Caller, SubmissionRequest} from './submission-rules.js';
import {parseTicket} from './ticket.js';
import type {Answer, SubmissionRecord, Ticket} from './types.js';

/** The sender of a request, identified by its bearer token. */
export type Principal = Caller & {
	readonly role: 'caller' | 'operator' | 'support';
};

/** An operation on a ticket. */
export type TicketOperation = 'submit' | 'wait' | 'cancel' | 'fate';

/** One request about a ticket. */
export type TicketRequest = {
	readonly operation: TicketOperation;
	readonly principal: Principal;
	readonly ticket: Ticket;
	/** Body of a submission; undefined for all other operations. */
	readonly submission?: SubmissionBody;
	/** Maximum time to wait for the answer. */
	readonly waitMs: Milliseconds;
	/** Whether the caller is still connected; undefined if the caller is connected to another entry. */
	readonly isConnected?: () => boolean;
};

/** Schema of the JSON body of a submission, as callers send it. */
export const submissionSchema = z.strictObject({
	ticket: z.string(),
	submission: z.string().max(63),
	reference: z.string().max(200).default(''),
	deadlineMs: z.int().min(1).max(3_600_000).optional(),
	kind: z.enum(['job', 'request']).default('job'),
	wait: z.boolean().default(true),
	tasks: createListSchema(z.strictObject({payload: z.base64()}), {min: 1, max: maxTasksLimit}),
}).refine(body => body.kind === 'job' || body.tasks.length === 1, {path: ['tasks'], error: 'a request has exactly one task'});

/** The validated body of a submission. */
export type SubmissionBody = z.infer<typeof submissionSchema>;

/** A submission record that was found. */
export type FoundRecord = {
	readonly fate: SubmissionRecord;
	/** The record report in JSON. */
	readonly json: unknown;
};

/** Dependencies of the router. */
export type RouterHost = {
	readonly clock: Clock;
	readonly entry: string;
	readonly incarnation: string;
	readonly coordinator: Pick<Coordinator, 'submit' | 'tryGetJob' | 'cancel'>;
	readonly directory: Pick<EntryDirectory, 'getStatus' | 'confirmLease' | 'isLoaded'>;
	/** Relays a request to an entry incarnation. Returns undefined if it did not answer. */
	relay(incarnation: string, req: PeerRequest): Promise<RelayReply | undefined>;
	/**
	 * Looks up the record of a ticket in memory, at the platform and at agents. Returns undefined if there is none, or
	 * `unreadable` if none was found but one may exist at a source that did not answer.
	 */
	findRecord(ticket: Ticket): Promise<FoundRecord | 'unreadable' | undefined>;
	/** Queries agents for the answer of a dead entry's job. */
	recover(ticket: Ticket): Promise<RecoveryResult>;
	/**
	 * Proposes an answer for a dead entry's ticket. Returns the answer that all entries agreed on, or undefined if it
	 * is not available.
	 */
	proposeAnswer(ticket: Ticket, proposal: AgreedAnswer): Promise<AgreedAnswer | undefined>;
	recordDelivery(ticket: string, via: string): void;
};

/** Routes and serves requests about tickets. */
export type Router = {
	/** Serves a request that a caller sent to this entry, whichever entry issued its ticket. */
	route(req: TicketRequest): Promise<Reply>;
	/** Serves a request that another entry relayed. It is never relayed again. */
	serveRelayed(req: PeerRequest): Promise<RelayResult>;
};

const relayedSchema = z.object({
	operation: z.enum(['submit', 'wait', 'cancel', 'fate']),
	principal: z.object({name: z.string(), team: z.string(), role: z.enum(['caller', 'operator', 'support'])}),
	via: z.string(),
	submission: submissionSchema.optional(),
}).refine(({operation, submission}) => operation !== 'submit' || submission !== undefined, {path: ['submission'], error: 'a submission is missing'});

/** Creates the router of one entry. */
export function createRouter(host: RouterHost): Router {
	return {route, serveRelayed};

	async function route(req: TicketRequest): Promise<Reply> {
		if (req.ticket.incarnation === host.incarnation) {
			return serve(req, host.entry);
		}

		const reply = await host.relay(req.ticket.incarnation, {
			operation: req.operation,
			ticket: req.ticket.text,
			principal: req.principal.name,
			timeoutMs: req.waitMs,
			body: Buffer.from(JSON.stringify({
				operation: req.operation, principal: req.principal, via: host.entry, submission: req.submission,
			})),
		});
		if (reply !== undefined) {
			return tryFromRelayReply(reply) ?? toUnreachableReply(req.ticket.incarnation);
		}

		return serveWithoutCoordinator(req, host.directory.getStatus(req.ticket.incarnation));
	}

	async function serveRelayed(req: PeerRequest): Promise<RelayResult> {
		const ticket = parseTicket(req.ticket);
		const parsed = readJson(relayedSchema, Buffer.from(req.body).toString());
		if (ticket.isErr() || parsed.isErr() || ticket.value.incarnation !== host.incarnation) {
			return toRelayReply(toRefusalReply(createDiagnostic(Diagnostics.Ticket_is_malformed, req.ticket)));
		}

		const {operation, principal, via, submission} = parsed.value;
		return toRelayReply(await serve({
			operation, principal, submission, ticket: ticket.value, waitMs: req.timeoutMs,
		}, via));
	}

	// While this process was paused, another entry may have declared it dead and answered on its behalf. Its own answer
	// is therefore valid only while it holds its lease.
	async function serve(req: TicketRequest, via: string): Promise<Reply> {
		const reply = await execute(req, via);
		return req.operation === 'fate' || await host.directory.confirmLease() === 'held' ? reply : toUnreachableReply(host.entry);
	}

	async function execute(req: TicketRequest, via: string): Promise<Reply> {
		switch (req.operation) {
			case 'submit': {
				return submit(req, via);
			}

			case 'wait': {
				return reportJob(req, via);
			}

			case 'cancel': {
				const job = tryGetOwnJob(req);
				if (job !== undefined) {
					host.coordinator.cancel(job.ticket.text, req.principal.name);
				}

				return reportJob(req, via);
			}

			case 'fate': {
				return replyWithReport(req);
			}

			default: {
				return assertNever(req.operation);
			}
		}
	}

	async function submit(req: TicketRequest, via: string): Promise<Reply> {
		const outcome = host.coordinator.submit(req.principal, toSubmissionRequest(req.ticket, req.submission!));
		switch (outcome.kind) {
			case 'accepted': {
				return answerJob(outcome.job, {...req, waitMs: req.submission!.wait ? req.waitMs : 0}, via);
			}

			case 'forgotten': {
				return replyFromRecord(req);
			}

			case 'expired': {
				return reportExpired(req);
			}

			case 'invalid': {
				return toRefusalReply(outcome.diagnostic);
			}

			default: {
				return assertNever(outcome);
			}
		}
	}

	async function reportJob(req: TicketRequest, via: string): Promise<Reply> {
		const job = tryGetOwnJob(req);
		return job === undefined ? replyFromRecord(req) : answerJob(job, req, via);
	}

	function tryGetOwnJob(req: TicketRequest): JobHandle | undefined {
		const job = host.coordinator.tryGetJob(req.ticket.text);
		return job !== undefined && mayRead(req.principal, job.owner) ? job : undefined;
	}

	async function answerJob(job: JobHandle, {waitMs, isConnected}: TicketRequest, via: string): Promise<Reply> {
		const answer = await waitForAnswer(job, waitMs);
		if (answer === undefined) {
			return {status: 202, body: {ticket: job.ticket.text, state: 'running', ran: 'may-have-run'} satisfies AnswerBody};
		}

		if (await host.directory.confirmLease() !== 'held') {
			return toUnreachableReply(host.entry);
		}

		// A caller that has disconnected does not receive the answer, so no delivery is recorded. It may request the
		// answer again.
		if (isConnected?.() !== false) {
			host.recordDelivery(job.ticket.text, via);
		}

		return toAnswerReply(job.ticket.text, answer);
	}

	async function waitForAnswer(job: JobHandle, waitMs: Milliseconds): Promise<Answer | undefined> {
		const ready = job.tryGetAnswer();
		if (ready !== undefined || waitMs === 0) {
			return ready;
		}

		return new Promise(resolve => {
			const unsubscribe = job.whenAnswered(answer => {
				timer.cancel();
				resolve(answer);
			});
			const timer = host.clock.after(waitMs, () => {
				unsubscribe();
				resolve(undefined);
			});
		});
	}

	// Used if the job is no longer in memory, or has never been at this entry.
	async function replyFromRecord(req: TicketRequest): Promise<Reply> {
		const found = await findReadableRecord(req);
		return 'fate' in found ? toRecordReply(req.ticket, found.fate) : found;
	}

	async function replyWithReport(req: TicketRequest): Promise<Reply> {
		const found = await findReadableRecord(req);
		return 'fate' in found ? {status: 200, body: found.json} : found;
	}

	// A record is opened before any task starts, so without a record nothing has run. An expired ticket starts nothing
	// later.
	async function reportExpired(req: TicketRequest): Promise<Reply> {
		return await host.findRecord(req.ticket) === undefined
			? toRefusalReply(createDiagnostic(Diagnostics.Ticket_has_expired, req.ticket.text))
			: replyFromRecord(req);
	}

	/** Returns the record, or the reply if there is none, or the principal may not read it. */
	async function findReadableRecord({ticket, principal}: TicketRequest): Promise<FoundRecord | Reply> {
		const found = await host.findRecord(ticket);
		if (found === undefined) {
			return toRefusalReply(createDiagnostic(Diagnostics.Fate_is_unknown, ticket.text));
		}

		if (found === 'unreadable') {
			return toUnreachableReply(ticket.incarnation);
		}

		return mayRead(principal, found.fate.caller) ? found : toRefusalReply(createDiagnostic(Diagnostics.Ticket_is_foreign, ticket.text));
	}

	async function serveWithoutCoordinator(req: TicketRequest, status: EntryStatus): Promise<Reply> {
		if (req.operation === 'fate') {
			return status === 'live' ? toUnreachableReply(req.ticket.incarnation) : replyWithReport(req);
		}

		switch (status) {
			case 'live': {
				return toUnreachableReply(req.ticket.incarnation);
			}

			case 'dead': {
				return answerForDeadCoordinator(req);
			}

			// The entry may be alive but not listed yet, or it died so long ago that it is no longer listed.
			case 'unknown': {
				return host.directory.isLoaded() ? replyFromRecord(req) : toUnreachableReply(req.ticket.incarnation);
			}

			default: {
				return assertNever(status);
			}
		}
	}

	// Once one entry has answered, every entry must give the same answer, even if agents or the record provide more
	// later.
	async function answerForDeadCoordinator({ticket, principal}: TicketRequest): Promise<Reply> {
		const found = await host.findRecord(ticket);
		if (found === 'unreadable') {
			return toUnreachableReply(ticket.incarnation);
		}

		if (found !== undefined && !mayRead(principal, found.fate.caller)) {
			return toRefusalReply(createDiagnostic(Diagnostics.Ticket_is_foreign, ticket.text));
		}

		const recovery = await host.recover(ticket);
		if (recovery.kind === 'answered' && !mayRead(principal, recovery.caller)) {
			return toRefusalReply(createDiagnostic(Diagnostics.Ticket_is_foreign, ticket.text));
		}

		const proposal = tryCreateProposal(ticket, recovery, found?.fate);
		const agreed = proposal && await host.proposeAnswer(ticket, proposal);
		return agreed === undefined ? toUnreachableReply(ticket.incarnation) : toAgreedReply(ticket, agreed, recovery);
	}
}

/** Returns the answer that follows from the record or from the agents; undefined while tasks are still running. */
function tryCreateProposal(ticket: Ticket, recovery: RecoveryResult, record: SubmissionRecord | undefined): AgreedAnswer | undefined {
	if (record?.answer !== undefined) {
		return record.answer;
	}

	switch (recovery.kind) {
		case 'answered': {
			return recovery.answer;
		}

		case 'running': {
			return undefined;
		}

		case 'unknown': {
			return {state: 'failed', ran: 'may-have-run', diagnostic: createDiagnostic(Diagnostics.Home_is_lost, ticket.incarnation)};
		}

		default: {
			return assertNever(recovery);
		}
	}
}

function toSubmissionRequest(ticket: Ticket, body: SubmissionBody): SubmissionRequest {
	const digest = createHash('sha256').update(JSON.stringify([body.submission, body.kind, body.tasks])).digest('base64');
	return {
		ticket,
		submission: body.submission,
		reference: body.reference,
		deadlineMs: body.deadlineMs,
		payloads: body.tasks.map(task => Buffer.from(task.payload, 'base64')),
		isSingleRequest: body.kind === 'request',
		digest,
	};
}

function mayRead(principal: Principal, owner: string): boolean {
	return principal.role !== 'caller' || principal.name === owner;
}
