/**
 * Submission records in simulated runs, and the lookup of them in memory and at the platform.
 */
import type {Clock} from '../../src/process/clock.js';
import {noPlatformFaults, type MemoryPlatform} from '../../src/process/platform/memory.js';
import type {ObjectStore} from '../../src/process/platform/types.js';
import {findRecord, getBlockKey} from '../../src/request/record-codec.js';
import {createSubmissionRecorder} from '../../src/request/submission-recorder.js';
import type {FoundRecord} from '../../src/request/router.js';
import type {SubmissionRecorder, Ticket} from '../../src/request/types.js';

/** The recorder of one entry, and the lookup of submission records. */
export type SubmissionRecords = {
	readonly recorder: SubmissionRecorder;
	/** Finds the record of a ticket; resolves to 'unreadable' if the platform cannot be read. */
	find(ticket: Ticket): Promise<FoundRecord | 'unreadable' | undefined>;
};

/** Creates the submission records of one entry incarnation. */
export function createSubmissionRecords(clock: Clock, incarnation: string, objects: ObjectStore): SubmissionRecords {
	const recorder = createSubmissionRecorder({
		clock,
		incarnation,
		settings: {
			memoryBytes: 10_000_000, writesPerSecond: 50, saveDelayMs: 200, keepMs: 5000, blockOpenMs: 24_000,
		},
		put: objects.put,
		random: () => 0.5,
		log: () => undefined,
	});

	return {
		recorder,
		async find(ticket) {
			const ownRecord = recorder.tryGet(ticket.text);
			if (ownRecord !== undefined) {
				return {fate: ownRecord, json: ownRecord};
			}

			const bytes = await objects.get(getBlockKey(ticket.incarnation, ticket.block));
			if (bytes.isErr()) {
				return 'unreadable';
			}

			const record = bytes.value && findRecord(bytes.value, ticket.sequence)._unsafeUnwrap();
			return record && {fate: record, json: record};
		},
	};
}

/** Whether the answer to a ticket is stored at the platform now, regardless of active faults. */
export async function isAnswerSaved(platform: MemoryPlatform, {incarnation, block, sequence}: Ticket): Promise<boolean> {
	const faults = platform.getFaults();
	platform.setFaults(noPlatformFaults);
	const reading = platform.objects.get(getBlockKey(incarnation, block));
	platform.setFaults(faults);
	const result = await reading;
	const bytes = result._unsafeUnwrap();
	return bytes !== undefined && findRecord(bytes, sequence)._unsafeUnwrap()?.answer !== undefined;
}
