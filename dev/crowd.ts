/**
 * A crowd of clients that send requests which they do not finish, or whose responses they do not read, and keep their connections
 * open.
 */
import {Buffer} from 'node:buffer';
import net from 'node:net';
import type {Address} from '../src/process/address.js';
import type {Milliseconds} from '../src/process/clock.js';

/** What every client of a crowd does. */
export type CrowdOptions = {
	readonly address: Address;
	readonly size: number;
	/** What each client sends. */
	readonly bytes: Uint8Array;
	/** Whether the clients read what they receive. */
	readonly isReading: boolean;
};

/** The clients of a crowd. */
export type Crowd = {
	/** Resolves once none of them can send more: their bytes are sent, the server has stopped to read them, or they are disconnected. */
	waitUntilStill(): Promise<void>;
	/** Closes all connections. */
	leave(): void;
};

/** A request whose body is sent in chunks and lacks its last byte. */
export type UnfinishedRequest = {
	readonly method: string;
	readonly host: string;
	readonly path: string;
	/** Declared size of the body. */
	readonly bodyBytes: number;
	readonly chunkBytes: number;
};

const stillnessMs: Milliseconds = 1000;
const pollMs: Milliseconds = 100;

/** Connects a crowd, which begins to send at once. */
export function startCrowd({address, size, bytes, isReading}: CrowdOptions): Crowd {
	const sockets = Array.from({length: size}, () => {
		const socket = net.connect(address.port, address.host);
		// A refused or closed connection is what the server may do.
		socket.on('error', () => undefined);
		if (isReading) {
			socket.resume();
		}

		if (bytes.length > 0) {
			socket.write(bytes);
		}

		return socket;
	});

	return {
		async waitUntilStill() {
			let last = '';
			for (let stillFor = 0; stillFor < stillnessMs; stillFor += pollMs) {
				await new Promise<void>(resolve => {
					setTimeout(resolve, pollMs);
				});
				const state = sockets.map(({bytesWritten, writableLength, connecting, destroyed}) => `${bytesWritten - writableLength} ${connecting} ${destroyed}`).join(',');
				if (state !== last) {
					last = state;
					stillFor = 0;
				}
			}
		},
		leave() {
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}

/** Returns the bytes of an unfinished request. */
export function createUnfinishedRequest({method, host, path, bodyBytes, chunkBytes}: UnfinishedRequest): Uint8Array {
	const sentBytes = bodyBytes - 1;
	const chunk = createChunk(chunkBytes);
	const count = Math.floor(sentBytes / chunkBytes);
	return Buffer.concat([
		Buffer.from(`${method} ${path} HTTP/1.1\r\nHost: ${host}\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n`),
		...Array.from({length: count}, () => chunk),
		createChunk(sentBytes - (count * chunkBytes)),
	]);
}

/** Returns the bytes of a request whose headers are not finished. */
export function createUnfinishedHeaders(host: string, headerBytes: number): Uint8Array {
	const start = `GET / HTTP/1.1\r\nHost: ${host}\r\nX-Filler: `;
	return Buffer.from(start + 'x'.repeat(headerBytes - start.length));
}

/** Returns the bytes of `count` requests that follow each other without waiting for responses. */
export function createPipelinedRequests(host: string, path: string, count: number): Uint8Array {
	return Buffer.from(`GET ${path} HTTP/1.1\r\nHost: ${host}\r\n\r\n`.repeat(count));
}

/** Returns a chunk of spaces, which are valid JSON before a value; nothing for 0 bytes, as an empty chunk ends a body. */
function createChunk(bytes: number): Uint8Array {
	return bytes === 0 ? Buffer.alloc(0) : Buffer.from(`${bytes.toString(16)}\r\n${' '.repeat(bytes)}\r\n`);
}
