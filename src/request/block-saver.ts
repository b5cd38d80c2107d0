/**
 * Saves blocks that keep changing as whole objects, within a bound on writes per second. A block is encoded
 * when its turn comes, so changes that fall together share one write. Every write replaces the whole
 * object, so a write whose reply was lost is simply made again.
 */
import type {ResultAsync} from 'neverthrow';
import type {Clock, Milliseconds, Timer} from '../process/clock.js';
import type {Diagnostic} from '../process/diagnostics.js';
import type {PlatformError} from '../process/platform/types.js';

/** Effects and bounds of the saver. */
export type BlockSaverHost = {
	readonly clock: Clock;
	/** Writes started in a second on average, retries included; saved up over at most one second. */
	readonly writesPerSecond: number;
	/** Time for which a changed block waits for further changes. */
	readonly saveDelayMs: Milliseconds;
	/** Gives numbers from 0 up to 1, for jitter. */
	random(): number;
	put(key: string, bytes: Uint8Array): ResultAsync<void, PlatformError>;
	/** A write ended well; `bytes` are what was written. */
	onSaved(block: BlockSaveState, bytes: Uint8Array): void;
	onFailed(block: BlockSaveState, diagnostic: Diagnostic): void;
};

/** What is saved as one object. */
export type BlockContent = {
	/** Name of the object. */
	readonly key: string;
	readonly block: number;
	/** The whole content as it stands now. */
	encode(): Uint8Array;
};

/** A block as the saver keeps account of it. */
export type BlockSaveState = {
	readonly content: BlockContent;
	/** Counts changes, from 0. */
	version: number;
	/** The newest version that is known to be saved. */
	savedVersion: number;
	/** Time of the first change that is not known to be saved, or an earlier one; undefined if all are. */
	unsavedSince: Milliseconds | undefined;
	/** When the block should be written; undefined while nothing is to be written. */
	dueAt: Milliseconds | undefined;
	/** Failed writes since the last one that ended well. */
	failures: number;
	/** No write before this time. */
	retryAt: Milliseconds;
	/** Until then an earlier write without a reply may still take effect and undo a later one. */
	lateWritePossibleUntil: Milliseconds;
	isWriting: boolean;
	waiters: Waiter[];
};

/** Writes and their outcome since the start. */
export type SaverStats = {
	readonly writes: number;
	readonly failedWrites: number;
	readonly bytes: number;
};

/** Saves blocks. */
export type BlockSaver = {
	addBlock(content: BlockContent): BlockSaveState;
	/** Tells that the content of a block has changed. */
	markChanged(block: BlockSaveState): void;
	/** Whether the block as it stands is saved. */
	isSaved(block: BlockSaveState): boolean;
	/** Whether the block as it stands is saved, and no earlier write can undo it. */
	isDurable(block: BlockSaveState): boolean;
	/** Calls `action` once the block as it stands now is saved; at once if it is. */
	whenSaved(block: BlockSaveState, action: () => void): void;
	/** Writes everything unsaved without waiting for more changes; resolves when all is saved or a write fails. */
	flush(): Promise<void>;
	getStats(): SaverStats;
};

type Waiter = {
	readonly version: number;
	readonly action: () => void;
};

/** Time for which a block that someone waits for collects more changes. */
export const groupCommitMs = 10;

/** Most writes under way at the same time; one while writes fail. */
const maxWritesInFlight = 16;

/** Time over which unused writes are saved up for blocks that someone waits for. */
const burstMs = 1000;

/** A block that is late by more than this may use the writes that were saved up as well. */
const overdueMs = 1000;

/** Delay before a failed write is made again; doubles with each failure. */
const minBackoffMs = 100;
const maxBackoffMs = 10_000;

/** Time after which a write without a reply can no longer take effect. */
const lateWriteMs = 30_000;

/** Creates a saver that has nothing to save. */
export function createBlockSaver(host: BlockSaverHost): BlockSaver {
	const {clock} = host;
	const spacing = 1000 / host.writesPerSecond;
	const burst = Math.max(0, burstMs - spacing);
	const pending = new Set<BlockSaveState>();
	let flushes: Array<() => void> = [];
	let timer: Timer | undefined;
	let inFlight = 0;
	/** When the budget for writes is whole again, if no more are started. */
	let budgetFullAt = 0;
	let pausedUntil = 0;
	let failuresInRow = 0;
	let writes = 0;
	let failedWrites = 0;
	let bytesWritten = 0;

	return {
		addBlock: content => ({
			content, version: 0, savedVersion: 0, unsavedSince: undefined, dueAt: undefined, failures: 0, retryAt: 0, lateWritePossibleUntil: 0, isWriting: false, waiters: [],
		}),
		markChanged(block) {
			block.version++;
			block.unsavedSince ??= clock.now();
			setDue(block, clock.now() + host.saveDelayMs);
		},
		isSaved,
		isDurable: block => isSaved(block) && clock.now() >= block.lateWritePossibleUntil,
		whenSaved(block, action) {
			if (isSaved(block)) {
				action();
				return;
			}

			block.waiters.push({version: block.version, action});
			setDue(block, clock.now() + groupCommitMs);
		},
		flush,
		getStats: () => ({writes, failedWrites, bytes: bytesWritten}),
	};

	async function flush(): Promise<void> {
		for (const block of pending) {
			if (!isSaved(block)) {
				block.retryAt = 0;
				block.dueAt = Math.min(block.dueAt ?? Infinity, clock.now());
			}
		}

		pausedUntil = 0;
		return new Promise(resolve => {
			flushes.push(resolve);
			pump();
			endFlushes();
		});
	}

	function setDue(block: BlockSaveState, at: Milliseconds): void {
		if (block.dueAt !== undefined && block.dueAt <= at) {
			return;
		}

		block.dueAt = at;
		pending.add(block);
		pump();
	}

	/** Starts every write that may start now, and sets the timer for the next one. */
	function pump(): void {
		timer?.cancel();
		timer = undefined;
		while (inFlight < (failuresInRow === 0 ? maxWritesInFlight : 1)) {
			const block = findNext();
			if (block === undefined) {
				return;
			}

			const wait = getStartAt(block) - clock.now();
			if (wait > 0) {
				timer = clock.after(wait, pump);
				return;
			}

			write(block);
		}
	}

	function findNext(): BlockSaveState | undefined {
		let next: BlockSaveState | undefined;
		for (const block of pending) {
			if (!block.isWriting && (next === undefined || isBefore(block, next))) {
				next = block;
			}
		}

		return next;
	}

	function isBefore(a: BlockSaveState, b: BlockSaveState): boolean {
		return getStartAt(a) < getStartAt(b) || (getStartAt(a) === getStartAt(b) && getDueAt(a) < getDueAt(b));
	}

	/** When a block may be written: due, not backing off, and within the budget. */
	function getStartAt(block: BlockSaveState): Milliseconds {
		const isUrgent = block.waiters.length > 0 || flushes.length > 0 || clock.now() - getDueAt(block) > overdueMs;
		const budgetAt = budgetFullAt - (isUrgent ? burst : burst / 2);
		return Math.max(getDueAt(block), block.retryAt, pausedUntil, budgetAt);
	}

	function write(block: BlockSaveState): void {
		const {version} = block;
		const startedAt = clock.now();
		const dueAt = block.dueAt ?? startedAt;
		const bytes = block.content.encode();
		pending.delete(block);
		block.dueAt = undefined;
		block.isWriting = true;
		budgetFullAt = Math.max(budgetFullAt, startedAt) + spacing;
		inFlight++;
		writes++;
		bytesWritten += bytes.length;
		void host.put(block.content.key, bytes).match(
			() => {
				endWrite(block);
				block.savedVersion = version;
				block.unsavedSince = isSaved(block) ? undefined : startedAt;
				handleSaved(block, version, bytes);
				pump();
				endFlushes();
			},
			error => {
				endWrite(block);
				handleFailed(block, dueAt, error);
				pump();
				endFlushes(true);
			},
		);
	}

	function endWrite(block: BlockSaveState): void {
		inFlight--;
		block.isWriting = false;
	}

	function handleSaved(block: BlockSaveState, version: number, bytes: Uint8Array): void {
		failuresInRow = 0;
		pausedUntil = 0;
		block.failures = 0;
		block.retryAt = 0;
		if (clock.now() < block.lateWritePossibleUntil) {
			setDue(block, block.lateWritePossibleUntil);
		}

		host.onSaved(block, bytes);
		const waiters = block.waiters.filter(waiter => waiter.version <= version);
		block.waiters = block.waiters.filter(waiter => waiter.version > version);
		if (block.waiters.length > 0) {
			setDue(block, clock.now());
		}

		for (const waiter of waiters) {
			waiter.action();
		}
	}

	function handleFailed(block: BlockSaveState, dueAt: Milliseconds, error: PlatformError): void {
		const now = clock.now();
		failedWrites++;
		failuresInRow++;
		block.failures++;
		block.retryAt = now + Math.max(error.retryAfter, getBackoff(block.failures));
		pausedUntil = now + Math.max(error.retryAfter, getBackoff(failuresInRow));
		if (error.mayHaveTakenEffect) {
			block.lateWritePossibleUntil = now + lateWriteMs;
		}

		block.dueAt = Math.min(dueAt, block.dueAt ?? Infinity);
		pending.add(block);
		host.onFailed(block, error.diagnostic);
	}

	/** Exponential backoff; the jitter takes up to half of it away. */
	function getBackoff(failures: number): Milliseconds {
		const backoff = Math.min(maxBackoffMs, minBackoffMs * (2 ** (failures - 1)));
		return backoff * (1 - (host.random() / 2));
	}

	function endFlushes(hasFailed = false): void {
		if (!hasFailed && ([...pending].some(block => !isSaved(block)) || inFlight > 0)) {
			return;
		}

		const ended = flushes;
		flushes = [];
		for (const resolve of ended) {
			resolve();
		}
	}
}

function isSaved(block: BlockSaveState): boolean {
	return block.savedVersion === block.version;
}

function getDueAt(block: BlockSaveState): Milliseconds {
	return block.dueAt ?? Infinity;
}
