/**
 * Replies to callers: an HTTP status, a JSON body and a time after which to retry.
 */
import {Buffer} from 'node:buffer';
import {z} from 'zod';
import type {RecoveryResult} from '../connection/held-task-queries.js';
import type {RelayResult} from '../connection/peer-types.js';
import type {RelayReply} from '../generated/kingcuplane.js';
import type {Milliseconds} from '../process/clock.js';
import {createDiagnostic, Diagnostics, type Diagnostic} from '../process/diagnostics.js';
import {readJson} from '../process/json.js';
import type {AgreedAnswer} from './agreed-answers.js';
import type {Answer, SubmissionRecord, Ticket} from './types.js';

/** A reply to a caller. */
export type Reply = {
	readonly status: number;
	readonly body: unknown;
	/** Time after which a retry may succeed; undefined if it would not. */
	readonly retryAfter?: Milliseconds;
};

/** The JSON body of a reply about one ticket. */
export type AnswerBody = {
	readonly ticket: string;
	readonly state: Answer['state'] | 'running';
	readonly ran: Answer['ran'];
	/** Present if the state is `complete`. */
	readonly tasks?: ReadonlyArray<{readonly payload: string}>;
	readonly diagnostic?: Diagnostic;
	readonly retryAfterMs?: Milliseconds;
};

/** Statuses with which a response can be sent. */
const statusSchema = z.int().min(200).max(599);
const bodySchema = z.looseObject({});
const unreachableRetryMs: Milliseconds = 1000;

/** Creates the reply for a request that is refused without reference to a job. */
export function toRefusalReply(diagnostic: Diagnostic, retryAfter?: Milliseconds): Reply {
	const body: Omit<AnswerBody, 'ticket'> = {
		state: 'refused', ran: getExecutionStatus(diagnostic), diagnostic, retryAfterMs: retryAfter,
	};
	return {status: getStatus(diagnostic), body, retryAfter};
}

/** Creates the reply for a ticket whose coordinator cannot be reached. It is not final: the caller must retry. */
export function toUnreachableReply(coordinator: string): Reply {
	return toRefusalReply(createDiagnostic(Diagnostics.Home_is_unreachable, coordinator), unreachableRetryMs);
}

/** Creates the reply that contains a final answer. */
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

/**
 * Creates the reply from a record, which contains no payloads: for a complete job it says that the answer is no longer
 * retained.
 */
export function toRecordReply(ticket: Ticket, record: SubmissionRecord): Reply {
	if (record.answer === undefined) {
		return toUnreachableReply(record.entry);
	}

	const {state, ran} = record.answer;
	const diagnostic = record.answer.diagnostic ?? createDiagnostic(Diagnostics.Answer_is_no_longer_kept, ticket.text);
	const body: AnswerBody = {
		ticket: ticket.text, state, ran, diagnostic,
	};
	return {status: getStatus(diagnostic), body};
}

/**
 * Creates the reply from the agreed answer of a dead coordinator's ticket, with payloads if agents still retain them.
 */
export function toAgreedReply(ticket: Ticket, agreed: AgreedAnswer, recovery: RecoveryResult): Reply {
	if (agreed.state !== 'complete') {
		return toAnswerReply(ticket.text, agreed);
	}

	const isRecovered = recovery.kind === 'answered' && recovery.answer.state === 'complete';
	return toAnswerReply(ticket.text, isRecovered
		? recovery.answer
		: {...agreed, diagnostic: createDiagnostic(Diagnostics.Answer_is_no_longer_kept, ticket.text)});
}

/** Converts a reply that another entry relayed; undefined if it is none, for instance after an unexpected error there. */
export function tryFromRelayReply({status, body, retryAfterMs}: RelayReply): Reply | undefined {
	return statusSchema.safeParse(status).success
		? readJson(bodySchema, Buffer.from(body).toString()).match(content => ({
			status, body: content, retryAfter: retryAfterMs === 0 ? undefined : retryAfterMs,
		}), () => undefined)
		: undefined;
}

/** Converts a reply into the message that relays it to another entry. */
export function toRelayReply(reply: Reply): RelayResult {
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
	RequestMemoryFull: 503,
	DeadlinePassed: 504,
	DeadlineOutOfReach: 504,
	ObjectivePassedWaiting: 503,
	ObjectiveOutOfReach: 503,
	JobCancelled: 409,
	TaskFailed: 502,
	TaskMayHaveRun: 502,
	TaskCrashedUpstreams: 502,
	TaskLostRepeatedly: 502,
	HomeLost: 502,
	HomeUnreachable: 503,
	FateUnknown: 404,
	AnswerNoLongerKept: 410,
	RouteUnknown: 404,
};

function getStatus(diagnostic: Diagnostic): number {
	return statusByKind[diagnostic.kind] ?? 500;
}

// These do not say whether the work ran: it may be running elsewhere.
const undecidedKinds = new Set(['HomeUnreachable', 'FateUnknown', 'InternalFault', 'TicketForeign', 'TicketNamesOtherRequest']);

function getExecutionStatus(diagnostic: Diagnostic): Answer['ran'] {
	return undecidedKinds.has(diagnostic.kind) ? 'may-have-run' : 'not-run';
}
