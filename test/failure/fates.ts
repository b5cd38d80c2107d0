/**
 * Records of submissions for simulated runs: kept in memory, and saved a second later as one object each.
 */
import {every, type Clock} from '../../src/process/clock.js';
import {encodeBlock, findInBlock} from '../../src/request/fate-codec.js';
import type {ObjectStore} from '../../src/process/platform/types.js';
import type {FoundFate} from '../../src/request/router.js';
import type {FateRecorder, SubmissionFate, Ticket} from '../../src/request/types.js';

/** A recorder and the search for its records. */
export type Fates = {
	readonly recorder: FateRecorder;
	/** Whether the record as it stands is known to be saved. */
	isSaved(ticket: string): boolean;
	find(ticket: Ticket): Promise<FoundFate | 'unreadable' | undefined>;
};

/** Creates the records of one entry incarnation. */
export function createFates(clock: Clock, objects: ObjectStore): Fates {
	const fates = new Map<string, SubmissionFate>();
	const unsaved = new Set<string>();
	const saving = new Set<string>();
	every(clock, 1000, () => {
		void flush();
	});

	return {
		recorder: {
			tryAccept(facts) {
				fates.set(facts.ticket.text, {
					...facts, deliveries: [], tasks: new Map(), detailDropped: false,
				});
				unsaved.add(facts.ticket.text);
				return undefined;
			},
			recordSent: () => undefined,
			recordEnded: () => undefined,
			recordCancelled: () => undefined,
			recordAnswer(ticket, {state, ran, diagnostic}) {
				fates.get(ticket)!.answer = {
					state, ran, diagnostic, at: clock.wall(),
				};
				unsaved.add(ticket);
			},
			recordDelivery: () => undefined,
			tryGet: ticket => fates.get(ticket),
			whenSaved(_ticket, action) {
				void flush().then(action);
			},
			flush,
			getUnsaved: () => unsaved.size,
		},
		isSaved: ticket => !unsaved.has(ticket) && !saving.has(ticket),
		async find(ticket) {
			const own = fates.get(ticket.text);
			if (own !== undefined) {
				return {fate: own, json: own};
			}

			const answered = await objects.get(getKey(ticket.text, true));
			const saved = answered.isOk() && answered.value === undefined ? await objects.get(getKey(ticket.text, false)) : answered;
			if (saved.isErr()) {
				return 'unreadable';
			}

			const fate = saved.value && findInBlock(saved.value, ticket.sequence)._unsafeUnwrap();
			return fate && {fate, json: fate};
		},
	};

	async function flush(): Promise<void> {
		const texts = [...unsaved];
		unsaved.clear();
		await Promise.all(texts.map(async text => {
			saving.add(text);
			const fate = fates.get(text)!;
			const outcome = await objects.put(getKey(text, fate.answer !== undefined), encodeBlock({...fate.ticket, fates: [fate]}));
			saving.delete(text);
			if (outcome.isErr()) {
				unsaved.add(text);
			}
		}));
	}
}

// A write that timed out may take effect late; it must not replace a record that has the answer.
function getKey(ticket: string, isAnswered: boolean): string {
	return `fates/${ticket}/${isAnswered ? 'answered' : 'open'}`;
}
