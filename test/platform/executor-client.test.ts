import http from 'node:http';
import net from 'node:net';
import type {ExecutionContext} from 'ava';
import {createExecutorClient} from '../../src/platform/executor-client.js';
import type {Clock} from '../../src/process/clock.js';
import type {Executor, StartCommand} from '../../src/process/executor-types.js';
import {createFakeClock, type FakeClock} from '../../src/process/fake-clock.js';
import {describe, it} from '../describe.js';

/** Number of connections of a client. */
const connections = 8;
const command: StartCommand = {
	task: 'j.0.0.0', run: 1, spec: '', leaseExpiresAt: 1, fencingToken: 1,
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
function createClient(port: number, clock: Clock = createFakeClock()): Executor {
	return createExecutorClient({clock, address: `127.0.0.1:${port}`, id: 'i'});
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
async function serveBody(t: ExecutionContext, body: unknown): Promise<Executor> {
	const server = http.createServer((req, res) => {
		req.resume();
		res.end(JSON.stringify(body));
	});
	t.teardown(() => server.close());
	return createClient(await listen(t, server));
}

describe('client of an executor', () => {
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
			},
		});
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
