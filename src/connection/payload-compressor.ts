/**
 * Compresses payloads of starts while the network link is worth more than the processor time for it.
 */
import {constants, deflateRawSync} from 'node:zlib';
import type {PayloadCompressor} from './shared-payloads.js';

/** Below this size, the other fields of a start outweigh what compression saves. */
const minPayloadBytes = 256;

/** Creates a compressor that compresses each payload at most once, however many links it crosses, and only while `isLinkBusy`. */
export function createPayloadCompressor(isLinkBusy: () => boolean): PayloadCompressor {
	const compressedPayloads = new WeakMap<Uint8Array, Uint8Array>();

	return payload => {
		if (payload.length < minPayloadBytes || !isLinkBusy()) {
			return undefined;
		}

		const compressed = compressedPayloads.get(payload) ?? deflateRawSync(payload, {level: constants.Z_BEST_SPEED});
		compressedPayloads.set(payload, compressed);
		return compressed.length < payload.length ? compressed : undefined;
	};
}
