/**
 * Encodes and decodes a block of records for storage: a header line and one line for each record, "sequence space
 * JSON", compressed with gzip. One record can be found without parsing the others.
 */
import {Buffer} from 'node:buffer';
import {constants, gunzipSync, gzipSync} from 'node:zlib';
import {err, ok, Result} from 'neverthrow';
import {z} from 'zod';
import {createDiagnostic, type Diagnostic, Diagnostics} from '../process/diagnostics.js';
import {fromRecordJson, toRecordJson} from './record-json.js';
import type {SubmissionRecord} from './types.js';

/** The records of one block of tickets. */
export type RecordBlock = {
	/** Incarnation of the entry that issued the tickets. */
	readonly incarnation: string;
	readonly block: number;
	readonly fates: readonly SubmissionRecord[];
};

/** Version of the storage format; any other version is refused. */
const formatVersion = 1;

/** Largest decompressed size of a block, in bytes. */
const maxDecodedBytes = 512 * 1024 * 1024;

const headerSchema = z.strictObject({
	format: z.literal('kingcuplane-fates'),
	version: z.literal(formatVersion),
	incarnation: z.string(),
	block: z.int().nonnegative(),
	records: z.int().nonnegative(),
});

type Header = z.infer<typeof headerSchema>;

type Lines = {
	readonly header: Header;
	readonly records: readonly string[];
};

/** Returns the key of the object that stores a block. */
export function getBlockKey(incarnation: string, block: number): string {
	return `fates/${incarnation}/${block}`;
}

/** Encodes a block. */
export function encodeBlock({incarnation, block, fates}: RecordBlock): Uint8Array {
	const header: Header = {
		format: 'kingcuplane-fates', version: formatVersion, incarnation, block, records: fates.length,
	};
	const records = fates.map(record => `${record.ticket.sequence} ${JSON.stringify(toRecordJson(record))}`);
	const text = [JSON.stringify(header), ...records].join('\n');
	return gzipSync(text, {level: constants.Z_BEST_SPEED});
}

/** Decodes a block; fails with Fate_is_malformed on anything unexpected. */
export function decodeBlock(bytes: Uint8Array): Result<RecordBlock, Diagnostic> {
	return readLines(bytes).andThen(({header, records}) =>
		Result.combine(records.map(record => readRecord(record, header)))
			.map(fates => ({incarnation: header.incarnation, block: header.block, fates})));
}

/** Decodes one record of a block; undefined if the block has none with this sequence number. Fails as `decodeBlock`. */
export function findRecord(bytes: Uint8Array, sequence: number): Result<SubmissionRecord | undefined, Diagnostic> {
	return readLines(bytes).andThen(({header, records}) => {
		const record = records.find(text => text.startsWith(`${sequence} `));
		return record === undefined ? ok(undefined) : readRecord(record, header);
	});
}

function readLines(bytes: Uint8Array): Result<Lines, Diagnostic> {
	return decompress(bytes).andThen(text => {
		const [first = '', ...records] = text.split('\n');
		return readHeader(first, records.length).map(header => ({header, records}));
	});
}

function decompress(bytes: Uint8Array): Result<string, Diagnostic> {
	const tryDecompress = Result.fromThrowable(
		() => Buffer.from(gunzipSync(bytes, {maxOutputLength: maxDecodedBytes})).toString('utf8'),
		() => createMalformedDiagnostic('the block cannot be decompressed'),
	);
	return tryDecompress();
}

function readHeader(text: string, recordCount: number): Result<Header, Diagnostic> {
	return parseJson(text).andThen(value => {
		const parsed = headerSchema.safeParse(value);
		if (!parsed.success) {
			return err(createMalformedDiagnostic('the header of the block'));
		}

		return parsed.data.records === recordCount ? ok(parsed.data) : err(createMalformedDiagnostic('the number of records differs from the header'));
	});
}

function readRecord(text: string, header: Header): Result<SubmissionRecord, Diagnostic> {
	const space = text.indexOf(' ');
	const sequence = Number(text.slice(0, space));
	return parseJson(text.slice(space + 1))
		.andThen(value => fromRecordJson(value))
		.andThen(record => belongsToBlock(record, header, sequence) ? ok(record) : err(createMalformedDiagnostic('a record belongs to another block')));
}

function belongsToBlock({ticket}: SubmissionRecord, header: Header, sequence: number): boolean {
	return ticket.incarnation === header.incarnation && ticket.block === header.block && ticket.sequence === sequence;
}

function parseJson(text: string): Result<unknown, Diagnostic> {
	const tryParse = Result.fromThrowable((): unknown => JSON.parse(text), () => createMalformedDiagnostic('a line is not JSON'));
	return tryParse();
}

function createMalformedDiagnostic(detail: string): Diagnostic {
	return createDiagnostic(Diagnostics.Fate_is_malformed, detail);
}
