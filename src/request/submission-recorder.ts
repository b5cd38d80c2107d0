/**
 * Keeps the records of all submissions that one entry incarnation accepted, and saves them by block of
 * tickets as the objects `fates/<incarnation>/<block>`. Only the home incarnation writes its blocks, and a
 * block stays in memory for as long as its records may grow or change, so no write replaces a fuller one.
 *
 * Within the memory bound nothing is lost during an outage of the object store. At the bound, in this order:
 * saved blocks leave early, final blocks are kept encoded, final records lose the detail of their attempts,
 * and new work is refused. The compact final record and records of running work are never dropped.
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

/** Effects and settings of the recorder. */
export type SubmissionRecorderHost = {
	readonly clock: Clock;
	/** Incarnation of this entry. */
	readonly incarnation: string;
	readonly settings: SubmissionRecorderSettings;
	readonly put: ObjectStore['put'];
	/** Gives numbers from 0 up to 1, for jitter. */
	random(): number;
	log(event: SubmissionRecorderEvent): void;
};

/** Bounds of the recorder. */
export type SubmissionRecorderSettings = {
	/** Approximate memory of all records in bytes. */
	readonly memoryBytes: number;
	/** Writes to the object store in a second on average. */
	readonly writesPerSecond: number;
	/** Time for which a changed block waits for further changes before it is saved. */
	readonly saveDelayMs: Milliseconds;
	/** Time for which a saved block of final records stays in memory after its last change. */
	readonly keepMs: Milliseconds;
	/**
	 * Time after the first record of a block during which another may be opened: at least the lifetime of a
	 * ticket and the span of a block together.
	 */
	readonly blockOpenMs: Milliseconds;
};

/** What the recorder reports, for logs. */
export type SubmissionRecorderEvent =
	| {readonly kind: 'save-failed'; readonly block: number; readonly failures: number; readonly diagnostic: Diagnostic}
	| {readonly kind: 'detail-dropped'; readonly block: number; readonly records: number}
	| {readonly kind: 'memory-full'; readonly ticket: string; readonly bytes: number}
	/** A change to a record that is not in memory; the saved record stays as it is. */
	| {readonly kind: 'change-ignored'; readonly ticket: string; readonly change: RecordChangeKind};

/** Kinds of changes to a record. */
export type RecordChangeKind = 'sent' | 'ended' | 'cancelled' | 'answer' | 'delivery';

/** Counts and sizes for metrics. */
export type SubmissionRecorderStats = SaverStats & {
	/** Approximate memory of all records in bytes. */
	readonly memoryBytes: number;
	readonly records: number;
	readonly blocks: number;
	/** Age of the oldest change that is not saved: what a crash now would lose at most. */
	readonly oldestUnsavedMs: Milliseconds;
	/** Records that lost the detail of their attempts, since the start. */
	readonly detailDropped: number;
	/** Submissions refused because the memory was full, since the start. */
	readonly refused: number;
	/** Changes to records that were not in memory, since the start. */
	readonly changesIgnored: number;
};

/** A recorder with its counts. */
export type ManagedSubmissionRecorder = SubmissionRecorder & {
	getStats(): SubmissionRecorderStats;
	/** Stops the timer that lets old records leave memory. */
	close(): void;
};

type AttemptEndFate = Pick<AttemptRecord, 'endedAt' | 'outcome' | 'detail' | 'runMs'>;

/** A block with its account at the saver. */
type KeptBlock = {
	readonly state: RecordBlockState;
	readonly saved: BlockSaveState;
};

/** Interval at which blocks that are no longer needed leave memory. */
const sweepIntervalMs = 1000;

/** Compaction frees memory down to this share of the bound. */
const compactionTarget = 0.95;

/** Time after which a compaction that freed too little is tried again. */
const compactionIntervalMs = 1000;

/** Names of agents that are kept once for all records. */
const maxSharedNames = 10_000;

/** Creates a recorder without records. */
export function createSubmissionRecorder(host: SubmissionRecorderHost): ManagedSubmissionRecorder {
	const {clock, settings} = host;
	const blocks = new Map<number, KeptBlock>();
	const shareName = createNamePool();
	const saver = createSaver();
	const sweepTimer = every(clock, sweepIntervalMs, () => {
		releaseBlocks(settings.keepMs);
	});
	let memoryBytes = 0;
	/** All blocks up to this one have left memory, unless they are in `blocks`. */
	let lastReleased = -1;
	let compactAfter = -Infinity;
	let detailDropped = 0;
	let refused = 0;
	let changesIgnored = 0;

	return {
		openRecord: tryAccept,
		recordSent(ticket, index, attempt) {
			change(ticket, 'sent', fate => addAttempt(fate, index, {...attempt, agent: shareName(attempt.agent)}));
		},
		recordEnded(ticket, index, attempt, end) {
			change(ticket, 'ended', fate => {
				const sent = fate.tasks.get(index)?.attempts.find(candidate => candidate.attempt === attempt);
				return sent === undefined ? 0 : endAttempt(sent, end);
			});
		},
		recordCancelled(ticket, by) {
			change(ticket, 'cancelled', fate => {
				fate.cancelledBy ??= by;
				fate.cancelledAt ??= clock.wall();
				return 0;
			});
		},
		recordAnswer(ticket, {state, ran, diagnostic}) {
			change(ticket, 'answer', fate => {
				fate.answer ??= {
					state, ran, diagnostic, at: clock.wall(),
				};
				return 0;
			});
		},
		recordDelivery(ticket, via) {
			change(ticket, 'delivery', fate => {
				fate.deliveries.push({at: clock.wall(), via});
				return 0;
			});
		},
		tryGet(text) {
			const ticket = tryParse(text);
			return ticket && blocks.get(ticket.block)?.state.tryGet(ticket.sequence);
		},
		whenSaved(text, action) {
			const ticket = tryParse(text);
			const kept = ticket && blocks.get(ticket.block);
			if (kept === undefined) {
				action();
			} else {
				saver.whenSaved(kept.saved, action);
			}
		},
		flush: async () => saver.flush(),
		getUnsavedCount: () => sum(blocks.values(), ({state, saved}) => saver.isSaved(saved) ? 0 : state.getRecordCount()),
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
		for (const {saved} of blocks.values()) {
			oldest = Math.min(oldest, saved.unsavedSince ?? oldest);
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
			onSaved: freezeSaved,
			onFailed(saved, diagnostic) {
				host.log({
					kind: 'save-failed', block: saved.content.block, failures: saved.failures, diagnostic,
				});
			},
		});
	}

	function tryAccept(facts: SubmissionInfo): Diagnostic | undefined {
		const {ticket} = facts;
		const known = blocks.get(ticket.block);
		if (known === undefined && ticket.block <= lastReleased) {
			return createDiagnostic(Diagnostics.Ticket_has_expired, ticket.text, settings.blockOpenMs);
		}

		if (!tryMakeRoom(estimateAcceptedBytes(facts) + (known?.state.getDecompressionGrowth() ?? 0))) {
			refused++;
			host.log({kind: 'memory-full', ticket: ticket.text, bytes: memoryBytes});
			return createDiagnostic(Diagnostics.Fate_memory_is_full);
		}

		const kept = known ?? addBlock(ticket.block);
		update(kept, state => {
			state.add(facts);
		});
		markChanged(kept);
		return undefined;
	}

	function addBlock(block: number): KeptBlock {
		const state = createRecordBlock(host.incarnation, block, clock.now());
		const saved = saver.addBlock({key: getBlockKey(host.incarnation, block), block, encode: state.encode});
		const kept: KeptBlock = {state, saved};
		blocks.set(block, kept);
		memoryBytes += state.getMemoryBytes();
		return kept;
	}

	function change(text: string, kind: RecordChangeKind, apply: RecordUpdate): void {
		const ticket = tryParse(text);
		const kept = ticket && blocks.get(ticket.block);
		if (kept !== undefined && update(kept, state => state.change(ticket!.sequence, apply))) {
			markChanged(kept);
			return;
		}

		changesIgnored++;
		host.log({kind: 'change-ignored', ticket: text, change: kind});
	}

	function tryParse(text: string): Ticket | undefined {
		const parsed = parseTicket(text);
		return parsed.isOk() && parsed.value.incarnation === host.incarnation ? parsed.value : undefined;
	}

	/** Keeps the account of memory while a block is changed. */
	function update<T>({state}: KeptBlock, action: (state: RecordBlockState) => T): T {
		const before = state.getMemoryBytes();
		const result = action(state);
		memoryBytes += state.getMemoryBytes() - before;
		return result;
	}

	function markChanged({state, saved}: KeptBlock): void {
		state.changedAt = clock.now();
		saver.markChanged(saved);
	}

	function freezeSaved(saved: BlockSaveState, bytes: Uint8Array): void {
		const kept = blocks.get(saved.content.block);
		if (kept?.state.isFinal() && !kept.state.isCompressed() && saver.isSaved(saved)) {
			update(kept, state => {
				state.compress(bytes);
			});
		}
	}

	/** Lets saved blocks that have not changed for `keepMs` leave memory. */
	function releaseBlocks(keepMs: Milliseconds): void {
		const now = clock.now();
		for (const {state, saved} of blocks.values()) {
			const isUnused = now - state.changedAt >= keepMs && now - state.openedAt >= settings.blockOpenMs;
			if (isUnused && state.isFinal() && saver.isDurable(saved)) {
				blocks.delete(state.block);
				memoryBytes -= state.getMemoryBytes();
				lastReleased = Math.max(lastReleased, state.block);
			}
		}
	}

	/** Whether `needed` bytes are free, after compaction if need be. */
	function tryMakeRoom(needed: number): boolean {
		if (memoryBytes + needed > settings.memoryBytes && clock.now() >= compactAfter) {
			compact(needed);
		}

		return memoryBytes + needed <= settings.memoryBytes;
	}

	/** Frees memory, oldest blocks first, with the least loss. If that fails it waits before it tries again. */
	function compact(needed: number): void {
		const target = (settings.memoryBytes * compactionTarget) - needed;
		releaseBlocks(0);
		compactUntil(target, freezeFinal);
		compactUntil(target, dropDetail);
		if (memoryBytes > target) {
			compactAfter = clock.now() + compactionIntervalMs;
		}
	}

	function compactUntil(target: number, action: (kept: KeptBlock) => void): void {
		for (const kept of blocks.values()) {
			if (memoryBytes <= target) {
				return;
			}

			action(kept);
		}
	}

	function freezeFinal(kept: KeptBlock): void {
		if (kept.state.isFinal() && !kept.state.isCompressed()) {
			update(kept, state => {
				state.compress();
			});
		}
	}

	/** A block that is saved as it stands keeps its detail: it would be written again without. */
	function dropDetail(kept: KeptBlock): void {
		if (saver.isSaved(kept.saved)) {
			return;
		}

		const records = update(kept, state => state.dropDetail());
		freezeFinal(kept);
		if (records > 0) {
			detailDropped += records;
			host.log({kind: 'detail-dropped', block: kept.state.block, records});
		}
	}
}

/** Adds an attempt; the first one of a task was set aside for when the submission was accepted. */
function addAttempt(fate: SubmissionRecord, index: number, attempt: AttemptRecord): number {
	const task = fate.tasks.get(index);
	if (task === undefined) {
		fate.tasks.set(index, {index, attempts: [attempt]});
		return 0;
	}

	task.attempts.push(attempt);
	return attemptBytes;
}

function endAttempt(attempt: AttemptRecord, end: AttemptEndFate): number {
	Object.assign(attempt, end);
	return end.detail?.length ?? 0;
}

/** Keeps equal names once: records of many tasks name the same few agents. */
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
