/**
 * Approximate memory of records, in bytes of heap; `dev/bench/fate.ts` compares the estimates with the heap.
 * The names of agents and upstreams count as shared between records.
 */
import type {SubmissionInfo, SubmissionRecord} from './types.js';

/** A record without its tasks, deliveries and texts. */
const recordBytes = 1350;

/** A task with one attempt. */
const taskBytes = 350;

/** A further attempt at the same task. */
export const attemptBytes = 200;

/** A delivery. */
const deliveryBytes = 100;

/** A block without its records. */
export const emptyBlockBytes = 600;

/** Returns the bytes that are reserved for a record before its tasks are sent: one attempt for every task. */
export function estimateAcceptedBytes(info: SubmissionInfo): number {
	return estimateCompactBytes(info) + (info.taskCount * taskBytes);
}

/** Returns the bytes of the current state of a final record. */
export function estimateFinalBytes(record: SubmissionRecord): number {
	return estimateCompactBytes(record) + (record.deliveries.length * deliveryBytes) + estimateTaskBytes(record);
}

function estimateTaskBytes(record: SubmissionRecord): number {
	let bytes = 0;
	for (const {attempts} of record.tasks.values()) {
		bytes += taskBytes + ((attempts.length - 1) * attemptBytes);
		for (const {detail} of attempts) {
			bytes += detail?.length ?? 0;
		}
	}

	return bytes;
}

function estimateCompactBytes(info: SubmissionInfo): number {
	return recordBytes + info.reference.length;
}
