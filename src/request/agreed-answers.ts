/**
 * Final answers for tickets whose home is dead, agreed among all entries: the first one that is written to
 * the platform's table service stands, and every entry gives that one. Rows `answers/<incarnation>/<ticket>`.
 */
import {z} from 'zod';
import type {TableStore} from '../process/platform/types.js';
import type {Answer, Ticket} from './types.js';

/** The part of an answer that is agreed; payloads come from the agents that still hold them. */
export type AgreedAnswer = Pick<Answer, 'state' | 'ran' | 'diagnostic'>;

/** Agrees on answers. */
export type AgreedAnswerStore = {
	/** Proposes an answer; gives the one that stands, or undefined if the platform does not tell at present. */
	propose(ticket: Ticket, proposal: AgreedAnswer): Promise<AgreedAnswer | undefined>;
};

const rowPrefix = 'answers/';
const deletionsAtOnce = 100;

const settlementSchema = z.object({
	state: z.enum(['complete', 'failed', 'refused']),
	ran: z.enum(['not-run', 'ran', 'may-have-run']),
	diagnostic: z.object({
		code: z.number(), kind: z.string(), message: z.string(), remedy: z.string(),
	}).optional(),
});

/** Creates the access of one entry to the agreed answers. */
export function createAgreedAnswerStore(table: TableStore): AgreedAnswerStore {
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

	// A row is written once, so an old read shows either the row or nothing.
	async function tryGet(key: string): Promise<AgreedAnswer | undefined> {
		const row = await table.get(key);
		const value = row.unwrapOr(undefined)?.value;
		return value === undefined ? undefined : settlementSchema.parse(JSON.parse(value));
	}
}

/** Deletes some agreed answers of a dead entry; true once none is left. */
export async function deleteAgreedAnswers(table: TableStore, incarnation: string): Promise<boolean> {
	const rows = await table.scan(getPrefix(incarnation), deletionsAtOnce);
	if (rows.isErr() || rows.value.length === 0) {
		return rows.isOk();
	}

	await table.commit({conditions: [], writes: rows.value.map(({key}) => ({key, value: undefined}))});
	return false;
}

function getPrefix(incarnation: string): string {
	return `${rowPrefix}${incarnation}/`;
}
