/**
 * Default limits on what the clients of a process may hold, from what the process may use.
 */
import fs from 'node:fs';
import v8 from 'node:v8';

/** Share of the memory of a process that its requests may take. */
const memoryShare = 1 / 8;
/** The same share of the heap, where the memory of the process is not known; bodies lie outside of the heap. */
const heapShare = 1 / 4;
/** A body must fit while another one is held. */
const minBodies = 2;
/** Share of the sockets for connections of clients. The others are for the links, the store, the balancer and operators. */
const connectionShare = 0.75;
/** Descriptors that are not sockets. */
const reservedDescriptors = 200;
const minConnections = 16;
/** Soft limit that most systems give to a process. */
const usualDescriptors = 1024;

/** Returns the bound on the memory of requests; `memoryBytes` is undefined if the memory of the process is not known. */
export function getRequestMemoryLimit(memoryBytes: number | undefined, maxBodyBytes: number): number {
	const share = memoryBytes === undefined ? v8.getHeapStatistics().heap_size_limit * heapShare : memoryBytes * memoryShare;
	return Math.floor(Math.max(share, minBodies * maxBodyBytes));
}

/**
 * Returns the largest number of connections of clients. `descriptors` is what the platform states for the process, whose sockets need not be
 * descriptors of the operating system there; if undefined, the limit of the operating system counts.
 */
export function getConnectionLimit(descriptors: number | undefined): number {
	const sockets = (descriptors ?? readDescriptorLimit()) - reservedDescriptors;
	return Math.max(minConnections, Math.floor(sockets * connectionShare));
}

function readDescriptorLimit(): number {
	try {
		const soft = /Max open files\s+(?<soft>\d+)/v.exec(fs.readFileSync('/proc/self/limits', 'utf8'))?.groups?.soft;
		return soft === undefined ? Infinity : Number(soft);
	} catch {
		// Only Linux has this file.
		return usualDescriptors;
	}
}
