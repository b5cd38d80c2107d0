/**
 * Simulated callers: they submit under a ticket, send the same ticket again to random entries until they get a final
 * answer, send copies at the same time and after the answer, and cancel.
 */
import {Buffer} from 'node:buffer';
import type {Milliseconds} from '../../src/process/clock.js';
import type {AnswerBody, Reply} from '../../src/request/reply.js';
import type {TicketOperation, Principal, SubmissionBody} from '../../src/request/router.js';
import type {Ticket} from '../../src/request/types.js';
import {deadlineMs} from './config.js';
import {entryNames, type SimulatedCluster} from './cluster.js';

/** One submission and the behaviour of its caller. */
export type SubmissionPlan = {
	readonly taskCount: number;
	readonly isIdempotent: boolean;
	/** Entry that issues the ticket. */
	readonly issuer: string;
	/** Entry that receives the first request; a random one if undefined. */
	readonly via?: string;
	/** Whether a copy is sent to a random entry at the same time. */
	readonly isDuplicated: boolean;
	/** Sends a cancellation this long after the submission. */
	readonly cancelAfter?: Milliseconds;
	/** Submits again and queries the answer this long after the final answer. */
	readonly resubmitAfter?: Milliseconds;
};

/** The callers of one run. */
export type Callers = {
	submit(plan: SubmissionPlan): void;
	/** Cancels a random share, from 0 to 1, of the submissions that have no final answer. */
	cancelRandomShare(share: number): void;
	/** Records each submission that has no final answer. */
	recordUnanswered(): void;
};

const principal: Principal = {name: 'caller', team: 'office', role: 'caller'};
const waitMs: Milliseconds = 3000;
const requestTimeoutMs: Milliseconds = 8000;

type PendingSubmission = {
	readonly ticket: Ticket;
	readonly body: SubmissionBody;
	readonly plan: SubmissionPlan;
};

/** Creates the callers of a simulated cluster. */
export function createCallers(cluster: SimulatedCluster): Callers {
	const {sim, journal, network} = cluster;
	const {clock, random} = sim;
	const pendingSubmissions = new Map<string, PendingSubmission>();

	return {
		submit(plan) {
			const issuer = cluster.getEntry(plan.issuer);
			issuer.process.perform(() => {
				if (!issuer.directory.isRegistered()) {
					return;
				}

				const [ticket] = issuer.issuer.issue(principal.name, 1);
				start(ticket!, plan);
			});
		},
		cancelRandomShare(share) {
			for (const submission of pendingSubmissions.values()) {
				if (random.chance(share)) {
					void sendRequest(submission, 'cancel', random.pick(entryNames));
				}
			}
		},
		recordUnanswered() {
			for (const ticket of pendingSubmissions.keys()) {
				journal.record({kind: 'unanswered', ticket});
			}
		},
	};

	function start(ticket: Ticket, plan: SubmissionPlan): void {
		const submission: PendingSubmission = {ticket, plan, body: createBody(ticket, plan)};
		pendingSubmissions.set(ticket.text, submission);
		journal.record({
			kind: 'submitted', ticket: ticket.text, taskCount: plan.taskCount, idempotent: plan.isIdempotent, deadlineMs,
		});
		void submitUntilFinal(submission, plan.via);
		if (plan.isDuplicated) {
			void submitUntilFinal(submission);
		}

		if (plan.cancelAfter !== undefined) {
			clock.after(plan.cancelAfter, () => {
				void sendRequest(submission, 'cancel', random.pick(entryNames));
			});
		}
	}

	async function submitUntilFinal(submission: PendingSubmission, via?: string): Promise<void> {
		const reply = await sendRequest(submission, 'submit', via ?? random.pick(entryNames));
		if (isFinal(reply) || !pendingSubmissions.has(submission.ticket.text)) {
			finishSubmission(submission);
			return;
		}

		clock.after(random.integer(50, 500), () => {
			void submitUntilFinal(submission);
		});
	}

	function finishSubmission(submission: PendingSubmission): void {
		const {ticket, plan} = submission;
		if (pendingSubmissions.delete(ticket.text) && plan.resubmitAfter !== undefined) {
			clock.after(plan.resubmitAfter, () => {
				void sendRequest(submission, 'submit', random.pick(entryNames));
				void sendRequest(submission, 'wait', random.pick(entryNames));
			});
		}
	}

	async function sendRequest({ticket, body}: PendingSubmission, operation: TicketOperation, via: string): Promise<AnswerBody | undefined> {
		const entry = cluster.getEntry(via);
		const reply: Reply | undefined = await network.request('caller', entry.process, async () => entry.router.route({
			operation, principal, ticket, submission: operation === 'submit' ? body : undefined, waitMs,
		}), requestTimeoutMs);
		const answer = reply?.body;
		if (isAnswer(answer)) {
			journal.record({
				kind: 'replied', ticket: ticket.text, via: entry.process.name, body: answer,
			});
			return answer;
		}

		return undefined;
	}
}

function isAnswer(body: unknown): body is AnswerBody {
	return typeof body === 'object' && body !== null && 'state' in body;
}

/** Whether a reply is a final answer to the submission. */
export function isFinal(body: AnswerBody | undefined): boolean {
	return body !== undefined && (body.state === 'complete' || body.state === 'failed' || (body.state === 'refused' && body.ran === 'not-run'));
}

/** Returns the payload of one task, which identifies the task. */
export function getPayload(ticket: string, index: number): string {
	return Buffer.from(`${ticket}/${index}`).toString('base64');
}

function createBody({text}: Ticket, plan: SubmissionPlan): SubmissionBody {
	return {
		ticket: text,
		submission: plan.isIdempotent ? 'check' : 'order',
		reference: '',
		kind: plan.taskCount === 1 ? 'request' : 'job',
		wait: true,
		tasks: Array.from({length: plan.taskCount}, (_, index) => ({payload: getPayload(text, index)})),
	};
}
