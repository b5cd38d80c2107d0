/**
 * Blocks of memory that are used again. What is freed and allocated anew stays with the garbage collector for a while, and buffers lie
 * outside of the heap that the collector watches most closely.
 */

/** Blocks for data that arrives in parts. */
export type BlockPool = {
	/** Returns a block with arbitrary contents. */
	take(): Uint8Array;
	/** Takes back blocks that are not used any more. */
	give(blocks: readonly Uint8Array[]): void;
};

/** Size of a block. */
export const blockBytes = 8192;

/** Creates a pool that keeps up to `maxFreeBytes` for later use. */
export function createBlockPool(maxFreeBytes: number): BlockPool {
	const maxFree = Math.floor(maxFreeBytes / blockBytes);
	const free: Uint8Array[] = [];

	return {
		take: () => free.pop() ?? new Uint8Array(blockBytes),
		give(blocks) {
			free.push(...blocks.slice(0, Math.max(0, maxFree - free.length)));
		},
	};
}
