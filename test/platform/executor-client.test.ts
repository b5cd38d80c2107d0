import net from 'node:net';
import type {ExecutionContext} from 'ava';
import {createExecutorClient} from '../../src/platform/executor-client.js';
import {createSystemClock} from '../../src/process/clock.js';
import type {Executor, StartCommand} from '../../src/process/executor-types.js';
import {describe, it} from '../describe.js';

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

function createClient(port: number): Executor {
	return createExecutorClient({clock: createSystemClock(), address: `127.0.0.1:${port}`, id: 'i'});
}

describe('client of an executor', () => {
	it('reports a start as not sent if nothing listens at its address', async t => {
		const server = net.createServer();
		const port = await listen(t, server);
		await new Promise<void>(resolve => {
			server.close(() => {
				resolve();
			});
		});
		const client = createClient(port);
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
});
