import net from 'node:net';
import {setImmediate as nextTurn, setTimeout as sleep} from 'node:timers/promises';
import type {ExecutionContext} from 'ava';
import {ok} from 'neverthrow';
import {createSystemClock} from '../../src/process/clock.js';
import {createHttpApi, type HttpApiHost} from '../../src/process/http-api.js';
import {afterPoll} from '../../src/process/input-reading.js';
import {noMetrics} from '../../src/process/metrics.js';
import {createRequestArrivals} from '../../src/process/request-arrivals.js';
import {createTicketIssuer} from '../../src/request/ticket.js';
import {createLateClients, sendWhileBlocked} from '../blocked-server.js';
import {describe, it} from '../describe.js';
import {silentLog} from '../silent-log.js';
import {serveForTest} from '../test-server.js';

/** Turns of the event loop in which a submission that is begun by mistake would be seen. */
const laterTurns = 20;
const pollMs = 5;
const answerWaitMs = 10_000;

type Fixture = {
	readonly app: ReturnType<typeof createHttpApi>;
	readonly port: number;
	/** Operations in the order in which they were routed. */
	readonly operations: string[];
	/** Tickets of the submissions that were begun. */
	readonly begun: string[];
	issueTicket(): string;
};

async function createFixture(t: ExecutionContext, changes: Partial<HttpApiHost> = {}, serverChanges: Parameters<typeof serveForTest>[2] = {}): Promise<Fixture> {
	const clock = createSystemClock();
	const operations: string[] = [];
	const issuer = createTicketIssuer({
		clock, incarnation: 'e-1', key: new Uint8Array(32), blockMs: 1000, lifetimeMs: 60_000,
	});
	const begun: string[] = [];
	const app = createHttpApi({
		clock,
		router: {
			async route({ticket, operation}) {
				operations.push(operation);
				begun.push(ticket.text);
				return {status: 200, body: {}};
			},
			async serveRelayed() {
				throw new Error('no peer is expected');
			},
		},
		arrivals: createRequestArrivals({
			clock, log: silentLog, metrics: noMetrics, afterPoll, getInputDelay: () => 0,
		}),
		maxBodyBytes: 10_000,
		maxTickets: 100,
		maxWaitMs: 10_000,
		ticketLifetimeMs: 60_000,
		authenticate: () => ok({name: 'c', team: 't', role: 'caller'}),
		issueTickets: issuer.issue,
		isReady: () => true,
		getStatus: () => ({}),
		logError(err) {
			t.fail(String(err));
		},
		onRequestServed: () => undefined,
		...changes,
	});
	return {
		app, port: await serveForTest(t, app, serverChanges), operations, begun, issueTicket: () => issuer.issue('c', 1)[0]!.text,
	};
}

function createBody(ticket: string): string {
	return JSON.stringify({ticket, submission: 'check', tasks: [{payload: ''}]});
}

describe('HTTP interface of an entry', () => {
	// Guards against a second run of what a client has submitted elsewhere since it left an entry that stood still (review/1).
	it('after its process stood still, begins submissions of the clients that still wait, and of no others', async t => {
		const {port, begun, issueTicket} = await createFixture(t);
		const tickets: string[] = [];
		const clients = createLateClients(i => {
			tickets[i] = issueTicket();
			return {path: '/v1/submissions', body: createBody(tickets[i]), headers: 'authorization: Bearer x\r\n'};
		});
		const answered = await sendWhileBlocked(t, port, clients);
		const waiting = tickets.filter((_, i) => clients[i]!.leaves === 'never');
		const end = Date.now() + answerWaitMs;
		while (answered.length < waiting.length && Date.now() < end) {
			await sleep(pollMs);
		}

		for (let turn = 0; turn < laterTurns; turn++) {
			await nextTurn();
		}

		t.deepEqual(begun.toSorted(), waiting.toSorted());
		t.is(answered.length, waiting.length);
		t.true(answered.every(text => text.startsWith('HTTP/1.1 200')));
	});

	it('refuses a submission that did not fit into the memory for requests, or is too long', async t => {
		const refuse = async (memoryBytes: number, body: string) => {
			const {port, begun} = await createFixture(t, {}, {memoryBytes, maxBodyBytes: 10_000});
			const res = await fetch(`http://127.0.0.1:${port}/v1/submissions`, {method: 'POST', headers: {authorization: 'Bearer x'}, body});
			t.deepEqual(begun, []);
			return {status: res.status, retryAfter: res.headers.get('retry-after') ?? undefined, kind: /"kind":"(?<kind>\w+)"/v.exec(await res.text())?.groups?.kind};
		};

		t.deepEqual(await refuse(1000, '{}'), {status: 503, retryAfter: '1', kind: 'RequestMemoryFull'});
		t.deepEqual(await refuse(1_000_000, ' '.repeat(10_001)), {status: 413, retryAfter: undefined, kind: 'BodyTooLarge'});
	});

	// Guards against a submission that runs although its caller has cancelled it right after sending it.
	it('routes a request to cancel only after the submission that it arrives behind', async t => {
		const releases: Array<() => void> = [];
		const {app, operations, issueTicket} = await createFixture(t, {
			arrivals: {
				isClientWaiting: async () => new Promise<boolean>(resolve => {
					releases.push(() => {
						resolve(true);
					});
				}),
			},
		});
		const ticket = issueTicket();
		const headers = {authorization: 'Bearer x', 'content-type': 'application/json'};
		const submitted = app.request('/v1/submissions', {method: 'POST', headers, body: createBody(ticket)}, {incoming: {socket: new net.Socket()}});
		while (releases.length === 0) {
			await nextTurn();
		}

		const cancelled = app.request(`/v1/submissions/${ticket}`, {method: 'DELETE', headers});
		for (let turn = 0; turn < laterTurns; turn++) {
			await nextTurn();
		}

		t.deepEqual(operations, []);
		releases[0]!();
		await Promise.all([submitted, cancelled]);
		t.deepEqual(operations, ['submit', 'cancel']);
	});
});
