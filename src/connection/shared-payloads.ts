/**
 * Payloads that several starts of one batch have in common, as those of the tasks of one job often do. Each crosses the link once.
 */
import type {TaskStart} from '../generated/kingcuplane.js';

const noPayload = new Uint8Array();

/** Replaces repeated payloads in the starts of one batch by references to the first start that has them. */
export function sharePayloads(starts: readonly TaskStart[]): TaskStart[] {
	const firstSeqs = new Map<Uint8Array, number>();
	return starts.map(start => {
		const firstSeq = firstSeqs.get(start.payload);
		if (firstSeq !== undefined && start.payload.length > 0) {
			return {...start, payload: noPayload, payloadOf: firstSeq};
		}

		firstSeqs.set(start.payload, start.seq);
		return start;
	});
}

/** Gives each start of a batch its payload; throws if a reference does not lead to an earlier start of the batch. */
export function resolvePayloads(starts: readonly TaskStart[]): readonly TaskStart[] {
	const payloads = new Map<number, Uint8Array>();
	return starts.map(start => {
		const payload = start.payloadOf === 0 ? start.payload : payloads.get(start.payloadOf);
		if (payload === undefined) {
			throw new Error(`start ${start.seq} refers to the payload of start ${start.payloadOf}, which is not in its batch`);
		}

		payloads.set(start.seq, payload);
		return start.payloadOf === 0 ? start : {...start, payload, payloadOf: 0};
	});
}
