/**
 * Makes the payloads of the starts in a batch small: one that several starts have in common, as those of the tasks of one job
 * often do, crosses the link once, and it may be compressed.
 */
import {inflateRawSync} from 'node:zlib';
import type {TaskStart} from '../generated/kingcuplane.js';

/** Returns the compressed form of a payload; undefined if it is sent as it is. */
export type PayloadCompressor = (payload: Uint8Array) => Uint8Array | undefined;

const noPayload = new Uint8Array();
/** Largest decompressed payload; equals the limit of a message. */
const maxPayloadBytes = 64 * 1024 * 1024;

/** Replaces repeated payloads in the starts of one batch by references to the first start that has them, and compresses the others. */
export function sharePayloads(starts: readonly TaskStart[], tryCompress: PayloadCompressor): TaskStart[] {
	const firstSeqs = new Map<Uint8Array, number>();
	return starts.map(start => {
		const firstSeq = firstSeqs.get(start.payload);
		if (firstSeq !== undefined && start.payload.length > 0) {
			return {...start, payload: noPayload, payloadOf: firstSeq};
		}

		firstSeqs.set(start.payload, start.seq);
		const compressed = tryCompress(start.payload);
		return compressed === undefined ? start : {...start, payload: compressed, payloadDeflated: true};
	});
}

/** Gives each start of a batch its payload; throws if a reference does not lead to an earlier start of the batch, or a payload is damaged. */
export function resolvePayloads(starts: readonly TaskStart[]): readonly TaskStart[] {
	const payloads = new Map<number, Uint8Array>();
	return starts.map(start => {
		const payload = start.payloadOf === 0 ? decompress(start) : payloads.get(start.payloadOf);
		if (payload === undefined) {
			throw new Error(`start ${start.seq} refers to the payload of start ${start.payloadOf}, which is not in its batch`);
		}

		payloads.set(start.seq, payload);
		return payload === start.payload
			? start
			: {
				...start, payload, payloadOf: 0, payloadDeflated: false,
			};
	});
}

function decompress({payload, payloadDeflated}: TaskStart): Uint8Array {
	return payloadDeflated ? inflateRawSync(payload, {maxOutputLength: maxPayloadBytes}) : payload;
}
