/**
 * Bounds the number of connections that clients hold open at one server. At the bound, a new connection takes the place of the one
 * that has waited longest for its client, so that clients which send nothing do not keep out others.
 */

/** A connection of a client. */
export type LimitedConnection = {
	/** Whether a request of the client is being served. */
	isServing(): boolean;
	close(): void;
};

/** The connections of one server. */
export type ConnectionLimiter = {
	/** Adds a connection. One without a request is closed if there are too many; the new one itself if there is no other. */
	add(connection: LimitedConnection): void;
	/** Notes that the wait for the client begins anew, as it has received a response. */
	renew(connection: LimitedConnection): void;
	remove(connection: LimitedConnection): void;
};

/** Creates a limiter without connections. */
export function createConnectionLimiter(maxConnections: number): ConnectionLimiter {
	/** In the order in which the wait for their clients began. */
	const connections = new Set<LimitedConnection>();

	return {
		add(connection) {
			connections.add(connection);
			if (connections.size > maxConnections) {
				const closed = findLongestWaiting();
				connections.delete(closed);
				closed.close();
			}

			function findLongestWaiting(): LimitedConnection {
				for (const candidate of connections) {
					if (!candidate.isServing()) {
						return candidate;
					}
				}

				return connection;
			}
		},
		renew(connection) {
			if (connections.delete(connection)) {
				connections.add(connection);
			}
		},
		remove(connection) {
			connections.delete(connection);
		},
	};
}
