/**
 * The records of one block of tickets in memory. While a block contains records that are not final, all its records
 * are objects. A block of only final records can be compressed, which takes a fraction of the memory and loses nothing.
 */
import type {Milliseconds} from '../process/clock.js';
import {assert} from '../process/debug.js';
import {decodeBlock, encodeBlock, findRecord} from './record-codec.js';
import {
	emptyBlockBytes, estimateAcceptedBytes, estimateFinalBytes,
} from './record-memory.js';
import type {SubmissionInfo, SubmissionRecord} from './types.js';

/** Changes a record. Returns the bytes by which it has grown beyond the memory that was reserved for it. */
export type RecordUpdate = (record: SubmissionRecord) => number;

/** The records of a block. */
export type RecordBlockState = {
	readonly block: number;
	/** When the first record was added. */
	readonly openedAt: Milliseconds;
	/** When a record was last added or changed. */
	changedAt: Milliseconds;
	/** Adds a record and reserves memory for its tasks. */
	add(info: SubmissionInfo): void;
	/** Changes a record. Returns false if the block has none with this sequence number. */
	change(sequence: number, apply: RecordUpdate): boolean;
	/** Returns the record, which must not be changed. */
	tryGet(sequence: number): SubmissionRecord | undefined;
	/** Returns the bytes by which a compressed block grows when a record is added or changed, which decompresses it. */
	getDecompressionGrowth(): number;
	/** Whether every record has its final answer. */
	isFinal(): boolean;
	isCompressed(): boolean;
	/** Retains only the encoded form of a final block. `encoded` is that form, if it is already available. */
	compress(encoded?: Uint8Array): void;
	/** Deletes the attempts of final records. Returns the number of records that had any. */
	dropDetail(): number;
	encode(): Uint8Array;
	getRecordCount(): number;
	/** Returns the approximate memory in bytes. */
	getMemoryBytes(): number;
};

/** One record with its approximate memory in bytes. */
type RecordEntry = {
	readonly record: SubmissionRecord;
	bytes: number;
};

/** Creates a block without records. */
export function createRecordBlock(incarnation: string, block: number, now: Milliseconds): RecordBlockState {
	const entries = new Map<number, RecordEntry>();
	let compressed: Uint8Array | undefined;
	let records = 0;
	let openRecords = 0;
	let bytes = emptyBlockBytes;
	let decompressedBytes = bytes;
	/** Whether a final record may contain attempts. */
	let hasDetail = false;

	return {
		block,
		openedAt: now,
		changedAt: now,
		add,
		change,
		tryGet: sequence => compressed === undefined
			? entries.get(sequence)?.record
			: findRecord(compressed, sequence)._unsafeUnwrap(),
		getDecompressionGrowth: () => compressed === undefined ? 0 : decompressedBytes - bytes,
		isFinal: () => openRecords === 0,
		isCompressed: () => compressed !== undefined,
		compress: compressBlock,
		dropDetail,
		encode,
		getRecordCount: () => records,
		getMemoryBytes: () => bytes,
	};

	function add(info: SubmissionInfo): void {
		decompress();
		const {sequence} = info.ticket;
		assert(!entries.has(sequence), 'a ticket has only one record');
		const record: SubmissionRecord = {
			...info, deliveries: [], tasks: new Map(), detailDropped: false,
		};
		addEntry({record, bytes: estimateAcceptedBytes(info)});
		records++;
		openRecords++;
	}

	function change(sequence: number, apply: RecordUpdate): boolean {
		decompress();
		const entry = entries.get(sequence);
		if (entry === undefined) {
			return false;
		}

		const wasOpen = entry.record.answer === undefined;
		const growth = apply(entry.record);
		const isOpen = entry.record.answer === undefined;
		if (wasOpen && !isOpen) {
			openRecords--;
		}

		hasDetail = true;

		setBytes(entry, isOpen ? entry.bytes + growth : estimateFinalBytes(entry.record));
		return true;
	}

	function encode(): Uint8Array {
		return compressed ?? encodeBlock({incarnation, block, fates: Array.from(entries.values(), ({record}) => record)});
	}

	function compressBlock(encoded = encode()): void {
		assert(openRecords === 0, 'only a block of final records is compressed');
		decompressedBytes = bytes;
		compressed = encoded;
		entries.clear();
		bytes = emptyBlockBytes + compressed.length;
	}

	function decompress(): void {
		if (compressed === undefined) {
			return;
		}

		const {fates} = decodeBlock(compressed)._unsafeUnwrap();
		compressed = undefined;
		bytes = emptyBlockBytes;
		for (const record of fates) {
			addEntry({record, bytes: estimateFinalBytes(record)});
		}
	}

	function dropDetail(): number {
		if (!hasDetail) {
			return 0;
		}

		decompress();
		hasDetail = false;
		let dropped = 0;
		for (const entry of entries.values()) {
			if (entry.record.answer !== undefined && entry.record.tasks.size > 0) {
				entry.record.tasks.clear();
				entry.record.detailDropped = true;
				setBytes(entry, estimateFinalBytes(entry.record));
				dropped++;
			}
		}

		return dropped;
	}

	function addEntry(entry: RecordEntry): void {
		entries.set(entry.record.ticket.sequence, entry);
		bytes += entry.bytes;
	}

	function setBytes(entry: RecordEntry, size: number): void {
		bytes += size - entry.bytes;
		entry.bytes = size;
	}
}
