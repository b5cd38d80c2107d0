/**
 * Looks up the record of a ticket in this entry's memory, at the ticket's coordinator, at the platform and at agents.
 * The report contains the sources, whether the record may still change, and what is not known.
 */
import type {HeldTask} from '../generated/kingcuplane.js';
import type {ObjectStore, PlatformError} from '../process/platform/types.js';
import {findRecord, getBlockKey} from './record-codec.js';
import {mergeHeldTasks} from './record-merge.js';
import type {
	SubmissionRecorder, RecordReport, RecordSource, SubmissionRecord, Ticket,
} from './types.js';

/** Reply of a ticket's coordinator. */
export type CoordinatorReply =
	| {readonly kind: 'report'; readonly report: RecordReport}
	/** The coordinator did not answer, but may be alive. */
	| {readonly kind: 'unreachable'}
	/** The coordinator is dead and will never record anything again. */
	| {readonly kind: 'lost'};

/** Sources of a lookup. */
export type RecordLookupHost = {
	/** Incarnation of this entry. */
	readonly incarnation: string;
	readonly recorder: Pick<SubmissionRecorder, 'tryGet'>;
	readonly getObject: ObjectStore['get'];
	/** Queries the entry that issued the ticket. */
	queryCoordinator(ticket: Ticket): Promise<CoordinatorReply>;
	/** Queries the agents that are linked to this entry for the tasks that they retain for the ticket. */
	queryAgents(ticket: Ticket): Promise<readonly HeldTask[]>;
};

/** Looks up records. */
export type RecordLookup = {
	find(ticket: Ticket): Promise<RecordReport>;
};

/** Result of reading a record from the platform. */
type StoreReply =
	| {readonly kind: 'found'; readonly record: SubmissionRecord}
	| {readonly kind: 'absent'}
	/** The platform did not answer, or the saved block is malformed. */
	| {readonly kind: 'failed'; readonly reason: string};

type CoordinatorState = 'own' | Exclude<CoordinatorReply['kind'], 'report'>;

/** Creates a lookup. */
export function createRecordLookup(host: RecordLookupHost): RecordLookup {
	return {find};

	async function find(ticket: Ticket): Promise<RecordReport> {
		if (ticket.incarnation === host.incarnation) {
			return findOwn(ticket);
		}

		const reply = await host.queryCoordinator(ticket);
		return reply.kind === 'report' ? toCoordinatorReport(reply.report) : findWithoutCoordinator(ticket, reply.kind);
	}

	async function findOwn(ticket: Ticket): Promise<RecordReport> {
		const record = host.recorder.tryGet(ticket.text);
		if (record !== undefined) {
			return {
				ticket: ticket.text, fate: record, sources: ['own'], mayChange: !isFinal(record), unknown: [],
			};
		}

		return createReport(ticket, 'own', await readStore(ticket), []);
	}

	async function findWithoutCoordinator(ticket: Ticket, coordinator: CoordinatorState): Promise<RecordReport> {
		const stored = await readStore(ticket);
		const isFinished = stored.kind === 'found' && stored.record.answer !== undefined && !hasOpenAttempt(stored.record);
		return createReport(ticket, coordinator, stored, isFinished ? [] : await host.queryAgents(ticket));
	}

	/** Reads the record of the ticket from the platform. A failed read is retried once. */
	async function readStore(ticket: Ticket): Promise<StoreReply> {
		const key = getBlockKey(ticket.incarnation, ticket.block);
		const result = await host.getObject(key).orElse(() => host.getObject(key));
		return result.match(bytes => findStored(bytes, ticket), error => describeFailure(error));
	}
}

function findStored(bytes: Uint8Array | undefined, ticket: Ticket): StoreReply {
	if (bytes === undefined) {
		return {kind: 'absent'};
	}

	return findRecord(bytes, ticket.sequence).match<StoreReply>(
		record => record === undefined ? {kind: 'absent'} : {kind: 'found', record},
		diagnostic => ({kind: 'failed', reason: diagnostic.message}),
	);
}

function describeFailure(error: PlatformError): StoreReply {
	return {kind: 'failed', reason: error.diagnostic.message};
}

function createReport(ticket: Ticket, coordinator: CoordinatorState, stored: StoreReply, held: readonly HeldTask[]): RecordReport {
	const savedRecord = stored.kind === 'found' ? stored.record : undefined;
	const record = held.length === 0 ? savedRecord : mergeHeldTasks(savedRecord, ticket, held);
	const sources: RecordSource[] = [];
	if (savedRecord !== undefined) {
		sources.push('store');
	}

	if (held.length > 0) {
		sources.push('agents');
	}

	return {
		ticket: ticket.text,
		fate: record,
		sources,
		mayChange: coordinator === 'unreachable' || stored.kind === 'failed' || held.some(task => task.running),
		unknown: [
			...describeCoordinator(coordinator, savedRecord, ticket),
			...describeStore(stored),
			...describeTasks(coordinator, record),
		],
	};
}

function describeCoordinator(coordinator: CoordinatorState, savedRecord: SubmissionRecord | undefined, ticket: Ticket): readonly string[] {
	switch (coordinator) {
		case 'own': {
			return [];
		}

		case 'unreachable': {
			return [`The entry with incarnation ${ticket.incarnation}, which answers for this ticket, cannot be reached; it may know more.`];
		}

		case 'lost': {
			return describeLostCoordinator(savedRecord, ticket);
		}
	}
}

function describeLostCoordinator(savedRecord: SubmissionRecord | undefined, ticket: Ticket): readonly string[] {
	if (savedRecord?.answer !== undefined) {
		return [];
	}

	const lost = `The entry with incarnation ${ticket.incarnation} is gone`;
	return savedRecord === undefined
		? [`${lost} and saved no record of this ticket: whether it was accepted, from whom and under which configuration, is not known.`]
		: [`${lost} and saved no answer: whether one was given before it went is not known.`];
}

function describeStore(stored: StoreReply): readonly string[] {
	return stored.kind === 'failed' ? [`A saved record may exist, but it cannot be read at present: ${stored.reason}`] : [];
}

/** Describes tasks without a recorded start. Without an answer, they may have been started nevertheless. */
function describeTasks(coordinator: CoordinatorState, record: SubmissionRecord | undefined): readonly string[] {
	if (coordinator === 'own' || record === undefined || record.answer !== undefined || record.detailDropped) {
		return [];
	}

	const unstartedCount = record.taskCount - record.tasks.size;
	return unstartedCount === 0 ? [] : [`${unstartedCount} of ${record.taskCount} tasks: no start is recorded, but they may have run all the same.`];
}

function toCoordinatorReport(report: RecordReport): RecordReport {
	return {...report, sources: report.sources.map(source => source === 'own' ? 'home' : source)};
}

/** Whether a record can no longer change, except for further deliveries. */
function isFinal(record: SubmissionRecord): boolean {
	return record.answer !== undefined && record.deliveries.length > 0 && !hasOpenAttempt(record);
}

function hasOpenAttempt(record: SubmissionRecord): boolean {
	return [...record.tasks.values()].some(task => task.attempts.some(attempt => attempt.outcome === undefined));
}
