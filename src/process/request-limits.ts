/**
 * Default limits on what the clients of a process may hold, from what the process may use.
 */
import v8 from 'node:v8';

/** Share of the memory of a process that its requests may take. */
const memoryShare = 1 / 8;
/** The same share of the heap, where the memory of the process is not known; bodies lie outside of the heap. */
const heapShare = 1 / 4;
/** A body must fit while another one is held. */
const minBodies = 2;

/** Returns the bound on the memory of requests; `memoryBytes` is undefined if the memory of the process is not known. */
export function getRequestMemoryLimit(memoryBytes: number | undefined, maxBodyBytes: number): number {
	const share = memoryBytes === undefined ? v8.getHeapStatistics().heap_size_limit * heapShare : memoryBytes * memoryShare;
	return Math.floor(Math.max(share, minBodies * maxBodyBytes));
}
