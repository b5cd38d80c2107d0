/**
 * Receives the body of a request. Each chunk is an object of its own that takes far more memory than a byte, so the chunks of a body
 * that does not arrive at once are copied into blocks.
 */
import type {IncomingMessage} from 'node:http';
import process from 'node:process';
import {blockBytes, type BlockPool} from './block-pool.js';
import type {MemoryReservation} from './request-memory.js';

/** What became of a body. */
export type BodyResult =
	| {readonly kind: 'whole'; readonly bytes: Uint8Array}
	| {readonly kind: 'too-long'}
	/** The memory for requests was needed for others. */
	| {readonly kind: 'evicted'}
	/** The client has disconnected before the end. */
	| {readonly kind: 'disconnected'};

/** The body of a request. */
export type RequestBody = {
	/** Resolves once the body is whole, or will not be. */
	read(): Promise<BodyResult>;
};

/** A body that is being received. */
export type ReceivedBody = RequestBody & {
	/** Drops what was received and what follows. */
	evict(): void;
	/** Drops what was received and what follows, and calls `action` once more than `maxBytes` have followed. */
	drain(maxBytes: number, action: () => void): void;
};

/** How a body is received. */
export type ReceiveOptions = {
	readonly source: BodySource;
	readonly maxBytes: number;
	readonly reservation: Pick<MemoryReservation, 'setBodyBytes'>;
	readonly pool: BlockPool;
	/** Called when many very small chunks have arrived since the start or the last call. */
	onSmallChunks(): void;
};

/** The part of a request that carries its body. */
export type BodySource = Pick<IncomingMessage, 'on' | 'complete'>;

/** Part of a web request of which the body is read. */
type BodyRequest = {
	arrayBuffer(): Promise<ArrayBuffer>;
};

/** Number of chunks after which their mean size is looked at, and the size below which they are very small. */
const chunkSample = 256;
const smallChunkBytes = 256;

/** Begins to receive a body at once: until someone does, Node keeps the chunks. */
export function receiveBody({
	source, maxBytes, reservation, pool, onSmallChunks,
}: ReceiveOptions): ReceivedBody {
	/** The first chunk, while it is not known whether another one follows. Most bodies have one, which need not be copied. */
	let firstChunk: Uint8Array | undefined;
	let blocks: Uint8Array[] = [];
	let length = 0;
	let result: BodyResult | undefined;
	let resolveRead: ((result: BodyResult) => void) | undefined;
	let sample = {chunks: 0, bytes: 0};
	let drain = {bytesLeft: Infinity, action: () => undefined as void};

	source.on('data', (chunk: Uint8Array) => {
		countChunk(chunk.length);
		if (result === undefined) {
			append(chunk);
		} else {
			countDrained(chunk.length);
		}
	});
	source.on('end', () => {
		if (result === undefined) {
			const bytes = firstChunk ?? join();
			end({kind: 'whole', bytes}, bytes.length);
		}
	});
	source.on('close', () => {
		end({kind: 'disconnected'});
	});

	return {
		async read() {
			return result ?? new Promise(resolve => {
				resolveRead = resolve;
			});
		},
		evict() {
			end({kind: 'evicted'});
		},
		drain(maxDrainedBytes, action) {
			drain = {bytesLeft: maxDrainedBytes, action};
			end({kind: 'disconnected'});
		},
	};

	function countChunk(bytes: number): void {
		sample.chunks++;
		sample.bytes += bytes;
		if (sample.chunks === chunkSample) {
			const isSmall = sample.bytes < chunkSample * smallChunkBytes;
			sample = {chunks: 0, bytes: 0};
			if (isSmall) {
				onSmallChunks();
			}
		}
	}

	function append(chunk: Uint8Array): void {
		if (length + chunk.length > maxBytes) {
			end({kind: 'too-long'});
			return;
		}

		if (length === 0) {
			reservation.setBodyBytes(chunk.length);
			firstChunk = chunk;
			length = chunk.length;
			// All events of the bytes that were read together come before this one.
			process.nextTick(() => {
				if (!source.complete) {
					copyFirstChunk();
				}
			});
		} else {
			copyFirstChunk();
			copy(chunk);
		}
	}

	function copyFirstChunk(): void {
		if (result === undefined && firstChunk !== undefined) {
			const chunk = firstChunk;
			firstChunk = undefined;
			length = 0;
			copy(chunk);
		}
	}

	function copy(chunk: Uint8Array): void {
		const needed = Math.ceil((length + chunk.length) / blockBytes);
		if (needed > blocks.length) {
			reservation.setBodyBytes(needed * blockBytes);
		}

		// The reservation may have evicted this request.
		if (result !== undefined) {
			return;
		}

		for (let copied = 0; copied < chunk.length;) {
			const offset = length % blockBytes;
			if (offset === 0) {
				blocks.push(pool.take());
			}

			const part = chunk.subarray(copied, copied + blockBytes - offset);
			blocks.at(-1)!.set(part, offset);
			copied += part.length;
			length += part.length;
		}
	}

	function join(): Uint8Array {
		const bytes = new Uint8Array(length);
		for (const [i, block] of blocks.entries()) {
			const start = i * blockBytes;
			bytes.set(block.subarray(0, Math.min(blockBytes, length - start)), start);
		}

		return bytes;
	}

	function countDrained(bytes: number): void {
		drain.bytesLeft -= bytes;
		if (drain.bytesLeft < 0) {
			drain.bytesLeft = Infinity;
			drain.action();
		}
	}

	/** Ends the reception, unless it has ended; `keptBytes` is the size of what the result holds. */
	function end(ended: BodyResult, keptBytes = 0): void {
		if (result !== undefined) {
			return;
		}

		result = ended;
		pool.give(blocks);
		blocks = [];
		firstChunk = undefined;
		reservation.setBodyBytes(keptBytes);
		resolveRead?.(ended);
	}
}

/** Reads the body of a request; `body` is undefined for one that did not come through a connection. */
export async function readRequestBody(req: BodyRequest, body: RequestBody | undefined, maxBytes: number): Promise<BodyResult> {
	if (body !== undefined) {
		return body.read();
	}

	const bytes = new Uint8Array(await req.arrayBuffer());
	return bytes.length > maxBytes ? {kind: 'too-long'} : {kind: 'whole', bytes};
}
