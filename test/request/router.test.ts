import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {RefusalReason, TaskOutcome, type HeldTask} from '../../src/generated/kingcuplane.js';
import {recoverAnswer} from '../../src/connection/held-task-queries.js';
import {createFakeClock} from '../../src/process/fake-clock.js';
import {mergeHeldTasks} from '../../src/request/record-merge.js';
import {createRouter, type Router, type RouterHost} from '../../src/request/router.js';
import {parseTicket} from '../../src/request/ticket.js';
import {describe, it} from '../describe.js';
import {createOddBytes, oddInputRuns} from '../odd-input.js';

const ticket = parseTicket('kc1.dead.0.0.AAAAAAAAAAAAAAAA')._unsafeUnwrap();

/** Creates the finished task of a single-task job of the caller "ann", as its agent retains it. */
function createHeldTask(): HeldTask {
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

/**
 * Creates a router at an entry for which the ticket's coordinator is dead. `doAgentsReply` says whether agents reply to
 * the record lookup; they always reply to the later query for the answer.
 */
function createTestRouter(doAgentsReply = true, relay: RouterHost['relay'] = async () => undefined): Router {
	return createRouter({
		clock: createFakeClock(),
		entry: 'other',
		incarnation: 'other',
		coordinator: {submit: () => ({kind: 'forgotten'}), tryGetJob: () => undefined, cancel: () => undefined},
		directory: {getStatus: () => 'dead', confirmLease: async () => 'held', isLoaded: () => true},
		relay,
		findRecord: async () => doAgentsReply ? {fate: mergeHeldTasks(undefined, ticket, [createHeldTask()]), json: {}} : undefined,
		recover: async () => recoverAnswer([createHeldTask()]),
		proposeAnswer: async (_ticket, proposal) => proposal,
		recordDelivery: () => undefined,
	});
}

async function requestAnswer(router: Router, name: string): Promise<unknown> {
	const reply = await router.route({
		operation: 'wait', principal: {name, team: 'lunch', role: 'caller'}, ticket, waitMs: 0,
	});
	return reply.body;
}

/** Creates a router at the coordinator of an expired ticket. `found` is the result of its record lookup. */
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
	describe('expired ticket', () => {
		it('was not run if there is no record of it', async t => {
			t.like(await submit(createExpiredRouter(undefined)), {state: 'refused', ran: 'not-run', diagnostic: {kind: 'TicketExpired'}});
		});

		it('may have run while its record cannot be read', async t => {
			t.like(await submit(createExpiredRouter('unreadable')), {ran: 'may-have-run', diagnostic: {kind: 'HomeUnreachable'}});
		});
	});

	describe('ticket of a dead coordinator without a saved record', () => {
		it('is answered to its caller from the tasks that agents retain', async t => {
			t.like(await requestAnswer(createTestRouter(), 'ann'), {state: 'complete', ran: 'ran', tasks: [{payload: 'Bw=='}]});
		});

		it('is not answered to another caller', async t => {
			t.like(await requestAnswer(createTestRouter(), 'bob'), {diagnostic: {kind: 'TicketForeign'}, tasks: undefined});
		});

		it('is answered to its caller only, even if agents reply too late for the record lookup', async t => {
			t.like(await requestAnswer(createTestRouter(false), 'bob'), {diagnostic: {kind: 'TicketForeign'}, tasks: undefined});
			t.like(await requestAnswer(createTestRouter(false), 'ann'), {state: 'complete', ran: 'ran', tasks: [{payload: 'Bw=='}]});
		});
	});

	// Guards against a body of a peer that ends the request unexpectedly, so that its caller is told nothing.
	it('replies to whatever a peer relays', async t => {
		const router = createExpiredRouter(undefined);
		const relayed = {
			operation: 'submit', principal: {name: 'ann', team: 'lunch', role: 'caller'}, via: 'e', submission: {
				ticket: ticket.text, submission: 'confirm', reference: '', kind: 'job', wait: true, deadlineMs: 5, tasks: [{payload: ''}],
			},
		};
		await fc.assert(fc.asyncProperty(createOddBytes(relayed), async body => {
			const {status} = await router.serveRelayed({
				operation: 'submit', ticket: ticket.text, principal: 'ann', body, timeoutMs: 0,
			});
			t.true(status >= 200 && status < 500, `${status}`);
		}), oddInputRuns);
		for (const text of ['', 'x', 'kc1', 'kc1.e.-1.0.AAAAAAAAAAAAAAAA', `kc1.${'x'.repeat(100_000)}.0.0.AAAAAAAAAAAAAAAA`]) {
			const {status} = await router.serveRelayed({
				operation: 'wait', ticket: text, principal: 'ann', body: Buffer.from(JSON.stringify(relayed)), timeoutMs: 0,
			});
			t.is(status, 400, text.slice(0, 50));
		}
	});

	// Guards against a caller that is told of an internal fault here when the coordinator's entry failed unexpectedly.
	it('takes what is no reply for none, since the job may have run', async t => {
		const send = async (status: number, text: string) => requestAnswer(createTestRouter(true, async () => ({
			id: 1, status, body: Buffer.from(text), retryAfterMs: 0, declined: false,
		})), 'ann');
		for (const [status, text] of [[500, ''], [200, '{'], [200, 'null'], [200, '7'], [0, '{}'], [100, '{}'], [4_294_967_295, '{}']] as const) {
			t.like(await send(status, text), {ran: 'may-have-run', diagnostic: {kind: 'HomeUnreachable'}}, `${status} ${text}`);
		}

		t.like(await send(200, '{"state":"complete"}'), {state: 'complete'});
	});
});
