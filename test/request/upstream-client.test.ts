import {once} from 'node:events';
import http from 'node:http';
import net from 'node:net';
import type {RunResult} from '../../src/connection/entry-sessions.js';
import {RefusalReason, TaskOutcome, type TaskStart} from '../../src/generated/kingcuplane.js';
import {createSystemClock} from '../../src/process/clock.js';
import {createUpstreamClient, type UpstreamClient} from '../../src/request/upstream-client.js';
import {describe, it} from '../describe.js';

const start: TaskStart = {
	task: {ticket: 'kc1.home.0.0.AAAAAAAAAAAAAAAA', index: 3},
	seq: 1,
	attempt: 1,
	taskCount: 4,
	service: 'ordering',
	payload: new Uint8Array([1]),
	timeoutMs: 300,
	configVersion: 1,
	idempotent: false,
	caller: 'ann',
	reference: '',
	need: undefined,
	expectedRunMs: 0,
};

/** Calls a server on loopback, or its port after it was closed again. */
async function withCaller<T>(server: net.Server, isListening: boolean, action: (caller: UpstreamClient) => Promise<T>): Promise<T> {
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = server.address();
	const port = typeof address === 'object' ? address?.port ?? 0 : 0;
	if (!isListening) {
		server.close();
		await once(server, 'close');
	}

	const sockets = new Set<net.Socket>();
	server.on('connection', socket => sockets.add(socket));
	const caller = createUpstreamClient({
		clock: createSystemClock(), url: `http://127.0.0.1:${port}`, connections: 2, taskTimeoutMs: 300,
	});
	try {
		return await action(caller);
	} finally {
		for (const socket of sockets) {
			socket.destroy();
		}

		server.close();
	}
}

async function run(caller: UpstreamClient): Promise<RunResult> {
	return new Promise(resolve => {
		caller.run(start, resolve);
	});
}

describe('upstream call', () => {
	describe('run', () => {
		it('is refused, and certainly not run, when nobody listens', async t => {
			const end = await withCaller(net.createServer(), false, run);
			t.like(end, {outcome: TaskOutcome.TASK_OUTCOME_REFUSED, reason: RefusalReason.REFUSAL_REASON_UPSTREAM_UNREACHABLE});
		});

		it('may have run when the connection breaks after the request has left', async t => {
			const server = net.createServer(socket => {
				socket.once('data', () => socket.destroy());
			});
			const end = await withCaller(server, true, run);
			t.is(end.outcome, TaskOutcome.TASK_OUTCOME_UNKNOWN);
		});

		it('may have run when the upstream does not answer in time', async t => {
			const end = await withCaller(net.createServer(), true, run);
			t.is(end.outcome, TaskOutcome.TASK_OUTCOME_UNKNOWN);
		});

		it('has failed when the upstream answers with an error, and is complete otherwise', async t => {
			const failing = await withCaller(http.createServer((_req, res) => res.writeHead(500).end('no stock')), true, run);
			t.like(failing, {outcome: TaskOutcome.TASK_OUTCOME_FAILED, detail: 'status 500: no stock'});
			const whole = await withCaller(http.createServer((req, res) => res.end(req.headers['x-kingcuplane-task'])), true, run);
			t.is(whole.outcome, TaskOutcome.TASK_OUTCOME_COMPLETED);
			t.is(new TextDecoder().decode(whole.payload), 'kc1.home.0.0.AAAAAAAAAAAAAAAA/3');
		});
	});

	describe('isReachable', () => {
		it('is false when nobody listens, or when what listens does not answer', async t => {
			t.false(await withCaller(net.createServer(), false, async caller => caller.isReachable()));
			t.false(await withCaller(net.createServer(), true, async caller => caller.isReachable()));
		});

		it('is true for any answer', async t => {
			t.true(await withCaller(http.createServer((_req, res) => res.writeHead(404).end()), true, async caller => caller.isReachable()));
		});
	});
});
