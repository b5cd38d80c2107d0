/**
 * Approximate memory of records, in bytes of heap; `dev/bench/fate.ts` compares the figures with the heap.
 * Names of agents and upstreams are counted as shared between records.
 */
import type {SubmissionInfo, SubmissionRecord} from './types.js';

/** A record without its tasks and texts. */
const recordBytes = 1350;

/** A task with one attempt. */
const taskBytes = 350;

/** A further attempt at the same task. */
export const attemptBytes = 200;

/** A delivery. */
const deliveryBytes = 100;

/** A block without its records. */
export const emptyBlockBytes = 600;

/** Bytes to set aside for a record before its tasks are sent: every task with one attempt. */
export function estimateAcceptedBytes(facts: SubmissionInfo): number {
	return estimateCompact(facts) + (facts.taskCount * taskBytes);
}

/** Bytes of a final record as it stands. */
export function estimateFinalBytes(fate: SubmissionRecord): number {
	return estimateCompact(fate) + (fate.deliveries.length * deliveryBytes) + estimateTasks(fate);
}

function estimateTasks(fate: SubmissionRecord): number {
	let bytes = 0;
	for (const {attempts} of fate.tasks.values()) {
		bytes += taskBytes + ((attempts.length - 1) * attemptBytes);
		for (const {detail} of attempts) {
			bytes += detail?.length ?? 0;
		}
	}

	return bytes;
}

function estimateCompact(facts: SubmissionInfo): number {
	return recordBytes + facts.reference.length;
}
