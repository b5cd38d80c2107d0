import net from 'node:net';
import type {ExecutionContext} from 'ava';
import {createHeartbeatApp} from '../../src/platform/heartbeats.js';
import {describe, it} from '../describe.js';
import {silentLog} from '../silent-log.js';
import {serveForTest} from '../test-server.js';

/** Time after which a connection without a response is closed; some odd requests get none. */
const oddPatienceMs = 100;
const patienceMs = 10_000;

const oddRequests = [
	...['', 'a b', 'a/b', '[::', 'a:99999', '\u00FF\u00FE', 'x'.repeat(10_000)].map(host => `GET / HTTP/1.1\r\nHost: ${host}\r\n\r\n`),
	...['GET /%zz/%FF%00', 'GET http://[bad/', 'OPTIONS *', 'CONNECT a:1', 'GET ////', 'TRACE /', 'GET \u00FF', `GET /${'x'.repeat(10_000)}`].map(line => `${line} HTTP/1.1\r\nHost: a\r\n\r\n`),
	...['Content-Length: -1', 'Content-Length: 1e3', 'Expect: x', 'Upgrade: h2c\r\nConnection: Upgrade', `X: ${'y'.repeat(100_000)}`].map(header => `POST /x HTTP/1.1\r\nHost: a\r\n${header}\r\n\r\n`),
	...['Content-Length: 100\r\n\r\n{', 'Transfer-Encoding: chunked\r\n\r\nzz\r\n', 'Transfer-Encoding: chunked\r\n\r\n5\r\nab'].map(rest => `POST /v1/Executors.Heartbeat/x HTTP/1.1\r\nHost: a\r\n${rest}`),
	'POST /v1/Executors.Heartbeat/%E0%A4%A HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n{',
	'GET / HTTP/1.1\r\n\r\n',
	'\0\0\0\r\n\r\n',
];

/** Sends bytes on a connection of their own; returns the status line of the response, if there is one. */
async function send(port: number, text: string, patience: number): Promise<string> {
	return new Promise(resolve => {
		const socket = net.connect(port, '127.0.0.1');
		let received = '';
		socket.setEncoding('latin1');
		socket.setTimeout(patience, () => socket.destroy());
		socket.on('data', (chunk: string) => {
			received += chunk;
			socket.destroy();
		});
		socket.on('error', () => undefined);
		socket.on('close', () => {
			resolve(received.split('\r\n')[0]!);
		});
		socket.write(text, 'latin1');
	});
}

async function listen(t: ExecutionContext): Promise<number> {
	const app = createHeartbeatApp({
		log: silentLog, isOwnService: () => true, onHeartbeat: () => 'in-force', onDeregister: async () => undefined,
	});
	return serveForTest(t, app);
}

describe('HTTP server of a program', () => {
	// Guards against a request that ends the process; an unhandled rejection or exception fails this test as well.
	it('refuses requests that are none, and serves the next one', async t => {
		const port = await listen(t);
		for (const request of oddRequests) {
			const status = await send(port, request, oddPatienceMs);
			t.regex(status, /^$|^HTTP\/1\.1 4\d\d /v, JSON.stringify(request.slice(0, 80)));
			t.is(await send(port, 'POST /v1/Executors.Deregister/i HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n', patienceMs), 'HTTP/1.1 200 OK');
		}
	});
});
