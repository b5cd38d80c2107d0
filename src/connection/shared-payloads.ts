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

/**
 * Replaces repeated payloads in the starts of one batch by references to the first start that has them, and compresses the others.
 * Further starts of one job do not repeat its names either.
 */
export function sharePayloads(starts: readonly TaskStart[], tryCompress: PayloadCompressor): TaskStart[] {
	const firstStarts = new Map<Uint8Array, TaskStart>();
	return starts.map(start => {
		const first = firstStarts.get(start.payload);
		if (first !== undefined && start.payload.length > 0) {
			const shared = {...start, payload: noPayload, payloadOf: first.seq};
			return isSameJob(start, first) ? withoutNames(shared) : shared;
		}

		firstStarts.set(start.payload, start);
		const compressed = tryCompress(start.payload);
		return compressed === undefined ? start : {...start, payload: compressed, payloadDeflated: true};
	});
}

/** Completes the starts of a batch; throws if a reference does not lead to an earlier start of the batch, or a payload is damaged. */
export function resolvePayloads(starts: readonly TaskStart[]): readonly TaskStart[] {
	const completed = new Map<number, TaskStart>();
	return starts.map(start => {
		const result = start.payloadOf === 0 ? decompress(start) : resolve(start, completed.get(start.payloadOf));
		completed.set(start.seq, result);
		return result;
	});
}

function resolve(start: TaskStart, first: TaskStart | undefined): TaskStart {
	if (first === undefined) {
		throw new Error(`start ${start.seq} refers to the payload of start ${start.payloadOf}, which is not in its batch`);
	}

	const own = {...start, payload: first.payload, payloadOf: 0};
	if (start.task?.ticket !== '') {
		return own;
	}

	const {task, service, caller, reference, submission} = first;
	return {
		...own, task: {...start.task, ticket: task!.ticket}, service, caller, reference, submission,
	};
}

function isSameJob(start: TaskStart, other: TaskStart): boolean {
	return start.task!.ticket === other.task!.ticket && start.service === other.service && start.caller === other.caller
		&& start.reference === other.reference && start.submission === other.submission;
}

function withoutNames(start: TaskStart): TaskStart {
	return {
		...start, task: {...start.task!, ticket: ''}, service: '', caller: '', reference: '', submission: '',
	};
}

function decompress(start: TaskStart): TaskStart {
	return start.payloadDeflated
		? {...start, payload: inflateRawSync(start.payload, {maxOutputLength: maxPayloadBytes}), payloadDeflated: false}
		: start;
}
