import {RefusalReason, TaskOutcome, type HeldTask} from '../../src/generated/kingcuplane.js';
import {recoverAnswer} from '../../src/connection/held-task-queries.js';
import {createFakeClock} from '../../src/process/fake-clock.js';
import {mergeHeldTasks} from '../../src/request/record-merge.js';
import {createRouter, type Router} from '../../src/request/router.js';
import {parseTicket} from '../../src/request/ticket.js';
import {describe, it} from '../describe.js';

const ticket = parseTicket('kc1.dead.0.0.AAAAAAAAAAAAAAAA')._unsafeUnwrap();

/** One finished task of a single-task job of the caller "ann", as its agent holds it. */
function createHeld(): HeldTask {
	const task = {ticket: ticket.text, index: 0};
	return {
		task,
		taskCount: 1,
		running: false,
		startedAt: 1000,
		caller: 'ann',
		result: {
			task, seq: 1, attempt: 1, outcome: TaskOutcome.TASK_OUTCOME_COMPLETED, reason: RefusalReason.REFUSAL_REASON_UNSPECIFIED, payload: new Uint8Array([7]), runMs: 1, detail: '', startSeq: 1,
		},
	};
}

/** A router at an entry that finds the ticket's home dead. `isHeard` tells whether agents answer the first question. */
function createTestRouter(isHeard = true): Router {
	return createRouter({
		clock: createFakeClock(),
		entry: 'other',
		incarnation: 'other',
		coordinator: {submit: () => ({kind: 'forgotten'}), tryGetJob: () => undefined, cancel: () => undefined},
		directory: {getStatus: () => 'dead', confirmLease: async () => 'held', isLoaded: () => true},
		relay: async () => undefined,
		findRecord: async () => isHeard ? {fate: mergeHeldTasks(undefined, ticket, [createHeld()]), json: {}} : undefined,
		recover: async () => recoverAnswer([createHeld()]),
		proposeAnswer: async (_ticket, proposal) => proposal,
		recordDelivery: () => undefined,
	});
}

async function ask(router: Router, name: string): Promise<unknown> {
	const reply = await router.route({
		operation: 'wait', principal: {name, team: 'lunch', role: 'caller'}, ticket, waitMs: 0,
	});
	return reply.body;
}

/** A router at the home of a ticket whose lifetime is over, with what the lookup of its record finds. */
function createExpiredRouter(found: 'unreadable' | undefined): Router {
	return createRouter({
		clock: createFakeClock(),
		entry: 'home',
		incarnation: ticket.incarnation,
		coordinator: {submit: () => ({kind: 'expired'}), tryGetJob: () => undefined, cancel: () => undefined},
		directory: {getStatus: () => 'live', confirmLease: async () => 'held', isLoaded: () => true},
		relay: async () => undefined,
		findRecord: async () => found,
		recover: async () => ({kind: 'unknown'}),
		proposeAnswer: async (_ticket, proposal) => proposal,
		recordDelivery: () => undefined,
	});
}

async function submit(router: Router): Promise<unknown> {
	const reply = await router.route({
		operation: 'submit',
		principal: {name: 'ann', team: 'lunch', role: 'caller'},
		ticket,
		waitMs: 0,
		submission: {
			ticket: ticket.text, submission: 'confirm', reference: '', kind: 'job', wait: true, tasks: [{payload: ''}],
		},
	});
	return reply.body;
}

describe('router', () => {
	describe('ticket whose lifetime is over', () => {
		it('was not run if there is no record of it', async t => {
			t.like(await submit(createExpiredRouter(undefined)), {state: 'refused', ran: 'not-run', diagnostic: {kind: 'TicketExpired'}});
		});

		it('is undecided while its record cannot be read', async t => {
			t.like(await submit(createExpiredRouter('unreadable')), {ran: 'may-have-run', diagnostic: {kind: 'HomeUnreachable'}});
		});
	});

	describe('ticket of a dead home without a saved record', () => {
		it('is answered to its caller from what agents hold', async t => {
			t.like(await ask(createTestRouter(), 'ann'), {state: 'complete', ran: 'ran', tasks: [{payload: 'Bw=='}]});
		});

		it('is not answered to another caller', async t => {
			t.like(await ask(createTestRouter(), 'bob'), {diagnostic: {kind: 'TicketForeign'}, tasks: undefined});
		});

		it('is answered to its caller only, also when agents answer too late for the record', async t => {
			t.like(await ask(createTestRouter(false), 'bob'), {diagnostic: {kind: 'TicketForeign'}, tasks: undefined});
			t.like(await ask(createTestRouter(false), 'ann'), {state: 'complete', ran: 'ran', tasks: [{payload: 'Bw=='}]});
		});
	});
});
