import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import http from 'node:http';
import net from 'node:net';
import {createAdaptorServer} from '@hono/node-server';
import type {ExecutionContext} from 'ava';
import fc from 'fast-check';
import {createPlatformApp} from '../../../dev/platform-app.js';
import {checkDefined} from '../../../src/process/debug.js';
import {createFakeClock} from '../../../src/process/fake-clock.js';
import {createPlatformClient} from '../../../src/platform/platform-client.js';
import {createMemoryPlatform} from '../../../src/process/platform/memory.js';
import type {Transaction} from '../../../src/process/platform/types.js';
import {describe, it} from '../../describe.js';
import {createOddBytes, oddInputRuns} from '../../odd-input.js';
import {unwrap, unwrapError} from '../../unwrap.js';
import {describePlatformContract} from './platform-contract.js';

const anyWrite: Transaction = {conditions: [], writes: [{key: 'a', value: '1'}]};

describe('platform client', () => {
	describePlatformContract(async () => {
		const clock = createFakeClock();
		const memory = createMemoryPlatform({clock});
		const server = createAdaptorServer({fetch: createPlatformApp(memory).fetch});
		const client = createPlatformClient({clock, url: await listen(server), timeoutMs: 1000});
		return {
			platform: client,
			memory,
			async close() {
				await client.close();
				server.close();
			},
		};
	});

	it('says that nothing took effect when the connection is refused', async t => {
		const server = net.createServer();
		const url = await listen(server);
		server.close();
		await once(server, 'close');
		const client = createPlatformClient({clock: createFakeClock(), url, timeoutMs: 1000});
		const error = await unwrapError(client.table.commit(anyWrite));
		t.is(error.kind, 'unreachable');
		t.false(error.mayHaveTakenEffect);
	});

	it('says that a write may have taken effect when no answer comes in time', async t => {
		const clock = createFakeClock();
		const server = http.createServer();
		const client = createPlatformClient({clock, url: await open(t, server), timeoutMs: 1000});
		const pending = client.table.commit(anyWrite);
		await once(server, 'request');
		clock.advance(1000);
		const error = await unwrapError(pending);
		t.is(error.kind, 'timeout');
		t.true(error.mayHaveTakenEffect);
		t.true(error.diagnostic.message.includes('1000 ms'));
	});

	// Guards against a response of the store that ends a call unexpectedly.
	it('returns a result for whatever the store responds, and for the next response', async t => {
		const row = {
			table: 'a', part: '', key: 'b', value: 'e30=', ver: 3,
		};
		const valid = {
			rows: [row], 'has-more': false, ver: 3, names: ['x'],
		};
		let response: {readonly status: number; readonly body: Uint8Array} = {status: 200, body: Buffer.from('')};
		const server = http.createServer((req, res) => {
			req.resume();
			res.writeHead(response.status);
			res.end(response.body);
		});
		const client = createPlatformClient({clock: createFakeClock(), url: await open(t, server), timeoutMs: 1000});
		await fc.assert(fc.asyncProperty(createOddBytes(valid), fc.constantFrom(200, 404, 410, 412, 500, 503), async (body, status) => {
			response = {status, body};
			const found = await client.table.get('a/b');
			t.true(found.isErr() || found.value === undefined || Number.isSafeInteger(found.value.revision));
			await client.table.commit(anyWrite);
			await client.objects.list('x', 10);
			await client.waitForOperatorRows(1, 0);
			response = {status: 200, body: Buffer.from(JSON.stringify(valid))};
			t.like(await unwrap(client.table.get('a/b')), {key: 'a/b', value: '{}', revision: 3});
		}), {...oddInputRuns, numRuns: 200});
		await client.close();
	});

	it('closes at once although a read waits for a change', async t => {
		const server = http.createServer();
		const client = createPlatformClient({clock: createFakeClock(), url: await open(t, server), timeoutMs: 1000});
		const pending = client.waitForOperatorRows(1, 700);
		await once(server, 'request');
		await client.close();
		const outcome = await pending;
		t.true(outcome.isErr());
	});

	it('reads the rows of the operator and their changes, also rows that were dropped', async t => {
		const requested: string[] = [];
		const value = Buffer.from('text').toString('base64');
		const server = http.createServer((req, res) => {
			requested.push(req.url!);
			const isFeed = req.url!.startsWith('/v1/rows-feed');
			const isFirstPage = !req.url!.includes('%00');
			res.end(JSON.stringify(isFeed
				? {
					rows: [{
						table: 'op', key: 'evacuate/a', value, ver: 5,
					}, {
						table: 'op', key: 'evacuate/a', deleted: true, ver: 6,
					}], ver: 6,
				}
				: {
					rows: [{
						table: 'op', key: isFirstPage ? 'config' : 'evacuate/a', value, ver: 3,
					}], 'has-more': isFirstPage, ver: isFirstPage ? 4 : 5,
				}));
		});
		const client = createPlatformClient({clock: createFakeClock(), url: await open(t, server), timeoutMs: 1000});
		t.deepEqual(await unwrap(client.readOperatorRows('config', 'f')), {rows: [{name: 'config', text: 'text'}, {name: 'evacuate/a', text: 'text'}], revision: 4});
		t.deepEqual(await unwrap(client.waitForOperatorRows(4, 0)), {kind: 'changes', rows: [{name: 'evacuate/a', text: 'text'}, {name: 'evacuate/a', text: undefined}], revision: 6});
		t.is(requested.length, 3);
	});

	it('reports an answer in an unexpected format as invalid', async t => {
		const server = http.createServer((req, res) => {
			res.statusCode = req.method === 'GET' ? 200 : 404;
			res.end('<html>');
		});
		const client = createPlatformClient({clock: createFakeClock(), url: await open(t, server), timeoutMs: 1000});
		t.is(await unwrapError(client.table.get('a').mapErr(({kind}) => kind)), 'invalid');
		const error = await unwrapError(client.table.commit(anyWrite));
		t.is(error.kind, 'invalid');
		t.false(error.mayHaveTakenEffect);
	});

	it('makes no call for some time after failures in a row, and then one at a time', async t => {
		const clock = createFakeClock();
		let requests = 0;
		const server = http.createServer(req => {
			requests++;
			req.socket.destroy();
		});
		const client = createPlatformClient({
			clock, url: await open(t, server), timeoutMs: 1000, failuresToOpen: 2, circuitOpenMs: 500,
		});
		for (let i = 0; i < 6; i++) {
			await client.table.get('a');
		}

		t.is(requests, 2);
		const error = await unwrapError(client.table.commit(anyWrite));
		t.false(error.mayHaveTakenEffect);
		t.is(error.retryAfter, 500);

		clock.advance(500);
		await Promise.all([client.table.get('a'), client.table.get('a')]);
		t.is(requests, 3);
	});

	it('opens no more connections than the limit', async t => {
		let connections = 0;
		const server = http.createServer((req, res) => {
			setImmediate(() => {
				res.end('{"rows":[]}');
			});
		});
		server.on('connection', () => {
			connections++;
		});
		const client = createPlatformClient({
			clock: createFakeClock(), url: await open(t, server), timeoutMs: 1000, connections: 3,
		});
		const results = await Promise.all(Array.from({length: 30}, async () => client.table.scan('a', 1)));
		t.true(results.every(result => result.isOk()));
		t.is(connections, 3);
	});
});

/** Starts to listen, and closes the server when the test ends. */
async function open(t: ExecutionContext, server: http.Server): Promise<string> {
	t.teardown(() => {
		server.closeAllConnections();
		server.close();
	});
	return listen(server);
}

async function listen(server: Pick<net.Server, 'listen' | 'address'> & NodeJS.EventEmitter): Promise<string> {
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = checkDefined(server.address() ?? undefined, 'address of a listening server');
	return `http://127.0.0.1:${typeof address === 'string' ? address : address.port}`;
}
