/**
 * Opens and closes the HTTP servers of long-running processes.
 */
import type {ServerType} from '@hono/node-server';
import type {Address} from './address.js';

/** Listens; resolves with the port, which differs from the one asked for if that was 0. */
export async function listenHttp(server: ServerType, address: Address): Promise<number> {
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(address.port, address.host, () => {
			const bound = server.address();
			resolve(typeof bound === 'object' && bound !== null ? bound.port : address.port);
		});
	});
}

/** Takes no new connections. Connections that are idle are closed at once; each other one after the reply under way. */
export async function closeHttp(server: ServerType): Promise<void> {
	return new Promise(resolve => {
		server.close(() => {
			resolve();
		});
	});
}
