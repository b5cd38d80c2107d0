/**
 * Starts and stops the HTTP servers of long-running processes.
 */
import type {ServerType} from '@hono/node-server';
import type {Address} from './address.js';

/** Starts to listen. Resolves with the port, which the operating system chooses if `address.port` is 0. */
export async function listenHttp(server: ServerType, address: Address): Promise<number> {
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(address.port, address.host, () => {
			const bound = server.address();
			resolve(typeof bound === 'object' && bound !== null ? bound.port : address.port);
		});
	});
}

/** Stops accepting connections. Closes idle connections at once and each other one after its current reply. */
export async function closeHttp(server: ServerType): Promise<void> {
	return new Promise(resolve => {
		server.close(() => {
			resolve();
		});
	});
}
