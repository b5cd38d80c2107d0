/**
 * Saves changing blocks as whole objects, within a bound on writes per second. A block is encoded only when it is
 * written, so changes before that share one write. Every write replaces the whole object, so a write whose reply was
 * lost can simply be retried.
 */
import type {ResultAsync} from 'neverthrow';
import type {Clock, Milliseconds, Timer} from '../process/clock.js';
import type {Diagnostic} from '../process/diagnostics.js';
import type {PlatformError} from '../process/platform/types.js';

/** Dependencies and limits of the saver. */
export type BlockSaverHost = {
	readonly clock: Clock;
	/**
	 * Maximum number of writes started per second on average, including retries. Unused budget accumulates over at most
	 * one second.
	 */
	readonly writesPerSecond: number;
	/** Delay before a changed block is written, during which further changes are collected. */
	readonly saveDelayMs: Milliseconds;
	/** Returns a random number in [0, 1), for jitter. */
	random(): number;
	put(key: string, bytes: Uint8Array): ResultAsync<void, PlatformError>;
	/** Called when a write has succeeded, with the bytes that were written. */
	onSaved(block: BlockSaveState, bytes: Uint8Array): void;
	/** Called when a write has failed, possibly without a reply. It will be retried. */
	onFailed(block: BlockSaveState, diagnostic: Diagnostic): void;
};

/** The content that is saved as one object. */
export type BlockContent = {
	/** Name of the object. */
	readonly key: string;
	readonly block: number;
	/** Returns the current content, encoded. */
	encode(): Uint8Array;
};

/** The saver's state of one block. */
export type BlockSaveState = {
	readonly content: BlockContent;
	/** Number of changes so far. */
	version: number;
	/** The newest version that is known to be saved. */
	savedVersion: number;
	/**
	 * Time of the oldest change that is not known to be saved, or an earlier time; undefined if all changes are saved.
	 */
	unsavedSince: Milliseconds | undefined;
	/** Time at which the block is due to be written; undefined while there is nothing to write. */
	dueAt: Milliseconds | undefined;
	/** Failed writes since the last successful one. */
	failures: number;
	/** Earliest time of the next write, after a failure. */
	retryAt: Milliseconds;
	/** Time until which an earlier write without a reply may still take effect and overwrite a later one. */
	lateWritePossibleUntil: Milliseconds;
	isWriting: boolean;
	waiters: Waiter[];
};

/** Number and outcome of the writes since the start of the process, and the bytes that they wrote. */
export type SaverStats = {
	readonly writes: number;
	readonly failedWrites: number;
	readonly bytes: number;
};

/** Saves blocks, and retries failed writes. */
export type BlockSaver = {
	addBlock(content: BlockContent): BlockSaveState;
	/** Records that the content of a block has changed, and schedules a write. */
	markChanged(block: BlockSaveState): void;
	/** Whether the current content of the block is saved. */
	isSaved(block: BlockSaveState): boolean;
	/** Whether the current content of the block is saved, and no earlier write can overwrite it any more. */
	isDurable(block: BlockSaveState): boolean;
	/** Calls `action` once the current content of the block is saved; immediately if it already is. */
	whenSaved(block: BlockSaveState, action: () => void): void;
	/** Writes all unsaved blocks without delay. Resolves when all are saved or a write has failed. */
	flush(): Promise<void>;
	getStats(): SaverStats;
};

type Waiter = {
	readonly version: number;
	readonly action: () => void;
};

/** Delay before a block with waiters is written, during which further changes are collected. */
export const groupCommitMs = 10;

/** Maximum number of writes in flight. While writes fail, only one is in flight. */
const maxWritesInFlight = 16;

/** Time over which the unused budget accumulates for blocks with waiters. */
const burstMs = 1000;

/** Delay beyond the due time after which a block may use the accumulated budget as well. */
const overdueMs = 1000;

/** Bounds of the delay before a failed write is retried, which doubles with each failure. */
const minBackoffMs = 100;
const maxBackoffMs = 10_000;

/** Time after which a write without a reply can no longer take effect. */
const lateWriteMs = 30_000;

/** Creates a saver without blocks. */
export function createBlockSaver(host: BlockSaverHost): BlockSaver {
	const {clock} = host;
	const writeIntervalMs = 1000 / host.writesPerSecond;
	const burstAllowanceMs = Math.max(0, burstMs - writeIntervalMs);
	const pending = new Set<BlockSaveState>();
	let flushes: Array<() => void> = [];
	let timer: Timer | undefined;
	let inFlight = 0;
	/** Time at which the write budget is full again if no further write is started. */
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
			startDueWrites();
			endFlushes();
		});
	}

	function setDue(block: BlockSaveState, at: Milliseconds): void {
		if (block.dueAt !== undefined && block.dueAt <= at) {
			return;
		}

		block.dueAt = at;
		pending.add(block);
		startDueWrites();
	}

	/** Starts every write that may start now, and schedules the next one. */
	function startDueWrites(): void {
		timer?.cancel();
		timer = undefined;
		while (inFlight < (failuresInRow === 0 ? maxWritesInFlight : 1)) {
			const block = findNext();
			if (block === undefined) {
				return;
			}

			const wait = getStartAt(block) - clock.now();
			if (wait > 0) {
				timer = clock.after(wait, startDueWrites);
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

	/** Returns the time from which a block may be written: it is due, not in backoff, and within the budget. */
	function getStartAt(block: BlockSaveState): Milliseconds {
		const isUrgent = block.waiters.length > 0 || flushes.length > 0 || clock.now() - getDueAt(block) > overdueMs;
		const budgetAt = budgetFullAt - (isUrgent ? burstAllowanceMs : burstAllowanceMs / 2);
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
		budgetFullAt = Math.max(budgetFullAt, startedAt) + writeIntervalMs;
		inFlight++;
		writes++;
		bytesWritten += bytes.length;
		void host.put(block.content.key, bytes).match(
			() => {
				endWrite(block);
				block.savedVersion = version;
				block.unsavedSince = isSaved(block) ? undefined : startedAt;
				handleSaved(block, version, bytes);
				startDueWrites();
				endFlushes();
			},
			error => {
				endWrite(block);
				handleFailed(block, dueAt, error);
				startDueWrites();
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

	/** Returns an exponential backoff, reduced by a random part of up to half of it. */
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
