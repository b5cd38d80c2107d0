/**
 * Bounds the memory of the requests that a process has not answered yet. A client decides for how long a request stays unfinished, so
 * the number of such requests has no bound of its own. If the memory is full, requests are evicted of which nothing is being served.
 */
import {createBlockPool, type BlockPool} from './block-pool.js';
import type {Clock, Milliseconds} from './clock.js';

/** Dependencies of the memory. */
export type RequestMemoryHost = {
	readonly clock: Pick<Clock, 'now'>;
	/** Bound on the memory of all requests. */
	readonly limitBytes: number;
};

/** A request that takes memory. */
export type MemoryHolder = {
	/** Whether the request may be evicted: it has not been received whole, or only its client delays its end. */
	isEvictable(): boolean;
	/** Drops what the request holds. Its reservation is released already. */
	evict(): void;
};

/** The memory of one request. */
export type MemoryReservation = {
	/**
	 * Sets the size of the body that the request holds, at first 0; to be called before more is allocated. May evict requests, this one
	 * included.
	 */
	setBodyBytes(bytes: number): void;
	/** Ends the reservation; does nothing if that has happened. */
	release(): void;
};

/** The memory of all requests of a process. */
export type RequestMemory = {
	/** Blocks for bodies, which count as part of the reservations. */
	readonly blocks: BlockPool;
	/** Creates the reservation of a request, which takes nothing before its size is set. */
	reserve(holder: MemoryHolder): MemoryReservation;
	getUsedBytes(): number;
};

type Reserved = {
	readonly holder: MemoryHolder;
	readonly since: Milliseconds;
	bytes: number;
	isReleased: boolean;
};

/** Memory of a request besides its body: its objects, its headers and its part of the connection. */
export const requestOverheadBytes = 8192;
/** Share of the bound down to which requests are evicted, so that the choice is not made anew for each arriving chunk. */
const evictionTarget = 0.875;
/** Share of the bound that is kept in free blocks: more than one eviction frees. */
const freeBlocksShare = 0.25;

/** Creates the memory of a process without requests. */
export function createRequestMemory({clock, limitBytes}: RequestMemoryHost): RequestMemory {
	const requests = new Set<Reserved>();
	let used = 0;

	return {
		blocks: createBlockPool(limitBytes * freeBlocksShare),
		reserve(holder) {
			const reserved: Reserved = {
				holder, since: clock.now(), bytes: 0, isReleased: false,
			};
			requests.add(reserved);
			return {
				setBodyBytes(bytes) {
					setBytes(reserved, requestOverheadBytes + bytes);
				},
				release() {
					release(reserved);
				},
			};
		},
		getUsedBytes: () => used,
	};

	function setBytes(reserved: Reserved, bytes: number): void {
		if (reserved.isReleased) {
			return;
		}

		used += bytes - reserved.bytes;
		reserved.bytes = bytes;
		if (used > limitBytes) {
			evict();
		}
	}

	/** Evicts those first that have taken the most memory for the longest time: ordinary requests are small and arrive quickly. */
	function evict(): void {
		const now = clock.now();
		const getWeight = ({bytes, since}: Reserved) => bytes * (now - since + 1);
		const candidates = [...requests].filter(({holder}) => holder.isEvictable()).toSorted((a, b) => getWeight(b) - getWeight(a));
		for (const candidate of candidates) {
			if (used <= limitBytes * evictionTarget) {
				break;
			}

			release(candidate);
			candidate.holder.evict();
		}
	}

	function release(reserved: Reserved): void {
		if (!reserved.isReleased) {
			reserved.isReleased = true;
			requests.delete(reserved);
			used -= reserved.bytes;
		}
	}
}
