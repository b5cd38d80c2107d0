/**
 * Simulated callers: they submit under a ticket, send the same ticket again to other entries when no final
 * answer comes, at once and late, and cancel.
 */
import {Buffer} from 'node:buffer';
import type {Milliseconds} from '../../src/process/clock.js';
import type {AnswerBody, Reply} from '../../src/request/reply.js';
import type {TicketOperation, Principal, SubmissionBody} from '../../src/request/router.js';
import type {Ticket} from '../../src/request/types.js';
import {deadlineMs} from './config.js';
import {entryNames, type SimulatedCluster} from './cluster.js';

/** One submission and how its caller goes about it. */
export type SubmissionPlan = {
	readonly taskCount: number;
	readonly isIdempotent: boolean;
	/** Entry that issues the ticket. */
	readonly issuer: string;
	/** Entry asked first; any one if undefined. */
	readonly via?: string;
	/** Sends a copy to another entry at the same time. */
	readonly isDuplicated: boolean;
	readonly cancelAfter?: Milliseconds;
	/** Asks again this long after the final answer. */
	readonly resubmitAfter?: Milliseconds;
};

/** The callers of one run. */
export type Callers = {
	submit(plan: SubmissionPlan): void;
	/** Cancels this share of the submissions without an answer. */
	cancelRandomShare(share: number): void;
	/** Notes each submission that has no final answer. */
	recordUnanswered(): void;
};

const principal: Principal = {name: 'caller', team: 'office', role: 'caller'};
const waitMs: Milliseconds = 3000;
const requestTimeoutMs: Milliseconds = 8000;

type Pending = {
	readonly ticket: Ticket;
	readonly body: SubmissionBody;
	readonly plan: SubmissionPlan;
};

/** Creates the callers of a world. */
export function createCallers(world: SimulatedCluster): Callers {
	const {sim, journal, network} = world;
	const {clock, random: dice} = sim;
	const pending = new Map<string, Pending>();

	return {
		submit(plan) {
			const issuer = world.getEntry(plan.issuer);
			issuer.process.perform(() => {
				if (!issuer.directory.isRegistered()) {
					return;
				}

				const [ticket] = issuer.issuer.issue(principal.name, 1);
				start(ticket!, plan);
			});
		},
		cancelRandomShare(share) {
			for (const submission of pending.values()) {
				if (dice.chance(share)) {
					void ask(submission, 'cancel', dice.pick(entryNames));
				}
			}
		},
		recordUnanswered() {
			for (const ticket of pending.keys()) {
				journal.record({kind: 'unanswered', ticket});
			}
		},
	};

	function start(ticket: Ticket, plan: SubmissionPlan): void {
		const submission: Pending = {ticket, plan, body: createBody(ticket, plan)};
		pending.set(ticket.text, submission);
		journal.record({
			kind: 'submitted', ticket: ticket.text, taskCount: plan.taskCount, idempotent: plan.isIdempotent, deadlineMs,
		});
		void pursue(submission, plan.via);
		if (plan.isDuplicated) {
			void pursue(submission);
		}

		if (plan.cancelAfter !== undefined) {
			clock.after(plan.cancelAfter, () => {
				void ask(submission, 'cancel', dice.pick(entryNames));
			});
		}
	}

	async function pursue(submission: Pending, via?: string): Promise<void> {
		const reply = await ask(submission, 'submit', via ?? dice.pick(entryNames));
		if (isFinal(reply) || !pending.has(submission.ticket.text)) {
			settle(submission);
			return;
		}

		clock.after(dice.integer(50, 500), () => {
			void pursue(submission);
		});
	}

	function settle(submission: Pending): void {
		const {ticket, plan} = submission;
		if (pending.delete(ticket.text) && plan.resubmitAfter !== undefined) {
			clock.after(plan.resubmitAfter, () => {
				void ask(submission, 'submit', dice.pick(entryNames));
				void ask(submission, 'wait', dice.pick(entryNames));
			});
		}
	}

	async function ask({ticket, body}: Pending, operation: TicketOperation, via: string): Promise<AnswerBody | undefined> {
		const entry = world.getEntry(via);
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

/** Whether a reply ends the submission. */
export function isFinal(body: AnswerBody | undefined): boolean {
	return body !== undefined && (body.state === 'complete' || body.state === 'failed' || (body.state === 'refused' && body.ran === 'not-run'));
}

/** The payload of one task, which names the task. */
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
