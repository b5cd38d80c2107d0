/**
 * HTTP servers for development programs.
 */
import {once} from 'node:events';
import http from 'node:http';
import process from 'node:process';
import {getRequestListener, type HttpBindings} from '@hono/node-server';
import type {Hono} from 'hono';
import {formatAddress, tryParseAddress, type Address} from '../src/process/address.js';
import type {Milliseconds} from '../src/process/clock.js';
import {checkDefined} from '../src/process/debug.js';

/** Environment of routes that access the underlying connection. */
export type HttpEnv = {Bindings: HttpBindings};

/** A listening server. */
export type HttpServer = {
	/** For instance `http://127.0.0.1:7000`. */
	readonly url: string;
	/** Refuses new connections for `duration`. A connection with a request in progress stays open until it is answered. */
	refuseConnectionsFor(duration: Milliseconds): void;
	/** Closes all connections and refuses new ones for `duration`, as a process that has crashed and starts again. */
	goDownFor(duration: Milliseconds): void;
	/** Stops listening and closes all connections. */
	close(): Promise<void>;
};

/**
 * Serves `app` on an address; with port 0 the operating system chooses the port. `logLine` is called with a line each
 * time the server starts to listen.
 */
export async function startHttpServer(app: Hono<HttpEnv>, listen: Address, logLine: (line: string) => void = () => undefined): Promise<HttpServer> {
	const handle = getRequestListener(app.fetch);
	const server = http.createServer((req, res) => {
		void handle(req, res);
	});
	server.listen(listen.port, listen.host);
	await once(server, 'listening');
	const bound = server.address();
	const port = typeof bound === 'object' && bound !== null ? bound.port : listen.port;
	const url = `http://${formatAddress({host: listen.host, port})}`;
	logLine(`listening on ${url}`);

	function stopListeningFor(duration: Milliseconds): void {
		server.close();
		// A native timer, because it keeps the process alive; timers of the clock do not.
		setTimeout(() => {
			server.listen(port, listen.host, () => {
				logLine(`listening again on ${url}`);
			});
		}, duration);
	}

	return {
		url,
		refuseConnectionsFor(duration) {
			stopListeningFor(duration);
			server.closeIdleConnections();
		},
		goDownFor(duration) {
			stopListeningFor(duration);
			server.closeAllConnections();
		},
		async close() {
			server.closeAllConnections();
			if (server.listening) {
				server.close();
				await once(server, 'close');
			}
		},
	};
}

/** Serves `app` until the process ends, and prints one line with the URL when ready. */
export async function runHttpServer(name: string, app: Hono<HttpEnv>, listen: string): Promise<HttpServer> {
	const address = checkDefined(tryParseAddress(listen), `--listen takes ip:port, not "${listen}"`);
	process.once('SIGTERM', () => {
		process.exit(0);
	});
	return startHttpServer(app, address, line => {
		console.log(`${name} ${line}`);
	});
}
