import http from 'node:http';
import {setImmediate as nextTurn, setTimeout as sleep} from 'node:timers/promises';
import type {ExecutionContext} from 'ava';
import fc from 'fast-check';
import {createIngress, maxBodyBytes} from '../../src/platform/ingress.js';
import {createJobDesk} from '../../src/platform/job-desk.js';
import {createJobIntake} from '../../src/platform/job-intake.js';
import {createCancelledNames} from '../../src/process/cancelled-names.js';
import {createSystemClock} from '../../src/process/clock.js';
import type {Entry} from '../../src/process/entry-types.js';
import {createFakeClock} from '../../src/process/fake-clock.js';
import {afterPoll} from '../../src/process/input-reading.js';
import {noMetrics} from '../../src/process/metrics.js';
import {createRequestArrivals} from '../../src/process/request-arrivals.js';
import type {LoadDecision} from '../../src/request/load-sharing.js';
import type {SubmissionRequest} from '../../src/request/submission-rules.js';
import type {Answer} from '../../src/request/types.js';
import type {Route, Snapshot} from '../../src/version/types.js';
import {createLateClients, sendWhileBlocked} from '../blocked-server.js';
import {describe, it} from '../describe.js';
import {createOddBytes, createOddNumberTexts, oddInputRuns} from '../odd-input.js';
import {silentLog} from '../silent-log.js';
import {serveForTest} from '../test-server.js';

const pathPrefix = '/jobs/';
const path = `${pathPrefix}0123456789abcdef`;
const pollMs = 5;
/** Turns of the event loop in which a job that is begun by mistake would be seen. */
const laterTurns = 20;
const serveHere: LoadDecision = {kind: 'serve'};
const forwardToPeer: LoadDecision = {
	kind: 'forward', peer: {
		incarnation: 'p-1', utilization: 0.1, acceptsJobs: true, linkUtilization: 0, processorShare: 1,
	},
};
const complete: Answer = {state: 'complete', ran: 'ran', payloads: []};

type Fixture = {
	/** Requests that reached the coordinator. */
	readonly submitted: SubmissionRequest[];
	readonly cancelled: string[];
	/** Names of the jobs that were forwarded. */
	readonly forwarded: string[];
	readonly port: number;
	/** Number of requests that wait for the newest submission. */
	countWaiting(): number;
	/** Answers the newest submission, to all who wait for it. */
	answer(value: Answer): void;
	/** Answers all submissions. */
	answerAll(value: Answer): void;
	post(body: string | Uint8Array, headers?: Readonly<Record<string, string>>): Promise<{readonly status: number; readonly text: string; readonly retryAfter?: string}>;
	/** Sends a request and closes its connection without reading the response. */
	postAndLeave(body: string): Promise<void>;
};

async function createFixture(t: ExecutionContext, decision: LoadDecision = serveHere, routeChanges: Partial<Route> = {}, serverChanges: Parameters<typeof serveForTest>[2] = {}): Promise<Fixture> {
	const submitted: SubmissionRequest[] = [];
	const cancelled: string[] = [];
	const forwarded: string[] = [];
	let listeners: Array<(answer: Answer) => void> = [];
	const allListeners: Array<(answer: Answer) => void> = [];
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the ingress uses only these members
	const entry = {
		issueTicket: () => ({text: `ticket-${submitted.length}`}),
		isShuttingDown: () => false,
		isIntroduced: () => true,
		decideByLoad: () => decision,
		tryForwardJob(_peer: string, name: string) {
			forwarded.push(name);
			return {
				reply: Promise.resolve({
					id: 1, status: 200, body: new TextEncoder().encode('{}'), retryAfterMs: 0, declined: false,
				}), cancel: () => undefined,
			};
		},
		getRemainingDrainTime: () => Infinity,
		coordinator: {
			submit(_caller: unknown, req: SubmissionRequest) {
				submitted.push(req);
				listeners = [];
				return {
					kind: 'accepted', job: {
						ticket: req.ticket, submission: req.submission, tryGetAnswer: () => undefined, getExecutionStatus: () => 'not-run', whenAnswered(action: (answer: Answer) => void) {
							listeners.push(action);
							allListeners.push(action);
						},
					},
				};
			},
			cancel(ticket: string) {
				cancelled.push(ticket);
			},
		},

	} as unknown as Entry;
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- the ingress uses only the routes
	const snapshot = {
		version: 1, routes: [{
			name: 'r', host: 'h.example', pathPrefix: '/jobs/', submission: 's', deadline: 1500, stretch: 1.6, margin: 60, attempts: 3, ...routeChanges,
		}],

	} as unknown as Snapshot;
	const desk = createJobDesk({
		entry, log: silentLog, clock: createFakeClock(), cancelledNames: createCancelledNames(createFakeClock()), tryGetSnapshot: () => snapshot, checkPause: () => undefined,
	});
	const port = await serveForTest(t, createIngress({
		entry,
		desk,
		log: silentLog,
		intake: createJobIntake({clock: createFakeClock(), entry, desk}),
		arrivals: createRequestArrivals({
			clock: createSystemClock(), log: silentLog, metrics: noMetrics, afterPoll, getInputDelay: () => 0,
		}),
	}), serverChanges);

	return {
		submitted,
		cancelled,
		forwarded,
		port,
		countWaiting: () => listeners.length,
		answer(value) {
			const waiting = listeners;
			listeners = [];
			for (const listener of waiting) {
				listener(value);
			}
		},
		answerAll(value) {
			for (const listener of allListeners) {
				listener(value);
			}
		},
		async post(body, headers = {}) {
			const req = send(body, headers);
			const res = await new Promise<http.IncomingMessage>(resolve => {
				req.on('response', resolve);
			});
			let text = '';
			for await (const chunk of res) {
				text += String(chunk);
			}

			return {status: res.statusCode ?? 0, text, ...res.headers['retry-after'] !== undefined && {retryAfter: res.headers['retry-after']}};
		},
		async postAndLeave(body) {
			const req = send(body, {});
			req.on('error', () => undefined);
			await waitUntil(() => submitted.length > 0);
			req.destroy();
			await waitUntil(() => cancelled.length > 0);
		},
	};

	function send(body: string | Uint8Array, headers: Readonly<Record<string, string>>): http.ClientRequest {
		const req = http.request({
			port, path, method: 'POST', headers: {host: 'h.example', 'content-type': 'application/json', ...headers},
		});
		req.end(body);
		return req;
	}
}

/** Waits for a condition that other processes of this machine may delay. */
async function waitUntil(isMet: () => boolean): Promise<void> {
	while (!isMet()) {
		await sleep(pollMs);
	}
}

function createBody(step: Readonly<Record<string, unknown>>): string {
	return JSON.stringify({spec: 'x', 'best-effort': true, steps: [{count: 1, cpu: 100, ...step}]});
}

describe('ingress', () => {
	// Guards against a request that ends unexpectedly, and against amounts that no message can carry.
	it('answers whatever clients send, and serves the next job', async t => {
		const fixture = await createFixture(t);
		const valid = {
			spec: 'x', 'best-effort': true, times: 0, steps: [{
				count: 1, cpu: 100, 'mem-mb': 64, gpu: 0, 'est-runtime-ms': 50, requires: 'a', 'data-rack': 'r', 'max-per-server': 1,
			}],
		};
		const oddDeadlines = createOddNumberTexts().filter(text => !/[^\t\u0020-\u007E]/v.test(text));
		await fc.assert(fc.asyncProperty(createOddBytes(valid), oddDeadlines, async (body, deadline) => {
			const before = fixture.submitted.length;
			const answered = fixture.post(body, {'request-deadline': deadline});
			await Promise.race([answered, waitUntil(() => fixture.countWaiting() > 0)]);
			fixture.answer(complete);
			const {status} = await answered;
			t.true([200, 400, 413, 503].includes(status), `${status}`);
			for (const {deadlineMs, expectedRun, need, payloads} of fixture.submitted.slice(before)) {
				t.true(deadlineMs! > 0 && deadlineMs! <= 3_600_000 && expectedRun! >= 0 && expectedRun! <= 3_600_000 && payloads.length <= 1100);
				t.true(Object.values(need!.resources).every(amount => Number.isInteger(amount) && amount >= 0 && amount <= 0xFF_FF_FF_FF));
				t.true(need!.maxPerUpstream === undefined || Number.isSafeInteger(need!.maxPerUpstream));
			}

			const next = fixture.post(JSON.stringify(valid));
			await waitUntil(() => fixture.countWaiting() > 0);
			fixture.answer(complete);
			const served = await next;
			t.is(served.status, 200);
		}), {...oddInputRuns, numRuns: 200});
	});

	// Guards against a job that is reported as failed although none of its tasks has run.
	it('refuses bodies of the largest size that are costly to parse, and serves the next job', async t => {
		const {post, submitted, answerAll} = await createFixture(t);
		const fill = (start: string, part: string, end: string) => start + part.repeat(Math.floor((maxBodyBytes - start.length - end.length) / part.length)) + end;
		const bodies = [
			fill('', '[', ''),
			fill('', '{"a":', ''),
			fill('{"spec":"","steps":[{}],"x":', '[', ''),
			fill('{', '"a":0,', '"a":0}'),
			fill('{"spec":"","steps":', '9', '}'),
			fill('{"spec":"","steps":[', '0,', '0]}'),
			`${'['.repeat(maxBodyBytes / 2)}${']'.repeat(maxBodyBytes / 2)}`,
		];
		for (const body of bodies) {
			t.like(await post(body), {status: 400}, body.slice(0, 40));
		}

		t.deepEqual(submitted, []);
		const next = post(createBody({}));
		await waitUntil(() => submitted.length === 1);
		answerAll(complete);
		t.like(await next, {status: 200});
	});

	// Guards against a process that stands still: to report each of 131,000 wrong steps took a second.
	it('refuses a list of too many steps without looking at each of them', async t => {
		const {post} = await createFixture(t);
		const {status, text} = await post(`{"spec":"","best-effort":true,"steps":[${'0,'.repeat(100_000)}0]}`);
		t.is(status, 400);
		t.is(text, '{"error":"steps is invalid"}');
	});

	it('refuses a job whose body did not fit into the memory for requests, which has not run', async t => {
		const {post, submitted} = await createFixture(t, serveHere, {}, {memoryBytes: 1000});
		t.deepEqual(await post('{}'), {status: 503, text: '{"error":"the memory for requests is full"}', retryAfter: '1'});
		t.deepEqual(submitted, []);
	});

	it('refuses a job of a queue that needs advice, which is not asked for', async t => {
		const {post, submitted} = await createFixture(t, serveHere, {isAdvised: true});
		const reply = await post(createBody({}));
		t.is(reply.status, 503);
		t.is(submitted.length, 0);
	});

	describe('refuses before anything is started', () => {
		for (const [what, body] of Object.entries({
			'a body that is not JSON': '{"spec":',
			'another type of a field': createBody({cpu: 'many'}),
			'a negative number of processors': createBody({cpu: -1}),
			'a fraction of a thousandth of a processor': createBody({cpu: 0.5}),
			'more processors than a message can carry': createBody({cpu: 2 ** 32}),
			'a negative amount of memory': createBody({'mem-mb': -1}),
			'a run time that is not finite': createBody({}).replace('"cpu":100', '"cpu":100,"est-runtime-ms":1e999'),
			'no task': createBody({count: 0}),
			'a spec with a lone surrogate, which has no form in UTF-8': createBody({}).replace('"x"', String.raw`"order \ud83d"`),
			'a spec of more than 4,000 bytes, though of fewer characters': createBody({}).replace('"x"', `"${'é'.repeat(2001)}"`),
			'a body that begins with a byte order mark': `\uFEFF${createBody({})}`,
		})) {
			it(what, async t => {
				const {post, submitted} = await createFixture(t);
				const {status} = await post(body);
				t.is(status, 400);
				t.is(submitted.length, 0);
			});
		}

		it('so many tasks that their list would fill the memory', async t => {
			const {post, submitted} = await createFixture(t);
			const {status} = await post(createBody({count: 1_000_000_000}));
			t.is(status, 503);
			t.is(submitted.length, 0);
		});

		it('a body that is too long', async t => {
			const {post, submitted} = await createFixture(t);
			const {status} = await post(`{"spec":"${'x'.repeat(300_000)}"}`);
			t.is(status, 413);
			t.is(submitted.length, 0);
		});
	});

	it('bounds the deadline of a client, since a longer timer would fire at once', async t => {
		const {
			submitted, postAndLeave, post, answer, countWaiting,
		} = await createFixture(t);
		await postAndLeave(createBody({}));
		t.is(submitted[0]?.deadlineMs, 1500);
		const reply = post(createBody({}), {'request-deadline': '1e12'});
		await waitUntil(() => submitted.length === 2 && countWaiting() === 1);
		t.is(submitted[1]?.deadlineMs, 3_600_000);
		answer(complete);
		t.deepEqual(await reply, {status: 200, text: '{"state":"completed"}'});
	});

	it('cancels a job whose client has left', async t => {
		const {postAndLeave, cancelled} = await createFixture(t);
		await postAndLeave(createBody({}));
		t.deepEqual(cancelled, ['ticket-0']);
	});

	it('joins a repeated request to the open job', async t => {
		const {
			post, submitted, answer, countWaiting,
		} = await createFixture(t);
		const replies = [post(createBody({})), post(createBody({}))];
		await waitUntil(() => countWaiting() === 2);
		t.is(submitted.length, 1);
		answer(complete);
		const received = await Promise.all(replies);
		t.deepEqual(received.map(({status}) => status), [200, 200]);
	});

	// Issue 40: an entry that resumes reads requests whose clients have hung up, and had their tasks started beside those of the repeated jobs.
	for (const [where, decision] of Object.entries({here: serveHere, 'at another entry': forwardToPeer})) {
		it(`after its process stood still, begins jobs ${where} of the clients that still wait, and of no others`, async t => {
			const {submitted, cancelled, forwarded, port, answerAll} = await createFixture(t, decision);
			const clients = createLateClients(i => ({path: `${pathPrefix}${i.toString(16).padStart(16, '0')}`, body: createBody({})}));
			const answered = await sendWhileBlocked(t, port, clients);
			const waiting = clients.filter(({leaves}) => leaves === 'never');
			await waitUntil(() => submitted.length + forwarded.length >= waiting.length);
			for (let turn = 0; turn < laterTurns; turn++) {
				await nextTurn();
			}

			const begun = decision.kind === 'serve' ? submitted.map(({reference}) => reference) : forwarded;
			t.deepEqual(begun.toSorted(), waiting.map(({path: clientPath}) => clientPath.slice(pathPrefix.length)).toSorted());
			t.is(submitted.length + forwarded.length, waiting.length);
			t.deepEqual(cancelled, []);
			answerAll(complete);
			await waitUntil(() => answered.length === waiting.length);
			t.true(answered.every(text => text.startsWith('HTTP/1.1 200')));
		});
	}
});
