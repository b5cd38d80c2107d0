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
	validUntilMs: 0, submission: '', isolated: false, payloadOf: 0, payloadDeflated: false,
};

/**
 * Calls `action` with a client of `server` on loopback. If `isListening` is false, the server is closed before that.
 */
async function withClient<T>(server: net.Server, isListening: boolean, action: (client: UpstreamClient) => Promise<T>): Promise<T> {
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
	const client = createUpstreamClient({
		clock: createSystemClock(), url: `http://127.0.0.1:${port}`, connections: 2, taskTimeoutMs: 300,
	});
	try {
		return await action(client);
	} finally {
		for (const socket of sockets) {
			socket.destroy();
		}

		server.close();
	}
}

async function run(client: UpstreamClient): Promise<RunResult> {
	return new Promise(resolve => {
		client.run(start, resolve);
	});
}

describe('upstream client', () => {
	describe('run', () => {
		it('is refused, and certainly not run, when the connection is refused', async t => {
			const result = await withClient(net.createServer(), false, run);
			t.like(result, {outcome: TaskOutcome.TASK_OUTCOME_REFUSED, reason: RefusalReason.REFUSAL_REASON_UPSTREAM_UNREACHABLE});
		});

		it('may have run when the connection breaks after the request was sent', async t => {
			const server = net.createServer(socket => {
				socket.once('data', () => socket.destroy());
			});
			const result = await withClient(server, true, run);
			t.is(result.outcome, TaskOutcome.TASK_OUTCOME_UNKNOWN);
		});

		it('may have run when the upstream does not answer in time', async t => {
			const result = await withClient(net.createServer(), true, run);
			t.is(result.outcome, TaskOutcome.TASK_OUTCOME_UNKNOWN);
		});

		it('has failed when the upstream answers with an error, and is complete otherwise', async t => {
			const failing = await withClient(http.createServer((_req, res) => res.writeHead(500).end('no stock')), true, run);
			t.like(failing, {outcome: TaskOutcome.TASK_OUTCOME_FAILED, detail: 'status 500: no stock'});
			const completed = await withClient(http.createServer((req, res) => res.end(req.headers['x-kingcuplane-task'])), true, run);
			t.is(completed.outcome, TaskOutcome.TASK_OUTCOME_COMPLETED);
			t.is(new TextDecoder().decode(completed.payload), 'kc1.home.0.0.AAAAAAAAAAAAAAAA/3');
		});
	});

	describe('isReachable', () => {
		it('is false when the connection is refused or the upstream does not answer', async t => {
			t.false(await withClient(net.createServer(), false, async client => client.isReachable()));
			t.false(await withClient(net.createServer(), true, async client => client.isReachable()));
		});

		it('is true for any answer', async t => {
			t.true(await withClient(http.createServer((_req, res) => res.writeHead(404).end()), true, async client => client.isReachable()));
		});
	});
});
