/**
 * The records of one block of tickets in memory. While one of them may change soon, all are objects; a block
 * whose records are all final can be kept encoded, in a fraction of the memory and without loss.
 */
import type {Milliseconds} from '../process/clock.js';
import {assert} from '../process/debug.js';
import {decodeBlock, encodeBlock, findRecord} from './record-codec.js';
import {
	emptyBlockBytes, estimateAcceptedBytes, estimateFinalBytes,
} from './record-memory.js';
import type {SubmissionInfo, SubmissionRecord} from './types.js';

/** Changes a record; gives the bytes of memory by which it grew beyond what was set aside for it. */
export type RecordUpdate = (fate: SubmissionRecord) => number;

/** The records of a block. */
export type RecordBlockState = {
	readonly block: number;
	/** When the first record was added. */
	readonly openedAt: Milliseconds;
	/** When a record was last added or changed. */
	changedAt: Milliseconds;
	/** Adds a record and sets memory aside for its tasks. */
	add(facts: SubmissionInfo): void;
	/** Changes a record; false if the block has none of this sequence. */
	change(sequence: number, apply: RecordUpdate): boolean;
	/** The record, not to be changed. */
	tryGet(sequence: number): SubmissionRecord | undefined;
	/** Bytes by which the block grows when a record is added or changed: it is decoded first if it is frozen. */
	getDecompressionGrowth(): number;
	/** Whether every record has its answer. */
	isFinal(): boolean;
	isCompressed(): boolean;
	/** Keeps only the encoded form of a final block; `encoded` is that form, if the caller has it. */
	compress(encoded?: Uint8Array): void;
	/** Leaves out the attempts of final records; gives the number of records that had some. */
	dropDetail(): number;
	encode(): Uint8Array;
	getRecordCount(): number;
	/** Approximate memory in bytes. */
	getMemoryBytes(): number;
};

/** One record with its share of the memory. */
type Entry = {
	readonly fate: SubmissionRecord;
	bytes: number;
};

/** Creates a block without records. */
export function createRecordBlock(incarnation: string, block: number, now: Milliseconds): RecordBlockState {
	const entries = new Map<number, Entry>();
	let frozen: Uint8Array | undefined;
	let records = 0;
	let openRecords = 0;
	let bytes = emptyBlockBytes;
	let thawedBytes = bytes;
	/** Whether a final record may have attempts. */
	let hasDetail = false;

	return {
		block,
		openedAt: now,
		changedAt: now,
		add,
		change,
		tryGet: sequence => frozen === undefined
			? entries.get(sequence)?.fate
			: findRecord(frozen, sequence)._unsafeUnwrap(),
		getDecompressionGrowth: () => frozen === undefined ? 0 : thawedBytes - bytes,
		isFinal: () => openRecords === 0,
		isCompressed: () => frozen !== undefined,
		compress: freeze,
		dropDetail,
		encode,
		getRecordCount: () => records,
		getMemoryBytes: () => bytes,
	};

	function add(facts: SubmissionInfo): void {
		thaw();
		const {sequence} = facts.ticket;
		assert(!entries.has(sequence), 'a ticket is accepted once');
		const fate: SubmissionRecord = {
			...facts, deliveries: [], tasks: new Map(), detailDropped: false,
		};
		addEntry({fate, bytes: estimateAcceptedBytes(facts)});
		records++;
		openRecords++;
	}

	function change(sequence: number, apply: RecordUpdate): boolean {
		thaw();
		const entry = entries.get(sequence);
		if (entry === undefined) {
			return false;
		}

		const wasOpen = entry.fate.answer === undefined;
		const growth = apply(entry.fate);
		const isOpen = entry.fate.answer === undefined;
		if (wasOpen && !isOpen) {
			openRecords--;
		}

		hasDetail = true;

		setBytes(entry, isOpen ? entry.bytes + growth : estimateFinalBytes(entry.fate));
		return true;
	}

	function encode(): Uint8Array {
		return frozen ?? encodeBlock({incarnation, block, fates: Array.from(entries.values(), ({fate}) => fate)});
	}

	function freeze(encoded = encode()): void {
		assert(openRecords === 0, 'only final records are kept encoded');
		thawedBytes = bytes;
		frozen = encoded;
		entries.clear();
		bytes = emptyBlockBytes + frozen.length;
	}

	function thaw(): void {
		if (frozen === undefined) {
			return;
		}

		const {fates} = decodeBlock(frozen)._unsafeUnwrap();
		frozen = undefined;
		bytes = emptyBlockBytes;
		for (const fate of fates) {
			addEntry({fate, bytes: estimateFinalBytes(fate)});
		}
	}

	function dropDetail(): number {
		if (!hasDetail) {
			return 0;
		}

		thaw();
		hasDetail = false;
		let dropped = 0;
		for (const entry of entries.values()) {
			if (entry.fate.answer !== undefined && entry.fate.tasks.size > 0) {
				entry.fate.tasks.clear();
				entry.fate.detailDropped = true;
				setBytes(entry, estimateFinalBytes(entry.fate));
				dropped++;
			}
		}

		return dropped;
	}

	function addEntry(entry: Entry): void {
		entries.set(entry.fate.ticket.sequence, entry);
		bytes += entry.bytes;
	}

	function setBytes(entry: Entry, size: number): void {
		bytes += size - entry.bytes;
		entry.bytes = size;
	}
}
