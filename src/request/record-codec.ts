/**
 * The stored form of a block of records: a header line and one line for each record, "sequence space JSON",
 * compressed with gzip. One record can be found without parsing the others.
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

/** Version of the stored form; a reader refuses any other. */
const formatVersion = 1;

/** Largest block that is decompressed, in bytes. */
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

/** Name of the object that holds a block. */
export function getBlockKey(incarnation: string, block: number): string {
	return `fates/${incarnation}/${block}`;
}

/** Encodes a block. */
export function encodeBlock({incarnation, block, fates}: RecordBlock): Uint8Array {
	const header: Header = {
		format: 'kingcuplane-fates', version: formatVersion, incarnation, block, records: fates.length,
	};
	const records = fates.map(fate => `${fate.ticket.sequence} ${JSON.stringify(toRecordJson(fate))}`);
	const text = [JSON.stringify(header), ...records].join('\n');
	return gzipSync(text, {level: constants.Z_BEST_SPEED});
}

/** Decodes a block; fails with Fate_is_malformed on anything unexpected. */
export function decodeBlock(bytes: Uint8Array): Result<RecordBlock, Diagnostic> {
	return readLines(bytes).andThen(({header, records}) =>
		Result.combine(records.map(record => readRecord(record, header)))
			.map(fates => ({incarnation: header.incarnation, block: header.block, fates})));
}

/** Decodes one record of a block; undefined if the block has none with this sequence. */
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
	const safely = Result.fromThrowable(
		() => Buffer.from(gunzipSync(bytes, {maxOutputLength: maxDecodedBytes})).toString('utf8'),
		() => createMalformed('the block cannot be decompressed'),
	);
	return safely();
}

function readHeader(text: string, recordCount: number): Result<Header, Diagnostic> {
	return parseJson(text).andThen(value => {
		const parsed = headerSchema.safeParse(value);
		if (!parsed.success) {
			return err(createMalformed('the header of the block'));
		}

		return parsed.data.records === recordCount ? ok(parsed.data) : err(createMalformed('the number of records differs from the header'));
	});
}

function readRecord(text: string, header: Header): Result<SubmissionRecord, Diagnostic> {
	const space = text.indexOf(' ');
	const sequence = Number(text.slice(0, space));
	return parseJson(text.slice(space + 1))
		.andThen(value => fromRecordJson(value))
		.andThen(fate => isMember(fate, header, sequence) ? ok(fate) : err(createMalformed('a record belongs to another block')));
}

function isMember({ticket}: SubmissionRecord, header: Header, sequence: number): boolean {
	return ticket.incarnation === header.incarnation && ticket.block === header.block && ticket.sequence === sequence;
}

function parseJson(text: string): Result<unknown, Diagnostic> {
	const safely = Result.fromThrowable((): unknown => JSON.parse(text), () => createMalformed('a line is not JSON'));
	return safely();
}

function createMalformed(detail: string): Diagnostic {
	return createDiagnostic(Diagnostics.Fate_is_malformed, detail);
}
