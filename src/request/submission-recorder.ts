/**
 * Retains the records of all submissions that one entry incarnation accepted, and saves them by block of tickets
 * as the objects `fates/<incarnation>/<block>`. Only the incarnation that issued the tickets writes their blocks,
 * and a block stays in memory for as long as its records may change, so no write replaces a more complete one.
 *
 * Within the memory bound nothing is lost during an outage of the object store. At the bound, memory is freed in
 * this order: saved blocks are removed from memory early, final blocks are compressed, final records lose the detail
 * of their attempts, and new work is refused. Compact final records and records of running work are never dropped.
 */
import {every, type Clock, type Milliseconds} from '../process/clock.js';
import {createDiagnostic, type Diagnostic, Diagnostics} from '../process/diagnostics.js';
import type {ObjectStore} from '../process/platform/types.js';
import {
	createBlockSaver, type BlockSaver, type BlockSaveState, type SaverStats,
} from './block-saver.js';
import {createRecordBlock, type RecordBlockState, type RecordUpdate} from './record-block.js';
import {getBlockKey} from './record-codec.js';
import {attemptBytes, estimateAcceptedBytes} from './record-memory.js';
import {parseTicket} from './ticket.js';
import type {
	AttemptRecord, SubmissionRecorder, SubmissionInfo, SubmissionRecord, Ticket,
} from './types.js';

/** Dependencies and settings of the recorder. */
export type SubmissionRecorderHost = {
	readonly clock: Clock;
	/** Incarnation of this entry. */
	readonly incarnation: string;
	readonly settings: SubmissionRecorderSettings;
	readonly put: ObjectStore['put'];
	/** Returns a random number in [0, 1), for jitter. */
	random(): number;
	log(event: SubmissionRecorderEvent): void;
};

/** Limits and delays of the recorder. */
export type SubmissionRecorderSettings = {
	/** Bound on the approximate memory of all records, in bytes. */
	readonly memoryBytes: number;
	/** Maximum number of writes to the object store per second, on average. */
	readonly writesPerSecond: number;
	/** Delay before a changed block is saved, during which further changes are collected. */
	readonly saveDelayMs: Milliseconds;
	/** How long a saved block of final records stays in memory after its last change. */
	readonly keepMs: Milliseconds;
	/**
	 * Time after the first record of a block during which further records may be opened in it. Must be at least the
	 * sum of the lifetime of a ticket and the time span of a block.
	 */
	readonly blockOpenMs: Milliseconds;
};

/** An event of the recorder, for the log. */
export type SubmissionRecorderEvent =
	| {readonly kind: 'save-failed'; readonly block: number; readonly failures: number; readonly diagnostic: Diagnostic}
	| {readonly kind: 'detail-dropped'; readonly block: number; readonly records: number}
	| {readonly kind: 'memory-full'; readonly ticket: string; readonly bytes: number}
	/** A change to a record that is not in memory was ignored; the saved record is not changed. */
	| {readonly kind: 'change-ignored'; readonly ticket: string; readonly change: RecordChangeKind};

/** Kinds of changes to a record. */
export type RecordChangeKind = 'sent' | 'ended' | 'cancelled' | 'answer' | 'delivery';

/** Counts and sizes for metrics. */
export type SubmissionRecorderStats = SaverStats & {
	/** Approximate memory of all records, in bytes. */
	readonly memoryBytes: number;
	readonly records: number;
	readonly blocks: number;
	/** Age of the oldest unsaved change. A crash now would lose at most the changes since then. */
	readonly oldestUnsavedMs: Milliseconds;
	/** Number of records that lost the detail of their attempts, since the start of the process. */
	readonly detailDropped: number;
	/** Number of submissions refused because the memory was full, since the start of the process. */
	readonly refused: number;
	/** Number of ignored changes to records that were not in memory, since the start of the process. */
	readonly changesIgnored: number;
};

/** A recorder with statistics, which must be closed. */
export type ManagedSubmissionRecorder = SubmissionRecorder & {
	getStats(): SubmissionRecorderStats;
	/** Stops the timer that removes old records from memory. */
	close(): void;
};

type AttemptResult = Pick<AttemptRecord, 'endedAt' | 'outcome' | 'detail' | 'runMs'>;

/** A block in memory with its state at the saver. */
type RetainedBlock = {
	readonly state: RecordBlockState;
	readonly saveState: BlockSaveState;
};

/** Interval at which blocks that are no longer needed are removed from memory. */
const sweepIntervalMs = 1000;

/** Share of the memory bound down to which compaction frees memory. */
const compactionTarget = 0.95;

/** Delay before compaction is tried again after it freed too little. */
const compactionIntervalMs = 1000;

/** Maximum number of agent names whose strings are shared by all records. */
const maxSharedNames = 10_000;

/** Creates a recorder without records. */
export function createSubmissionRecorder(host: SubmissionRecorderHost): ManagedSubmissionRecorder {
	const {clock, settings} = host;
	const blocks = new Map<number, RetainedBlock>();
	const shareName = createNamePool();
	const saver = createSaver();
	const sweepTimer = every(clock, sweepIntervalMs, () => {
		releaseBlocks(settings.keepMs);
	});
	let memoryBytes = 0;
	/**
	 * Highest number of a block that was removed from memory. A block up to this number that is not in `blocks` is not
	 * opened again.
	 */
	let lastReleased = -1;
	let nextCompactionAt = -Infinity;
	let detailDropped = 0;
	let refused = 0;
	let changesIgnored = 0;
	let lastTicket: Ticket | undefined;

	return {
		openRecord: tryOpenRecord,
		recordSent(ticket, index, attempt) {
			change(ticket, 'sent', record => addAttempt(record, index, {...attempt, agent: shareName(attempt.agent)}));
		},
		recordEnded(ticket, index, attempt, end) {
			change(ticket, 'ended', record => {
				const sent = record.tasks.get(index)?.attempts.find(candidate => candidate.attempt === attempt);
				return sent === undefined ? 0 : endAttempt(sent, end);
			});
		},
		recordCancelled(ticket, by) {
			change(ticket, 'cancelled', record => {
				record.cancelledBy ??= by;
				record.cancelledAt ??= clock.wall();
				return 0;
			});
		},
		recordAnswer(ticket, {state, ran, diagnostic}) {
			change(ticket, 'answer', record => {
				record.answer ??= {
					state, ran, diagnostic, at: clock.wall(),
				};
				return 0;
			});
		},
		recordDelivery(ticket, via) {
			change(ticket, 'delivery', record => {
				record.deliveries.push({at: clock.wall(), via});
				return 0;
			});
		},
		tryGet(text) {
			const ticket = tryParse(text);
			return ticket && blocks.get(ticket.block)?.state.tryGet(ticket.sequence);
		},
		whenSaved(text, action) {
			const ticket = tryParse(text);
			const retained = ticket && blocks.get(ticket.block);
			if (retained === undefined) {
				action();
			} else {
				saver.whenSaved(retained.saveState, action);
			}
		},
		flush: async () => saver.flush(),
		getUnsavedCount: () => sum(blocks.values(), ({state, saveState}) => saver.isSaved(saveState) ? 0 : state.getRecordCount()),
		getStats: () => ({
			...saver.getStats(),
			memoryBytes,
			records: sum(blocks.values(), ({state}) => state.getRecordCount()),
			blocks: blocks.size,
			oldestUnsavedMs: getOldestUnsaved(),
			detailDropped,
			refused,
			changesIgnored,
		}),
		close() {
			sweepTimer.cancel();
		},
	};

	function getOldestUnsaved(): Milliseconds {
		let oldest = clock.now();
		for (const {saveState} of blocks.values()) {
			oldest = Math.min(oldest, saveState.unsavedSince ?? oldest);
		}

		return clock.now() - oldest;
	}

	function createSaver(): BlockSaver {
		return createBlockSaver({
			clock,
			random: host.random,
			put: host.put,
			writesPerSecond: settings.writesPerSecond,
			saveDelayMs: settings.saveDelayMs,
			onSaved: compressSaved,
			onFailed(saveState, diagnostic) {
				host.log({
					kind: 'save-failed', block: saveState.content.block, failures: saveState.failures, diagnostic,
				});
			},
		});
	}

	function tryOpenRecord(info: SubmissionInfo): Diagnostic | undefined {
		const {ticket} = info;
		const known = blocks.get(ticket.block);
		if (known === undefined && ticket.block <= lastReleased) {
			return createDiagnostic(Diagnostics.Ticket_has_expired, ticket.text, settings.blockOpenMs);
		}

		if (!tryFreeMemory(estimateAcceptedBytes(info) + (known?.state.getDecompressionGrowth() ?? 0))) {
			refused++;
			host.log({kind: 'memory-full', ticket: ticket.text, bytes: memoryBytes});
			return createDiagnostic(Diagnostics.Fate_memory_is_full);
		}

		const retained = known ?? addBlock(ticket.block);
		update(retained, state => {
			state.add(info);
		});
		markChanged(retained);
		return undefined;
	}

	function addBlock(block: number): RetainedBlock {
		const state = createRecordBlock(host.incarnation, block, clock.now());
		const saveState = saver.addBlock({key: getBlockKey(host.incarnation, block), block, encode: state.encode});
		const retained: RetainedBlock = {state, saveState};
		blocks.set(block, retained);
		memoryBytes += state.getMemoryBytes();
		return retained;
	}

	function change(text: string, kind: RecordChangeKind, apply: RecordUpdate): void {
		const ticket = tryParse(text);
		const retained = ticket && blocks.get(ticket.block);
		if (retained !== undefined && update(retained, state => state.change(ticket!.sequence, apply))) {
			markChanged(retained);
			return;
		}

		changesIgnored++;
		host.log({kind: 'change-ignored', ticket: text, change: kind});
	}

	// The changes of one record often follow each other, so the last ticket is kept.
	function tryParse(text: string): Ticket | undefined {
		if (lastTicket?.text !== text) {
			const parsed = parseTicket(text);
			lastTicket = parsed.isOk() && parsed.value.incarnation === host.incarnation ? parsed.value : undefined;
		}

		return lastTicket;
	}

	/** Changes a block through `action`, and updates the total memory. */
	function update<T>({state}: RetainedBlock, action: (state: RecordBlockState) => T): T {
		const before = state.getMemoryBytes();
		const result = action(state);
		memoryBytes += state.getMemoryBytes() - before;
		return result;
	}

	function markChanged({state, saveState}: RetainedBlock): void {
		state.changedAt = clock.now();
		saver.markChanged(saveState);
	}

	function compressSaved(saveState: BlockSaveState, bytes: Uint8Array): void {
		const retained = blocks.get(saveState.content.block);
		if (retained?.state.isFinal() && !retained.state.isCompressed() && saver.isSaved(saveState)) {
			update(retained, state => {
				state.compress(bytes);
			});
		}
	}

	/** Removes blocks from memory that are final, durable and unchanged for `retentionMs`. */
	function releaseBlocks(retentionMs: Milliseconds): void {
		const now = clock.now();
		for (const {state, saveState} of blocks.values()) {
			const isUnused = now - state.changedAt >= retentionMs && now - state.openedAt >= settings.blockOpenMs;
			if (isUnused && state.isFinal() && saver.isDurable(saveState)) {
				blocks.delete(state.block);
				memoryBytes -= state.getMemoryBytes();
				lastReleased = Math.max(lastReleased, state.block);
			}
		}
	}

	/** Whether `neededBytes` are free, after a compaction if necessary. */
	function tryFreeMemory(neededBytes: number): boolean {
		if (memoryBytes + neededBytes > settings.memoryBytes && clock.now() >= nextCompactionAt) {
			compact(neededBytes);
		}

		return memoryBytes + neededBytes <= settings.memoryBytes;
	}

	/**
	 * Frees memory, oldest blocks first, with as little loss as possible. If it frees too little, the next compaction
	 * is delayed.
	 */
	function compact(neededBytes: number): void {
		const targetBytes = (settings.memoryBytes * compactionTarget) - neededBytes;
		releaseBlocks(0);
		compactUntil(targetBytes, compressFinal);
		compactUntil(targetBytes, dropDetail);
		if (memoryBytes > targetBytes) {
			nextCompactionAt = clock.now() + compactionIntervalMs;
		}
	}

	function compactUntil(targetBytes: number, action: (retained: RetainedBlock) => void): void {
		for (const retained of blocks.values()) {
			if (memoryBytes <= targetBytes) {
				return;
			}

			action(retained);
		}
	}

	function compressFinal(retained: RetainedBlock): void {
		if (retained.state.isFinal() && !retained.state.isCompressed()) {
			update(retained, state => {
				state.compress();
			});
		}
	}

	/**
	 * Drops detail from the final records of a block. A fully saved block is skipped, because it would be saved again
	 * without its detail.
	 */
	function dropDetail(retained: RetainedBlock): void {
		if (saver.isSaved(retained.saveState)) {
			return;
		}

		const records = update(retained, state => state.dropDetail());
		compressFinal(retained);
		if (records > 0) {
			detailDropped += records;
			host.log({kind: 'detail-dropped', block: retained.state.block, records});
		}
	}
}

/**
 * Adds an attempt and returns its memory in bytes, which is 0 for the first one of a task: it was reserved on
 * acceptance.
 */
function addAttempt(record: SubmissionRecord, index: number, attempt: AttemptRecord): number {
	const task = record.tasks.get(index);
	if (task === undefined) {
		record.tasks.set(index, {index, attempts: [attempt]});
		return 0;
	}

	task.attempts.push(attempt);
	return attemptBytes;
}

function endAttempt(attempt: AttemptRecord, end: AttemptResult): number {
	Object.assign(attempt, end);
	return end.detail?.length ?? 0;
}

/** Creates a function that interns names, because the records of many tasks contain the same few agents. */
function createNamePool(): (name: string) => string {
	const names = new Map<string, string>();

	return name => {
		if (names.size >= maxSharedNames) {
			names.clear();
		}

		const shared = names.get(name) ?? name;
		names.set(name, shared);
		return shared;
	};
}

function sum<T>(values: Iterable<T>, getNumber: (value: T) => number): number {
	let total = 0;
	for (const value of values) {
		total += getNumber(value);
	}

	return total;
}
