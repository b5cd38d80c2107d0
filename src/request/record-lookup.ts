/**
 * Finds what became of a ticket: in this entry's memory, at the home, at the platform or from what agents
 * hold, and says where the parts came from, whether they may change, and what is not known.
 */
import type {HeldTask} from '../generated/kingcuplane.js';
import type {ObjectStore, PlatformError} from '../process/platform/types.js';
import {findRecord, getBlockKey} from './record-codec.js';
import {mergeHeldTasks} from './record-merge.js';
import type {
	SubmissionRecorder, RecordReport, RecordSource, SubmissionRecord, Ticket,
} from './types.js';

/** What the home says. */
export type CoordinatorReply =
	| {readonly kind: 'report'; readonly report: RecordReport}
	/** It did not answer; it may be alive. */
	| {readonly kind: 'unreachable'}
	/** It is gone for good, and records nothing any more. */
	| {readonly kind: 'lost'};

/** Where the lookup asks. */
export type RecordLookupHost = {
	/** Incarnation of this entry. */
	readonly incarnation: string;
	readonly recorder: Pick<SubmissionRecorder, 'tryGet'>;
	readonly getObject: ObjectStore['get'];
	/** Asks the entry that issued the ticket. */
	queryCoordinator(ticket: Ticket): Promise<CoordinatorReply>;
	/** Asks the agents that this entry is linked to what they hold of the ticket. */
	queryAgents(ticket: Ticket): Promise<readonly HeldTask[]>;
};

/** Finds records. */
export type RecordLookup = {
	find(ticket: Ticket): Promise<RecordReport>;
};

/** What the platform says. */
type StoreReply =
	| {readonly kind: 'found'; readonly fate: SubmissionRecord}
	| {readonly kind: 'absent'}
	/** The platform did not answer, or what is saved cannot be read. */
	| {readonly kind: 'failed'; readonly reason: string};

type HomeState = 'own' | Exclude<CoordinatorReply['kind'], 'report'>;

/** Creates a lookup. */
export function createRecordLookup(host: RecordLookupHost): RecordLookup {
	return {find};

	async function find(ticket: Ticket): Promise<RecordReport> {
		if (ticket.incarnation === host.incarnation) {
			return findOwn(ticket);
		}

		const reply = await host.queryCoordinator(ticket);
		return reply.kind === 'report' ? toHomeReport(reply.report) : findWithoutHome(ticket, reply.kind);
	}

	async function findOwn(ticket: Ticket): Promise<RecordReport> {
		const fate = host.recorder.tryGet(ticket.text);
		if (fate !== undefined) {
			return {
				ticket: ticket.text, fate, sources: ['own'], mayChange: !isSettled(fate), unknown: [],
			};
		}

		return createReport(ticket, 'own', await readStore(ticket), []);
	}

	async function findWithoutHome(ticket: Ticket, home: HomeState): Promise<RecordReport> {
		const stored = await readStore(ticket);
		const isWhole = stored.kind === 'found' && stored.fate.answer !== undefined && !hasOpenAttempt(stored.fate);
		return createReport(ticket, home, stored, isWhole ? [] : await host.queryAgents(ticket));
	}

	/** Reads the block of the ticket; a failed read is tried once more. */
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
		fate => fate === undefined ? {kind: 'absent'} : {kind: 'found', fate},
		diagnostic => ({kind: 'failed', reason: diagnostic.message}),
	);
}

function describeFailure(error: PlatformError): StoreReply {
	return {kind: 'failed', reason: error.diagnostic.message};
}

function createReport(ticket: Ticket, home: HomeState, stored: StoreReply, held: readonly HeldTask[]): RecordReport {
	const base = stored.kind === 'found' ? stored.fate : undefined;
	const fate = held.length === 0 ? base : mergeHeldTasks(base, ticket, held);
	const sources: RecordSource[] = [];
	if (base !== undefined) {
		sources.push('store');
	}

	if (held.length > 0) {
		sources.push('agents');
	}

	return {
		ticket: ticket.text,
		fate,
		sources,
		mayChange: home === 'unreachable' || stored.kind === 'failed' || held.some(task => task.running),
		unknown: [
			...describeHome(home, base, ticket),
			...describeStore(stored),
			...describeTasks(home, fate),
		],
	};
}

function describeHome(home: HomeState, base: SubmissionRecord | undefined, ticket: Ticket): readonly string[] {
	switch (home) {
		case 'own': {
			return [];
		}

		case 'unreachable': {
			return [`The entry with incarnation ${ticket.incarnation}, which answers for this ticket, cannot be reached; it may know more.`];
		}

		case 'lost': {
			return describeLostHome(base, ticket);
		}
	}
}

function describeLostHome(base: SubmissionRecord | undefined, ticket: Ticket): readonly string[] {
	if (base?.answer !== undefined) {
		return [];
	}

	const lost = `The entry with incarnation ${ticket.incarnation} is gone`;
	return base === undefined
		? [`${lost} and saved no record of this ticket: whether it was accepted, from whom and under which configuration, is not known.`]
		: [`${lost} and saved no answer: whether one was given before it went is not known.`];
}

function describeStore(stored: StoreReply): readonly string[] {
	return stored.kind === 'failed' ? [`A saved record may exist, but it cannot be read at present: ${stored.reason}`] : [];
}

/** Without an answer, a task without a recorded start may have been started all the same. */
function describeTasks(home: HomeState, fate: SubmissionRecord | undefined): readonly string[] {
	if (home === 'own' || fate === undefined || fate.answer !== undefined || fate.detailDropped) {
		return [];
	}

	const unseen = fate.taskCount - fate.tasks.size;
	return unseen === 0 ? [] : [`${unseen} of ${fate.taskCount} tasks: no start is recorded, but they may have run all the same.`];
}

function toHomeReport(report: RecordReport): RecordReport {
	return {...report, sources: report.sources.map(source => source === 'own' ? 'home' : source)};
}

/** Whether nothing but a further delivery can be added to a record. */
function isSettled(fate: SubmissionRecord): boolean {
	return fate.answer !== undefined && fate.deliveries.length > 0 && !hasOpenAttempt(fate);
}

function hasOpenAttempt(fate: SubmissionRecord): boolean {
	return [...fate.tasks.values()].some(task => task.attempts.some(attempt => attempt.outcome === undefined));
}
