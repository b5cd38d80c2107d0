/**
 * Leads each request about a ticket to the ticket's home: served here if this entry issued the ticket, passed
 * on to the entry that did, or answered from what is left of it if that entry is dead.
 */
import {createHash} from 'node:crypto';
import {Buffer} from 'node:buffer';
import {z} from 'zod';
import type {RecoveryResult} from '../connection/held-task-queries.js';
import type {PeerRequest} from '../connection/peer-hub.js';
import type {RelayReply} from '../generated/kingcuplane.js';
import type {Clock, Milliseconds} from '../process/clock.js';
import {assertNever} from '../process/debug.js';
import {createDiagnostic, Diagnostics} from '../process/diagnostics.js';
import type {EntryDirectory, EntryStatus} from '../process/entry-directory.js';
import type {Coordinator} from './coordinator-types.js';
import type {JobHandle} from './tracked-job.js';
import {
	fromRelayReply, toUnreachableReply, toAnswerReply, toRecordReply, toRelayReply, toRefusalReply, toAgreedReply, type AnswerBody, type Reply,
} from './reply.js';
import type {AgreedAnswer} from './agreed-answers.js';
import type {Caller, SubmissionRequest} from './submission-rules.js';
import {parseTicket} from './ticket.js';
import type {Answer, SubmissionRecord, Ticket} from './types.js';

/** Who asks, as the token tells. */
export type Principal = Caller & {
	readonly role: 'caller' | 'operator' | 'support';
};

/** What can be asked about a ticket. */
export type TicketOperation = 'submit' | 'wait' | 'cancel' | 'fate';

/** One request about a ticket. */
export type TicketRequest = {
	readonly operation: TicketOperation;
	readonly principal: Principal;
	readonly ticket: Ticket;
	/** Body of a submission; undefined for all other operations. */
	readonly submission?: SubmissionBody;
	/** Longest time to wait for the answer. */
	readonly waitMs: Milliseconds;
	/** Whether the caller's connection still stands; undefined if only another entry can tell. */
	readonly isConnected?: () => boolean;
};

/** Body of a submission as callers send it, in JSON. */
export const submissionSchema = z.strictObject({
	ticket: z.string(),
	submission: z.string().max(63),
	reference: z.string().max(200).default(''),
	deadlineMs: z.int().min(1).max(3_600_000).optional(),
	kind: z.enum(['job', 'request']).default('job'),
	wait: z.boolean().default(true),
	tasks: z.array(z.strictObject({payload: z.base64()})).min(1),
}).refine(body => body.kind === 'job' || body.tasks.length === 1, {path: ['tasks'], error: 'a request has exactly one task'});

/** Body of a submission after its check. */
export type SubmissionBody = z.infer<typeof submissionSchema>;

/** A record of a submission and where it was found. */
export type FoundRecord = {
	readonly fate: SubmissionRecord;
	readonly json: unknown;
};

/** What the router needs from its entry. */
export type RouterHost = {
	readonly clock: Clock;
	readonly entry: string;
	readonly incarnation: string;
	readonly coordinator: Pick<Coordinator, 'submit' | 'tryGetJob' | 'cancel'>;
	readonly directory: Pick<EntryDirectory, 'getStatus' | 'confirmLease' | 'isLoaded'>;
	/** Passes a request on to an entry incarnation; undefined if it did not answer. */
	relay(incarnation: string, req: PeerRequest): Promise<RelayReply | undefined>;
	/** The record of a ticket from memory, the platform or agents; undefined if there is none. */
	findRecord(ticket: Ticket): Promise<FoundRecord | 'unreadable' | undefined>;
	/** What agents tell of a dead entry's job. */
	recover(ticket: Ticket): Promise<RecoveryResult>;
	/** Agrees with all other entries on the answer for a dead entry's ticket. */
	proposeAnswer(ticket: Ticket, proposal: AgreedAnswer): Promise<AgreedAnswer | undefined>;
	recordDelivery(ticket: string, via: string): void;
};

/** Serves requests about tickets. */
export type Router = {
	/** Serves a request that came to this entry, wherever its home is. */
	route(req: TicketRequest): Promise<Reply>;
	/** Serves a request that another entry passed on; it is never passed on again. */
	serveRelayed(req: PeerRequest): Promise<Omit<RelayReply, 'id'>>;
};

const relayedSchema = z.object({
	operation: z.enum(['submit', 'wait', 'cancel', 'fate']),
	principal: z.object({name: z.string(), team: z.string(), role: z.enum(['caller', 'operator', 'support'])}),
	via: z.string(),
	submission: submissionSchema.optional(),
});

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
			return fromRelayReply(reply);
		}

		return serveWithoutHome(req, host.directory.getStatus(req.ticket.incarnation));
	}

	async function serveRelayed(req: PeerRequest): Promise<Omit<RelayReply, 'id'>> {
		const ticket = parseTicket(req.ticket);
		const parsed = relayedSchema.safeParse(JSON.parse(Buffer.from(req.body).toString()));
		if (ticket.isErr() || !parsed.success || ticket.value.incarnation !== host.incarnation) {
			return toRelayReply(toRefusalReply(createDiagnostic(Diagnostics.Ticket_is_malformed, req.ticket)));
		}

		const {operation, principal, via, submission} = parsed.data;
		return toRelayReply(await serve({
			operation, principal, submission, ticket: ticket.value, waitMs: req.timeoutMs,
		}, via));
	}

	// After a pause another entry may have declared this one dead and answered for it.
	async function serve(req: TicketRequest, via: string): Promise<Reply> {
		const reply = await decide(req, via);
		return req.operation === 'fate' || await host.directory.confirmLease() === 'held' ? reply : toUnreachableReply(host.entry);
	}

	async function decide(req: TicketRequest, via: string): Promise<Reply> {
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
				return reportFate(req);
			}

			default: {
				return assertNever(req.operation);
			}
		}
	}

	async function submit(req: TicketRequest, via: string): Promise<Reply> {
		const outcome = host.coordinator.submit(req.principal, toSubmissionRequest(req.ticket, req.submission!));
		switch (outcome.kind) {
			case 'taken': {
				return answerJob(outcome.job, {...req, waitMs: req.submission!.wait ? req.waitMs : 0}, via);
			}

			case 'forgotten': {
				return reportFromFate(req);
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
		return job === undefined ? reportFromFate(req) : answerJob(job, req, via);
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

		// A caller that has hung up gets nothing; it may ask again.
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
			const withdraw = job.whenAnswered(answer => {
				timer.cancel();
				resolve(answer);
			});
			const timer = host.clock.after(waitMs, () => {
				withdraw();
				resolve(undefined);
			});
		});
	}

	// The job is no longer in memory, or this entry never had it.
	async function reportFromFate(req: TicketRequest): Promise<Reply> {
		const found = await findReadable(req);
		return 'fate' in found ? toRecordReply(req.ticket, found.fate) : found;
	}

	async function reportFate(req: TicketRequest): Promise<Reply> {
		const found = await findReadable(req);
		return 'fate' in found ? {status: 200, body: found.json} : found;
	}

	// A ticket that is used has a record before anything starts, so without one nothing ran or will run.
	async function reportExpired(req: TicketRequest): Promise<Reply> {
		return await host.findRecord(req.ticket) === undefined
			? toRefusalReply(createDiagnostic(Diagnostics.Ticket_has_expired, req.ticket.text))
			: reportFromFate(req);
	}

	/** The record, or the reply if it cannot be shown. */
	async function findReadable({ticket, principal}: TicketRequest): Promise<FoundRecord | Reply> {
		const found = await host.findRecord(ticket);
		if (found === undefined) {
			return toRefusalReply(createDiagnostic(Diagnostics.Fate_is_unknown, ticket.text));
		}

		if (found === 'unreadable') {
			return toUnreachableReply(ticket.incarnation);
		}

		return mayRead(principal, found.fate.caller) ? found : toRefusalReply(createDiagnostic(Diagnostics.Ticket_is_foreign, ticket.text));
	}

	async function serveWithoutHome(req: TicketRequest, status: EntryStatus): Promise<Reply> {
		if (req.operation === 'fate') {
			return status === 'live' ? toUnreachableReply(req.ticket.incarnation) : reportFate(req);
		}

		switch (status) {
			case 'live': {
				return toUnreachableReply(req.ticket.incarnation);
			}

			case 'dead': {
				return answerForDeadHome(req);
			}

			// It may be alive and not listed yet, or have been gone for long.
			case 'unknown': {
				return host.directory.isLoaded() ? reportFromFate(req) : toUnreachableReply(req.ticket.incarnation);
			}

			default: {
				return assertNever(status);
			}
		}
	}

	// What one entry answers now, every entry must answer from now on, also when agents and the record tell more later.
	async function answerForDeadHome({ticket, principal}: TicketRequest): Promise<Reply> {
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

		const proposal = tryPropose(ticket, recovery, found?.fate);
		const settlement = proposal && await host.proposeAnswer(ticket, proposal);
		return settlement === undefined ? toUnreachableReply(ticket.incarnation) : toAgreedReply(ticket, settlement, recovery);
	}
}

/** The answer that the record or the agents support; undefined while tasks still run. */
function tryPropose(ticket: Ticket, recovery: RecoveryResult, fate: SubmissionRecord | undefined): AgreedAnswer | undefined {
	if (fate?.answer !== undefined) {
		return fate.answer;
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
