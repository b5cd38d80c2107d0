/**
 * Final answers for tickets whose coordinator is dead, agreed among all entries: the first answer that is written
 * to the platform's table service is final, and every entry returns it. Rows `answers/<incarnation>/<ticket>`.
 */
import {z} from 'zod';
import type {Log} from '../process/log.js';
import type {TableStore} from '../process/platform/types.js';
import {createRowReader} from '../process/row-reader.js';
import type {Answer, Ticket} from './types.js';

/** The part of an answer that is agreed. Payloads come from the agents that still retain them. */
export type AgreedAnswer = Pick<Answer, 'state' | 'ran' | 'diagnostic'>;

/** Agrees with the other entries on answers. */
export type AgreedAnswerStore = {
	/** Proposes an answer. Returns the agreed one, or undefined if the platform cannot be read or written now. */
	propose(ticket: Ticket, proposal: AgreedAnswer): Promise<AgreedAnswer | undefined>;
};

const rowPrefix = 'answers/';
const maxDeletionsPerCommit = 100;

const agreedAnswerSchema = z.object({
	state: z.enum(['complete', 'failed', 'refused']),
	ran: z.enum(['not-run', 'ran', 'may-have-run']),
	diagnostic: z.object({
		code: z.int(), kind: z.string(), message: z.string(), remedy: z.string(),
	}).optional(),
});

/** Creates the store through which one entry reads and proposes agreed answers. */
export function createAgreedAnswerStore(table: TableStore, log: Pick<Log, 'warn'>): AgreedAnswerStore {
	const tryReadRow = createRowReader(agreedAnswerSchema, log);
	return {
		async propose(ticket, {state, ran, diagnostic}) {
			const key = getPrefix(ticket.incarnation) + ticket.text;
			const earlier = await tryGet(key);
			if (earlier !== undefined) {
				return earlier;
			}

			const proposal: AgreedAnswer = {state, ran, diagnostic};
			const outcome = await table.commit({conditions: [{key, revision: 0}], writes: [{key, value: JSON.stringify(proposal)}]});
			if (outcome.isErr()) {
				return undefined;
			}

			return outcome.value.kind === 'committed' ? proposal : tryGet(key);
		},
	};

	// A row is written once, so a stale read returns either the row or nothing.
	async function tryGet(key: string): Promise<AgreedAnswer | undefined> {
		const found = await table.get(key);
		const row = found.unwrapOr(undefined);
		// An unreadable row is as final as any other, but unknown: the ticket stays without an agreed answer.
		return row && tryReadRow(row);
	}
}

/** Deletes a batch of agreed answers of a dead entry. Returns true once none is left. */
export async function deleteAgreedAnswers(table: TableStore, incarnation: string): Promise<boolean> {
	const rows = await table.scan(getPrefix(incarnation), maxDeletionsPerCommit);
	if (rows.isErr() || rows.value.length === 0) {
		return rows.isOk();
	}

	await table.commit({conditions: [], writes: rows.value.map(({key}) => ({key, value: undefined}))});
	return false;
}

function getPrefix(incarnation: string): string {
	return `${rowPrefix}${incarnation}/`;
}
