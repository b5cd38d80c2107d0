/**
 * HTTP servers of the adapter's programs.
 */
import {createAdaptorServer, type ServerType} from '@hono/node-server';
import type {Hono} from 'hono';
import type {Address} from '../process/address.js';
import type {Milliseconds} from '../process/clock.js';

/** Idle connections stay open for longer than clients keep them, so that no request meets a connection that is being closed. */
const keepAliveMs: Milliseconds = 60_000;

/** Serves `app` at `address`. */
export async function serveHttp(app: Pick<Hono, 'fetch'>, address: Address): Promise<ServerType> {
	const server = createAdaptorServer({fetch: app.fetch, serverOptions: {keepAliveTimeout: keepAliveMs, requestTimeout: 0}});
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(address.port, address.host, () => {
			resolve(server);
		});
	});
}

/** Takes no new connections and waits until the replies under way have left. */
export async function closeHttp(server: ServerType): Promise<void> {
	return new Promise(resolve => {
		server.close(() => {
			resolve();
		});
	});
}
