/**
 * HTTP servers of long-running processes for clients that are not trusted: what a client may hold without finishing a request is
 * bounded, for all servers of the process together in memory, and for each of them in connections.
 */
import http, {type IncomingMessage, type ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {getRequestListener, type HttpBindings} from '@hono/node-server';
import type {Address} from './address.js';
import type {Clock, Milliseconds, Timer} from './clock.js';
import {createConnectionLimiter, type LimitedConnection} from './connection-limiter.js';
import {closeHttp, listenHttp} from './http-listen.js';
import type {PacedConnection, ReadPacer} from './read-pacer.js';
import type {RefusalLog} from './refusal-log.js';
import {receiveBody, type ReceivedBody, type RequestBody} from './request-body.js';
import type {MemoryReservation, RequestMemory} from './request-memory.js';

/** What handlers know of a request besides its contents. They read its body here, as the stream of the web request is used up. */
export type RequestBindings = HttpBindings & {readonly body: RequestBody};

/** What the servers of a process share. */
export type HttpServerHost = {
	readonly clock: Clock;
	readonly memory: RequestMemory;
	readonly refusals: RefusalLog;
	readonly pacer: ReadPacer;
};

/** One server. */
export type HttpServerOptions = {
	/** Name in logs and metrics. */
	readonly name: string;
	readonly app: {fetch(req: Request, env: RequestBindings): Response | Promise<Response>};
	readonly address: Address;
	readonly maxBodyBytes: number;
	readonly maxHeaderBytes: number;
	readonly maxConnections: number;
	/** Time for which a connection stays open between requests. */
	readonly keepAliveMs: Milliseconds;
};

/** A listening server. */
export type HttpServer = {
	readonly port: number;
	/** Stops accepting connections and requests. Resolves when those that are being served have their responses. */
	close(): Promise<void>;
};

type Connection = LimitedConnection & {
	readonly socket: Socket;
	readonly paced: PacedConnection;
	/** Requests whose responses have not been taken over by the operating system. */
	readonly requests: Set<OpenRequest>;
	/** Whether it ends after the responses to the requests that are being served. */
	isClosing: boolean;
};

type OpenRequest = {
	readonly incoming: IncomingMessage;
	readonly outgoing: ServerResponse;
	readonly body: ReceivedBody;
	readonly reservation: MemoryReservation;
};

/** Time for the headers of a request, and for all of it; both are far above the longest deadline of a job. */
const headersTimeoutMs: Milliseconds = 60_000;
const requestTimeoutMs: Milliseconds = 120_000;
/** What a client may go on sending after the response, before its connection is closed: it may not have seen the response yet. */
const lingerMs: Milliseconds = 500;
const lingerBytes = 65_536;

/** Starts a server; resolves once it listens. */
export async function startHttpServer(host: HttpServerHost, options: HttpServerOptions): Promise<HttpServer> {
	const {
		clock, memory, refusals, pacer,
	} = host;
	const {name, app, maxBodyBytes, maxConnections} = options;
	const connections = new Map<Socket, Connection>();
	const limiter = createConnectionLimiter(maxConnections);
	const bodies = new WeakMap<IncomingMessage, RequestBody>();
	let isStopping = false;

	const handle = getRequestListener(async (req, env) => {
		// The server below speaks HTTP/1.1, so the bindings are never those of HTTP/2.
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		const {incoming, outgoing} = env as HttpBindings;
		return app.fetch(req, {incoming, outgoing, body: bodies.get(incoming)!});
	});
	const server = http.createServer({
		keepAliveTimeout: options.keepAliveMs,
		headersTimeout: headersTimeoutMs,
		requestTimeout: requestTimeoutMs,
		maxHeaderSize: options.maxHeaderBytes,
	}, (incoming, outgoing) => {
		open(getConnection(incoming.socket), incoming, outgoing);
		void handle(incoming, outgoing);
	});
	server.on('connection', (socket: Socket) => {
		getConnection(socket);
	});
	server.on('clientError', handleClientError);
	const port = await listenHttp(server, options.address);

	return {
		port,
		async close() {
			isStopping = true;
			const closed = closeHttp(server);
			for (const connection of connections.values()) {
				closeWhenServed(connection);
			}

			await closed;
		},
	};

	function getConnection(socket: Socket): Connection {
		const known = connections.get(socket);
		if (known !== undefined) {
			return known;
		}

		const connection: Connection = {
			socket,
			paced: {
				pause() {
					socket.pause();
				},
				resume() {
					socket.resume();
				},
				refuse() {
					refuseUnfinished(connection);
				},
			},
			requests: new Set(),
			isClosing: false,
			isServing: () => [...connection.requests].some(req => isServed(req)),
			close() {
				refusals.add(name, 'connections');
				socket.destroy();
			},
		};
		connections.set(socket, connection);
		socket.once('close', () => {
			connections.delete(socket);
			limiter.remove(connection);
			// Responses that wait behind others report no end of their own.
			for (const {reservation} of connection.requests) {
				reservation.release();
			}
		});
		limiter.add(connection);
		return connection;
	}

	function open(connection: Connection, incoming: IncomingMessage, outgoing: ServerResponse): void {
		const reservation = memory.reserve({
			isEvictable: () => !isServed(req),
			evict() {
				evict(connection, req);
			},
		});
		const body = receiveBody({
			source: incoming,
			maxBytes: maxBodyBytes,
			reservation,
			pool: memory.blocks,
			onSmallChunks() {
				// The stream of the request resumes its connection until everything that was read together has been handled.
				setImmediate(pacer.pause, connection.paced);
			},
		});
		const req: OpenRequest = {
			incoming, outgoing, body, reservation,
		};
		bodies.set(incoming, body);
		connection.requests.add(req);
		reservation.setBodyBytes(0);
		if (isStopping) {
			closeWhenServed(connection);
		}

		outgoing.once('close', () => {
			connection.requests.delete(req);
			reservation.release();
			limiter.renew(connection);
			if (connection.isClosing) {
				closeWhenServed(connection);
			} else if (!incoming.complete) {
				linger(connection, req);
			}
		});
	}

	/** Frees the memory of a request that is not being served; its connection is of no use then. */
	function evict(connection: Connection, {outgoing, body}: OpenRequest): void {
		refusals.add(name, 'request-memory');
		body.evict();
		if (outgoing.writableEnded) {
			connection.socket.destroy();
		} else {
			closeWhenServed(connection);
		}
	}

	/** Refuses what a connection has not finished, so that nothing more is read from it. */
	function refuseUnfinished(connection: Connection): void {
		refusals.add(name, 'small-chunks');
		for (const {body} of connection.requests) {
			body.evict();
		}

		closeWhenServed(connection);
	}

	/** Closes a connection after the responses to the requests that are being served; those that are not get a moment for theirs. */
	function closeWhenServed(connection: Connection): void {
		connection.isClosing = true;
		// The connection ends after the response that says so, so it has to be the last one.
		const last = [...connection.requests].at(-1);
		if (last !== undefined && !last.outgoing.headersSent) {
			last.outgoing.setHeader('connection', 'close');
		}

		if (connection.isServing()) {
			return;
		}

		if (connection.requests.size === 0) {
			connection.socket.destroySoon();
		}

		clock.after(lingerMs, () => {
			if (!connection.isServing()) {
				connection.socket.destroy();
			}
		});
	}

	/** Reads the rest of a request that has its response for a while, so that the client sees the response and not a reset. */
	function linger({socket}: Connection, {incoming, body}: OpenRequest): void {
		const timer: Timer = clock.after(lingerMs, close);
		body.drain(lingerBytes, close);
		incoming.once('end', timer.cancel);

		function close(): void {
			timer.cancel();
			socket.destroySoon();
		}
	}

	function handleClientError(err: NodeJS.ErrnoException, socket: Socket): void {
		const connection = connections.get(socket);
		const refusal = tryGetRefusal(err.code);
		if (refusal === undefined || connection === undefined || !socket.writable) {
			socket.destroy();
			return;
		}

		refusals.add(name, refusal.cause);
		if (connection.isServing()) {
			closeWhenServed(connection);
			return;
		}

		socket.write(`HTTP/1.1 ${refusal.status} ${http.STATUS_CODES[refusal.status]}\r\nConnection: close\r\n\r\n`);
		socket.destroySoon();
	}
}

/** Whether a request was received whole and the server owes its response. */
function isServed({incoming, outgoing}: OpenRequest): boolean {
	return incoming.complete && !outgoing.writableEnded && !outgoing.destroyed;
}

/** Returns how the bytes are answered that could not be read; undefined if the connection was lost. */
function tryGetRefusal(code: string | undefined): {readonly status: number; readonly cause: 'timeout' | 'malformed'} | undefined {
	switch (code) {
		case 'ERR_HTTP_REQUEST_TIMEOUT': {
			return {status: 408, cause: 'timeout'};
		}

		case 'HPE_HEADER_OVERFLOW': {
			return {status: 431, cause: 'malformed'};
		}

		// The client has hung up within a request.
		case 'HPE_INVALID_EOF_STATE': {
			return undefined;
		}

		default: {
			return code?.startsWith('HPE_') ? {status: 400, cause: 'malformed'} : undefined;
		}
	}
}
