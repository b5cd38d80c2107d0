/**
 * Replies to callers: an HTTP status, a JSON body and when to come back.
 */
import {Buffer} from 'node:buffer';
import type {RecoveryResult} from '../connection/held-task-queries.js';
import type {RelayReply} from '../generated/kingcuplane.js';
import type {Milliseconds} from '../process/clock.js';
import {createDiagnostic, Diagnostics, type Diagnostic} from '../process/diagnostics.js';
import type {AgreedAnswer} from './agreed-answers.js';
import type {Answer, SubmissionRecord, Ticket} from './types.js';

/** A reply to a caller: an HTTP status and a JSON body. */
export type Reply = {
	readonly status: number;
	readonly body: unknown;
	/** When to come back; undefined if that makes no sense. */
	readonly retryAfter?: Milliseconds;
};

/** The answer of a job in JSON. */
export type AnswerBody = {
	readonly ticket: string;
	readonly state: Answer['state'] | 'running';
	readonly ran: Answer['ran'];
	/** Present if the state is `complete`. */
	readonly tasks?: ReadonlyArray<{readonly payload: string}>;
	readonly diagnostic?: Diagnostic;
	readonly retryAfterMs?: Milliseconds;
};

const unreachableRetryMs: Milliseconds = 1000;

/** Turns a refusal that concerns no job into a reply. */
export function toRefusalReply(diagnostic: Diagnostic, retryAfter?: Milliseconds): Reply {
	const body: Omit<AnswerBody, 'ticket'> = {
		state: 'refused', ran: getRanOf(diagnostic), diagnostic, retryAfterMs: retryAfter,
	};
	return {status: getStatus(diagnostic), body, retryAfter};
}

/** The reply while a ticket's home cannot be asked: not final, to be asked again. */
export function toUnreachableReply(home: string): Reply {
	return toRefusalReply(createDiagnostic(Diagnostics.Home_is_unreachable, home), unreachableRetryMs);
}

/** The reply that carries a final answer. */
export function toAnswerReply(ticket: string, answer: Answer): Reply {
	const body: AnswerBody = {
		ticket,
		state: answer.state,
		ran: answer.ran,
		tasks: answer.payloads?.map(payload => ({payload: Buffer.from(payload).toString('base64')})),
		diagnostic: answer.diagnostic,
		retryAfterMs: answer.retryAfter,
	};
	return {status: answer.diagnostic === undefined ? 200 : getStatus(answer.diagnostic), body, retryAfter: answer.retryAfter};
}

/** The reply from a record. It holds no payloads: a complete job whose payloads are gone is reported as such. */
export function toRecordReply(ticket: Ticket, fate: SubmissionRecord): Reply {
	if (fate.answer === undefined) {
		return toUnreachableReply(fate.entry);
	}

	const {state, ran} = fate.answer;
	const diagnostic = fate.answer.diagnostic ?? createDiagnostic(Diagnostics.Answer_is_no_longer_kept, ticket.text);
	const body: AnswerBody = {
		ticket: ticket.text, state, ran, diagnostic,
	};
	return {status: getStatus(diagnostic), body};
}

/** The reply that all entries agreed on for a dead home's ticket, with payloads if agents still hold them. */
export function toAgreedReply(ticket: Ticket, settlement: AgreedAnswer, recovery: RecoveryResult): Reply {
	if (settlement.state !== 'complete') {
		return toAnswerReply(ticket.text, settlement);
	}

	const isHeld = recovery.kind === 'answered' && recovery.answer.state === 'complete';
	return toAnswerReply(ticket.text, isHeld
		? recovery.answer
		: {...settlement, diagnostic: createDiagnostic(Diagnostics.Answer_is_no_longer_kept, ticket.text)});
}

/** Reads a reply that another entry passed back. */
export function fromRelayReply(reply: RelayReply): Reply {
	return {
		status: reply.status,
		body: JSON.parse(Buffer.from(reply.body).toString()),
		retryAfter: reply.retryAfterMs === 0 ? undefined : reply.retryAfterMs,
	};
}

/** Writes a reply to pass back to another entry. */
export function toRelayReply(reply: Reply): Omit<RelayReply, 'id'> {
	return {
		status: reply.status,
		body: Buffer.from(JSON.stringify(reply.body)),
		retryAfterMs: reply.retryAfter ?? 0,
	};
}

const statusByKind: Readonly<Record<string, number>> = {
	TicketMalformed: 400,
	TicketExpired: 410,
	TicketForeign: 403,
	TicketNamesOtherRequest: 409,
	TokenMissing: 401,
	TokenUnknown: 401,
	BodyTooLarge: 413,
	BodyInvalid: 400,
	TooManyTasks: 413,
	PayloadTooLarge: 413,
	SubmissionUnknown: 404,
	SubmissionNotAllowed: 403,
	ServiceHasNoUpstream: 503,
	QueueFull: 429,
	DeadlineCannotBeMet: 429,
	QuotaExhausted: 429,
	EntryDraining: 503,
	EntryNotReady: 503,
	FateMemoryFull: 503,
	DeadlinePassed: 504,
	DeadlineOutOfReach: 504,
	JobCancelled: 409,
	TaskFailed: 502,
	TaskMayHaveRun: 502,
	HomeLost: 502,
	HomeUnreachable: 503,
	FateUnknown: 404,
	AnswerNoLongerKept: 410,
	RouteUnknown: 404,
};

function getStatus(diagnostic: Diagnostic): number {
	return statusByKind[diagnostic.kind] ?? 500;
}

// These say nothing about the work itself, which may be under way elsewhere.
const undecidedKinds = new Set(['HomeUnreachable', 'FateUnknown', 'InternalFault', 'TicketForeign', 'TicketNamesOtherRequest']);

function getRanOf(diagnostic: Diagnostic): Answer['ran'] {
	return undecidedKinds.has(diagnostic.kind) ? 'may-have-run' : 'not-run';
}
