import {Buffer} from 'node:buffer';
import http from 'node:http';
import net from 'node:net';
import type {ExecutionContext} from 'ava';
import fc from 'fast-check';
import {createExecutorClient} from '../../src/platform/executor-client.js';
import type {Clock} from '../../src/process/clock.js';
import type {Executor, PollRequest, StartCommand} from '../../src/process/executor-types.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import type {Log} from '../../src/process/log.js';
import {describe, it} from '../describe.js';
import {createOddBytes, oddInputRuns} from '../odd-input.js';
import {createRecordingLog} from '../recording-log.js';
import {silentLog} from '../silent-log.js';

/** Number of connections of a client. */
const connections = 8;
const command: StartCommand = {
	task: 'j.0.0.0', run: 1, spec: '', leaseExpiresAt: 1, fencingToken: 1,
};

const pollRequest: PollRequest = {
	leaseExpiresAt: 1, fencingToken: 1, acknowledgedSequenceNumber: 0, waitMs: 0,
};

/** Returns the port on which the server listens. */
async function listen(t: ExecutionContext, server: net.Server): Promise<number> {
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	const address = server.address();
	t.true(typeof address === 'object');
	return typeof address === 'object' ? address?.port ?? 0 : 0;
}

/** Returns a port on which nothing listens. */
async function findClosedPort(t: ExecutionContext): Promise<number> {
	const server = net.createServer();
	const port = await listen(t, server);
	await new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
	});
	return port;
}

async function nextTurn<T>(value: T): Promise<T> {
	return new Promise(resolve => {
		setImmediate(resolve, value);
	});
}

/** The time of calls does not advance unless the test advances it, so that no call times out because the machine is busy. */
function createClient(port: number, clock: Clock = createFakeClock(), log: Log = silentLog): Executor {
	return createExecutorClient({
		clock, address: `127.0.0.1:${port}`, id: 'i', log,
	});
}

/** Starts an executor that receives calls and answers none. Returns the client, its clock, and a promise of that many calls. */
async function serveNothing(t: ExecutionContext): Promise<{client: Executor; clock: FakeClock; waitForCalls(count: number): Promise<void>}> {
	const clock = createFakeClock();
	let calls = 0;
	let handleCall = (): void => undefined;
	const server = http.createServer(req => {
		req.resume();
		calls++;
		handleCall();
	});
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	return {
		client: createClient(await listen(t, server), clock),
		clock,
		waitForCalls: async count => new Promise(resolve => {
			handleCall = () => {
				if (calls >= count) {
					resolve();
				}
			};

			handleCall();
		}),
	};
}

/** Starts an executor that answers each call with this body. */
async function serveBody(t: ExecutionContext, body: unknown, log?: Log, status = 200): Promise<Executor> {
	const server = http.createServer((req, res) => {
		req.resume();
		res.statusCode = status;
		res.end(JSON.stringify(body));
	});
	t.teardown(() => server.close());
	return createClient(await listen(t, server), undefined, log);
}

describe('client of an executor', () => {
	// Guards against one odd row that has all ends acknowledged, also those that were not listed yet, and against amounts that no
	// message can carry.
	it('skips rows with numbers out of range, and logs each fault once', async t => {
		const {log, lines} = createRecordingLog();
		const numbers = [1e300, 2 ** 53, 4_294_967_296, 0, -1, 0.5];
		const client = await serveBody(t, {
			running: [...numbers.map(number => ['j.0.0.0', number, '', 1]), ['j.0.0.1', 1, '', 1e300], ['j.0.0.2', 1, '', -5], ['x'.repeat(1000), 1, '', 1]],
			ended: [...numbers.map(number => [number, 'j.0.0.3', 1, 'done', '']), ...numbers.map(number => [1, 'j.0.0.4', number, 'done', '']), [2, 'j.0.0.5', 1, 'constructor', '']],
		}, log);
		for (let i = 0; i < 3; i++) {
			const {outcome} = await client.poll(pollRequest);
			t.true(outcome.kind === 'status');
			if (outcome.kind === 'status') {
				t.deepEqual(outcome.status.running, [{task: 'j.0.0.1', run: 1, percent: 100}, {task: 'j.0.0.2', run: 1, percent: 0}]);
				t.deepEqual(outcome.status.ended, [{
					sequenceNumber: 2, task: 'j.0.0.5', run: 1, outcome: 'aborted', detail: 'constructor',
				}]);
			}
		}

		t.is(lines.length, 19);
		t.like(lines[0], {executor: 'i', reason: 'running[0] is invalid'});
		await client.close();
	});

	// Guards against one response that shifts the estimate of the executor's clock, or passes for another incarnation.
	it('takes a status with a time out of range for no answer', async t => {
		for (const body of [{'clock-ms': 1e300}, {'clock-ms': -1}, {born: 1e300}, {born: 0.5}, {running: 7}, {ended: {}}]) {
			const client = await serveBody(t, {
				'clock-ms': 5, born: 7, running: [], ended: [], ...body,
			});
			const {outcome, executorTime} = await client.poll(pollRequest);
			t.is(outcome.kind, 'no-answer', JSON.stringify(body));
			t.true(executorTime === undefined || executorTime === 5);
			await client.close();
		}
	});

	it('answers every call, whatever the executor responds, and the next one as usual', async t => {
		const valid = {
			'clock-ms': 5, born: 7, reason: 'fence', running: [['j.0.0.0', 1, '', 40, 99]], ended: [[3, 'j.0.0.2', 2, 'done', '']],
		};
		let response: {readonly status: number; readonly body: Uint8Array} = {status: 200, body: Buffer.from('')};
		const server = http.createServer((req, res) => {
			req.resume();
			res.writeHead(response.status);
			res.end(response.body);
		});
		t.teardown(() => {
			server.closeAllConnections();
			server.close();
		});
		const client = createClient(await listen(t, server));
		await fc.assert(fc.asyncProperty(createOddBytes(valid), fc.constantFrom(200, 400, 409, 421, 429, 500, 503), async (body, status) => {
			response = {status, body};
			const odd = [await client.start(command), await client.stop(command, 1), await client.poll(pollRequest)];
			for (const {outcome, executorTime} of odd) {
				t.true(executorTime === undefined || (executorTime >= 0 && executorTime <= 1e13));
				const rows = outcome.kind === 'status' ? [...outcome.status.running, ...outcome.status.ended] : [];
				t.true(rows.every(({run}) => Number.isInteger(run) && run >= 1 && run <= 0xFF_FF_FF_FF));
			}

			response = {status: 200, body: Buffer.from(JSON.stringify(valid))};
			const {outcome} = await client.poll(pollRequest);
			t.true(outcome.kind === 'status' && outcome.status.running.length === 1 && outcome.status.ended.length === 1);
		}), {...oddInputRuns, numRuns: 200});
		await client.close();
	});

	it('reads the runs of a status, and skips rows that it cannot read', async t => {
		const client = await serveBody(t, {
			'clock-ms': 5,
			born: 7,
			running: [['j.0.0.0', 1, '', 40, 99], ['j.0.0.1', 'x', '', 0], 'x', undefined],
			ended: [[3, 'j.0.0.2', 2, 'done', ''], [4, 'j.0.0.3', 1, 'lapsed', ''], [5]],
		});
		const {outcome, executorTime} = await client.poll({
			leaseExpiresAt: 1, fencingToken: 1, acknowledgedSequenceNumber: 0, waitMs: 0,
		});
		await client.close();
		t.is(executorTime, 5);
		t.deepEqual(outcome, {
			kind: 'status',
			status: {
				executorStartedAt: 7,
				running: [{task: 'j.0.0.0', run: 1, percent: 40}],
				ended: [
					{
						sequenceNumber: 3, task: 'j.0.0.2', run: 2, outcome: 'completed', detail: 'done',
					},
					{
						sequenceNumber: 4, task: 'j.0.0.3', run: 1, outcome: 'aborted', detail: 'lapsed',
					},
				],
				isComplete: false,
			},
		});
	});

	// Guards against a run that goes on and is taken for one that has ended, since its row cannot be read or was left out.
	it('tells whether the lists of a status contain all runs', async t => {
		const row = ['j.0.0.0', 1, '', 40, 99];
		const end = (i: number) => [i + 1, `j.0.0.${i}`, 1, 'done', ''];
		const cases: ReadonlyArray<readonly [boolean, Readonly<Record<string, unknown>>]> = [
			[true, {}],
			[true, {running: [row], ended: [end(0)]}],
			[false, {running: [row, ['j.0.0.1', 'x', '', 0]], ended: []}],
			[false, {running: [], ended: [end(0), 'x']}],
			[false, {running: [], ended: Array.from({length: 500}, (_, i) => end(i))}],
		];
		for (const [isComplete, lists] of cases) {
			const client = await serveBody(t, {'clock-ms': 5, born: 7, ...lists});
			const {outcome} = await client.poll(pollRequest);
			await client.close();
			t.is(outcome.kind === 'status' && outcome.status.isComplete, isComplete, JSON.stringify(lists).slice(0, 100));
		}
	});

	// Guards against a run that goes on and is taken for one that was never started, since its progress cannot be read.
	it('lists a run whose progress cannot be read', async t => {
		const client = await serveBody(t, {running: [['j.0.0.0', 1, '', 'x'], ['j.0.0.1', 1], ['j.0.0.2', 1, '', null]], ended: []});
		const {outcome} = await client.poll(pollRequest);
		await client.close();
		t.deepEqual(outcome.kind === 'status' && outcome.status.running.map(({task, percent}) => [task, percent]), [['j.0.0.0', undefined], ['j.0.0.1', undefined], ['j.0.0.2', undefined]]);
	});

	// Guards against a job that is reported as failed although none of its tasks has run.
	it('takes a start that lacks a ticket as refused without effect', async t => {
		const client = await serveBody(t, {'clock-ms': 1, reason: 'ticket'}, silentLog, 409);
		const {outcome} = await client.start(command);
		await client.close();
		t.is(outcome.kind, 'unavailable');
	});

	it('reads no status from a body of another form', async t => {
		const client = await serveBody(t, {running: 'x'});
		const {outcome} = await client.poll({
			leaseExpiresAt: 1, fencingToken: 1, acknowledgedSequenceNumber: 0, waitMs: 0,
		});
		await client.close();
		t.is(outcome.kind, 'no-answer');
	});

	it('reports a start as not sent if nothing listens at its address', async t => {
		const client = createClient(await findClosedPort(t));
		const {outcome} = await client.start(command);
		t.is(outcome.kind, 'not-sent');
		await client.close();
	});

	it('reports a start as unanswered if its connection is closed after it was sent', async t => {
		const server = net.createServer(socket => {
			socket.once('data', () => {
				socket.destroy();
			});
		});
		const port = await listen(t, server);
		const client = createClient(port);
		const {outcome} = await client.start(command);
		t.is(outcome.kind, 'no-answer');
		await client.close();
		server.close();
	});

	it('reports a start as unanswered if no response arrives within 150 ms', async t => {
		const {client, clock, waitForCalls} = await serveNothing(t);
		const pending = client.start(command);
		await waitForCalls(1);
		clock.advance(149);
		t.is(await Promise.race([pending, nextTurn('pending')]), 'pending');
		clock.advance(1);
		const {outcome} = await pending;
		t.is(outcome.kind, 'no-answer');
		await client.close();
	});

	// Such a start was reported as unanswered, so that its task waited for a higher fencing token although it could not run.
	it('reports a start as not sent if no connection was free for it in time', async t => {
		const {client, clock, waitForCalls} = await serveNothing(t);
		const sent = Array.from({length: connections}, async () => client.start(command));
		await waitForCalls(connections);
		const waiting = client.start(command);
		clock.advance(150);
		const outcomes = await Promise.all([...sent, waiting].map(async pending => pending));
		t.deepEqual(outcomes.map(({outcome}) => outcome.kind), [...sent.map(() => 'no-answer'), 'not-sent']);
		await client.close();
	});

	// Stops that waited for a connection behind start calls without an answer came too late: a task ran twice at the same time.
	it('sends a stop although calls without an answer occupy all other connections', async t => {
		const {client, clock, waitForCalls} = await serveNothing(t);
		const starts = Array.from({length: connections + 1}, async () => client.start(command));
		await waitForCalls(connections);
		const stop = client.stop(command, 1);
		await waitForCalls(connections + 1);
		clock.advance(150);
		const {outcome} = await stop;
		t.is(outcome.kind, 'no-answer');
		await Promise.all(starts);
		await client.close();
	});

	// A poll counts as not sent only if its connection was refused, which is a sign that the executor has ended.
	it('reports a poll as unanswered if no connection was free for it in time', async t => {
		const {client, clock, waitForCalls} = await serveNothing(t);
		const sent = Array.from({length: connections}, async () => client.start(command));
		await waitForCalls(connections);
		const waiting = client.poll({
			leaseExpiresAt: 1, fencingToken: 1, acknowledgedSequenceNumber: 0, waitMs: 0,
		});
		clock.advance(150);
		const {outcome} = await waiting;
		t.is(outcome.kind, 'no-answer');
		await Promise.all(sent);
		await client.close();
	});

	it('reports a poll as not sent if nothing listens at its address', async t => {
		const client = createClient(await findClosedPort(t));
		const {outcome} = await client.poll({
			leaseExpiresAt: 1, fencingToken: 1, acknowledgedSequenceNumber: 0, waitMs: 0,
		});
		t.is(outcome.kind, 'not-sent');
		await client.close();
	});
});
